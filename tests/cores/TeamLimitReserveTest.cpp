#include "StepWork.h"

#include <doctest/doctest.h>

// The share of a team's upper limit that is kept for its urgent work, and the work that it is kept from.
using namespace quay;
using namespace quay::fleet;
using namespace quay::fleet::test;

namespace {

const std::string activeJob = "00000000000000a1";
const std::string waitingJob = "00000000000000a2";

class LimitedTeam {
public:
    LimitedTeam()
        : simulation(5, 6)
    {
        simulation.configuration.queues = { queueOf("urgent", 0), queueOf("watch", 1), queueOf("batch", 2) };
        simulation.hasIdleCommits = true;
        simulation.behaviour = [this](const TaskRef&, int) {
            FakeRun started;
            started.endsAt = simulation.now + 60s;
            return started;
        };
    }

    void setLimit(Resources limit)
    {
        simulation.configuration.teams[0].upperLimit = limit;
        simulation.scheduler->configure(simulation.configuration);
    }

    void submit(const std::string& id, const char* queue, const StepWork& work)
    {
        simulation.submit(jobOf(id, queue, work));
    }

    int running(const std::string& job) const
    {
        int count = 0;
        for (int i = 0; i < 30; ++i)
            count += static_cast<int>(simulation.runsOf({ job, 0, 0, i }));
        return count;
    }

    FleetSimulation simulation;
};

} // namespace

// Guards against review/8: work within its team's limit never started, because the reserve was kept from it
// although the team's long-running tasks left it no other room.
TEST_CASE("work within its team's upper limit starts, however much of it active tasks hold")
{
    struct Row {
        const char* name;
        Resources limitBefore;
        Resources limit;
        StepWork active;
        StepWork waiting;
        bool isTakenOver;
    };
    // Six executors of 8 cores, 8000 MB and 2 accelerators.
    const Row rows[] = {
        { "a lowered limit", { 20'000, 0, 0 }, { 10'000, 0, 0 }, { 4, { 1000, 100, 0 }, true },
            { 1, { 5000, 100, 0 } }, false },
        { "and a new leader", { 20'000, 0, 0 }, { 10'000, 0, 0 }, { 4, { 1000, 100, 0 }, true },
            { 1, { 5000, 100, 0 } }, true },
        { "the limit as it was", { 10'000, 0, 0 }, { 10'000, 0, 0 }, { 4, { 1000, 100, 0 }, true },
            { 1, { 5000, 100, 0 } }, false },
        { "more than half held by long-running tasks", { 20'000, 0, 0 }, { 10'000, 0, 0 },
            { 6, { 1000, 100, 0 }, true }, { 1, { 3500, 100, 0 } }, false },
        { "all but the reserve held by long-running tasks", { 20'000, 0, 0 }, { 10'000, 0, 0 },
            { 9, { 1000, 100, 0 }, true }, { 1, { 1000, 100, 0 } }, false },
        { "under half held by tasks that end late", { 20'000, 0, 0 }, { 10'000, 0, 0 },
            { 4, { 1000, 100, 0 } }, { 1, { 5000, 100, 0 } }, false },
        { "memory", {}, { 0, 10'000, 0 }, { 4, { 100, 1000, 0 }, true }, { 1, { 100, 5000, 0 } }, false },
        { "accelerators", {}, { 0, 0, 3 }, { 1, { 100, 100, 1 }, true }, { 1, { 100, 100, 2 } }, false },
        { "all accelerators", {}, { 0, 0, 2 }, { 1, { 100, 100, 0 }, true }, { 1, { 100, 100, 2 } }, false },
        { "a gang", { 20'000, 0, 0 }, { 10'000, 0, 0 }, { 4, { 1000, 100, 0 }, true },
            { 2, { 3000, 100, 0 }, false, true }, false },
        { "a gang of one", { 20'000, 0, 0 }, { 10'000, 0, 0 }, { 4, { 1000, 100, 0 }, true },
            { 1, { 5000, 100, 0 }, false, true }, false },
    };
    for (const auto& row : rows) {
        CAPTURE(std::string(row.name));
        LimitedTeam team;
        team.setLimit(row.limitBefore);
        team.submit(activeJob, row.active.isLongRunning ? "watch" : "batch", row.active);
        team.simulation.run(2s);
        REQUIRE(team.running(activeJob) == row.active.tasks);
        team.setLimit(row.limit);
        team.submit(waitingJob, "batch", row.waiting);
        if (row.isTakenOver)
            team.simulation.takeover();
        team.simulation.run(longestWait);
        CHECK(team.running(activeJob) == row.active.tasks);
        CHECK(team.running(waitingJob) == row.waiting.tasks);
        CHECK(team.simulation.violations.empty());
    }
}

TEST_CASE("batch work leaves the reserve to urgent work, and no work exceeds the limit")
{
    struct Row {
        const char* name;
        StepWork active;
        StepWork batch;
        int batchRunning;
        bool isUrgentRunning;
    };
    const Row rows[] = {
        { "batch alone", { 1, { 10, 100, 0 } }, { 20, { 1000, 100, 0 } }, 8, true },
        { "beside long-running tasks", { 3, { 1000, 100, 0 }, true }, { 20, { 1000, 100, 0 } }, 5, true },
        { "a large task beside others", { 6, { 1000, 100, 0 } }, { 1, { 3500, 100, 0 } }, 0, true },
        { "a gang beyond the limit", { 4, { 1000, 100, 0 }, true }, { 4, { 2000, 100, 0 }, false, true }, 0,
            true },
        { "long-running tasks hold the limit", { 10, { 1000, 100, 0 }, true }, { 1, { 1000, 100, 0 } }, 0,
            false },
    };
    for (const auto& row : rows) {
        CAPTURE(std::string(row.name));
        LimitedTeam team;
        team.setLimit({ 10'000, 0, 0 });
        team.submit(activeJob, "watch", row.active);
        team.simulation.run(2s);
        team.submit(waitingJob, "batch", row.batch);
        team.simulation.run(2s);
        team.submit("00000000000000a3", "urgent", { 1, { 1000, 100, 0 } });
        team.simulation.run(500ms);
        CHECK(team.running(waitingJob) == row.batchRunning);
        CHECK((team.running("00000000000000a3") == 1) == row.isUrgentRunning);
        CHECK(team.simulation.violations.empty());
    }
}
