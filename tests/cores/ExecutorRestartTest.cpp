#include "HandFleet.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <numeric>

// Executors that start again under their id.
using namespace quay;
using namespace quay::fleet;
using namespace quay::fleet::test;

namespace {

const std::string job = "00000000000000aa";

// A scheduler and one executor with room for one task, which answers each order of the scheduler by hand.
struct OneExecutor {
    OneExecutor()
    {
        FleetConfiguration configuration;
        configuration.queues = { { "q", "h", "/", "service", 0, 3, 1, 300, true, {} } };
        scheduler.configure(configuration);
        entry.id = "e";
        entry.startedUnixMs = 1000;
        entry.service = "service";
        entry.address = "a:1";
        entry.capacity = { 1000, 1000, 0 };
        scheduler.executorRegistered(entry, now);
    }

    SchedulerActions pump(Duration after = 10ms)
    {
        now += after;
        SchedulerActions actions;
        scheduler.pump(now, 0, actions);
        if (actions.commit)
            scheduler.committed(actions.commit->number, now, now);
        return actions;
    }

    void answer(const HeartbeatAction& heartbeat, std::int64_t startedUnixMs,
        const std::vector<RunningTask>& running = {}, const std::vector<EndedTask>& ended = {})
    {
        scheduler.heartbeatAnswered(heartbeat.incarnation, OrderResult::Ok,
            ExecutorReport { toMilliseconds(now.time_since_epoch()), startedUnixMs, running, ended }, now,
            now);
    }

    void restart(std::int64_t startedUnixMs)
    {
        entry.startedUnixMs = startedUnixMs;
        scheduler.executorRegistered(entry, now);
    }

    ExecutorEntry entry;
    Instant now { 100s };
    FleetScheduler scheduler { {}, now, now };
};

struct RestartRow {
    const char* name;
    MessageFaults faults;
    Duration registrationDelay;
    int takeoverPerMille; // probability in each step of 250 ms, like the next one
    int restartPerMille;
};

// Executors restart at random under their ids while leaders change and orders are lost or late.
void checkRestarts(const RestartRow& row, const std::vector<unsigned>& seeds)
{
    for (const unsigned seed : seeds) {
        CAPTURE(std::string(row.name));
        CAPTURE(seed);
        FleetSimulation simulation(seed, 6, row.faults);
        simulation.registrationDelay = row.registrationDelay;
        std::mt19937 random(seed * 7919);
        simulation.behaviour = [&](const TaskRef&, int) {
            FakeRun run;
            run.endsAt = simulation.now + std::chrono::milliseconds(100 + random() % 1900);
            return run;
        };
        const auto roll = [&](int perMille) { return static_cast<int>(random() % 1000) < perMille; };
        std::vector<std::string> ids;
        for (int i = 0; i < 40; ++i) {
            if (i < 20) {
                char id[17];
                std::snprintf(id, sizeof id, "%016x", i);
                simulation.submit(jobOf(id, 1 + static_cast<int>(random() % 8)));
                ids.emplace_back(id);
            }
            simulation.run(250ms);
            if (roll(row.takeoverPerMille))
                simulation.takeover();
            for (auto& [id, executor] : simulation.executors) {
                if (roll(row.restartPerMille))
                    simulation.restart(id);
            }
        }
        const auto isCompleted
            = [&](const std::string& id) { return simulation.phase(id) == JobPhase::Completed; };
        for (int i = 0; i < 75 && !std::all_of(ids.begin(), ids.end(), isCompleted); ++i)
            simulation.run(1s);
        simulation.run(15s); // late orders arrive within it
        for (const auto& it : simulation.violations)
            FAIL_CHECK(it);
        for (const auto& id : ids)
            CHECK(simulation.phase(id) == JobPhase::Completed);
    }
}

void checkRestarts(const RestartRow& row, unsigned seeds)
{
    std::vector<unsigned> all(seeds);
    std::iota(all.begin(), all.end(), 1U);
    checkRestarts(row, all);
}

const RestartRow allFaults { "all", { 20, 50, 100 }, 1500ms, 80, 80 };

} // namespace

TEST_CASE("a late answer to a heartbeat that was sent before a restart: the executor is not entered twice")
{
    OneExecutor fleet;
    auto heartbeats = fleet.pump().heartbeats;
    REQUIRE(heartbeats.size() == 1);
    fleet.answer(heartbeats[0], 1000);
    heartbeats = fleet.pump().heartbeats;
    REQUIRE(heartbeats.size() == 1);

    fleet.restart(5000);
    fleet.answer(heartbeats[0], 5000);
    fleet.entry.remainingMs = 1; // a later registration of the same process
    fleet.scheduler.executorRegistered(fleet.entry, fleet.now);
    heartbeats = fleet.pump().heartbeats;
    CHECK(heartbeats.size() == 1);
    for (const auto& it : heartbeats)
        fleet.answer(it, 5000);

    fleet.scheduler.submit(jobOf(job, 2), fleet.now);
    std::size_t starts = 0;
    for (int i = 0; i < 5; ++i)
        starts += fleet.pump().starts.size();
    CHECK(starts == 1);
}

TEST_CASE(
    "a heartbeat that acknowledged ends of the process before arrives late: no run is placed whose end it "
    "would discard")
{
    struct Row {
        const char* name;
        bool isAcknowledgementAnswered;
        Duration sinceLoss; // from the heartbeat that had no answer to the placement
        bool isPlaced;
    };
    const Row rows[] = {
        { "it was answered", true, 1s, true },
        { "it may arrive", false, 1s, false },
        { "it may arrive late", false, 12s, false },
        { "it can't arrive any more", false, 21s, true },
    };
    for (const auto& row : rows) {
        CAPTURE(std::string(row.name));
        OneExecutor fleet;
        fleet.answer(fleet.pump().heartbeats.at(0), 1000);
        fleet.scheduler.submit(jobOf(job, 1), fleet.now);
        std::vector<StartAction> starts;
        std::vector<HeartbeatAction> heartbeats;
        for (int i = 0; i < 5; ++i) {
            const auto actions = fleet.pump();
            starts.insert(starts.end(), actions.starts.begin(), actions.starts.end());
            heartbeats.insert(heartbeats.end(), actions.heartbeats.begin(), actions.heartbeats.end());
        }
        REQUIRE(starts.size() == 1);
        REQUIRE(heartbeats.size() == 1);
        const TaskRef task = starts[0].task;
        fleet.scheduler.startAnswered(starts[0].incarnation, task, 1,
            { OrderResult::Ok, toMilliseconds(fleet.now.time_since_epoch()) }, fleet.now);
        fleet.answer(heartbeats[0], 1000, {}, { { 1, task, 1, RunOutcome::Done, {} } });
        fleet.pump(); // commits the end
        heartbeats = fleet.pump().heartbeats;
        REQUIRE(heartbeats.size() == 1);
        REQUIRE(heartbeats[0].acknowledgedEnd == 1);
        if (row.isAcknowledgementAnswered) {
            fleet.answer(heartbeats[0], 1000);
            heartbeats = fleet.pump(100ms).heartbeats;
            REQUIRE(heartbeats.size() == 1);
            CHECK(heartbeats[0].acknowledgedEnd == 0);
        }
        fleet.scheduler.heartbeatAnswered(
            heartbeats[0].incarnation, OrderResult::NoAnswer, std::nullopt, fleet.now, fleet.now);
        fleet.restart(5000);
        fleet.now += row.sinceLoss;
        for (const auto& it : fleet.pump().heartbeats)
            fleet.answer(it, 5000);
        fleet.scheduler.submit(jobOf("00000000000000bb", 1), fleet.now);
        std::size_t placed = 0;
        for (int i = 0; i < 5; ++i)
            placed += fleet.pump().starts.size();
        CHECK((placed == 1) == row.isPlaced);
    }
}

TEST_CASE(
    "seeded restarts under the same id, late orders and takeovers: no end is lost, no capacity is exceeded")
{
    const RestartRow rows[] = {
        { "restarts", {}, 0ms, 0, 60 },
        { "registrations that lag", {}, 1500ms, 0, 60 },
        { "answers that are lost", { 0, 100, 0 }, 300ms, 0, 60 },
        { "late orders", { 0, 0, 100 }, 0ms, 0, 60 },
        { "takeovers", {}, 0ms, 100, 60 },
        { "takeovers, registrations that lag", {}, 1500ms, 100, 60 },
        { "takeovers, late orders", { 0, 50, 100 }, 0ms, 100, 60 },
    };
    for (const auto& row : rows)
        checkRestarts(row, 20);
}

TEST_CASE("seeded restarts with all faults together: no end is lost") { checkRestarts(allFaults, 100); }

// Guards against TWICE: late orders to the previous process of an executor were carried out by the next one,
// which ran a task again or discarded its end.
TEST_CASE("late orders to the previous process of an executor: the next one does not carry them out")
{
    checkRestarts(allFaults, { 319, 334, 416, 525, 569, 644, 807, 949, 971 });
}

TEST_CASE("a new leader reads a registration from before a restart: runs of the later process are kept")
{
    HandFleet fleet;
    fleet.scheduler.executorRegistered(fleet.entry, fleet.now); // of the process before
    JobRecord record;
    record.phase = JobPhase::Running;
    TaskRecord row;
    row.run = 1;
    row.isAssigned = true;
    row.executor = "e";
    row.executorStartedUnixMs = 5000;
    record.tasks.push_back(row);
    fleet.scheduler.restore(jobOf(job, 1), record, fleet.now);
    const TaskRef task { job, 0, 0, 0 };
    fleet.pump();
    fleet.entry.startedUnixMs = 5000;
    for (int i = 0; i < 100; ++i) {
        fleet.answerAll(5000, { { task, 1, {}, 10, 0 } });
        if (i == 20)
            fleet.scheduler.executorRegistered(fleet.entry, fleet.now);
        fleet.pump(20ms);
    }
    fleet.answerAll(5000, {}, { { 1, task, 1, RunOutcome::Done, {} } });
    fleet.pump();
    fleet.pump();
    CHECK(fleet.starts.empty());
    CHECK(fleet.stops.empty());
    CHECK(fleet.scheduler.durablePhase(job) == JobPhase::Completed);
}

TEST_CASE(
    "a run that was given up is reported as done: its task is not started again after the acknowledgement")
{
    OneExecutor fleet;
    fleet.answer(fleet.pump().heartbeats.at(0), 1000);
    fleet.scheduler.submit(jobOf(job, 1), fleet.now);
    std::vector<HeartbeatAction> heartbeats;
    std::vector<StartAction> starts;
    const auto pump = [&](Duration after) {
        const auto actions = fleet.pump(after);
        starts.insert(starts.end(), actions.starts.begin(), actions.starts.end());
        heartbeats = actions.heartbeats;
    };
    while (starts.empty())
        pump(10ms);
    const auto task = starts[0].task;
    fleet.scheduler.startAnswered(starts[0].incarnation, task, 1, OrderResult::Ok, fleet.now);
    fleet.scheduler.heartbeatAnswered(0, OrderResult::NoAnswer, std::nullopt, fleet.now, fleet.now);
    for (int i = 0; i < 100; ++i) { // the lease of the silent executor lapses
        pump(100ms);
        for (const auto& it : heartbeats)
            fleet.scheduler.heartbeatAnswered(
                it.incarnation, OrderResult::NoAnswer, std::nullopt, fleet.now, fleet.now);
    }
    REQUIRE(starts.size() == 1);
    for (int i = 0; i < 20; ++i) {
        pump(100ms);
        for (const auto& it : heartbeats)
            fleet.answer(it, 1000, {},
                it.acknowledgedEnd >= 1 ? std::vector<EndedTask> {}
                                        : std::vector<EndedTask> { { 1, task, 1, RunOutcome::Done, {} } });
    }
    CHECK(starts.size() == 1);
    CHECK(fleet.scheduler.durablePhase(job) == JobPhase::Completed);
}

TEST_CASE(
    "a restart that a heartbeat tells of: the capacity of the process before is not taken for the new one's")
{
    HandFleet fleet;
    fleet.entry.capacity = { 4000, 4000, 0 };
    fleet.scheduler.executorRegistered(fleet.entry, fleet.now);
    fleet.pump();
    fleet.answerAll(1000);
    fleet.pump();
    fleet.answerAll(5000); // a process of another kind, with room for one task
    fleet.pump(100ms);
    fleet.answerAll(5000);
    fleet.scheduler.submit(jobOf(job, 4), fleet.now);
    for (int i = 0; i < 10; ++i)
        fleet.pump();
    fleet.entry.startedUnixMs = 5000;
    fleet.entry.capacity = { 1000, 1000, 0 };
    fleet.scheduler.executorRegistered(fleet.entry, fleet.now);
    for (int i = 0; i < 10; ++i)
        fleet.pump();
    CHECK(fleet.starts.size() <= 1);
}

TEST_CASE("a restart after the lease: an unanswered acknowledgement still bars placement")
{
    HandFleet fleet;
    fleet.scheduler.executorRegistered(fleet.entry, fleet.now);
    fleet.pump();
    fleet.answerAll(1000);
    fleet.scheduler.submit(jobOf(job, 1), fleet.now);
    fleet.pumpUntilStarted(1);
    const TaskRef task = fleet.starts[0].task;
    fleet.acceptStart(0);
    fleet.answerAll(1000, {}, { { 1, task, 1, RunOutcome::Done, {} } });
    fleet.pump();
    fleet.pump();
    REQUIRE(fleet.heartbeats.size() == 1);
    REQUIRE(fleet.heartbeats[0].acknowledgedEnd == 1);
    fleet.scheduler.executorDeregistered("e", fleet.now);
    const auto lostAt = fleet.now;
    while (fleet.now - lostAt < 10s) {
        fleet.failAll(); // each may be carried out up to 20 s later
        fleet.pump(100ms);
    }
    fleet.heartbeats.clear();
    fleet.entry.startedUnixMs = 50'000;
    fleet.scheduler.executorRegistered(fleet.entry, fleet.now);
    fleet.pump();
    fleet.answerAll(50'000);
    fleet.scheduler.submit(jobOf("00000000000000bb", 1), fleet.now);
    for (int i = 0; i < 10; ++i)
        fleet.pump();
    CHECK(fleet.starts.size() == 1);
}

TEST_CASE("a restart after the lease: an unanswered start is still barred by a stop")
{
    HandFleet fleet;
    fleet.scheduler.executorRegistered(fleet.entry, fleet.now);
    fleet.pump();
    fleet.answerAll(1000);
    fleet.scheduler.submit(jobOf(job, 1), fleet.now);
    fleet.pumpUntilStarted(1);
    const TaskRef task = fleet.starts[0].task;
    fleet.scheduler.executorDeregistered("e", fleet.now);
    const auto lostAt = fleet.now;
    std::size_t answered = 0;
    Instant lastUnanswered;
    while (fleet.now - lostAt < 10s) {
        for (; answered < fleet.starts.size(); ++answered) {
            fleet.scheduler.startAnswered(
                fleet.starts[answered].incarnation, task, 1, OrderResult::NoAnswer, fleet.now);
            lastUnanswered = fleet.now;
        }
        fleet.failAll();
        fleet.pump(100ms);
    }
    REQUIRE(fleet.now - lastUnanswered < 10s); // it may still be carried out
    fleet.heartbeats.clear();
    fleet.stops.clear();
    fleet.entry.startedUnixMs = 50'000;
    fleet.scheduler.executorRegistered(fleet.entry, fleet.now);
    fleet.pump();
    fleet.answerAll(50'000);
    for (int i = 0; i < 10; ++i)
        fleet.pump();
    CHECK(fleet.hasStop(1));
}

TEST_CASE("a run whose stop the process before confirmed runs in the next process: it is stopped there")
{
    HandFleet fleet;
    fleet.scheduler.executorRegistered(fleet.entry, fleet.now);
    fleet.pump();
    fleet.answerAll(1000);
    fleet.scheduler.submit(jobOf(job, 1), fleet.now);
    fleet.pumpUntilStarted(1);
    const TaskRef task = fleet.starts[0].task;
    fleet.scheduler.startAnswered(fleet.starts[0].incarnation, task, 1, OrderResult::NoAnswer, fleet.now);
    fleet.scheduler.cancel(job, fleet.now);
    fleet.pump();
    REQUIRE(fleet.hasStop(1));
    fleet.scheduler.stopAnswered(fleet.stops[0].incarnation, task, 1, OrderResult::Ok, fleet.now);
    fleet.stops.clear();
    fleet.failAll();
    fleet.entry.startedUnixMs = 5000;
    fleet.scheduler.executorRegistered(fleet.entry, fleet.now);
    fleet.pump();
    fleet.answerAll(5000, { { task, 1, {}, 10, 0 } }); // the late start was carried out
    for (int i = 0; i < 100; ++i) {
        fleet.pump(20ms);
        fleet.answerAll(5000, { { task, 1, {}, 10, 0 } });
    }
    CHECK(fleet.hasStop(1));
}

TEST_CASE("the first report of a restarted executor is truncated: a run that it omits may have ended there")
{
    HandFleet fleet;
    fleet.scheduler.executorRegistered(fleet.entry, fleet.now); // of the process before
    JobRecord record;
    record.phase = JobPhase::Running;
    TaskRecord row;
    row.run = 1;
    row.isAssigned = true;
    row.executor = "e";
    row.executorStartedUnixMs = 5000;
    record.tasks.push_back(row);
    fleet.scheduler.restore(jobOf(job, 1), record, fleet.now);
    fleet.pump();
    std::vector<EndedTask> ends;
    for (int i = 1; i <= 500; ++i)
        ends.push_back({ i, { "00000000000000cc", 0, 0, i }, 1, RunOutcome::Done, {} });
    fleet.answerAll(5000, {}, ends); // the end of our run is the 501st
    for (int i = 0; i < 20; ++i) {
        fleet.pump(20ms);
        fleet.answerAll(5000, {}, ends);
    }
    CHECK(fleet.starts.empty());
}

// Guards against TWICE: the new process of an executor discarded the end of a run that it had done, because a
// heartbeat that acknowledged ends of the previous process was sent before the restart was known.
TEST_CASE("a heartbeat gets no answer: no end is acknowledged until the executor has answered again")
{
    HandFleet fleet;
    fleet.scheduler.executorRegistered(fleet.entry, fleet.now);
    fleet.pump();
    fleet.answerAll(1000);
    fleet.scheduler.submit(jobOf(job, 1), fleet.now);
    fleet.pumpUntilStarted(1);
    const TaskRef task = fleet.starts[0].task;
    fleet.scheduler.startAnswered(fleet.starts[0].incarnation, task, 1, OrderResult::Ok, fleet.now);
    fleet.answerAll(1000, {}, { { 1, task, 1, RunOutcome::Done, {} } });
    fleet.pump(); // commits the end
    fleet.pump(); // acknowledges it
    REQUIRE(fleet.heartbeats.size() == 1);
    fleet.failAll(); // the executor may have restarted meanwhile
    for (int i = 0; i < 3; ++i) {
        fleet.pump(500ms);
        REQUIRE(fleet.heartbeats.size() == 1);
        CHECK(fleet.heartbeats[0].acknowledgedEnd == 0);
        fleet.failAll();
    }
    fleet.pump(500ms);
    fleet.answerAll(1000, {}, { { 1, task, 1, RunOutcome::Done, {} } }); // the same process
    fleet.pump(100ms);
    REQUIRE(fleet.heartbeats.size() == 1);
    CHECK(fleet.heartbeats[0].acknowledgedEnd == 1);
}

// Guards against TWICE: a task was started while an executor still listed an earlier run of it as running.
TEST_CASE(
    "an executor lists a run that was given up: its task is not started elsewhere before that run has ended")
{
    struct Row {
        const char* name;
        bool isDone; // the listed run ends as done, and not as stopped
        bool isPlacedBefore; // the next run was placed, but its start not sent, when the report arrives
    };
    const Row rows[] = {
        { "stopped", false, false },
        { "done", true, false },
        { "stopped, the next run is placed", false, true },
        { "done, the next run is placed", true, true },
    };
    for (const auto& row : rows) {
        CAPTURE(std::string(row.name));
        HandFleet fleet;
        fleet.scheduler.executorRegistered(fleet.entry, fleet.now);
        fleet.pump();
        fleet.answerAll(1000);
        fleet.scheduler.submit(jobOf(job, 1), fleet.now);
        fleet.pumpUntilStarted(1);
        const TaskRef task = fleet.starts[0].task;
        fleet.acceptStart(0);
        for (int i = 0; i < 100; ++i) { // the lease of the silent executor lapses
            fleet.pump(100ms);
            fleet.failAll();
        }
        fleet.registerOther();
        fleet.pump(500ms);
        const auto answerOther = [&] { fleet.answerAll(2000, {}, {}, "f"); };
        answerOther();
        const std::vector<RunningTask> running { { task, 1, {}, 10, 0 } };
        if (row.isPlacedBefore) {
            SchedulerActions actions;
            fleet.scheduler.pump(fleet.now += 10ms, 0, actions);
            REQUIRE(actions.commit);
            REQUIRE(actions.starts.empty());
            fleet.answerAll(1000, running);
            fleet.scheduler.committed(actions.commit->number, fleet.now, fleet.now);
        }
        for (int i = 0; i < 5; ++i) {
            fleet.answerAll(1000, running);
            answerOther();
            fleet.pump(20ms);
            CHECK(fleet.starts.size() == 1);
        }
        CHECK(fleet.hasStop(1));
        const std::vector<EndedTask> ends { { 1, task, 1, row.isDone ? RunOutcome::Done : RunOutcome::Stopped,
            {} } };
        for (int i = 0; i < 20; ++i) {
            const bool isAcknowledged = std::any_of(fleet.heartbeats.begin(), fleet.heartbeats.end(),
                [](const auto& it) { return it.executor == "e" && it.acknowledgedEnd >= 1; });
            fleet.answerAll(1000, {}, isAcknowledged ? std::vector<EndedTask> {} : ends);
            answerOther();
            fleet.pump(50ms);
        }
        if (row.isDone) {
            CHECK(fleet.starts.size() == 1);
            CHECK(fleet.scheduler.durablePhase(job) == JobPhase::Completed);
        } else {
            REQUIRE(fleet.starts.size() == 2);
            CHECK(fleet.starts[1].run == (row.isPlacedBefore ? 3 : 2)); // the second was withdrawn
        }
    }
}

// Guards against LIMIT: the runs that an executor lists and that were not ordered there were not counted
// against its capacity.
TEST_CASE("an executor lists a run that was not ordered there: no task is started beside it")
{
    struct Row {
        const char* name;
        TaskRef listed;
        bool isPlacedBefore; // a run was placed there, but its start not sent, when the report arrives
    };
    const Row rows[] = {
        { "of a known job", { job, 0, 0, 1 }, false },
        { "of an unknown job", { "00000000000000cc", 0, 0, 0 }, false },
        { "of a known job, a run is placed", { job, 0, 0, 1 }, true },
    };
    for (const auto& row : rows) {
        CAPTURE(std::string(row.name));
        HandFleet fleet;
        fleet.scheduler.executorRegistered(fleet.entry, fleet.now);
        fleet.pump();
        const std::vector<RunningTask> running { { row.listed, 7, {}, 10, 0 } };
        fleet.answerAll(1000, row.isPlacedBefore ? std::vector<RunningTask> {} : running);
        fleet.scheduler.submit(jobOf(job, 1), fleet.now);
        if (row.isPlacedBefore) {
            SchedulerActions actions;
            fleet.scheduler.pump(fleet.now += 10ms, 0, actions);
            REQUIRE(actions.commit);
            for (const auto& it : actions.heartbeats)
                fleet.heartbeats.push_back(it);
            fleet.answerAll(1000, running);
            fleet.scheduler.committed(actions.commit->number, fleet.now, fleet.now);
        }
        for (int i = 0; i < 5; ++i) {
            fleet.pump(20ms);
            fleet.answerAll(1000, running);
            CHECK(fleet.starts.empty());
        }
        CHECK(fleet.hasStop(7));
        for (int i = 0; i < 5; ++i) {
            fleet.pump(20ms);
            fleet.answerAll(1000);
        }
        CHECK(fleet.starts.size() == 1);
    }
}

// Guards against TWICE: the ends in the report that told of a restart were dropped, and the task was started
// again before the next report.
TEST_CASE(
    "the report that tells of a restart lists a run of the task: it is not started before the next report")
{
    struct Row {
        const char* name;
        bool isDone;
    };
    const Row rows[] = { { "running", false }, { "done", true } };
    for (const auto& row : rows) {
        CAPTURE(std::string(row.name));
        HandFleet fleet;
        fleet.scheduler.executorRegistered(fleet.entry, fleet.now);
        fleet.pump();
        fleet.answerAll(1000);
        fleet.pump(700ms);
        fleet.scheduler.submit(jobOf(job, 1), fleet.now);
        const TaskRef task { job, 0, 0, 0 };
        std::vector<RunningTask> running;
        std::vector<EndedTask> ends;
        if (row.isDone)
            ends.push_back({ 1, task, 1, RunOutcome::Done, {} });
        else
            running.push_back({ task, 1, {}, 10, 0 });
        fleet.answerAll(5000, running, ends);
        fleet.registerOther();
        const auto toldAt = fleet.now;
        while (fleet.starts.empty() && fleet.now - toldAt < 20s) { // the new process falls silent
            fleet.pump(50ms);
            fleet.failAll();
            fleet.answerAll(2000, {}, {}, "f");
        }
        REQUIRE(fleet.starts.size() == 1);
        CHECK(fleet.now - toldAt >= SchedulerBounds {}.maxLeaseDuration);
    }
}

TEST_CASE(
    "an executor starts again and never answers: its tasks are started elsewhere once its lease has expired")
{
    for (const bool doesHeartbeatTell : { true, false }) {
        CAPTURE(doesHeartbeatTell);
        HandFleet fleet;
        fleet.scheduler.executorRegistered(fleet.entry, fleet.now);
        fleet.pump();
        fleet.answerAll(1000);
        fleet.scheduler.submit(jobOf(job, 1), fleet.now);
        fleet.pumpUntilStarted(1);
        fleet.acceptStart(0);
        fleet.pump(500ms);
        REQUIRE(!fleet.heartbeats.empty());
        if (doesHeartbeatTell) {
            fleet.answerAll(5000);
        } else {
            fleet.answerAll(1000, { { fleet.starts[0].task, 1, {}, 10, 0 } });
            fleet.entry.startedUnixMs = 5000;
            fleet.scheduler.executorRegistered(fleet.entry, fleet.now);
        }
        fleet.registerOther();
        fleet.scheduler.executorDeregistered("e", fleet.now);
        for (int i = 0; i < 100 && fleet.starts.size() < 2; ++i) {
            fleet.failAll();
            fleet.answerAll(2000, {}, {}, "f");
            fleet.pump(100ms);
        }
        CHECK(fleet.starts.size() == 2);
    }
}

TEST_CASE("an executor that lists a run not ordered there falls silent: a start placed there is sent "
          "elsewhere soon")
{
    HandFleet fleet;
    fleet.scheduler.executorRegistered(fleet.entry, fleet.now);
    fleet.pump();
    fleet.answerAll(1000);
    fleet.scheduler.submit(jobOf(job, 1), fleet.now);
    SchedulerActions actions;
    fleet.scheduler.pump(fleet.now += 10ms, 0, actions);
    REQUIRE(actions.commit);
    for (const auto& it : actions.heartbeats)
        fleet.heartbeats.push_back(it);
    fleet.answerAll(1000, { { { "00000000000000cc", 0, 0, 0 }, 7, {}, 10, 0 } });
    fleet.scheduler.committed(actions.commit->number, fleet.now, fleet.now);
    fleet.registerOther();
    fleet.scheduler.executorDeregistered("e", fleet.now);
    const auto silentAt = fleet.now;
    while (fleet.starts.empty() && fleet.now - silentAt < 20s) {
        fleet.pump(50ms);
        fleet.failAll();
        fleet.answerAll(2000, {}, {}, "f");
    }
    REQUIRE(fleet.starts.size() == 1);
    CHECK(fleet.starts[0].executor == "f");
    CHECK(fleet.now - silentAt < 1s); // and not after its lease
}
