#include "SeededRandom.h"

#include "quay/core/QuotaGrants.h"

#include <deque>
#include <memory>

using namespace quay;
using quay::test::forEachSeed;
using quay::test::SeededRandom;

namespace {

const DomainId domain { "north" };
constexpr Duration leaseLength = 3s;
constexpr Duration maxDeadline = 5s;

/** Work running on a backend server. It continues if the member that started it fails. */
struct WorkUnit {
    TeamId team;
    MemberId owner; // member in whose grant the unit counts
    MemberId inheritedFrom; // empty if the owner started it
    bool durable = false;
    Instant end;
};

struct Message {
    MemberId from;
    QuotaAction request;
};

struct Answer {
    MemberId to;
    QuotaEvent event;
};

struct Member {
    QuotaState state;
    std::unique_ptr<TeamTokens> tokens = std::make_unique<TeamTokens>();
    Instant leaseUntil;
    bool dead = false;
    bool paused = false;
};

/** Seeded simulation of members, a store and their messages, with faults; each step is one random event. */
class Simulation {
public:
    Simulation(std::uint64_t seed, QuotaRules rules)
        : m_choices(seed)
        , m_rules(rules)
    {
        for (int i = 0; i < 3; ++i)
            addMember();
        configure();
    }

    /** Runs steps until the invariant is violated; returns the violation, or an empty string. */
    std::string run(int steps)
    {
        for (int i = 0; i < steps; ++i) {
            runStep();
            std::string found = findViolation();
            if (!found.empty())
                return found + " at step " + std::to_string(i);
        }
        return {};
    }

    /** Runs rounds in which all members are resumed, all messages are delivered and all members tick. */
    void runWithoutFaults(int rounds)
    {
        addMember(); // the leases of all others may have expired
        for (int i = 0; i < rounds; ++i) {
            m_now += 100ms;
            for (auto& [id, member] : m_members)
                member.paused = false;
            renewLeases();
            removeExpiredMembers();
            endWork();
            for (auto& [id, member] : m_members) {
                deliverRoster(id);
                feed(id, QuotaTick { member.tokens->takeUsage() });
            }
            while (!m_requests.empty() || !m_answers.empty()) {
                while (!m_requests.empty())
                    processRequest(false);
                while (!m_answers.empty())
                    deliverAnswer();
            }
        }
    }

    void stopConfiguring() { m_mayConfigure = false; }

    void endAllWork()
    {
        for (auto& [id, member] : m_members)
            member.paused = false;
        for (std::size_t i = m_units.size(); i-- > 0;)
            endUnit(i);
    }
    const std::map<TeamId, QuotaRow>& rows() const { return m_rows; }
    int writes() const { return m_writes; }
    int inherits() const { return m_inherits; }

    std::string findViolation() const
    {
        std::map<TeamId, std::int64_t> running;
        for (const WorkUnit& unit : m_units)
            ++running[unit.team];
        for (const auto& [id, count] : running) {
            const auto row = m_rows.find(id);
            if (row == m_rows.end() || count > row->second.record.limit)
                return "team " + id.text + " runs more than its limit";
        }
        for (const auto& [id, row] : m_rows) {
            if (totalGranted(row.record) > row.record.limit)
                return "team " + id.text + " has grants above its limit";
        }
        return {};
    }

private:
    void addMember()
    {
        ++m_epoch;
        const MemberId id { "vm-" + std::to_string(m_epoch) + "#1" };
        QuotaSettings settings;
        settings.self = id;
        settings.domain = domain;
        settings.joinEpoch = m_epoch;
        settings.maxRequestDeadline = maxDeadline;
        settings.rules = m_rules;
        Member member;
        member.state = makeQuotaState(settings);
        member.leaseUntil = m_now + leaseLength;
        member.tokens->extendLease(member.leaseUntil);
        m_roster.insert(id);
        m_members.emplace(id, std::move(member));
    }

    void renewLeases()
    {
        for (const MemberId& id : m_roster) {
            Member& member = m_members.at(id);
            if (member.dead || member.paused)
                continue;
            member.leaseUntil = m_now + leaseLength;
            member.tokens->extendLease(member.leaseUntil);
        }
    }

    void removeExpiredMembers()
    {
        const auto isExpired = [&](const MemberId& id) { return m_members.at(id).leaseUntil < m_now; };
        if (std::erase_if(m_roster, isExpired) > 0)
            ++m_epoch;
    }

    void configure()
    {
        ++m_configVersion;
        for (const char* name : { "clinic", "agents" })
            m_targets[TeamId { name }] = { m_choices.between(0, 12), m_configVersion };
    }

    MemberId anyMember()
    {
        auto it = m_members.begin();
        std::advance(it, m_choices.below(m_members.size()));
        return it->first;
    }

    TeamId anyTeam() { return TeamId { m_choices.percent(60) ? "clinic" : "agents" }; }

    void feed(const MemberId& id, const QuotaEvent& event)
    {
        Member& member = m_members.at(id);
        if (member.dead || member.paused)
            return;
        for (const QuotaAction& action : step(member.state, event, m_now))
            perform(id, action);
    }

    void perform(const MemberId& id, const QuotaAction& action)
    {
        Member& member = m_members.at(id);
        if (const auto* grant = std::get_if<SetTeamGrant>(&action))
            member.tokens->setGranted(grant->team, grant->units);
        else if (const auto* lower = std::get_if<ReduceTeamGrants>(&action))
            reduceGrants(id, *lower);
        else if (std::holds_alternative<FenceTokens>(action))
            member.tokens->fence();
        else if (const auto* count = std::get_if<CountInheritedWork>(&action))
            countInherited(id, *count);
        else
            m_requests.push_back({ id, action });
    }

    void reduceGrants(const MemberId& id, const ReduceTeamGrants& lower)
    {
        QuotaGrantsReduced reduced;
        for (const auto& [team, target] : lower.targets)
            reduced.remaining[team] = m_members.at(id).tokens->reduceTo(team, target);
        feed(id, reduced);
    }

    void countInherited(const MemberId& id, const CountInheritedWork& count)
    {
        ++m_inherits;
        std::int64_t units = 0;
        for (WorkUnit& unit : m_units) {
            if (units == count.units || unit.team != count.team || !unit.durable
                || m_roster.contains(unit.owner))
                continue;
            unit.owner = id;
            unit.inheritedFrom = count.from;
            ++units;
        }
        feed(id, QuotaWorkCounted { count.team, count.from, units });
    }

    void startWork()
    {
        const MemberId id = anyMember();
        Member& member = m_members.at(id);
        const TeamId team = anyTeam();
        if (member.dead || member.paused || !member.tokens->tryAcquire(team, 1, m_now))
            return;
        m_units.push_back({ team, id, {}, m_choices.percent(30),
            m_now + std::chrono::milliseconds(m_choices.between(1, toMilliseconds(maxDeadline))) });
    }

    void endUnit(std::size_t index)
    {
        const WorkUnit unit = m_units[index];
        m_units.erase(m_units.begin() + static_cast<std::ptrdiff_t>(index));
        Member& member = m_members.at(unit.owner);
        if (member.dead)
            return;
        if (unit.inheritedFrom.empty())
            member.tokens->release(unit.team, 1);
        else
            feed(unit.owner, QuotaWorkEnded { unit.team, unit.inheritedFrom, 1 });
    }

    void endWork()
    {
        for (std::size_t i = m_units.size(); i-- > 0;) {
            const bool mayEnd = m_units[i].durable ? m_choices.percent(2) : m_units[i].end <= m_now;
            if (mayEnd && (!m_units[i].durable || !m_members.at(m_units[i].owner).paused))
                endUnit(i);
        }
    }

    void processRequest(bool withFaults)
    {
        const std::size_t index = m_choices.below(m_requests.size());
        const Message message = m_requests[index];
        const bool loseAnswer = withFaults && m_choices.percent(15);
        const bool isDelayed = withFaults && m_choices.percent(10);
        if (isDelayed) // the client times out; the request stays queued and may take effect later
            return timeOutRequest(message);
        m_requests.erase(m_requests.begin() + static_cast<std::ptrdiff_t>(index));
        if (withFaults && m_choices.percent(8))
            return timeOutRequest(message);
        const QuotaEvent event = apply(message.request);
        if (loseAnswer)
            return timeOutRequest(message);
        m_answers.push_back({ message.from, event });
    }

    void timeOutRequest(const Message& message)
    {
        const auto* read = std::get_if<ReadQuotaRows>(&message.request);
        const std::uint64_t id = read ? read->requestId : std::get<WriteQuotaRows>(message.request).requestId;
        m_answers.push_back({ message.from, QuotaRequestTimedOut { id } });
    }

    QuotaEvent apply(const QuotaAction& request)
    {
        if (const auto* read = std::get_if<ReadQuotaRows>(&request)) {
            QuotaRowsRead answer { read->requestId, {} };
            for (const auto& [id, row] : m_rows)
                answer.rows.push_back(row);
            return answer;
        }
        const auto& write = std::get<WriteQuotaRows>(request);
        for (const QuotaPut& put : write.puts) {
            const auto row = m_rows.find(put.team);
            if ((row == m_rows.end() ? 0 : row->second.version) != put.checkVersion)
                return QuotaWriteConflict { write.requestId };
        }
        ++m_version;
        ++m_writes;
        for (const QuotaPut& put : write.puts)
            m_rows[put.team] = { put.team, m_version, put.record };
        return QuotaWriteDone { write.requestId, m_version };
    }

    void deliverAnswer()
    {
        const Answer answer = m_answers.front();
        m_answers.pop_front();
        if (m_members.at(answer.to).paused)
            m_answers.push_back(answer); // stays in the socket buffer while the process is paused
        else
            feed(answer.to, answer.event);
    }

    void deliverRoster(const MemberId& id)
    {
        const bool isLeader = !m_roster.empty() && *m_roster.begin() == id;
        feed(id, QuotaRosterUpdated { { m_epoch, m_roster, isLeader } });
        for (const auto& [team, limit] : m_targets)
            feed(id, QuotaLimitConfigured { team, limit });
    }

    void crashOrPauseMember()
    {
        const MemberId id = anyMember();
        Member& member = m_members.at(id);
        if (m_choices.percent(30) && m_members.size() < 8) {
            member.dead = true;
            addMember();
        } else {
            member.paused = !member.paused;
        }
    }

    void runStep()
    {
        m_now += std::chrono::milliseconds(m_choices.between(1, 60));
        endWork();
        if (m_choices.percent(30))
            renewLeases();
        removeExpiredMembers();
        const std::size_t kind = m_choices.below(100);
        if (kind < 25)
            startWork();
        else if (kind < 50)
            tick();
        else if (kind < 70 && !m_requests.empty() && m_now >= m_outageUntil)
            processRequest(true);
        else if (kind < 90 && !m_answers.empty())
            deliverAnswer();
        else if (kind < 96)
            deliverRoster(anyMember());
        else if (kind < 97 && m_mayConfigure)
            configure();
        else if (kind < 98)
            m_outageUntil = m_now + std::chrono::milliseconds(m_choices.between(0, 4000));
        else if (kind < 99)
            crashOrPauseMember();
    }

    void tick()
    {
        const MemberId id = anyMember();
        feed(id, QuotaTick { m_members.at(id).tokens->takeUsage() });
    }

    SeededRandom m_choices;
    QuotaRules m_rules;
    Instant m_now;
    Instant m_outageUntil;
    std::map<MemberId, Member> m_members;
    std::set<MemberId> m_roster;
    std::uint64_t m_epoch = 0;
    std::map<TeamId, ConfiguredLimit> m_targets;
    std::uint64_t m_configVersion = 0;
    bool m_mayConfigure = true;
    std::map<TeamId, QuotaRow> m_rows;
    std::uint64_t m_version = 0;
    std::vector<Message> m_requests;
    std::deque<Answer> m_answers;
    std::vector<WorkUnit> m_units;
    int m_writes = 0;
    int m_inherits = 0;
};

constexpr std::uint64_t seeds = 40;
constexpr std::uint64_t mutationSeeds = 300;
constexpr int steps = 3000;

} // namespace

TEST_CASE("no team ever runs more units than its effective limit, and lowered limits take effect")
{
    int writes = 0;
    int inherits = 0;
    forEachSeed(seeds, [&](std::uint64_t seed) {
        Simulation simulation(seed, QuotaRules {});
        const std::string found = simulation.run(steps);
        INFO(found);
        REQUIRE(found.empty());
        simulation.stopConfiguring();
        simulation.endAllWork();
        simulation.runWithoutFaults(400);
        REQUIRE(simulation.findViolation().empty());
        for (const auto& [team, row] : simulation.rows())
            CHECK(isTargetEffective(row.record));
        writes += simulation.writes();
        inherits += simulation.inherits();
    });
    CHECK(writes > 0);
    CHECK(inherits > 0);
}

TEST_CASE("the invariant check detects each disabled protocol rule")
{
    struct Row {
        const char* name;
        QuotaRules rules;
    };
    const Row rows[] = {
        { "units used before the write is confirmed", { .spendAfterConfirm = false } },
        { "units returned after the write", { .returnBeforeWrite = false } },
        { "unanswered writes treated as failed", { .trackUnansweredWrites = false } },
        { "inherited grant treated as unused", { .countInheritedAsUsed = false } },
    };
    for (const Row& row : rows) {
        CAPTURE(row.name);
        std::uint64_t found = 0;
        for (std::uint64_t seed = 1; seed <= mutationSeeds && found == 0; ++seed) {
            if (!Simulation(seed, row.rules).run(steps).empty())
                found = seed;
        }
        MESSAGE(std::string(row.name) << ": found with seed " << found);
        CHECK(found != 0);
    }
}
