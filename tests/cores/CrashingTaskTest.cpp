#include "FleetSimulation.h"

#include <doctest/doctest.h>

// Tasks that crash each executor that starts them.
using namespace quay;
using namespace quay::fleet;
using namespace quay::fleet::test;

TEST_CASE(
    "a task that crashes each executor that starts it is not started three times more after three crashes")
{
    constexpr int maxStarts = 5;
    constexpr auto crashDelay = 10ms;
    constexpr auto downTime = 3s;
    const std::string job = "00000000000000aa";
    FleetSimulation simulation(1, 4);
    simulation.hasIdleCommits = true;
    simulation.behaviour = [](const TaskRef&, int) {
        FakeRun run;
        run.endsAt = Instant::max();
        return run;
    };
    simulation.run(100ms);
    simulation.submit(jobOf(job, 1));
    for (int i = 0; i < 400; ++i) {
        simulation.run(crashDelay);
        for (auto& [id, executor] : simulation.executors) {
            if (executor.isUp && !executor.running.empty()) {
                simulation.crash(id);
                simulation.run(downTime);
                simulation.restart(id);
            }
        }
    }
    CHECK(simulation.startedRuns <= maxStarts);
}
