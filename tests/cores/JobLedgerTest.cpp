#include "quay/core/JobLedger.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <functional>

// Tests of single transitions. JobLedgerSeededTest.cpp tests random interleavings.
namespace quay::test {

namespace {

const JobId job { "j" };
const DomainId domain { "d" };
const ServerId first { "w0" };
const ServerId second { "w1" };
constexpr std::int64_t workerCpuMilli = 4000;

template <typename Action> std::vector<Action> actionsOf(const std::vector<LedgerAction>& actions)
{
    std::vector<Action> found;
    for (const LedgerAction& action : actions)
        if (const auto* it = std::get_if<Action>(&action))
            found.push_back(*it);
    return found;
}

JobRecord makeJob(JobKind kind, bool idempotent, std::uint32_t tasks, std::int64_t cpuMilli = 1000)
{
    JobRecord record;
    record.id = job;
    record.domain = domain;
    record.spec.kind = kind;
    record.spec.team = TeamId("t");
    record.spec.idempotent = idempotent;
    record.spec.taskCount = tasks;
    record.spec.perTask = { cpuMilli, 100, 0 };
    record.tasks.resize(tasks);
    return record;
}

// The ledger of a new leader with two listed workers.
struct LedgerFixture {
    JobLedger ledger;
    Instant now = Instant {} + 1000s;
    std::uint64_t version = 10;
    std::map<ServerId, WorkerReport> reports;

    explicit LedgerFixture(std::vector<VersionedRecord> records = {})
    {
        ledger.domain = domain;
        WorkerList list;
        for (const ServerId& id : { first, second }) {
            ServerInfo info;
            info.id = id;
            info.domain = domain;
            info.capacity = { workerCpuMilli, 4000, 0 };
            list.servers.push_back(info);
            reports[id].worker = id;
            reports[id].incarnation = std::string("1");
        }
        feed(list);
        feed(BecameLeader { 1, std::move(records) });
    }

    std::vector<LedgerAction> feed(const LedgerEvent& event) { return step(ledger, event, now); }

    std::vector<LedgerAction> report(const ServerId& id)
    {
        reports[id].requestedAt = now;
        return feed(reports[id]);
    }

    // Lets both workers report after all messages of a former leader must have arrived; before such a report
    // the ledger starts no task on a worker.
    void waitUntilWorkersAcceptWork()
    {
        now += ledger.settings.staleLeaderBound + ledger.settings.messageDelayBound;
        report(first);
        report(second);
    }

    void accept(const JobRecord& record) { feed(JobAccepted { record, ++version }); }

    std::vector<LedgerAction> place(const std::vector<ServerId>& workers)
    {
        PlacementsChosen chosen;
        for (std::uint32_t index = 0; index < workers.size(); ++index)
            chosen.placements.push_back({ job, index, workers[index] });
        return feed(chosen);
    }

    // Confirms the write in `actions` as applied.
    std::vector<LedgerAction> confirm(const std::vector<LedgerAction>& actions)
    {
        const auto writes = actionsOf<WriteRecord>(actions);
        REQUIRE(writes.size() == 1);
        return feed(WriteDone { writes[0].writeId, ++version });
    }

    std::vector<LedgerAction> answer(std::uint32_t index, const ServerId& worker, StartOutcome outcome)
    {
        return feed(StartAnswer { worker, attemptOf(index), outcome, "busy" });
    }

    // The worker reports the end of the task's latest attempt.
    std::vector<LedgerAction> end(std::uint32_t index, bool ok)
    {
        WorkerReport& worker = reports[task(index).worker];
        worker.ended.push_back({ attemptOf(index), ok, ok ? "done" : "broken" });
        now += 1s;
        return report(worker.worker);
    }

    std::vector<LedgerAction> wait(Duration duration)
    {
        now += duration;
        return feed(LedgerTick {});
    }

    TaskAttempt attemptOf(std::uint32_t index) const
    {
        return { taskId(job, index), ledger.jobs.at(job).record.tasks[index].attempt };
    }
    const TaskRecord& task(std::uint32_t index) const { return ledger.jobs.at(job).record.tasks[index]; }
    JobState state() const { return ledger.jobs.at(job).record.state; }
};

} // namespace

TEST_CASE("job ledger: a first start waits for its durable intent")
{
    for (const JobKind kind : { JobKind::Batch, JobKind::Gang, JobKind::Service }) {
        for (const bool idempotent : { false, true }) {
            CAPTURE(text(kind));
            CAPTURE(idempotent);
            LedgerFixture fixture;
            fixture.waitUntilWorkersAcceptWork();
            fixture.accept(makeJob(kind, idempotent, 2));
            const auto decided = fixture.place({ first, second });
            CHECK(actionsOf<SendStart>(decided).empty());
            CHECK(fixture.ledger.workers.at(first).heldResources.cpuMilli == 1000);
            CHECK(actionsOf<SendStart>(fixture.confirm(decided)).size() == 2);
        }
    }
}

TEST_CASE("job ledger: a start waits while the write of its intent has an unknown outcome")
{
    LedgerFixture fixture;
    fixture.waitUntilWorkersAcceptWork();
    fixture.accept(makeJob(JobKind::Batch, false, 1));
    const std::uint64_t id = actionsOf<WriteRecord>(fixture.place({ first })).at(0).writeId;
    CHECK(fixture.feed(WriteUnknown { id }).empty());
    CHECK(fixture.feed(WriteFailed { id }).empty());
    const auto again = fixture.wait(100ms);
    CHECK(actionsOf<SendStart>(again).empty());
    CHECK(actionsOf<SendStart>(fixture.confirm(again)).size() == 1);
}

TEST_CASE("job ledger: a write of unknown outcome is retried with the same expected version")
{
    LedgerFixture fixture;
    fixture.waitUntilWorkersAcceptWork();
    fixture.accept(makeJob(JobKind::Batch, false, 1));
    const auto writes = actionsOf<WriteRecord>(fixture.place({ first }));
    fixture.feed(WriteUnknown { writes.at(0).writeId });
    const Duration bound = fixture.ledger.settings.unknownWriteBound;
    CHECK(actionsOf<WriteRecord>(fixture.wait(bound - 1ms)).empty());
    const auto again = actionsOf<WriteRecord>(fixture.wait(1ms));
    REQUIRE(again.size() == 1);
    CHECK(again[0].expectedVersion == writes[0].expectedVersion);
    CHECK(again[0].writeId != writes[0].writeId);
    // A late answer to the first write is not taken for an answer to the retry.
    CHECK(actionsOf<SendStart>(fixture.feed(WriteDone { writes[0].writeId, 99 })).empty());
}

TEST_CASE("job ledger: only a conflict of a write in flight ends leadership")
{
    LedgerFixture fixture;
    fixture.waitUntilWorkersAcceptWork();
    fixture.accept(makeJob(JobKind::Batch, false, 1));
    const std::uint64_t early = actionsOf<WriteRecord>(fixture.place({ first })).at(0).writeId;
    fixture.feed(LostLeadership {});
    JobRecord record = makeJob(JobKind::Batch, false, 1);
    fixture.feed(BecameLeader { 2, { { record, fixture.version } } });
    fixture.waitUntilWorkersAcceptWork();
    const std::uint64_t current = actionsOf<WriteRecord>(fixture.place({ first })).at(0).writeId;
    fixture.feed(WriteConflict { early });
    CHECK(fixture.ledger.isLeading);
    fixture.feed(WriteConflict { current });
    CHECK_FALSE(fixture.ledger.isLeading);
    CHECK(fixture.ledger.jobs.empty());
}

TEST_CASE("job ledger: task states after each start outcome and after lease expiry")
{
    struct Row {
        StartOutcome outcome;
        bool idempotent;
        TaskState atOnce;
        TaskState afterExpiry; // without any report
    };
    const Row rows[] = {
        { StartOutcome::Refused, false, TaskState::Pending, TaskState::Pending },
        { StartOutcome::Refused, true, TaskState::Pending, TaskState::Pending },
        { StartOutcome::Unknown, false, TaskState::Starting, TaskState::OutcomeUnknown },
        { StartOutcome::Unknown, true, TaskState::Starting, TaskState::Pending },
        { StartOutcome::Accepted, false, TaskState::Running, TaskState::OutcomeUnknown },
        { StartOutcome::Accepted, true, TaskState::Running, TaskState::Pending },
    };
    for (const Row& row : rows) {
        CAPTURE(static_cast<int>(row.outcome));
        CAPTURE(row.idempotent);
        LedgerFixture fixture;
        fixture.waitUntilWorkersAcceptWork();
        fixture.accept(makeJob(JobKind::Batch, row.idempotent, 1));
        fixture.confirm(fixture.place({ first }));
        fixture.answer(0, first, row.outcome);
        CHECK(fixture.task(0).state == row.atOnce);
        fixture.wait(leaseExpiryBound(fixture.ledger.settings) - 1ms);
        CHECK(fixture.task(0).state == row.atOnce);
        fixture.wait(1ms);
        CHECK(fixture.task(0).state == row.afterExpiry);
    }
}

TEST_CASE("job ledger: the end of a task is acknowledged once it is durable")
{
    LedgerFixture fixture;
    fixture.waitUntilWorkersAcceptWork();
    fixture.accept(makeJob(JobKind::Batch, false, 1));
    fixture.confirm(fixture.place({ first }));
    const auto ended = fixture.end(0, true);
    CHECK(actionsOf<SendAck>(ended).empty());
    CHECK(actionsOf<ReleaseTokens>(ended).size() == 1);
    const auto durable = fixture.confirm(ended);
    CHECK(actionsOf<SendAck>(durable).size() == 1);
    CHECK(actionsOf<JobEnded>(durable).size() == 1);
    const auto finished = takeFinished(fixture.ledger);
    REQUIRE(finished.size() == 1);
    CHECK(finished[0].record.state == JobState::Succeeded);
    CHECK(findJob(fixture.ledger, job) == nullptr);
}

TEST_CASE("job ledger: a refused member stops its gang")
{
    for (const bool idempotent : { false, true }) {
        CAPTURE(idempotent);
        LedgerFixture fixture;
        fixture.waitUntilWorkersAcceptWork();
        fixture.accept(makeJob(JobKind::Gang, idempotent, 2));
        fixture.confirm(fixture.place({ first, second }));
        fixture.answer(0, first, StartOutcome::Accepted);
        const auto stops = actionsOf<SendStop>(fixture.answer(1, second, StartOutcome::Refused));
        REQUIRE(stops.size() == 1);
        CHECK(stops[0].worker == first);
        CHECK(pendingWork(fixture.ledger, 10).empty());
        fixture.end(0, false);
        // An idempotent gang is pending again; the other fails, because the stopped member did run.
        CHECK(fixture.state() == (idempotent ? JobState::Active : JobState::Failed));
        fixture.wait(10s);
        CHECK(pendingWork(fixture.ledger, 10).size() == (idempotent ? 2 : 0));
    }
}

TEST_CASE("job ledger: a gang that doesn't fit as a whole holds no capacity")
{
    LedgerFixture fixture;
    fixture.waitUntilWorkersAcceptWork();
    fixture.accept(makeJob(JobKind::Gang, true, 2, 3000));
    const auto actions = fixture.place({ first, first });
    CHECK(actionsOf<SendStart>(actions).empty());
    CHECK(actionsOf<WriteRecord>(actions).empty());
    CHECK(actionsOf<ReleaseTokens>(actions).size() == 2);
    CHECK(fixture.ledger.workers.at(first).heldResources == Resources {});
    CHECK(pendingWork(fixture.ledger, 10).size() == 2);
}

TEST_CASE("job ledger: a service is restarted until it is cancelled")
{
    LedgerFixture fixture;
    fixture.waitUntilWorkersAcceptWork();
    fixture.accept(makeJob(JobKind::Service, false, 1));
    constexpr std::uint32_t rounds = 20; // more than any limit of attempts or refusals
    for (std::uint32_t round = 0; round < rounds; ++round) {
        CAPTURE(round);
        REQUIRE(pendingWork(fixture.ledger, 10).size() == 1);
        auto actions = fixture.place({ first });
        if (round == 0)
            actions = fixture.confirm(actions);
        REQUIRE(actionsOf<SendStart>(actions).size() == 1);
        if (round % 2 == 0)
            fixture.answer(0, first, StartOutcome::Refused);
        else
            fixture.end(0, false);
        CHECK(pendingWork(fixture.ledger, 10).empty());
        for (const auto& [id, writing] : std::map(fixture.ledger.writesInFlight))
            fixture.feed(WriteDone { id, ++fixture.version });
        for (const auto& [id, writing] : std::map(fixture.ledger.writesInFlight))
            fixture.feed(WriteDone { id, ++fixture.version });
        fixture.wait(fixture.ledger.settings.maxBackoff);
        fixture.report(first);
    }
    fixture.feed(CancelRequested { job });
    CHECK(fixture.state() == JobState::Cancelled);
}

// Guards against a cancellation that is acknowledged from the leader's memory.
TEST_CASE("job ledger: a cancellation is durable once the write that includes it is confirmed")
{
    struct Row {
        const char* name;
        std::function<LedgerEvent(std::uint64_t writeId)> answer;
        bool isDurable;
    };
    const Row rows[] = {
        { "written",
            [](std::uint64_t id) {
                return WriteDone { id, 50 };
            },
            true },
        { "not written", [](std::uint64_t id) { return WriteFailed { id }; }, false },
        { "no answer", [](std::uint64_t id) { return WriteUnknown { id }; }, false },
    };
    for (const Row& row : rows) {
        CAPTURE(std::string(row.name));
        LedgerFixture fixture;
        fixture.waitUntilWorkersAcceptWork();
        fixture.accept(makeJob(JobKind::Batch, true, 1));
        CHECK(latestChange(fixture.ledger, JobId { "unknown" }) == 0);
        const auto before = latestChange(fixture.ledger, job);
        const auto writes = actionsOf<WriteRecord>(fixture.feed(CancelRequested { job }));
        const auto change = latestChange(fixture.ledger, job);
        CHECK(change > before);
        CHECK_FALSE(isChangeDurable(fixture.ledger, job, change));
        REQUIRE(writes.size() == 1);
        fixture.feed(row.answer(writes[0].writeId));
        CHECK(isChangeDurable(fixture.ledger, job, change) == row.isDurable);
    }
}

TEST_CASE("job ledger: a job that is too large for every worker fails with the reason in its record")
{
    struct Row {
        JobKind kind;
        std::uint32_t tasks;
        std::int64_t cpuMilli;
        bool fails;
    };
    const Row rows[] = {
        { JobKind::Batch, 1, workerCpuMilli, false },
        { JobKind::Batch, 1, workerCpuMilli + 1, true },
        { JobKind::Batch, 9, workerCpuMilli, false }, // one after the other
        { JobKind::Gang, 2, workerCpuMilli, false },
        { JobKind::Gang, 3, workerCpuMilli, true },
    };
    for (const Row& row : rows) {
        CAPTURE(row.tasks);
        CAPTURE(row.cpuMilli);
        LedgerFixture fixture;
        fixture.waitUntilWorkersAcceptWork();
        fixture.accept(makeJob(row.kind, true, row.tasks, row.cpuMilli));
        fixture.wait(1s);
        fixture.wait(fixture.ledger.settings.unschedulableAfter);
        CHECK(fixture.state() == (row.fails ? JobState::Failed : JobState::Active));
        CHECK(findJob(fixture.ledger, job)->note.empty() != row.fails);
    }
}

TEST_CASE("job ledger: repeated cancellations cause one write per job")
{
    constexpr std::uint32_t taskCount = 6;
    LedgerFixture fixture;
    fixture.waitUntilWorkersAcceptWork();
    fixture.accept(makeJob(JobKind::Batch, false, taskCount));
    fixture.confirm(fixture.place({ first, second }));
    std::size_t writes = 0;
    std::size_t stops = 0;
    for (int repeat = 0; repeat < 50; ++repeat) {
        const auto actions = fixture.feed(CancelRequested { job });
        writes += actionsOf<WriteRecord>(actions).size();
        stops += actionsOf<SendStop>(actions).size();
    }
    CHECK(writes == 1);
    CHECK(stops == 2);
    for (std::uint32_t index = 2; index < taskCount; ++index)
        CHECK(fixture.task(index).state == TaskState::Cancelled);
    fixture.end(0, false);
    fixture.end(1, true);
    // Task 1 succeeded before the stop reached it, so success is recorded.
    CHECK(fixture.task(0).state == TaskState::Cancelled);
    CHECK(fixture.task(1).state == TaskState::Succeeded);
    CHECK(fixture.state() == JobState::Cancelled);
}

TEST_CASE("job ledger: a new leader recovers a recorded task from the worker's report")
{
    enum class ReportedState { Running, Ended, Missing, Nothing };
    struct Row {
        TaskState recorded;
        ReportedState reported;
        bool idempotent;
        TaskState expected;
    };
    const Row rows[] = {
        { TaskState::Starting, ReportedState::Running, false, TaskState::Running },
        { TaskState::Running, ReportedState::Running, true, TaskState::Running },
        { TaskState::Starting, ReportedState::Ended, false, TaskState::Succeeded },
        { TaskState::Running, ReportedState::Ended, true, TaskState::Succeeded },
        { TaskState::Starting, ReportedState::Missing, false, TaskState::OutcomeUnknown },
        { TaskState::Starting, ReportedState::Missing, true, TaskState::Pending },
        { TaskState::Running, ReportedState::Nothing, false, TaskState::OutcomeUnknown },
        { TaskState::Running, ReportedState::Nothing, true, TaskState::Pending },
        { TaskState::Pending, ReportedState::Missing, false, TaskState::Pending },
        // The worker runs an attempt that is one ahead of the record.
        { TaskState::Pending, ReportedState::Running, true, TaskState::Running },
    };
    for (const Row& row : rows) {
        CAPTURE(text(row.recorded));
        CAPTURE(static_cast<int>(row.reported));
        CAPTURE(row.idempotent);
        JobRecord record = makeJob(JobKind::Batch, row.idempotent, 1);
        const bool open = row.recorded != TaskState::Pending;
        record.tasks[0] = { row.recorded, 1, first, "" };
        LedgerFixture fixture({ { record, 7 } });
        const TaskAttempt attempt { taskId(job, 0), open ? 1U : 2U };
        if (row.reported == ReportedState::Running)
            fixture.reports[first].running.push_back({ attempt, 0 });
        if (row.reported == ReportedState::Ended)
            fixture.reports[first].ended.push_back({ attempt, true, "done" });
        if (row.reported == ReportedState::Nothing)
            fixture.wait(
                fixture.ledger.settings.staleLeaderBound + leaseExpiryBound(fixture.ledger.settings));
        else
            fixture.waitUntilWorkersAcceptWork();
        CHECK(fixture.task(0).state == row.expected);
    }
}

TEST_CASE("job ledger: a report with the epoch of a later leader is ignored")
{
    LedgerFixture fixture;
    fixture.waitUntilWorkersAcceptWork();
    fixture.now += 60s;
    fixture.reports[first].running.push_back({ { taskId(JobId("other"), 0), 1 }, 2 });
    fixture.reports[first].ended.push_back({ { taskId(JobId("other"), 1), 1 }, true, "done" });
    fixture.reports[first].epoch = 2;
    CHECK(fixture.report(first).empty());
    // With the ledger's own epoch, the report's tasks are unknown: the running one is stopped and the ended
    // one acknowledged.
    fixture.reports[first].epoch = 1;
    const auto actions = fixture.report(first);
    CHECK(actionsOf<SendStop>(actions).size() == 1);
    CHECK(actionsOf<SendAck>(actions).size() == 1);
}

} // namespace quay::test
