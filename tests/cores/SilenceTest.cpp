#include "FleetSimulation.h"

#include <doctest/doctest.h>
#include <numeric>

// Executors that are silent, slow or half heard for a while, and leaders that are replaced or delayed
// meanwhile: what runs goes on, and nothing runs twice.
using namespace quay;
using namespace quay::fleet;
using namespace quay::fleet::test;

namespace {

const std::string job = "00000000000000aa";
constexpr int tasks = 12;
constexpr auto taskDuration = 20s;

FakeRun longRun(const FleetSimulation& simulation)
{
    FakeRun run;
    run.endsAt = simulation.now + taskDuration;
    return run;
}

std::size_t runningTasks(const FleetSimulation& simulation)
{
    return std::accumulate(simulation.executors.begin(), simulation.executors.end(), std::size_t { 0 },
        [](std::size_t sum, const auto& it) { return sum + it.second.running.size(); });
}

void checkNoViolation(const FleetSimulation& simulation)
{
    for (const auto& it : simulation.violations)
        FAIL_CHECK(it);
}

} // namespace

TEST_CASE("an executor that is silent for less than its lease keeps its work, however many are silent")
{
    struct Row {
        const char* name;
        Duration silence;
        int silentExecutors; // of 4
        bool losesRegistration;
        bool hasTakeover; // in the middle of the silence
        MessageFaults faults;
        bool keepsWork;
    };
    const Row rows[] = {
        { "shorter than a heartbeat", 100ms, 1, false, false, {}, true },
        { "several heartbeats", 1s, 1, false, false, {}, true },
        { "as long as most network partitions", 4s, 1, false, false, {}, true },
        { "a whole failure domain", 4s, 4, false, false, {}, true },
        { "its registration expires meanwhile", 4s, 2, true, false, {}, true },
        { "the leader is replaced meanwhile", 3s, 2, false, true, {}, true },
        { "both", 3s, 4, true, true, {}, true },
        { "half of the answers are lost", 3s, 2, false, false, { 0, 500, 0 }, true },
        { "longer than its lease", 9s, 1, false, false, {}, false },
    };
    for (const auto& row : rows) {
        CAPTURE(std::string(row.name));
        FleetSimulation simulation(3, 4, row.faults);
        simulation.hasIdleCommits = true;
        simulation.behaviour = [&](const TaskRef&, int) { return longRun(simulation); };
        simulation.submit(jobOf(job, tasks));
        simulation.run(2s);
        REQUIRE(runningTasks(simulation) == tasks);
        const int startedBefore = simulation.startedRuns;
        int silent = 0;
        for (auto& [id, executor] : simulation.executors) {
            if (silent++ >= row.silentExecutors)
                continue;
            executor.isReachable = false;
            if (row.losesRegistration)
                simulation.deregister(id);
        }
        simulation.run(row.silence / 2);
        if (row.hasTakeover)
            simulation.takeover();
        simulation.run(row.silence / 2);
        for (auto& [id, executor] : simulation.executors) {
            executor.isReachable = true;
            if (row.losesRegistration)
                simulation.scheduler->executorRegistered(executor.entry, simulation.now);
        }
        simulation.run(40s);
        CHECK((simulation.startedRuns == startedBefore) == row.keepsWork);
        CHECK(simulation.phase(job) == JobPhase::Completed);
        checkNoViolation(simulation);
    }
}

TEST_CASE("around a takeover no task is started twice, whatever of the predecessor is still in flight")
{
    struct Row {
        const char* name;
        MessageFaults faults;
        bool hasUnansweredCommit;
        int takeovers;
    };
    const Row rows[] = {
        { "a planned one", {}, false, 1 },
        { "the predecessor's orders are late", { 0, 0, 400 }, false, 1 },
        { "its answers are lost", { 0, 400, 0 }, false, 1 },
        { "its last commit has no answer", {}, true, 1 },
        { "two in a row", { 0, 100, 200 }, false, 2 },
        { "three in a row after a commit without an answer", { 0, 100, 200 }, true, 3 },
    };
    for (const auto& row : rows) {
        for (unsigned seed = 1; seed <= 20; ++seed) {
            CAPTURE(std::string(row.name));
            CAPTURE(seed);
            FleetSimulation simulation(seed, 4, row.faults);
            simulation.behaviour = [&](const TaskRef&, int) {
                FakeRun run;
                run.endsAt = simulation.now + 700ms;
                return run;
            };
            simulation.submit(jobOf(job, tasks));
            simulation.run(Duration(10 * seed)); // the takeover falls into each phase of the first starts
            simulation.isStoreAvailable = !row.hasUnansweredCommit;
            simulation.run(60ms);
            for (int i = 0; i < row.takeovers; ++i) {
                simulation.takeover();
                simulation.run(25ms);
            }
            simulation.isStoreAvailable = true;
            simulation.run(30s);
            CHECK(simulation.phase(job) == JobPhase::Completed);
            checkNoViolation(simulation);
        }
    }
}

TEST_CASE("a start that was delayed beyond its ticket is not sent")
{
    struct Row {
        Duration delay; // between the answer of the approval service and the commit
        bool isSent;
    };
    for (const auto& row :
        { Row { 100ms, true }, Row { 1900ms, true }, Row { 2100ms, false }, Row { 10s, false } }) {
        CAPTURE(row.delay.count());
        Instant now { 100s };
        FleetScheduler scheduler({}, now, now);
        FleetConfiguration configuration;
        configuration.queues
            = { { "q", "h", "/", "service", 0, 3, 1, 300, true, ApprovalPolicy { 20, 0.3, 2000 } } };
        scheduler.configure(configuration);
        ExecutorEntry entry;
        entry.id = "e";
        entry.startedUnixMs = 1;
        entry.service = "service";
        entry.address = "a:1";
        entry.capacity = { 32'000, 65'536, 0 };
        scheduler.executorRegistered(entry, now);
        const auto pump = [&] {
            SchedulerActions actions;
            scheduler.pump(now, 0, actions);
            return actions;
        };
        for (const auto& it : pump().heartbeats)
            scheduler.heartbeatAnswered(
                it.incarnation, OrderResult::Ok, ExecutorReport { 1000, 1, {}, {} }, now, now);
        auto request = jobOf(job, 1);
        request.queue = "q";
        scheduler.submit(request, now);
        now += 10ms;
        const auto asked = pump().approvals;
        REQUIRE(asked.size() == 1);
        scheduler.approvalAnswered(asked[0].step, true, asked[0].workers, { { "e", "ticket" } }, 2000ms, now);
        now += 5ms;
        const auto recorded = pump().commit;
        REQUIRE(recorded);
        now += row.delay;
        scheduler.committed(recorded->number, now, now);
        CHECK(pump().starts.size() == (row.isSent ? 1U : 0U));
    }
}
