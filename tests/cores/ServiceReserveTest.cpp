#include "StepWork.h"

#include <doctest/doctest.h>

// The share of a service's CPU that is kept for urgent steps, and the steps that it is kept from.
using namespace quay;
using namespace quay::fleet;
using namespace quay::fleet::test;

namespace {

const std::string activeJob = "00000000000000a1";
const std::string batchJob = "00000000000000a2";
const std::string urgentJob = "00000000000000a3";

} // namespace

// Guards against the cause of review/8 on another path: a share that is kept for urgent steps although what
// occupies the rest never ends.
TEST_CASE("the share of a service that is kept for urgent steps stops no step for ever")
{
    struct Row {
        const char* name;
        bool isActiveLongRunning;
        int activeTasks; // of a core each
        const char* batchLabel;
        bool isBatchRunning;
    };
    // Five executors of 8 cores with the label "a", and one of 2 cores with the label "b".
    const Row rows[] = {
        { "long-running tasks hold the rest", true, 40, "", true },
        { "tasks that end hold the rest", false, 40, "", false },
        { "tasks that end hold the executors of another label", false, 40, "b", true },
        { "an empty service", false, 1, "", true },
    };
    for (const auto& row : rows) {
        CAPTURE(std::string(row.name));
        FleetSimulation simulation(3, 6);
        simulation.configuration.queues = { queueOf("urgent", 0), queueOf("watch", 1), queueOf("batch", 2) };
        simulation.scheduler->configure(simulation.configuration);
        simulation.hasIdleCommits = true;
        const auto last = simulation.executors.rbegin()->first;
        simulation.reregister(last, { 2000, 8000, 0 }, { "b" });
        simulation.behaviour = [&](const TaskRef&, int) {
            FakeRun started;
            started.endsAt = simulation.now + 60s;
            return started;
        };
        const auto submit = [&](const std::string& id, const char* name, int tasks, const char* label) {
            const bool isLongRunning = row.isActiveLongRunning && id == activeJob;
            simulation.submit(jobOf(id, name, { tasks, { 1000, 100, 0 }, isLongRunning, false, label }));
            simulation.run(longestWait);
        };
        const auto isRunning = [&](const std::string& id) { return simulation.runsOf({ id, 0, 0, 0 }) == 1; };
        submit(activeJob, row.isActiveLongRunning ? "watch" : "urgent", row.activeTasks, "a");
        submit(batchJob, "batch", 1, row.batchLabel);
        CHECK(isRunning(batchJob) == row.isBatchRunning);
        submit(urgentJob, "urgent", 1, "");
        CHECK(isRunning(urgentJob));
        CHECK(simulation.violations.empty());
    }
}
