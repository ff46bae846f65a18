#include "PlacementChecker.h"

#include <cmath>

using namespace quay;
using namespace quay::test;

namespace {

constexpr Instant start {};
constexpr std::size_t teamCount = 6;
constexpr double weights[teamCount] = { 30, 25, 15, 15, 10, 5 };

TeamId makeTeamId(std::size_t team) { return TeamId { "team" + std::to_string(team) }; }

// Simulates a full fleet on which six teams each submit more work than their share. Returns the largest
// difference, over the teams, between the configured share and the mean fraction of the resources held by all
// teams. With `offRounds`, team 0 alternates between submitting work and no work, each for that many rounds.
double maxShareError(std::uint64_t seed, PlacementPolicy policy, int offRounds = 0)
{
    SeededRandom choices(seed);
    PlacementState state(policy, seed);
    const auto fleet = makeFleet(50);
    state.setWorkers(fleet, true);
    for (std::size_t team = 0; team < teamCount; ++team)
        state.setWeight(makeTeamId(team), weights[team]);
    constexpr int rounds = 400;
    constexpr int warmUpRounds = 60;
    std::multimap<int, RunningTask> ends;
    std::vector<PendingWork> pending;
    double held[teamCount] = {};
    auto now = start;
    for (int round = 0; round < rounds; ++round, now += 10s) {
        for (auto it = ends.begin(); it != ends.end() && it->first <= round; it = ends.erase(it))
            state.taskEnded(it->second, now);
        const bool off = offRounds != 0 && round / offRounds % 2 == 1;
        if (off)
            std::erase_if(pending, [](const PendingWork& work) { return work.team == makeTeamId(0); });
        for (std::size_t team = off ? 1 : 0; team < teamCount; ++team) {
            // The smaller the team's share, the more jobs it submits, as in a burst of late submissions.
            for (std::size_t job = 0; job <= team && pending.size() < 300; ++job) {
                auto work
                    = makeWork(std::to_string(round) + "-" + std::to_string(team) + "-" + std::to_string(job),
                        JobKind::Batch, { choices.between(1, 8) * 1000, choices.between(1, 8) * 1024, 0 },
                        static_cast<std::uint32_t>(choices.between(20, 40)));
                work.team = makeTeamId(team);
                work.submittedAtMs = round;
                pending.push_back(work);
            }
        }
        for (const auto& placement : place(state, pending, tokensForAll(10'000), now, 10'000).placements) {
            auto& work = *std::find_if(pending.begin(), pending.end(),
                [&](const PendingWork& it) { return it.job == placement.job; });
            --work.taskCount;
            ends.emplace(round + static_cast<int>(choices.between(3, 30)),
                RunningTask { work.job, work.team, work.kind, placement.worker, work.perTask, 0 });
        }
        std::erase_if(pending, [](const PendingWork& work) { return work.taskCount == 0; });
        for (std::size_t team = 0; team < teamCount && round >= warmUpRounds; ++team) {
            const auto running = state.usageOf(makeTeamId(team)).running;
            held[team] += dominantShare(
                { static_cast<double>(running.cpuMilli), static_cast<double>(running.memoryMb), 0 },
                state.workers().totalCapacity());
        }
    }
    double total = 0;
    for (const auto part : held)
        total += part;
    double worst = 0;
    for (std::size_t team = 0; team < teamCount; ++team)
        worst = std::max(worst, std::abs(held[team] / total - weights[team] / 100));
    return worst;
}

} // namespace

TEST_CASE("each of six teams gets its configured share of a full fleet")
{
    forEachSeed(3, [](std::uint64_t seed) {
        PlacementPolicy policy;
        const auto fair = maxShareError(seed, policy);
        policy.sharing = PlacementPolicy::Sharing::Fifo;
        const auto fifo = maxShareError(seed, policy);
        MESSAGE("seed " << seed << ": largest share error " << fair << ", FIFO " << fifo);
        CHECK(fair < 0.05);
        CHECK(fifo > 0.05); // shows that the measure detects unfairness
    });
}

TEST_CASE("past usage brings a team with intermittent work nearer to its share")
{
    forEachSeed(3, [](std::uint64_t seed) {
        constexpr int offRounds = 30;
        PlacementPolicy policy;
        const auto withPast = maxShareError(seed, policy, offRounds);
        policy.usageHalfLife = 0s;
        const auto presentOnly = maxShareError(seed, policy, offRounds);
        MESSAGE("seed " << seed << ": share error " << withPast << ", without past usage " << presentOnly);
        CHECK(withPast < presentOnly);
    });
}

TEST_CASE("the usage average moves halfway to the current usage with each half-life")
{
    struct Row {
        int halfLives;
        double expected;
    };
    const Row rows[] = { { 0, 0 }, { 1, 500 }, { 2, 750 }, { 3, 875 } };
    for (const auto& row : rows) {
        const auto usage = withTasksStarted({}, { 1'000, 0, 0 }, 1, 10s, start);
        CHECK(averageAt(usage, 10s, start + row.halfLives * 10s).cpuMilli == doctest::Approx(row.expected));
        const auto ended = withTasksEnded(withTasksStarted({}, { 1'000, 0, 0 }, 1, 10s, start),
            { 1'000, 0, 0 }, 1, 10s, start + row.halfLives * 10s);
        CHECK(averageAt(ended, 10s, start + row.halfLives * 10s + 10s).cpuMilli
            == doctest::Approx(row.expected / 2));
        CHECK(ended.runningTasks == 0);
    }
}

TEST_CASE("the team furthest below its share is served first")
{
    struct Row {
        const char* what;
        Resources heldByA, heldByB;
        double weightA;
        const char* first;
    };
    const Row rows[] = {
        { "less cpu", { 1'000, 0, 0 }, { 2'000, 0, 0 }, 1, "a" },
        { "more memory than the other has cpu", { 0, 60'000, 0 }, { 8'000, 0, 0 }, 1, "b" },
        { "twice the weight", { 3'000, 0, 0 }, { 2'000, 0, 0 }, 2, "a" },
        { "one of few accelerators", { 0, 0, 1 }, { 8'000, 0, 0 }, 1, "b" },
    };
    for (const auto& row : rows) {
        CAPTURE(row.what);
        PlacementState state;
        state.setWorkers(makeFleet(2, 2), true);
        state.setWeight(TeamId { "a" }, row.weightA);
        state.charge(TeamId { "a" }, row.heldByA, start);
        state.charge(TeamId { "b" }, row.heldByB, start);
        auto a = makeWork("a", JobKind::Batch, { 1, 1, 0 }, 1);
        auto b = makeWork("b", JobKind::Batch, { 1, 1, 0 }, 1);
        a.team = TeamId { "a" };
        b.team = TeamId { "b" };
        const auto result = place(state, { a, b }, tokensForAll(9), start, 1);
        REQUIRE(result.placements.size() == 1);
        CHECK(result.placements.front().job.text == row.first);
    }
}

TEST_CASE("a single team can use the whole fleet")
{
    PlacementState state;
    state.setWorkers(makeFleet(2), true);
    state.setWeight(TeamId { "t" }, 0.01);
    const auto result
        = place(state, { makeWork("j", JobKind::Batch, { 8'000, 1, 0 }, 8) }, tokensForAll(99), start, 99);
    CHECK(result.placements.size() == 8);
}
