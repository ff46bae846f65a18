#include "quay/core/QuotaGrants.h"

#include <deque>
#include <doctest/doctest.h>

using namespace quay;

namespace {

constexpr Duration tickInterval = 100ms;

/** One member with a constant demand for each team. */
struct SimulatedMember {
    QuotaState state;
    TeamTokens tokens;
    std::map<TeamId, std::int64_t> wanted; // units of work to run at a time
    std::map<TeamId, std::int64_t> running;
};

/** Members and a store that answers immediately, so that a round completes within one tick. */
class Cluster {
public:
    Cluster(int members, int teams, std::int64_t limit)
    {
        for (int i = 0; i < members; ++i)
            addMember(i);
        for (int i = 0; i < teams; ++i)
            m_teams.emplace_back("team-" + std::to_string(i));
        for (SimulatedMember& member : m_members) {
            for (const TeamId& team : m_teams)
                feed(member, QuotaLimitConfigured { team, { limit, 1 } });
        }
    }

    void want(std::size_t member, const TeamId& team, std::int64_t n) { m_members[member].wanted[team] = n; }

    void configureLimit(const TeamId& team, std::int64_t limit, std::uint64_t version)
    {
        for (SimulatedMember& member : m_members)
            feed(member, QuotaLimitConfigured { team, { limit, version } });
    }

    void run(int ticks)
    {
        for (int i = 0; i < ticks; ++i) {
            m_now += tickInterval;
            for (SimulatedMember& member : m_members) {
                work(member);
                feed(member, QuotaTick { member.tokens.takeUsage() });
            }
        }
    }

    std::int64_t running(std::size_t member, const TeamId& team) { return m_members[member].running[team]; }
    const QuotaRecord& row(const TeamId& team) { return m_rows[team].record; }
    const std::vector<TeamId>& teams() const { return m_teams; }
    int writes() const { return m_writes; }

private:
    void addMember(int index)
    {
        QuotaSettings settings;
        settings.self = MemberId { "vm-" + std::to_string(index) };
        settings.domain = DomainId { "north" };
        m_members.emplace_back();
        m_members.back().state = makeQuotaState(settings);
        m_members.back().tokens.extendLease(Instant::max());
    }

    // Ends one unit of each team per tick, or all above the demand, then acquires units up to the demand.
    void work(SimulatedMember& member)
    {
        for (const auto& [team, wanted] : member.wanted) {
            std::int64_t& running = member.running[team];
            const std::int64_t ending
                = running > wanted ? running - wanted : std::min<std::int64_t>(1, running);
            member.tokens.release(team, ending);
            running -= ending;
            while (running < wanted && member.tokens.tryAcquire(team, 1, m_now))
                ++running;
        }
    }

    void feed(SimulatedMember& member, const QuotaEvent& event)
    {
        for (const QuotaAction& action : step(member.state, event, m_now))
            perform(member, action);
    }

    void perform(SimulatedMember& member, const QuotaAction& action)
    {
        if (const auto* grant = std::get_if<SetTeamGrant>(&action))
            member.tokens.setGranted(grant->team, grant->units);
        else if (const auto* read = std::get_if<ReadQuotaRows>(&action))
            feed(member, readRows(*read));
        else if (const auto* write = std::get_if<WriteQuotaRows>(&action))
            feed(member, writeRows(*write));
        else if (const auto* lower = std::get_if<ReduceTeamGrants>(&action))
            reduceGrants(member, *lower);
    }

    void reduceGrants(SimulatedMember& member, const ReduceTeamGrants& lower)
    {
        QuotaGrantsReduced reduced;
        for (const auto& [team, target] : lower.targets)
            reduced.remaining[team] = member.tokens.reduceTo(team, target);
        feed(member, reduced);
    }

    QuotaEvent readRows(const ReadQuotaRows& read)
    {
        QuotaRowsRead answer { read.requestId, {} };
        for (const auto& [team, row] : m_rows)
            answer.rows.push_back(row);
        return answer;
    }

    QuotaEvent writeRows(const WriteQuotaRows& write)
    {
        ++m_writes;
        for (const QuotaPut& put : write.puts)
            m_rows[put.team] = { put.team, static_cast<std::uint64_t>(m_writes), put.record };
        return QuotaWriteDone { write.requestId, static_cast<std::uint64_t>(m_writes) };
    }

    Instant m_now;
    std::deque<SimulatedMember> m_members;
    std::vector<TeamId> m_teams;
    std::map<TeamId, QuotaRow> m_rows;
    int m_writes = 0;
};

} // namespace

TEST_CASE("grants follow demand")
{
    struct Row {
        const char* name;
        std::int64_t before[3], after[3], atLeast[3];
    };
    const Row rows[] = {
        { "an unused grant moves to the member with demand", { 90, 0, 0 }, { 0, 60, 0 }, { 0, 60, 0 } },
        { "a member that uses the whole limit returns units to new members", { 90, 0, 0 }, { 90, 90, 90 },
            { 20, 20, 20 } },
        { "enough for all", { 10, 10, 10 }, { 30, 20, 20 }, { 30, 20, 20 } },
        { "a member keeps the units that it uses", { 30, 0, 0 }, { 30, 90, 0 }, { 25, 45, 0 } },
    };
    for (const Row& row : rows) {
        Cluster cluster(3, 1, 90);
        const TeamId& team = cluster.teams().front();
        for (std::size_t i = 0; i < 3; ++i)
            cluster.want(i, team, row.before[i]);
        cluster.run(100);
        for (std::size_t i = 0; i < 3; ++i)
            cluster.want(i, team, row.after[i]);
        cluster.run(600);
        for (std::size_t i = 0; i < 3; ++i) {
            CAPTURE(std::string(row.name));
            CAPTURE(i);
            CHECK(cluster.running(i, team) >= row.atLeast[i]);
        }
    }
}

TEST_CASE("a lowered limit takes effect under full demand, a raised one immediately")
{
    Cluster cluster(3, 1, 90);
    const TeamId& team = cluster.teams().front();
    for (std::size_t i = 0; i < 3; ++i)
        cluster.want(i, team, 90);
    cluster.run(300);
    cluster.configureLimit(team, 12, 2);
    cluster.run(5);
    CHECK_FALSE(isTargetEffective(cluster.row(team)));
    cluster.run(600);
    CHECK(isTargetEffective(cluster.row(team)));
    CHECK(cluster.row(team).limit == 12);
    cluster.configureLimit(team, 60, 3);
    cluster.run(10);
    CHECK(cluster.row(team).limit == 60);
}

TEST_CASE("a member writes at most twice a second for 100 teams, and a steady load needs few writes")
{
    constexpr int members = 6;
    constexpr int tenSecondsOfTicks = 100;
    Cluster cluster(members, 100, 30);
    for (const TeamId& team : cluster.teams()) {
        for (std::size_t i = 0; i < members; ++i)
            cluster.want(i, team, 20);
    }
    cluster.run(tenSecondsOfTicks);
    const int contended = cluster.writes();
    CHECK(contended <= members * 2 * 10);
    for (const TeamId& team : cluster.teams()) {
        for (std::size_t i = 0; i < members; ++i)
            cluster.want(i, team, 2);
    }
    cluster.run(5 * tenSecondsOfTicks);
    const int settled = cluster.writes();
    cluster.run(tenSecondsOfTicks);
    MESSAGE("writes in 10 s: contended " << contended << ", steady " << cluster.writes() - settled);
    CHECK(cluster.writes() - settled <= members);
}
