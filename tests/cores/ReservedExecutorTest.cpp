#include "StepWork.h"

#include <doctest/doctest.h>

// Executors that are reserved for an overdue step: what the other steps of the service lose by it.
using namespace quay;
using namespace quay::fleet;
using namespace quay::fleet::test;

namespace {

constexpr auto longestWaitOfLongRunning = 6s; // the bound of the platform for a long-running task
constexpr auto submitInterval = 500ms;
const std::string occupantJob = "00000000000000a1";
const std::string waiterJob = "00000000000000a2";

// Executors, some of them with the label "b". What needs the label competes for these.
class LabelledService {
public:
    LabelledService(int executors, int labelled, bool needsApproval)
        : simulation(11, executors)
    {
        const auto approval = [&](double decisionMs) {
            return needsApproval ? std::optional(ApprovalPolicy { decisionMs, 5, 2000 }) : std::nullopt;
        };
        simulation.configuration.queues = { queueOf("urgent", 0, approval(20)),
            queueOf("watch", 1, approval(400)), queueOf("batch", 2, approval(400)) };
        simulation.scheduler->configure(simulation.configuration);
        simulation.hasIdleCommits = true;
        int number = 0;
        for (const auto& [id, executor] : std::map(simulation.executors)) {
            simulation.approved.insert(id);
            if (number++ < labelled) {
                simulation.reregister(id, executor.entry.capacity, { "b" });
                m_labelled.push_back(id);
            }
        }
        simulation.behaviour = [this](const TaskRef& task, int) {
            FakeRun started;
            started.endsAt = simulation.now + 400ms;
            if (task.job == occupantJob)
                started.endsAt = simulation.now + occupantRunTime;
            else if (m_endlessJobs.count(task.job))
                started.endsAt = Instant::max();
            m_waits.erase(task.job);
            return started;
        };
    }

    // Requires the label "b" unless `work` names another one.
    void submit(const std::string& id, const char* queue, StepWork work)
    {
        if (!work.label)
            work.label = "b";
        if (work.isLongRunning)
            m_endlessJobs.insert(id);
        simulation.submit(jobOf(id, queue, work));
    }

    // Submits such a job at intervals, and records the longest time that one waited for its first start.
    void run(Duration span, const StepWork& work, const char* queue = "urgent")
    {
        const auto end = simulation.now + span;
        while (simulation.now < end) {
            char id[17];
            std::snprintf(id, sizeof id, "%016x", 0x1000 + ++m_submitted);
            m_waits[id] = simulation.now;
            submit(id, queue, work);
            simulation.run(submitInterval);
            for (const auto& [job, since] : m_waits)
                longest = std::max(longest, simulation.now - since);
        }
    }

    void resize(Resources capacity)
    {
        for (const auto& id : m_labelled)
            simulation.reregister(id, capacity, { "b" });
    }

    bool isRunning(const std::string& job) const { return simulation.runsOf({ job, 0, 0, 0 }) > 0; }

    FleetSimulation simulation;
    Duration occupantRunTime = Duration::max() / 4;
    Duration longest {};

private:
    std::vector<std::string> m_labelled;
    std::set<std::string> m_endlessJobs;
    std::map<std::string, Instant> m_waits; // of jobs without a start, since their submission
    int m_submitted = 0;
};

} // namespace

// Guards against review/6: an overdue step that can never have room kept all other work off the executor
// reserved for it.
TEST_CASE("an overdue step that can't get room doesn't keep other steps off their only executors")
{
    struct Row {
        const char* name;
        int labelled;
        StepWork occupant;
        StepWork waiter;
        StepWork other;
        Resources shrunk; // capacity after the occupant has started; zero: unchanged
        bool needsApproval;
        bool isTakenOver;
    };
    // An executor has 8 cores, 8000 MB and 2 accelerators.
    const Resources small { 500, 100, 0 };
    const Row rows[] = {
        { "CPU held by a long-running task", 1, { 1, { 5000, 100, 0 }, true }, { 1, { 5000, 100, 0 }, true },
            { 1, small }, {}, false, false },
        { "and approvals", 1, { 1, { 5000, 100, 0 }, true }, { 1, { 5000, 100, 0 }, true }, { 1, small }, {},
            true, false },
        { "and a new leader", 1, { 1, { 5000, 100, 0 }, true }, { 1, { 5000, 100, 0 }, true }, { 1, small },
            {}, true, true },
        { "two executors", 2, { 2, { 5000, 100, 0 }, true }, { 2, { 5000, 100, 0 }, true },
            { 4, { 1500, 100, 0 } }, {}, false, false },
        { "memory", 1, { 1, { 100, 5000, 0 }, true }, { 1, { 100, 5000, 0 }, true }, { 1, small }, {}, false,
            false },
        { "accelerators", 1, { 1, { 100, 100, 1 }, true }, { 1, { 100, 100, 2 }, true }, { 1, small }, {},
            false, false },
        { "a gang waits", 1, { 1, { 5000, 100, 0 }, true }, { 2, { 2000, 100, 0 }, true, true }, { 1, small },
            {}, false, false },
        { "a gang is kept off", 1, { 1, { 5000, 100, 0 }, true }, { 1, { 5000, 100, 0 }, true },
            { 2, small, false, true }, {}, false, false },
        { "a long-running step is kept off", 1, { 1, { 2000, 100, 0 }, true }, { 1, { 7000, 100, 0 }, true },
            { 1, { 10, 1, 0 }, true }, {}, false, false },
        { "the capacity has shrunk", 1, { 1, { 5000, 100, 0 }, true }, { 1, { 3000, 100, 0 }, true },
            { 1, small }, { 7000, 8000, 2 }, false, false },
        { "larger than the executor after it has shrunk", 1, { 1, { 100, 100, 0 }, true },
            { 1, { 7500, 100, 0 }, true }, { 1, small }, { 7000, 8000, 2 }, false, false },
    };
    for (const auto& row : rows) {
        CAPTURE(std::string(row.name));
        LabelledService service(6, row.labelled, row.needsApproval);
        service.submit(occupantJob, "watch", row.occupant);
        service.simulation.run(3s);
        REQUIRE(service.isRunning(occupantJob));
        if (row.shrunk != Resources())
            service.resize(row.shrunk);
        service.submit(waiterJob, "watch", row.waiter);
        service.run(6s, row.other);
        if (row.isTakenOver)
            service.simulation.takeover();
        service.run(6s, row.other);
        CHECK(service.longest < longestWait);
        CHECK_FALSE(service.isRunning(waiterJob));
        CHECK(service.simulation.violations.empty());
    }
}

// Guards against overdue steps that can never have room and yet keep all callers of the approval service
// busy.
TEST_CASE("overdue steps that can't get room don't hold back the approval calls of other steps")
{
    LabelledService service(6, 6, true);
    service.simulation.approvalDelay = 400ms;
    service.simulation.scheduler->setApprovalCallers(2);
    service.submit(occupantJob, "watch", { 6, { 3000, 100, 0 }, true });
    service.simulation.run(3s);
    REQUIRE(service.isRunning(occupantJob));
    for (int i = 0; i < 8; ++i)
        service.submit("00000000000000b" + std::to_string(i), "watch", { 1, { 6000, 100, 0 }, true });
    service.run(12s, { 1, { 1000, 100, 0 } }, "batch");
    CHECK(service.longest < longestWait);
}

// Guards against a reservation that turns other steps away for as long as the tasks run that it waits for.
TEST_CASE("steps get what is left beside a reservation, and all of it after a while in a half-empty service")
{
    struct Row {
        const char* name;
        int executors;
        int labelled;
        Duration occupantRunTime; // the occupant's tasks end by themselves
        StepWork occupant;
        StepWork waiter;
        StepWork other;
        bool isRestFull; // long-running tasks fill the executors without the label
        bool isWaiterStarted;
    };
    const Row rows[] = {
        { "others fit beside it", 6, 1, 60s, { 1, { 5000, 100, 0 } }, { 1, { 5000, 100, 0 }, true },
            { 1, { 500, 100, 0 } }, false, false },
        { "others don't fit beside it", 6, 1, 60s, { 1, { 3000, 100, 0 } }, { 1, { 7000, 100, 0 }, true },
            { 1, { 2000, 100, 0 } }, false, false },
        { "a gang doesn't fit beside it", 6, 1, 60s, { 1, { 3000, 100, 0 } }, { 1, { 7000, 100, 0 }, true },
            { 2, { 1000, 100, 0 }, false, true }, false, false },
        { "memory", 6, 1, 60s, { 1, { 100, 3000, 0 } }, { 1, { 100, 7000, 0 }, true },
            { 1, { 100, 2000, 0 } }, false, false },
        { "the occupant ends in time", 6, 1, 4s, { 1, { 5000, 100, 0 } }, { 1, { 5000, 100, 0 }, true },
            { 3, { 1000, 100, 0 } }, false, true },
        { "a full service: the waiter may reserve half of the executors with the label", 16, 2, 60s,
            { 2, { 5000, 100, 0 } }, { 2, { 7000, 100, 0 }, true, false, "" }, { 1, { 2000, 100, 0 } }, true,
            false },
    };
    for (const auto& row : rows) {
        CAPTURE(std::string(row.name));
        LabelledService service(row.executors, row.labelled, false);
        service.occupantRunTime = row.occupantRunTime;
        if (row.isRestFull) {
            const StepWork filler { row.executors - row.labelled, { 8000, 100, 0 }, true, false, "a" };
            service.submit("00000000000000a3", "watch", filler);
        }
        service.submit(occupantJob, "watch", row.occupant);
        service.simulation.run(500ms);
        REQUIRE(service.isRunning(occupantJob));
        service.submit(waiterJob, "watch", row.waiter);
        service.run(longestWaitOfLongRunning, row.other);
        CHECK(service.isRunning(waiterJob) == row.isWaiterStarted);
        service.run(6s, row.other);
        CHECK(service.longest < longestWait);
        CHECK(service.simulation.violations.empty());
    }
}
