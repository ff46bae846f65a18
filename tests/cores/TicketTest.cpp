#include "FleetSimulation.h"

#include <doctest/doctest.h>

// Tickets of approved executors that expire or are refused before a start.
using namespace quay;
using namespace quay::fleet;
using namespace quay::fleet::test;

namespace {

const std::string job = "00000000000000aa";

void configureApproval(FleetSimulation& simulation, const std::set<std::string>& approved)
{
    simulation.configuration.queues[0].approval = ApprovalPolicy { 20, 0.3, 2000 };
    simulation.scheduler->configure(simulation.configuration);
    simulation.approved = approved;
    simulation.hasIdleCommits = true;
    simulation.run(500ms);
}

} // namespace

// Guards against LOST: an approved executor whose ticket expired while a commit waited for the store was
// never asked about again, and the job never ran.
TEST_CASE("tickets expire during a store outage: approved executors are asked about again and the job runs")
{
    struct Row {
        const char* name;
        int tasks;
        bool isGang;
        bool isLongRunning;
        int outages; // in series
        Duration outage;
        bool isApprovalServiceAway; // as long as the store
        bool hasTakeover; // after the last outage
    };
    const Row rows[] = {
        { "one task", 1, false, false, 1, 4300ms, false, false },
        { "a task on each approved executor", 2, false, false, 1, 4300ms, false, false },
        { "long-running tasks", 2, false, true, 1, 4300ms, false, false },
        { "a gang on all approved executors", 2, true, false, 1, 4300ms, false, false },
        { "outages in series", 2, false, false, 3, 4300ms, false, false },
        { "the approval service is away as well", 2, false, false, 1, 4300ms, true, false },
        { "the leader is replaced after it", 2, false, false, 2, 4300ms, false, true },
    };
    for (const auto& row : rows) {
        CAPTURE(std::string(row.name));
        FleetSimulation simulation(3, 6);
        configureApproval(simulation, { "i-1", "i-2" });
        simulation.behaviour = [&](const TaskRef&, int) {
            FakeRun run;
            run.endsAt = row.isLongRunning ? Instant::max() : simulation.now + 300ms;
            return run;
        };
        auto request = jobOf(job, row.tasks);
        request.steps[0].maxPerExecutor = 1;
        request.steps[0].isGang = row.isGang;
        request.steps[0].isLongRunning = row.isLongRunning;
        simulation.submit(request);
        for (int i = 0; i < row.outages; ++i) {
            simulation.run(20ms); // the approval is on its way, or its ticket is being used
            simulation.isStoreAvailable = false;
            simulation.isApprovalServiceAvailable = !row.isApprovalServiceAway;
            simulation.run(row.outage);
            simulation.isStoreAvailable = true;
            simulation.isApprovalServiceAvailable = true;
        }
        if (row.hasTakeover)
            simulation.takeover();
        simulation.run(3s);
        CHECK(simulation.startedRuns == row.tasks);
        CHECK(simulation.phase(job) == (row.isLongRunning ? JobPhase::Running : JobPhase::Completed));
        for (const auto& it : simulation.violations)
            FAIL_CHECK(it);
    }
}

// Guards against LOST: an approved executor that refused one ticket was excluded from the step for good.
TEST_CASE("an executor refuses a ticket: the step calls for a new one, less often while it goes on refusing")
{
    struct Row {
        const char* name;
        OrderResult answer;
        int calls; // within 20 s
        int starts;
    };
    const Row rows[] = {
        { "the next one is accepted", OrderResult::Ok, 2, 2 },
        { "each is refused", OrderResult::NoTicket, 7, 7 }, // after 0.25, 0.5, 1, 2, 4, 8 s
    };
    for (const auto& row : rows) {
        CAPTURE(std::string(row.name));
        Instant now { 100s };
        FleetScheduler scheduler { {}, now, now };
        FleetConfiguration configuration;
        configuration.queues
            = { { "q", "h", "/", "service", 0, 3, 1, 300, true, ApprovalPolicy { 20, 0.3, 2000 } } };
        scheduler.configure(configuration);
        ExecutorEntry entry { "e", 1, "service", "a:1", {}, false, 0, { 1000, 1000, 0 }, {} };
        scheduler.executorRegistered(entry, now);
        scheduler.submit(jobOf(job, 1), now);
        int calls = 0;
        int starts = 0;
        for (const auto end = now + 20s; now < end; now += 10ms) {
            SchedulerActions actions;
            scheduler.pump(now, 0, actions);
            if (actions.commit)
                scheduler.committed(actions.commit->number, now, now);
            for (const auto& it : actions.heartbeats)
                scheduler.heartbeatAnswered(
                    it.incarnation, OrderResult::Ok, ExecutorReport { 1000, 1, {}, {} }, now, now);
            for (const auto& it : actions.approvals)
                scheduler.approvalAnswered(
                    it.step, true, it.workers, { { "e", "ticket " + std::to_string(++calls) } }, 2s, now);
            for (const auto& it : actions.starts)
                scheduler.startAnswered(
                    it.incarnation, it.task, it.run, ++starts == 1 ? OrderResult::NoTicket : row.answer, now);
            if (row.answer == OrderResult::Ok && starts == 2)
                break; // the run is not in the reports
        }
        CHECK(calls == row.calls);
        CHECK(starts == row.starts);
    }
}

// Guards against LOST: a ticket for the previous process of an executor was kept for the next one.
TEST_CASE("an executor restarts during an approval call: it is asked about again")
{
    FleetSimulation simulation(3, 2);
    configureApproval(simulation, { "i-1" });
    simulation.approvalDelay = 400ms;
    simulation.submit(jobOf(job, 1));
    simulation.run(200ms);
    REQUIRE(simulation.approvalCalls == 1);
    simulation.restart("i-1");
    simulation.run(3s);
    CHECK(simulation.phase(job) == JobPhase::Completed);
    for (const auto& it : simulation.violations)
        FAIL_CHECK(it);
}
