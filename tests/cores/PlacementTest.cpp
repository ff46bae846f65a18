#include "PlacementChecker.h"

#include <unordered_set>

using namespace quay;
using namespace quay::test;

namespace {

constexpr Instant start {};

RunningTask runningTask(const PendingWork& work, const ServerId& worker)
{
    return { work.job, work.team, work.kind, worker, work.perTask, work.declaredRunTimeMs };
}

// A fleet under random load: rounds of arrivals, placements, task ends and workers that become (un)usable.
class RandomFleet {
public:
    RandomFleet(std::uint64_t seed, PlacementPolicy policy)
        : m_choices(seed)
        , m_state(policy, seed)
        , m_workers(makeFleet(24, 4))
        , m_checker(m_workers)
    {
        m_state.setWorkers(m_workers, true);
    }

    std::vector<std::string> round()
    {
        m_now += 5s;
        endRandomTasks();
        addArrivals();
        std::unordered_map<TeamId, std::uint32_t> tokens;
        for (const auto* team : { "a", "b", "c" })
            tokens[TeamId { team }] = static_cast<std::uint32_t>(m_choices.below(30));
        const auto& changed = m_workers[m_choices.below(m_workers.size())].id;
        m_state.updateWorker(m_checker.setUsable(changed, m_choices.percent(80)));
        const auto most = static_cast<std::uint32_t>(m_choices.between(1, 60));
        const bool reservedBefore = m_state.reservation().has_value();
        const auto result = place(
            m_state, m_pending, [&](const TeamId& team) { return tokens.at(team); }, m_now, most);
        auto violations = m_checker.check(result, m_pending, tokens);
        if (!m_state.reservation() && !reservedBefore) {
            const auto idle = m_checker.checkUnplaced(result, m_pending);
            violations.insert(violations.end(), idle.begin(), idle.end());
        }
        apply(result);
        return violations;
    }

    std::size_t started = 0;

private:
    void addArrivals()
    {
        for (auto i = m_choices.below(6); i > 0; --i) {
            auto work = makeWork("j" + std::to_string(m_nextJob++), static_cast<JobKind>(m_choices.below(3)),
                { m_choices.between(0, 20'000), m_choices.between(0, 40'000),
                    m_choices.percent(20) ? m_choices.between(1, 4) : 0 },
                static_cast<std::uint32_t>(m_choices.between(1, 12)));
            work.team = TeamId { std::string(1, static_cast<char>('a' + m_choices.below(3))) };
            work.submittedAtMs = m_choices.between(0, 1000);
            work.declaredRunTimeMs = m_choices.between(0, 60'000);
            if (m_choices.percent(20))
                work.avoid.push_back(m_workers[m_choices.below(m_workers.size())].id);
            m_pending.push_back(work);
        }
    }

    void apply(const PlacementResult& result)
    {
        std::unordered_map<JobId, std::uint32_t> placed;
        for (const auto& placement : result.placements) {
            const auto it = std::find_if(m_pending.begin(), m_pending.end(),
                [&](const PendingWork& work) { return work.job == placement.job; });
            if (it == m_pending.end())
                continue;
            m_running.push_back(runningTask(*it, placement.worker));
            ++placed[it->job];
            ++started;
        }
        for (auto& work : m_pending)
            work.taskCount -= std::min(work.taskCount, placed[work.job]);
        std::erase_if(m_pending, [](const PendingWork& work) { return work.taskCount == 0; });
    }

    void endRandomTasks()
    {
        for (auto i = m_running.size() / 4; i > 0; --i) {
            const auto nth = m_choices.below(m_running.size());
            m_state.taskEnded(m_running[nth], m_now);
            m_checker.removeUsed(m_running[nth].worker, m_running[nth].amount);
            m_running.erase(m_running.begin() + static_cast<std::ptrdiff_t>(nth));
        }
    }

    SeededRandom m_choices;
    PlacementState m_state;
    std::vector<WorkerView> m_workers;
    PlacementChecker m_checker;
    std::vector<PendingWork> m_pending;
    std::vector<RunningTask> m_running;
    Instant m_now = start;
    std::uint64_t m_nextJob = 0;
};

// Counts the rounds until a gang starts while every round submits more small tasks than fit.
std::optional<unsigned> roundsUntilGangStarts(
    std::uint64_t seed, PlacementPolicy policy, const PendingWork& gang, unsigned rounds)
{
    SeededRandom choices(seed);
    PlacementState state(policy, seed);
    state.setWorkers(makeFleet(12), true);
    std::multimap<unsigned, RunningTask> ends;
    auto now = start;
    for (unsigned round = 0; round < rounds; ++round, now += 1s) {
        for (auto it = ends.begin(); it != ends.end() && it->first <= round; it = ends.erase(it))
            state.taskEnded(it->second, now);
        // Every round submits enough tasks to fill the whole fleet, so that the gang never finds it idle.
        auto small = makeWork("s" + std::to_string(round), JobKind::Batch, { 4'000, 4'096, 0 }, 200);
        small.team = TeamId { "small" };
        small.declaredRunTimeMs = choices.between(0, 1) * 5'000;
        small.submittedAtMs = round;
        std::vector<PendingWork> pending { small };
        if (round > 0)
            pending.push_back(gang);
        for (const auto& placement : place(state, pending, tokensForAll(1000), now, 1000).placements) {
            if (placement.job == gang.job)
                return round;
            const auto lasts = static_cast<unsigned>(choices.between(3, 8));
            ends.emplace(round + lasts, runningTask(small, placement.worker));
        }
    }
    return std::nullopt;
}

} // namespace

TEST_CASE("a job is placed, or reported unplaced with the right reason")
{
    struct Row {
        const char* what;
        JobKind kind;
        Resources perTask;
        std::uint32_t taskCount;
        std::uint32_t tokens;
        bool complete;
        std::size_t placed;
        ErrorKind hold;
    };
    using enum JobKind;
    using enum ErrorKind;
    // Six workers of 32 cores, 64 GB; two of them with four accelerators.
    const Row rows[] = {
        { "fits", Batch, { 1'000, 1'024, 0 }, 3, 9, true, 3, None },
        { "exactly one worker", Batch, { 32'000, 65'536, 4 }, 1, 9, true, 1, None },
        { "one core too many", Batch, { 32'001, 1, 0 }, 1, 9, true, 0, NeverRunnable },
        { "one megabyte too many", Batch, { 1, 65'537, 0 }, 1, 9, true, 0, NeverRunnable },
        { "one accelerator too many", Batch, { 1, 1, 5 }, 1, 9, true, 0, NeverRunnable },
        { "list incomplete", Batch, { 32'001, 1, 0 }, 1, 9, false, 0, NoCapacity },
        { "batch in part", Batch, { 32'000, 1, 0 }, 7, 9, true, 6, NoCapacity },
        { "gang of all", Gang, { 32'000, 1, 0 }, 6, 9, true, 6, None },
        { "gang too large", Gang, { 32'000, 1, 0 }, 7, 9, true, 0, NeverRunnable },
        { "gang of accelerators", Gang, { 1, 1, 3 }, 3, 9, true, 0, NeverRunnable },
        { "too few tokens", Batch, { 1, 1, 0 }, 4, 3, true, 3, QuotaExhausted },
        { "gang with too few tokens", Gang, { 1, 1, 0 }, 4, 3, true, 0, QuotaExhausted },
        { "no tokens", Service, { 1, 1, 0 }, 1, 0, true, 0, QuotaExhausted },
        { "asks for nothing", Gang, { 0, 0, 0 }, 4, 9, true, 4, None },
    };
    for (const auto packing : { PlacementPolicy::Packing::BestFit, PlacementPolicy::Packing::FirstFit,
             PlacementPolicy::Packing::Random }) {
        for (const auto& row : rows) {
            CAPTURE(row.what);
            PlacementPolicy policy;
            policy.packing = packing;
            PlacementState state(policy);
            state.setWorkers(makeFleet(6, 3), row.complete);
            const auto result = place(state, { makeWork("j", row.kind, row.perTask, row.taskCount) },
                tokensForAll(row.tokens), start, 100);
            CHECK(result.placements.size() == row.placed);
            CHECK((result.unplacedJobs.empty() ? None : result.unplacedJobs.front().why) == row.hold);
        }
    }
}

TEST_CASE("placements of random fleets violate no invariant")
{
    for (const auto packing : { PlacementPolicy::Packing::BestFit, PlacementPolicy::Packing::FirstFit,
             PlacementPolicy::Packing::Random }) {
        forEachSeed(20, [&](std::uint64_t seed) {
            PlacementPolicy policy;
            policy.packing = packing;
            policy.reservationDelay = 20s;
            RandomFleet fleet(seed, policy);
            for (int round = 0; round < 60; ++round)
                REQUIRE(fleet.round() == std::vector<std::string> {});
            CHECK(fleet.started > 50);
        });
    }
}

TEST_CASE("the checker detects each disabled rule")
{
    struct Row {
        bool PlacementPolicy::Rules::*rule;
        const char* finding;
    };
    const Row rows[] = {
        { &PlacementPolicy::Rules::checkMemory, "memory: " },
        { &PlacementPolicy::Rules::gangsAreAtomic, "partial gang: " },
        { &PlacementPolicy::Rules::enforceQuota, "tokens: " },
    };
    for (const auto& row : rows) {
        CAPTURE(row.finding);
        PlacementPolicy policy;
        policy.rules.*row.rule = false;
        RandomFleet fleet(1, policy);
        bool found = false;
        for (int round = 0; round < 60 && !found; ++round) {
            for (const auto& violations : fleet.round())
                found = found || violations.starts_with(row.finding);
        }
        CHECK(found);
    }
}

TEST_CASE("the checker detects an unplaced job that fits a worker")
{
    const auto fleet = makeFleet(1);
    const auto work = makeWork("j", JobKind::Batch, { 1, 1, 0 }, 1);
    const PlacementResult result { {}, { { work.job, ErrorKind::NoCapacity, "" } } };
    CHECK(PlacementChecker(fleet).checkUnplaced(result, { work })
        == std::vector<std::string> { "fits a worker: j" });
}

TEST_CASE("a gang starts within a bounded time under a continuous load of small tasks")
{
    struct Row {
        const char* what;
        JobKind kind;
        Resources perTask;
        std::uint32_t taskCount;
    };
    const Row rows[] = {
        { "gang of whole workers", JobKind::Gang, { 32'000, 65'536, 0 }, 8 },
        { "gang of halves", JobKind::Gang, { 16'000, 1'024, 0 }, 20 },
        { "one large task", JobKind::Batch, { 32'000, 65'536, 0 }, 1 },
    };
    constexpr unsigned reservationDelayRounds = 10;
    constexpr unsigned longestSmallTask = 8;
    PlacementPolicy policy;
    policy.reservationDelay = std::chrono::seconds(reservationDelayRounds);
    for (const auto& row : rows) {
        CAPTURE(row.what);
        const auto gang = makeWork("large", row.kind, row.perTask, row.taskCount);
        forEachSeed(10, [&](std::uint64_t seed) {
            const auto rounds = roundsUntilGangStarts(seed, policy, gang, 200);
            REQUIRE(rounds);
            // The reservation delay, then at most one back-fill and the small tasks that run at the same
            // time.
            CHECK(*rounds <= reservationDelayRounds + 3 * longestSmallTask);
        });
        auto without = policy;
        without.rules.reserveCapacity = false;
        CHECK_FALSE(roundsUntilGangStarts(1, without, gang, 200));
    }
}

TEST_CASE("back-fill ends before the reservation needs the worker")
{
    struct Row {
        const char* what;
        JobKind kind;
        std::int64_t runTimeMs;
        bool placed;
    };
    const Row rows[] = {
        { "ends in time", JobKind::Batch, 50'000, true },
        { "ends too late", JobKind::Batch, 150'000, false },
        { "end not known", JobKind::Batch, 0, false },
        { "service", JobKind::Service, 10, false },
    };
    for (const auto& row : rows) {
        CAPTURE(row.what);
        PlacementPolicy policy;
        policy.reservationDelay = 0s;
        PlacementState state(policy);
        state.setWorkers(makeFleet(2), true);
        auto first = makeWork("first", JobKind::Batch, { 16'000, 1, 0 }, 1);
        first.declaredRunTimeMs = 100'000;
        const auto gang = makeWork("gang", JobKind::Gang, { 32'000, 1, 0 }, 2);
        place(state, { first }, tokensForAll(9), start, 9);
        place(state, { gang }, tokensForAll(9), start, 9);
        REQUIRE(state.reservation());
        auto filler = makeWork("filler", row.kind, { 1'000, 1, 0 }, 1);
        filler.declaredRunTimeMs = row.runTimeMs;
        const auto result = place(state, { gang, filler }, tokensForAll(9), start + 10s, 9);
        CHECK(result.placements.size() == (row.placed ? 1 : 0));
    }
}

TEST_CASE("a team's tokens are reserved for its gang although small jobs would take each of them")
{
    PlacementPolicy policy;
    policy.reservationDelay = 5s;
    PlacementState state(policy);
    state.setWorkers(makeFleet(6), true);
    const auto gang = makeWork("gang", JobKind::Gang, { 1'000, 1, 0 }, 4);
    std::vector<RunningTask> running;
    auto now = start;
    for (int i = 0; i < 4; ++i) {
        running.push_back(
            runningTask(makeWork("old", JobKind::Batch, { 1'000, 1, 0 }, 1), ServerId { "w0" }));
        state.taskStarted(running.back(), now);
    }
    for (int round = 0; round < 30; ++round, now += 1s) {
        if (!running.empty() && round % 3 == 0) {
            state.taskEnded(running.front(), now);
            running.erase(running.begin());
        }
        auto small = makeWork("s" + std::to_string(round), JobKind::Batch, { 1'000, 1, 0 }, 4);
        small.submittedAtMs = 1 + round;
        const auto tokens = static_cast<std::uint32_t>(4 - running.size());
        for (const auto& placement : place(state, { small, gang }, tokensForAll(tokens), now, 9).placements) {
            if (placement.job == gang.job)
                return;
            running.push_back(runningTask(small, placement.worker));
        }
    }
    FAIL("the gang never got enough tokens");
}

// Guards against tokens that are kept for a gang which can never start: the team's other jobs waited with it.
TEST_CASE("a team's tokens are not reserved for a gang that its services leave no tokens or no workers")
{
    struct Row {
        const char* what;
        const char* teamOfServices;
        Resources service; // of each of two services on each of two workers
        std::uint32_t tokens;
        std::uint32_t gangTasks;
        Resources gang;
        bool isPlaced; // the small job
    };
    const Row rows[] = {
        { "services hold the tokens", "t", { 1'000, 1, 0 }, 2, 4, { 1'000, 1, 0 }, true },
        { "services hold the workers", "other", { 10'000, 1, 0 }, 2, 2, { 20'000, 1, 0 }, true },
        { "services hold neither", "other", { 1'000, 1, 0 }, 2, 3, { 1'000, 1, 0 }, false },
    };
    for (const auto& row : rows) {
        CAPTURE(row.what);
        PlacementPolicy policy;
        policy.reservationDelay = 5s;
        PlacementState state(policy);
        state.setWorkers(makeFleet(2), true);
        for (const auto* worker : { "w0", "w0", "w1", "w1" }) {
            auto service = makeWork("service", JobKind::Service, row.service, 1);
            service.team = TeamId { row.teamOfServices };
            state.taskStarted(runningTask(service, ServerId { worker }), start);
        }
        // One task that ends some time, so that the third gang can get its tokens.
        state.taskStarted(
            runningTask(makeWork("old", JobKind::Batch, { 1, 1, 0 }, 1), ServerId { "w0" }), start);
        const auto gang = makeWork("gang", JobKind::Gang, row.gang, row.gangTasks);
        place(state, { gang }, tokensForAll(row.tokens), start, 9);
        auto small = makeWork("small", JobKind::Batch, { 1'000, 1, 0 }, 1);
        small.submittedAtMs = 1;
        const auto result = place(state, { small, gang }, tokensForAll(row.tokens), start + 10s, 9);
        CHECK(result.placements.size() == (row.isPlaced ? 1 : 0));
    }
}

TEST_CASE("tasks are placed by the rules of their job kind")
{
    PlacementState state;
    state.setWorkers(makeFleet(24, 6), true);
    std::set<std::string> racks;
    const auto rackOf = [&](const Placement& placement) {
        return state.workers().at(*state.workers().find(placement.worker));
    };

    SUBCASE("a gang stays on one rack")
    {
        const auto result
            = place(state, { makeWork("g", JobKind::Gang, { 32'000, 1, 0 }, 5) }, tokensForAll(9), start, 9);
        REQUIRE(result.placements.size() == 5);
        for (const auto& placement : result.placements)
            racks.insert(rackOf(placement).rack);
        CHECK(racks.size() == 1);
    }
    SUBCASE("a service is spread over racks")
    {
        for (int i = 0; i < 2; ++i) {
            const auto result = place(
                state, { makeWork("s", JobKind::Service, { 1'000, 1, 0 }, 2) }, tokensForAll(9), start, 9);
            for (const auto& placement : result.placements)
                racks.insert(rackOf(placement).rack);
        }
        CHECK(racks.size() == 4);
    }
    SUBCASE("batch tasks are packed onto one worker without accelerators")
    {
        std::unordered_set<ServerId> workers;
        const auto result
            = place(state, { makeWork("b", JobKind::Batch, { 4'000, 1, 0 }, 8) }, tokensForAll(9), start, 9);
        for (const auto& placement : result.placements) {
            workers.insert(placement.worker);
            CHECK(rackOf(placement).capacity.accelerators == 0);
        }
        CHECK(workers.size() == 1);
    }
    SUBCASE("tasks without accelerators use workers with accelerators when all others are full")
    {
        const auto result = place(
            state, { makeWork("b", JobKind::Batch, { 32'000, 1, 0 }, 24) }, tokensForAll(99), start, 99);
        CHECK(result.placements.size() == 24);
    }
}

TEST_CASE("no task is placed on an unusable, avoided or removed worker")
{
    PlacementState state;
    auto fleet = makeFleet(2);
    fleet[0].usable = false;
    state.setWorkers(fleet, true);
    auto work = makeWork("j", JobKind::Batch, { 1, 1, 0 }, 1);
    work.avoid = { fleet[1].id };
    CHECK(
        place(state, { work }, tokensForAll(9), start, 9).unplacedJobs.front().why == ErrorKind::NoCapacity);
    work.avoid.clear();
    CHECK(place(state, { work }, tokensForAll(9), start, 9).placements.front().worker == fleet[1].id);
    state.removeWorker(fleet[1].id);
    CHECK(place(state, { work }, tokensForAll(9), start, 9).placements.empty());
    fleet[0].usable = true;
    state.updateWorker(fleet[0]);
    CHECK(place(state, { work }, tokensForAll(9), start, 9).placements.front().worker == fleet[0].id);
}

TEST_CASE("usage reports can only raise the charged resources")
{
    struct Row {
        Resources declared, before, reported, counted;
    };
    const Row rows[] = {
        { { 100, 200, 1 }, { 100, 200, 1 }, { 50, 300, 0 }, { 100, 300, 1 } },
        { { 100, 200, 1 }, { 100, 300, 1 }, { 50, 250, 0 }, { 100, 300, 1 } },
        { { 100, 200, 0 }, {}, {}, { 100, 200, 0 } },
    };
    for (const auto& row : rows)
        CHECK(countedUsage(row.declared, row.before, row.reported) == row.counted);
}
