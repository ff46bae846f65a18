#include "quay/core/InteractiveRouter.h"

#include <benchmark/benchmark.h>

using namespace quay;

namespace {

constexpr std::uint32_t slotsPerExecutor = 8;

RouterState makeBenchRouter(std::int64_t executors, RoutingPolicy policy)
{
    RouterSettings settings;
    settings.policy = policy;
    RouterState state = makeRouter(settings);
    std::vector<ExecutorInfo> infos;
    for (std::int64_t i = 0; i < executors; ++i)
        infos.push_back({ ServerId { "x" + std::to_string(i) }, slotsPerExecutor, false });
    setExecutors(state, infos);
    return state;
}

// Each iteration enqueues and dispatches one request and answers the oldest one, at 70 % load.
void benchDecision(benchmark::State& bench, RoutingPolicy policy)
{
    RouterState state = makeBenchRouter(bench.range(0), policy);
    std::mt19937_64 rng(1);
    const Instant now {};
    const auto load = static_cast<std::size_t>(bench.range(0) * slotsPerExecutor * 7 / 10);
    std::vector<ServerId> running(load);
    std::uint64_t id = 0;
    for (auto it : bench) {
        enqueueRequest(state, { ++id, TeamId { "clinic" }, now + 10s }, now);
        const DispatchResult result = dispatch(state, now, rng);
        ServerId& oldest = running[id % load];
        if (!oldest.empty())
            onAnswer(state, oldest, true, std::chrono::milliseconds(10 + id % 20));
        oldest = result.dispatches.front().executor;
    }
    bench.SetItemsProcessed(bench.iterations());
}

BENCHMARK_CAPTURE(benchDecision, twoChoices, RoutingPolicy::TwoChoices)->Arg(50)->Arg(2000);
BENCHMARK_CAPTURE(benchDecision, random, RoutingPolicy::Random)->Arg(50)->Arg(2000);
BENCHMARK_CAPTURE(benchDecision, firstFit, RoutingPolicy::FirstFit)->Arg(50)->Arg(2000);

} // namespace
