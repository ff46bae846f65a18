#include "FleetSimulation.h"

#include <doctest/doctest.h>
#include <limits>

// Executors that drain while they are cut off, or while starts to them are under way.
using namespace quay;
using namespace quay::fleet;
using namespace quay::fleet::test;

namespace {

const std::string job = "00000000000000aa";

} // namespace

// Guards against TWICE: a removed registration and a refused connection were taken for the end of a process.
TEST_CASE("a draining executor that is cut off from the store refuses connections: its tasks aren't started "
          "elsewhere while it works on them")
{
    struct Row {
        const char* name;
        Duration remaining; // until the executor may exit
        Duration refusedAfter; // from the removal of its registration
        Duration refusedFor;
    };
    const Row rows[] = {
        { "it refuses at once", 10s, 0ms, 2500ms },
        { "it answers a heartbeat after the removal", 10s, 700ms, 2500ms },
        { "it answers for longer than a ping interval after the removal", 10s, 2s, 2500ms },
        { "shorter than it serves", 2s, 0ms, 2500ms },
        { "nearly as long as its lease", 10s, 0ms, 5s },
    };
    for (const auto& row : rows) {
        for (const bool isLongRunning : { false, true }) {
            CAPTURE(std::string(row.name));
            CAPTURE(isLongRunning);
            FleetSimulation simulation(9, 3);
            simulation.hasIdleCommits = true;
            simulation.behaviour = [&](const TaskRef&, int) {
                FakeRun run;
                run.endsAt = simulation.now + 12s;
                return run;
            };
            auto request = jobOf(job, 6);
            request.steps[0].isLongRunning = isLongRunning;
            simulation.submit(request);
            simulation.run(1500ms);
            const auto owner = simulation.executorRunning({ job, 0, 0, 0 });
            REQUIRE_FALSE(owner.empty());
            auto& executor = simulation.executors.at(owner);
            simulation.drain(owner, row.remaining);
            simulation.deregister(owner);
            simulation.run(row.refusedAfter);
            executor.refusesConnections = true;
            simulation.run(row.refusedFor);
            executor.refusesConnections = false;
            simulation.run(10s);
            for (const auto& it : simulation.violations)
                FAIL_CHECK(it);
        }
    }
}

// Guards against LOST: tasks that were confirmed after the executor began to drain stayed there until it
// exited, and then waited for its lease.
TEST_CASE(
    "a start is confirmed after its executor began to drain: a long-running task is moved before the exit")
{
    struct Row {
        const char* name;
        Duration submittedBefore; // the start of the drain
        bool hasTakeover; // when the executor begins to drain
    };
    const Row rows[] = {
        { "the start is being recorded", 10ms, false },
        { "the start is being sent", 40ms, false },
        { "the run is inherited by a new leader", 500ms, true },
    };
    for (const auto& row : rows) {
        CAPTURE(std::string(row.name));
        FleetSimulation simulation(9, 3);
        simulation.hasIdleCommits = true;
        simulation.behaviour = [&](const TaskRef&, int) {
            FakeRun run;
            run.endsAt = Instant::max();
            return run;
        };
        simulation.run(500ms);
        auto request = jobOf(job, 24); // fills all executors
        request.steps[0].isLongRunning = true;
        simulation.submit(request);
        simulation.run(row.submittedBefore);
        simulation.drainAndLeave("i-1", 2s);
        if (row.hasTakeover)
            simulation.takeover();
        simulation.run(1900ms);
        CHECK(simulation.executors.at("i-1").running.empty());
        simulation.run(2s);
        for (const auto& it : simulation.violations)
            FAIL_CHECK(it);
    }
}

// Guards against an overflow, after which the task stayed on the executor until its exit.
TEST_CASE("the estimate of a task is as large as can be: its start isn't expected to end before an exit")
{
    FleetSimulation simulation(9, 2);
    simulation.behaviour = [&](const TaskRef&, int) {
        FakeRun run;
        run.endsAt = Instant::max();
        run.percent = 0;
        return run;
    };
    simulation.run(500ms);
    auto request = jobOf(job, 16); // fills all executors
    request.steps[0].savesCheckpoints = true;
    request.steps[0].estimateMs = std::numeric_limits<std::int64_t>::max();
    simulation.submit(request);
    simulation.run(200ms);
    simulation.drain("i-1", 2s);
    simulation.run(50ms);
    CHECK(simulation.executors.at("i-1").running.empty());
}

// Guards against work thrown away: a new leader took an executor that drains for one that exits at once.
TEST_CASE("a new leader finds a draining executor: tasks that end before its exit are not stopped")
{
    FleetSimulation simulation(9, 2);
    simulation.hasIdleCommits = true;
    simulation.behaviour = [&](const TaskRef&, int) {
        FakeRun run;
        run.endsAt = simulation.now + 4s;
        return run;
    };
    simulation.submit(jobOf(job, 16)); // fills all executors
    simulation.run(500ms);
    REQUIRE(simulation.startedRuns == 16);
    simulation.drain("i-1", 10s);
    simulation.takeover();
    simulation.run(5s);
    CHECK(simulation.startedRuns == 16);
    CHECK(simulation.phase(job) == JobPhase::Completed);
}

// Guards against work thrown away: tasks were stopped though no other executor had room for them.
TEST_CASE("an executor drains while the others have room for two tasks: two are moved, the others go on")
{
    FleetSimulation simulation(9, 3);
    simulation.hasIdleCommits = true;
    simulation.behaviour = [&](const TaskRef&, int) {
        FakeRun run;
        run.endsAt = simulation.now + 6s;
        return run;
    };
    simulation.submit(jobOf(job, 22)); // an executor has room for 8
    simulation.run(1s);
    REQUIRE(simulation.startedRuns == 22);
    const auto tasksBefore = simulation.executors.at("i-1").running.size();
    REQUIRE(tasksBefore >= 6);
    simulation.drain("i-1", 2s); // it serves for longer
    simulation.run(3s);
    CHECK(simulation.startedRuns <= 24);
    CHECK(simulation.executors.at("i-1").running.size() >= tasksBefore - 2);
    simulation.run(6s);
    CHECK(simulation.phase(job) == JobPhase::Completed);
    for (const auto& it : simulation.violations)
        FAIL_CHECK(it);
}
