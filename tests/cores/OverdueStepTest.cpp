#include "FleetSimulation.h"

#include <doctest/doctest.h>

// A long-running step in a full service: how long it can be without a task that is running.
using namespace quay;
using namespace quay::fleet;
using namespace quay::fleet::test;

namespace {

constexpr auto longestWait = 6s; // the bound of the platform for a long-running task
const std::string watchJob = "00000000000000aa";

// An endless backlog of urgent steps, more than the scheduler looks at in one pass, whose tasks are smaller
// and shorter than those of the long-running step, and of batch steps that use the approval service beside
// them.
class FullService {
public:
    FullService()
        : simulation(7, 6)
    {
        const auto queue = [](const char* name, int priority, ApprovalPolicy approval) {
            return QueuePolicy { name, "host", "/", "service", priority, 3, 1.5, 300, false, approval };
        };
        simulation.configuration.queues = { queue("urgent", 0, { 21, 0.3, 2000 }),
            queue("watch", 1, { 320, 4.6, 2000 }), queue("batch", 2, { 440, 6.2, 2000 }) };
        simulation.scheduler->configure(simulation.configuration);
        for (const auto& [id, executor] : simulation.executors)
            simulation.approved.insert(id);
        simulation.behaviour = [this](const TaskRef& task, int run) {
            FakeRun started;
            started.endsAt = task.job == watchJob
                ? Instant::max()
                : simulation.now + 500ms + 40ms * ((m_starts++ + run) % 11); // ends are spread over time
            return started;
        };
    }

    void submit(
        const std::string& id, const char* queue, int tasks, std::int64_t cpuMilli, bool isLongRunning)
    {
        auto request = jobOf(id, tasks, { cpuMilli, 100, 0 });
        request.queue = queue;
        request.steps[0].isLongRunning = isLongRunning;
        simulation.submit(request);
    }

    // Runs the simulation, with new jobs for all that have completed meanwhile.
    void run(Duration span)
    {
        const auto end = simulation.now + span;
        while (simulation.now < end) {
            for (std::size_t backlog = m_jobs.size(); backlog < targetBacklog; ++backlog) {
                char id[17];
                std::snprintf(id, sizeof id, "%016x", 0x1000 + m_submitted);
                const bool isUrgent = ++m_submitted % 8 > 0;
                submit(id, isUrgent ? "urgent" : "batch", 3, isUrgent ? 2000 : 3000, false);
                m_jobs.emplace_back(id);
            }
            simulation.run(50ms);
            std::erase_if(m_jobs,
                [this](const std::string& id) { return simulation.phase(id) == JobPhase::Completed; });
        }
    }

    int runningWatchTasks() const
    {
        return static_cast<int>(
            simulation.runsOf({ watchJob, 0, 0, 0 }) + simulation.runsOf({ watchJob, 0, 0, 1 }));
    }

    FleetSimulation simulation;

private:
    static constexpr std::size_t targetBacklog = 260;
    std::vector<std::string> m_jobs;
    int m_submitted = 0;
    int m_starts = 0;
};

} // namespace

TEST_CASE("a long-running step starts within six seconds under an urgent backlog that never ends")
{
    struct Row {
        const char* name;
        bool hasRunBefore; // its executors restart
        bool isTakenOver; // by a new leader while the step waits
    };
    const Row rows[] = {
        { "submitted to a full service", false, false },
        { "submitted, then a takeover", false, true },
        { "its executors restarted", true, false },
        { "its executors restarted, then a takeover", true, true },
    };
    for (const auto& row : rows) {
        CAPTURE(std::string(row.name));
        FullService service;
        if (row.hasRunBefore) {
            service.submit(watchJob, "watch", 2, 7000, true);
            service.simulation.run(2s);
            REQUIRE(service.runningWatchTasks() == 2);
        }
        service.run(3s);
        if (row.hasRunBefore) {
            for (const auto& [id, executor] : std::map(service.simulation.executors)) {
                if (executor.running.count({ watchJob, 0, 0, 0 })
                        + executor.running.count({ watchJob, 0, 0, 1 })
                    > 0)
                    service.simulation.restart(id);
            }
        } else {
            service.submit(watchJob, "watch", 2, 7000, true);
        }
        REQUIRE(service.runningWatchTasks() == 0);
        if (row.isTakenOver) {
            service.run(500ms);
            service.simulation.takeover();
        }
        service.run(longestWait);
        CHECK(service.runningWatchTasks() == 2);
        CHECK(service.simulation.violations.empty());
    }
}

TEST_CASE("an overdue step asks about executors that it has not asked about while its approved ones are full")
{
    Instant now { 100s };
    FleetScheduler scheduler { {}, now, now };
    FleetConfiguration configuration;
    configuration.queues
        = { { "watch", "h", "/", "service", 0, 3, 1, 300, true, ApprovalPolicy { 320, 4.6, 2000 } },
              { "urgent", "h", "/", "service", 0, 3, 1, 300, true, {} } };
    scheduler.configure(configuration);
    const auto pump = [&] {
        now += 10ms;
        SchedulerActions actions;
        scheduler.pump(now, 0, actions);
        if (actions.commit)
            scheduler.committed(actions.commit->number, now, now);
        for (const auto& it : actions.heartbeats)
            scheduler.heartbeatAnswered(
                it.incarnation, OrderResult::Ok, ExecutorReport { 1000, 1, {}, {} }, now, now);
        return actions;
    };
    // Thirty large executors, which one call asks about, and a smaller one.
    for (int i = 0; i <= 30; ++i) {
        ExecutorEntry entry;
        entry.id = "e-" + std::to_string(i);
        entry.startedUnixMs = 1;
        entry.service = "service";
        entry.address = "a:" + std::to_string(i);
        entry.capacity = { i < 30 ? 8000 : 6000, 8000, 0 };
        scheduler.executorRegistered(entry, now);
    }
    pump();
    auto watch = jobOf(watchJob, 1, { 5000, 100, 0 });
    watch.queue = "watch";
    watch.steps[0].isLongRunning = true;
    scheduler.submit(watch, now);
    std::vector<ApprovalAction> calls;
    while (calls.empty())
        calls = pump().approvals;
    REQUIRE(calls[0].workers.size() == 30);
    // The approved executor is filled before the answer arrives.
    auto urgent = jobOf("00000000000000bb", 30, { 8000, 100, 0 });
    urgent.queue = "urgent";
    scheduler.submit(urgent, now);
    pump();
    scheduler.approvalAnswered(calls[0].step, true, calls[0].workers, { { "e-0", "ticket" } }, 2000ms, now);
    const auto askedLast = [&] {
        std::string asked;
        for (int i = 0; i < 100; ++i) { // a second
            for (const auto& call : pump().approvals) {
                asked.clear();
                for (const auto& worker : call.workers)
                    asked += worker + " ";
                scheduler.approvalAnswered(call.step, false, call.workers, {}, {}, now); // it failed
            }
        }
        return asked;
    };
    CHECK(askedLast() == "e-30 ");
    askedLast();
    CHECK(askedLast() == "e-30 e-0 "); // overdue by now
}
