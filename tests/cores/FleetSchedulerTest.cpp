#include "FleetWorld.h"

#include <doctest/doctest.h>

using namespace quay;
using namespace quay::fleet;
using namespace quay::fleet::test;

namespace {

const std::string jobA = "00000000000000aa";
const std::string jobB = "00000000000000bb";

WorkRequest lastingJob(const std::string& id, int tasks)
{
    auto request = jobOf(id, tasks);
    request.steps[0].isLasting = true;
    return request;
}

FakeRun endless(const TaskRef&, int)
{
    FakeRun run;
    run.endsAt = Instant::max();
    return run;
}

// The executor that has the task at work; empty: none.
std::string holderOf(const FleetWorld& world, const TaskRef& task)
{
    std::string holder;
    for (const auto& [id, executor] : world.executors) {
        if (executor.running.count(task))
            holder = id;
    }
    return holder;
}

void checkNoViolation(const FleetWorld& world)
{
    for (const auto& it : world.violations)
        FAIL_CHECK(it);
}

// One scheduler, one executor that answered a look, one job whose start was recorded.
struct OneStart {
    OneStart()
    {
        FleetConfiguration configuration;
        configuration.queues = { { "q", "h", "/", "service", 0, 3, 1, 300, true, {} } };
        scheduler.configure(configuration);
        ExecutorEntry entry;
        entry.id = "e";
        entry.bornUnixMs = 1;
        entry.service = "service";
        entry.address = "a:1";
        entry.capacity = { 32'000, 65'536, 0 };
        scheduler.executorSeen(entry, now);
        const auto holds = pump().holds;
        REQUIRE(holds.size() == 1);
        scheduler.holdAnswered(holds[0].life, OrderResult::Ok, ExecutorReport { 1000, 1, {}, {} }, now, now);
        auto request = jobOf(jobA, 1);
        request.queue = "q";
        scheduler.submit(request, now);
        now += 10ms;
        commit();
    }

    SchedulerActions pump()
    {
        SchedulerActions actions;
        scheduler.pump(now, 0, actions);
        return actions;
    }

    void commit()
    {
        const auto commit = pump().commit;
        REQUIRE(commit);
        scheduler.committed(commit->number, now, now);
    }

    Instant now { 100s };
    FleetScheduler scheduler { {}, now, now };
};

} // namespace

TEST_CASE("a job of dependent steps completes, each step after the one before")
{
    FleetWorld world(1, 3);
    auto request = jobOf(jobA, 6);
    request.steps.push_back(request.steps[0]);
    request.steps[1].dependsOn = { 0 };
    std::vector<TaskRef> order;
    world.behaviour = [&](const TaskRef& task, int) {
        order.push_back(task);
        FakeRun run;
        run.endsAt = world.now + 200ms;
        return run;
    };
    world.submit(request);
    world.run(3s);
    CHECK(world.phase(jobA) == JobPhase::Completed);
    REQUIRE(order.size() == 12);
    for (std::size_t i = 0; i < 6; ++i)
        CHECK(order[i].step == 0);
    checkNoViolation(world);
}

TEST_CASE("a lasting task starts elsewhere once the lease of a lost executor has surely lapsed")
{
    struct Row {
        const char* name;
        bool isUnlisted;
    };
    for (const auto& row : { Row { "still registered", false }, Row { "registration removed", true } }) {
        CAPTURE(row.name);
        FleetWorld world(2, 3);
        world.behaviour = endless;
        world.submit(lastingJob(jobA, 1));
        world.run(1s);
        const TaskRef task { jobA, 0, 0, 0 };
        const auto holder = holderOf(world, task);
        REQUIRE_FALSE(holder.empty());
        world.crash(holder);
        if (row.isUnlisted)
            world.unlist(holder);
        // Longest lease, 2 % slow, and the time of a stop.
        world.run(7500ms);
        CHECK(world.runsOf(task) == 1);
        checkNoViolation(world);
    }
}

TEST_CASE("what runs on a leaving executor goes on elsewhere without waiting for its lease")
{
    struct Row {
        const char* name;
        bool isLasting;
        Duration goesOnWithin;
    };
    const Row rows[] = {
        { "lasting: stopped and started elsewhere at once", true, 500ms },
        { "plain: runs until the executor has left", false, 2700ms },
    };
    for (const auto& row : rows) {
        const std::string name = row.name;
        CAPTURE(name);
        FleetWorld world(9, 3);
        world.behaviour = endless;
        auto request = jobOf(jobA, 1);
        request.steps[0].isLasting = row.isLasting;
        world.submit(request);
        world.run(1s);
        const TaskRef task { jobA, 0, 0, 0 };
        const auto holder = holderOf(world, task);
        REQUIRE_FALSE(holder.empty());
        world.leave(holder, 2s);
        world.run(row.goesOnWithin);
        CHECK(world.runsOf(task) == 1);
        CHECK(world.executors.at(holder).running.count(task) == 0);
        checkNoViolation(world);
    }
}

TEST_CASE("a task fails its job after the queue's attempts, a lasting one never")
{
    struct Row {
        const char* name;
        bool isLasting;
        JobPhase phase;
    };
    for (const auto& row :
        { Row { "plain", false, JobPhase::Failed }, Row { "lasting", true, JobPhase::Running } }) {
        CAPTURE(row.name);
        FleetWorld world(3, 2);
        world.behaviour = [&](const TaskRef&, int) {
            FakeRun run;
            run.endsAt = world.now + 50ms;
            run.end = RunEnd::Failed;
            return run;
        };
        auto request = jobOf(jobA, 1);
        request.steps[0].isLasting = row.isLasting;
        world.submit(request);
        world.run(4s);
        CHECK(world.phase(jobA) == row.phase);
        CHECK((row.isLasting ? world.startedRuns > 3 : world.startedRuns == 3));
    }
}

TEST_CASE("a cancelled job's tasks are stopped and none starts again")
{
    FleetWorld world(4, 2);
    world.behaviour = endless;
    world.submit(lastingJob(jobA, 4));
    world.run(1s);
    world.cancel(jobA);
    CHECK(world.phase(jobA) == JobPhase::Cancelled);
    world.run(1s);
    for (int i = 0; i < 4; ++i)
        CHECK(world.runsOf({ jobA, 0, 0, i }) == 0);
    CHECK(world.startedRuns == 4);
}

TEST_CASE("a team's limit holds back what would pass it")
{
    FleetWorld world(5, 4);
    world.configuration.teams[0].upperLimit = { 3000, 0, 0 };
    world.scheduler->configure(world.configuration);
    world.behaviour = endless;
    world.submit(lastingJob(jobA, 8));
    world.run(2s);
    CHECK(world.startedRuns == 3);
}

TEST_CASE("a step whose approved executors are at its bound for each asks about others")
{
    FleetWorld world(8, 32); // one call names 30 of them
    world.configuration.queues[0].approval = ApprovalPolicy { 20, 0.3, 2000 };
    world.scheduler->configure(world.configuration);
    world.approved = { "i-0", "i-1", "i-9" };
    world.behaviour = endless;
    auto request = lastingJob(jobA, 3);
    request.steps[0].maxPerExecutor = 1;
    world.submit(request);
    world.run(6s);
    CHECK(world.startedRuns == 3);
}

TEST_CASE("a scheduled job runs each occurrence once, never before its time, also over a takeover")
{
    FleetWorld world(10, 3);
    auto request = jobOf(jobA, 2);
    request.occurrences = 4;
    request.firstDueUnixMs = toMilliseconds(world.now.time_since_epoch()) + 1000;
    request.intervalMs = 1000;
    std::vector<int> starts(4, 0);
    world.behaviour = [&](const TaskRef& task, int) {
        ++starts[static_cast<std::size_t>(task.occurrence)];
        CHECK(toMilliseconds(world.now.time_since_epoch())
            >= request.firstDueUnixMs + request.intervalMs * task.occurrence);
        FakeRun run;
        run.endsAt = world.now + 1500ms; // occurrences overlap
        return run;
    };
    world.submit(request);
    world.run(2600ms);
    world.takeover();
    world.run(6s);
    CHECK(world.phase(jobA) == JobPhase::Completed);
    CHECK(starts == std::vector<int>(4, 2));
    checkNoViolation(world);
}

TEST_CASE("a gang starts whole or not at all, and one failed member ends the run of all")
{
    FleetWorld world(6, 2); // room for 16 tasks of one core
    world.behaviour = endless;
    auto large = jobOf(jobA, 17);
    large.steps[0].isGang = true;
    world.submit(large);
    world.run(1s);
    CHECK(world.startedRuns == 0);
    auto fitting = jobOf(jobB, 6);
    fitting.steps[0].isGang = true;
    world.behaviour = [&](const TaskRef& task, int run) {
        FakeRun result;
        const bool fails = run == 1 && task.index == 2;
        result.endsAt = world.now + (fails ? 100ms : 400ms);
        result.end = fails ? RunEnd::Failed : RunEnd::Done;
        return result;
    };
    world.submit(fitting);
    world.run(3s);
    CHECK(world.phase(jobB) == JobPhase::Completed);
    checkNoViolation(world);
}

TEST_CASE("nothing starts and no end is acknowledged while commits are not durable")
{
    FleetWorld world(7, 2);
    world.isStoreUp = false;
    world.submit(jobOf(jobA, 4));
    world.run(2s);
    CHECK(world.startedRuns == 0);
    world.isStoreUp = true;
    world.run(2s);
    CHECK(world.phase(jobA) == JobPhase::Completed);
}

TEST_CASE(
    "seeded: lost, late and unanswered orders, takeovers, crashes, rebirths: never two runs, all work done")
{
    struct Row {
        const char* name;
        MessageFaults faults;
        int takeoverPerMille; // at each of the 250 ms steps
        int crashPerMille;
        int rebirthPerMille;
    };
    const Row rows[] = {
        { "calm", {}, 0, 0, 0 },
        { "lost answers", { 0, 200, 0 }, 0, 0, 0 },
        { "lost orders", { 200, 0, 0 }, 0, 0, 0 },
        { "late orders", { 0, 0, 150 }, 0, 0, 0 },
        { "takeovers", { 0, 50, 0 }, 120, 0, 0 },
        { "late orders and takeovers", { 20, 50, 60 }, 80, 0, 0 },
        { "crashes", { 0, 20, 0 }, 0, 10, 0 },
        { "rebirths", { 0, 50, 50 }, 0, 0, 60 },
        { "all", { 20, 50, 50 }, 60, 8, 30 },
    };
    for (const auto& row : rows) {
        for (unsigned seed = 1; seed <= 12; ++seed) {
            const std::string name = row.name;
            CAPTURE(name);
            CAPTURE(seed);
            FleetWorld world(seed, 6, row.faults);
            std::mt19937 random(seed * 7919);
            world.behaviour = [&](const TaskRef&, int) {
                FakeRun run;
                run.endsAt = world.now + std::chrono::milliseconds(100 + random() % 900);
                return run;
            };
            std::vector<std::string> ids;
            const auto roll = [&](int perMille) { return static_cast<int>(random() % 1000) < perMille; };
            for (int i = 0; i < 40; ++i) {
                if (i < 20) {
                    char id[17];
                    std::snprintf(id, sizeof id, "%016x", i);
                    world.submit(jobOf(id, 1 + static_cast<int>(random() % 8)));
                    ids.emplace_back(id);
                }
                world.run(250ms);
                if (roll(row.takeoverPerMille))
                    world.takeover();
                for (auto& [id, executor] : world.executors) {
                    if (executor.isUp && roll(row.crashPerMille) && id != "i-0") {
                        world.crash(id);
                        world.unlist(id);
                    } else if (executor.isUp && roll(row.rebirthPerMille)) {
                        world.reborn(id);
                    }
                }
            }
            world.run(60s);
            checkNoViolation(world);
            for (const auto& id : ids)
                CHECK(world.phase(id) == JobPhase::Completed);
        }
    }
}

TEST_CASE("a start without an answer is sent again at once, and with pauses from then on")
{
    OneStart it;
    struct Row {
        Duration pause; // between the missing answer and the next order
        int unanswered; // that the order names
    };
    for (const auto& row : { Row { 0ms, 0 }, Row { 0ms, 1 }, Row { 60ms, 2 }, Row { 60ms, 3 } }) {
        CAPTURE(row.unanswered);
        if (row.pause > Duration::zero()) {
            CHECK(it.pump().starts.empty());
            it.now += row.pause;
        }
        const auto starts = it.pump().starts;
        REQUIRE(starts.size() == 1);
        CHECK(starts[0].run == 1);
        CHECK(starts[0].unanswered == row.unanswered);
        it.scheduler.startAnswered(starts[0].life, starts[0].task, 1, OrderResult::NoAnswer, it.now);
    }
}

TEST_CASE("a successor waits for a lost executor's lease from the predecessor's last commit, not from its "
          "own start")
{
    FleetWorld world(5, 3);
    world.behaviour = endless;
    world.submit(lastingJob(jobA, 1));
    world.run(500ms);
    const auto lastCommit = world.lastCommit();
    const TaskRef task { jobA, 0, 0, 0 };
    const auto holder = holderOf(world, task);
    REQUIRE_FALSE(holder.empty());
    world.run(lastCommit + 2s - world.now);
    world.crash(holder);
    world.takeover();
    // 2 % slow: what the predecessor may prolong without a commit, the longest lease; the time of a stop.
    const auto leaseEnds = lastCommit + std::chrono::duration_cast<Duration>((4s + 6s) * 1.0205) + 900ms;
    world.run(leaseEnds - 50ms - world.now);
    CHECK(world.runsOf(task) == 0);
    world.run(600ms);
    CHECK(world.runsOf(task) == 1);
    checkNoViolation(world);
}

TEST_CASE("a job counts as waiting until an executor has begun a task of it")
{
    struct Row {
        OrderResult answer;
        std::int64_t waiting;
    };
    for (const auto& row : { Row { OrderResult::Ok, 0 }, Row { OrderResult::Unhealthy, 1 },
             Row { OrderResult::NoTicket, 1 }, Row { OrderResult::NoAnswer, 1 } }) {
        CAPTURE(std::string(text(row.answer)));
        OneStart it;
        CHECK(it.scheduler.pending().at("q") == 1);
        const auto starts = it.pump().starts;
        REQUIRE(starts.size() == 1);
        it.scheduler.startAnswered(starts[0].life, starts[0].task, 1, row.answer, it.now);
        CHECK(it.scheduler.pending().at("q") == row.waiting);
    }
}
