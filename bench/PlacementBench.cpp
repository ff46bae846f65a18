#include "quay/core/Placement.h"

#include <algorithm>
#include <array>
#include <benchmark/benchmark.h>
#include <cmath>
#include <random>
#include <set>

using namespace quay;

namespace {

constexpr std::size_t teamCount = 100;
constexpr std::size_t heavyTeamCount = 5;
constexpr std::size_t runningAtDesignSize = 11'000; // running tasks on designWorkers workers
constexpr std::int64_t designWorkers = 1'900;
constexpr std::size_t workersPerRack = 6;
constexpr std::size_t acceleratorEvery = 10; // one worker in ten has accelerators
constexpr std::int64_t acceleratorsPerWorker = 4;
constexpr std::size_t endsPerRound = 50;

struct Policies {
    const char* name;
    PlacementPolicy::Sharing sharing;
    PlacementPolicy::Packing packing;
};

constexpr Policies policies[] = {
    { "FairShare+BestFit", PlacementPolicy::Sharing::FairShare, PlacementPolicy::Packing::BestFit },
    { "Fifo+FirstFit", PlacementPolicy::Sharing::Fifo, PlacementPolicy::Packing::FirstFit },
    { "Fifo+Random", PlacementPolicy::Sharing::Fifo, PlacementPolicy::Packing::Random },
};

PlacementPolicy policyOf(const Policies& chosen)
{
    PlacementPolicy policy;
    policy.packing = chosen.packing;
    policy.sharing = chosen.sharing;
    return policy;
}

std::vector<WorkerView> makeFleet(std::size_t count)
{
    std::vector<WorkerView> workers(count);
    for (std::size_t i = 0; i < count; ++i) {
        workers[i].id = ServerId { "w" + std::to_string(i) };
        workers[i].rack = "r" + std::to_string(i / workersPerRack);
        workers[i].capacity = { 32'000, 65'536, i % acceleratorEvery == 0 ? acceleratorsPerWorker : 0 };
    }
    return workers;
}

// A failure domain under load: a backlog of batch jobs of 100 teams and a fixed number of running tasks. In
// each round some tasks end, new jobs arrive and one call of place() fills the freed capacity.
class Domain {
public:
    Domain(const Policies& chosen, std::size_t workerCount, bool saturated)
        : m_random(workerCount)
        , m_state(policyOf(chosen), workerCount)
        , m_targetRunning(saturated ? SIZE_MAX : runningAtDesignSize * workerCount / designWorkers)
    {
        m_state.setWorkers(makeFleet(workerCount), true);
        addPendingJobs();
        placeUntilFull();
    }

    std::size_t running() const { return m_running.size(); }

    void endRandomTasks()
    {
        m_now += std::chrono::milliseconds(500);
        for (std::size_t i = 0; i < endsPerRound && !m_running.empty(); ++i) {
            const auto nth = m_random() % m_running.size();
            std::swap(m_running[nth], m_running.back());
            m_state.taskEnded(m_running.back(), m_now);
            m_running.pop_back();
        }
    }

    PlacementResult callPlace()
    {
        const auto most
            = std::min<std::size_t>(m_targetRunning - std::min(m_targetRunning, m_running.size()), 1'000);
        return place(
            m_state, m_pending, [](const TeamId&) { return 1'000U; }, m_now,
            static_cast<std::uint32_t>(most));
    }

    void apply(const PlacementResult& result)
    {
        for (const auto& placement : result.placements) {
            auto& work = *std::find_if(m_pending.begin(), m_pending.end(),
                [&](const PendingWork& it) { return it.job == placement.job; });
            m_running.push_back({ work.job, work.team, work.kind, placement.worker, work.perTask, 0 });
            --work.taskCount;
        }
        std::erase_if(m_pending, [](const PendingWork& work) { return work.taskCount == 0; });
        addPendingJobs();
    }

    void report(benchmark::State& bench) const
    {
        const auto& index = m_state.workers();
        std::size_t workersInUse = 0;
        std::int64_t stranded = 0;
        for (std::uint32_t worker = 0; worker < index.size(); ++worker) {
            const auto& view = index.at(worker);
            workersInUse += view.used == Resources {} ? 0 : 1;
            // A free accelerator is stranded if its worker lacks the cpu or memory that a task with an
            // accelerator needs.
            const auto room = view.free();
            if (room.cpuMilli < 2'000 || room.memoryMb < 4'096)
                stranded += room.accelerators;
        }
        bench.counters["workersUsed"] = static_cast<double>(workersInUse);
        bench.counters["strandedAccel"] = static_cast<double>(stranded);
        bench.counters["running"] = static_cast<double>(m_running.size());
    }

    // Adds each team's current dominant share to its sum over the rounds.
    void sampleShares()
    {
        for (std::size_t team = 0; team < teamCount; ++team) {
            const auto held = m_state.usageOf(teamName(team)).running;
            m_shares[team]
                += dominantShare({ static_cast<double>(held.cpuMilli), static_cast<double>(held.memoryMb),
                                     static_cast<double>(held.accelerators) },
                    m_state.workers().totalCapacity());
        }
    }

    // Half the sum of the differences between each team's fraction of the usage and an equal fraction: the
    // part of the usage that went to the wrong teams.
    double shareError() const
    {
        double total = 0;
        for (const auto share : m_shares)
            total += share;
        double error = 0;
        for (const auto share : m_shares)
            error += std::abs(share / total - 1.0 / teamCount) / 2;
        return error;
    }

private:
    static TeamId teamName(std::size_t team) { return TeamId { "team" + std::to_string(team) }; }

    // Every team always has a pending job, so equal shares are possible; a few teams submit far more.
    void addPendingJobs()
    {
        std::set<std::string> waiting;
        for (const auto& work : m_pending)
            waiting.insert(work.team.text);
        for (std::size_t team = 0; team < teamCount; ++team) {
            if (!waiting.contains(teamName(team).text))
                addJob(team);
        }
        while (m_pending.size() < 2 * teamCount)
            addJob(m_random() % heavyTeamCount);
    }

    void addJob(std::size_t team)
    {
        PendingWork work;
        work.team = teamName(team);
        work.job = JobId { "j" + std::to_string(m_nextJob++) };
        work.taskCount = 1 + static_cast<std::uint32_t>(m_random() % 20);
        work.submittedAtMs = static_cast<std::int64_t>(m_nextJob);
        const auto scale = static_cast<std::int64_t>(1 + m_random() % 4);
        work.perTask = { scale * 1'000, static_cast<std::int64_t>(1 + m_random() % 6) * 1'024, 0 };
        if (m_random() % 20 == 0)
            work.perTask.accelerators = 1;
        m_pending.push_back(std::move(work));
    }

    void placeUntilFull()
    {
        for (int round = 0; round < 400 && m_running.size() < m_targetRunning; ++round) {
            const auto result = callPlace();
            apply(result);
            if (result.placements.empty())
                break;
        }
    }

    std::mt19937_64 m_random;
    PlacementState m_state;
    std::size_t m_targetRunning;
    std::vector<PendingWork> m_pending;
    std::vector<RunningTask> m_running;
    std::uint64_t m_nextJob = 0;
    std::array<double, teamCount> m_shares {};
    Instant m_now {};
};

// Arguments: policy, workers, 1 if the fleet is full (else running tasks in proportion to the design size).
// Only place() is timed; the counter `decisions` is placements per second of that time.
void placeInDomain(benchmark::State& bench)
{
    const auto& chosen = policies[bench.range(0)];
    Domain domain(chosen, static_cast<std::size_t>(bench.range(1)), bench.range(2) == 1);
    std::int64_t placements = 0;
    for (auto step : bench) {
        (void)step;
        bench.PauseTiming();
        domain.endRandomTasks();
        bench.ResumeTiming();
        auto result = domain.callPlace();
        benchmark::DoNotOptimize(result);
        bench.PauseTiming();
        placements += static_cast<std::int64_t>(result.placements.size());
        domain.apply(result);
        domain.sampleShares();
        bench.ResumeTiming();
    }
    bench.SetLabel(chosen.name);
    bench.counters["decisions"]
        = benchmark::Counter(static_cast<double>(placements), benchmark::Counter::kIsRate);
    bench.counters["shareError"] = domain.shareError();
    domain.report(bench);
}

BENCHMARK(placeInDomain)
    ->ArgsProduct({ { 0, 1, 2 }, { 80, 475, 950, 1'900 }, { 0, 1 } })
    ->ArgNames({ "policy", "workers", "full" })
    ->Iterations(500)
    ->Unit(benchmark::kMicrosecond);

// One call with a backlog that can't be placed, because the fleet is full.
void holdBacklog(benchmark::State& bench)
{
    PlacementState state;
    state.setWorkers(makeFleet(static_cast<std::size_t>(bench.range(0))), true);
    std::vector<PendingWork> pending;
    for (std::int64_t i = 0; i < bench.range(1); ++i) {
        PendingWork work;
        work.job = JobId { "j" + std::to_string(i) };
        work.team = TeamId { "team" + std::to_string(static_cast<std::size_t>(i) % teamCount) };
        work.kind = i % 100 == 99 ? JobKind::Gang : JobKind::Batch;
        work.perTask = { 32'000, 1'024, 0 };
        work.taskCount = work.kind == JobKind::Gang ? 20 : 1;
        work.submittedAtMs = i;
        pending.push_back(std::move(work));
    }
    const auto tokens = [](const TeamId&) { return 100'000U; };
    PendingWork filler;
    filler.job = JobId { "filler" };
    filler.perTask = { 16'000, 1'024, 0 };
    filler.taskCount = static_cast<std::uint32_t>(bench.range(0));
    place(state, { filler }, tokens, {}, 100'000);
    place(state, { filler }, tokens, {}, 100'000);
    for (auto step : bench) {
        (void)step;
        auto result = place(state, pending, tokens, {}, 1'000);
        benchmark::DoNotOptimize(result);
    }
}

BENCHMARK(holdBacklog)
    ->ArgsProduct({ { 80, 1'900 }, { 1'000, 10'000 } })
    ->ArgNames({ "workers", "jobs" })
    ->Unit(benchmark::kMicrosecond);

// Places a gang whose tasks fill whole workers on an idle fleet and releases it again.
void placeGang(benchmark::State& bench)
{
    PlacementState state;
    state.setWorkers(makeFleet(static_cast<std::size_t>(bench.range(0))), true);
    PendingWork gang;
    gang.job = JobId { "gang" };
    gang.kind = JobKind::Gang;
    gang.perTask = { 32'000, 1'024, 0 };
    gang.taskCount = 24;
    for (auto step : bench) {
        (void)step;
        const auto result = place(
            state, { gang }, [](const TeamId&) { return 100U; }, {}, 100);
        for (const auto& placement : result.placements)
            state.taskEnded({ gang.job, gang.team, gang.kind, placement.worker, gang.perTask, 0 }, {});
    }
}

BENCHMARK(placeGang)->ArgName("workers")->Arg(80)->Arg(475)->Arg(950)->Arg(1'900)->Unit(
    benchmark::kMicrosecond);

} // namespace
