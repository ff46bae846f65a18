#include "JobLedgerParts.h"

#include <algorithm>

namespace quay::ledger {

namespace {

WorkerEntry clearedWorker(const WorkerEntry& worker, Instant now)
{
    WorkerEntry fresh;
    fresh.info = worker.info;
    fresh.listed = true;
    fresh.leaving = worker.leaving;
    fresh.lastReportRequestedAt = now;
    return fresh;
}

// Clears jobs and held capacity; keeps the platform's list of workers.
void clearState(StepContext& context)
{
    JobLedger& ledger = context.ledger;
    ledger.jobs.clear();
    ledger.timers.clear();
    ledger.readyTasks.clear();
    ledger.jobsToWrite.clear();
    ledger.unknownWrites.clear();
    ledger.failedWrites.clear();
    ledger.writesInFlight.clear();
    ledger.endedJobs.clear();
    std::erase_if(ledger.workers, [](const auto& item) { return !item.second.listed; });
    for (auto& [id, worker] : ledger.workers)
        worker = clearedWorker(worker, context.now);
}

// By then the last start that a former leader sent has arrived or been lost.
Instant formerStartsArriveBy(const JobLedger& ledger)
{
    if (!ledger.rules.awaitFormerLeader)
        return ledger.takenOverAt;
    return ledger.takenOverAt + ledger.settings.staleLeaderBound + ledger.settings.messageDelayBound;
}

// By then every task that a former leader started or renewed has ended, unless this leader renewed it.
Instant formerLeasesExpireAt(const JobLedger& ledger)
{
    if (!ledger.rules.awaitFormerLeader)
        return ledger.takenOverAt;
    return ledger.takenOverAt + ledger.settings.staleLeaderBound + leaseExpiryAfterSend(ledger);
}

void takeOverAttempt(StepContext& context, const TaskHandle& task, const ServerId& worker)
{
    holdCapacity(context, task, worker);
    TaskRuntime& runtime = task.runtime();
    runtime.inherited = true;
    runtime.startDeliveryDeadline = formerStartsArriveBy(context.ledger);
    runtime.leaseExpiresAt = formerLeasesExpireAt(context.ledger);
    setTimer(context, task, runtime.leaseExpiresAt);
}

void recoverTask(StepContext& context, const TaskHandle& task)
{
    const TaskRecord& record = task.record();
    if (isFinal(record.state))
        return;
    // The number of failures is not stored, so it is estimated from the attempts; one more is always allowed.
    const std::uint32_t maxAttempts = std::max(task.entry->record.spec.maxAttempts, 1U);
    task.runtime().failures = std::min(record.attempt, maxAttempts - 1);
    if (record.state == TaskState::Pending)
        return makePending(context, task, context.now);
    takeOverAttempt(context, task, ServerId(record.worker));
    task.runtime().isRecovering = true;
    context.ledger.workers[record.worker].lastReportRequestedAt = context.now;
}

void cancelRecovered(StepContext& context, const TaskHandle& task)
{
    if (task.runtime().holdsCapacity)
        return stopTask(context, task);
    if (!isFinal(task.record().state) && !task.runtime().isRecovering)
        makeFinal(context, task, TaskState::Cancelled, "cancelled before its start");
}

} // namespace

void recoverJob(StepContext& context, const VersionedRecord& row)
{
    JobEntry& entry = addJob(context, row);
    if (entry.record.state != JobState::Active) {
        entry.ended = true;
        context.ledger.endedJobs.push_back(row.record.id);
        context.actions.emplace_back(JobEnded { row.record.id });
        return;
    }
    entry.recoveryEndsAt = formerLeasesExpireAt(context.ledger);
    for (std::uint32_t index = 0; index < entry.tasks.size(); ++index)
        recoverTask(context, { &entry, { row.record.id, index } });
    if (entry.record.cancelRequested) {
        entry.isStoppingGang = isGang(entry);
        for (std::uint32_t index = 0; index < entry.tasks.size(); ++index)
            cancelRecovered(context, { &entry, { row.record.id, index } });
    }
    updateJobState(context, entry);
}

void onBecameLeader(StepContext& context, const BecameLeader& event)
{
    clearState(context);
    context.ledger.isLeading = true;
    context.ledger.epoch = event.epoch;
    context.ledger.takenOverAt = context.now;
    for (const VersionedRecord& row : event.records)
        recoverJob(context, row);
}

void onLostLeadership(StepContext& context)
{
    clearState(context);
    context.ledger.isLeading = false;
}

namespace {

void addListedWorker(StepContext& context, const ServerInfo& info)
{
    WorkerEntry& worker = context.ledger.workers[info.id];
    if (!worker.listed) {
        worker.leaving = false;
        worker.lastReportRequestedAt = std::max(worker.lastReportRequestedAt, context.now);
    }
    worker.info = info;
    worker.listed = true;
    // The list lags behind, so it doesn't clear an earlier leaving hint.
    worker.leaving = worker.leaving || info.leaving;
}

} // namespace

void onWorkerList(StepContext& context, const WorkerList& event)
{
    auto& workers = context.ledger.workers;
    std::set<ServerId> listed;
    for (const ServerInfo& info : event.servers) {
        if (info.kind != ServerKind::Worker || info.domain != context.ledger.domain)
            continue;
        listed.insert(info.id);
        addListedWorker(context, info);
    }
    for (auto& [id, worker] : workers)
        worker.listed = listed.contains(id);
    std::erase_if(workers, [](const auto& item) { return !item.second.listed && item.second.tasks.empty(); });
}

namespace {

bool isCurrent(const TaskHandle& task, const ServerId& worker, const TaskAttempt& attempt)
{
    return task.runtime().holdsCapacity && !task.runtime().awaitsIntent && task.record().worker == worker
        && task.record().attempt == attempt.attempt;
}

// True for an attempt that this leader did not start. A former leader either started it without a durable
// intent (idempotent work may be one attempt ahead of its record), or recorded it after this leader had read
// the row; then the next write gets a conflict, and the takeover that follows reads the current record. In
// neither case may the attempt be acknowledged or stopped as unknown.
bool isUnrecorded(const TaskHandle& task, const TaskAttempt& attempt)
{
    return !isFinal(task.record().state) && attempt.attempt > task.record().attempt;
}

// A job that this ledger doesn't hold may have been stored after the takeover's scan and started by a former
// leader. Until that leader's leases have expired, its tasks are not stopped; nobody renews their leases.
bool mayBelongToFormerLeader(const StepContext& context)
{
    return context.now < formerLeasesExpireAt(context.ledger);
}

void adoptUnrecordedAttempt(
    StepContext& context, const TaskHandle& task, const ServerId& worker, const TaskAttempt& attempt)
{
    // The former leader started a later attempt, so it knew that the recorded one had ended.
    releaseCapacity(context, task);
    takeOverAttempt(context, task, worker);
    task.runtime().isRecovering = false;
    task.runtime().hasSucceeded = false;
    task.record().attempt = attempt.attempt;
    task.record().state = TaskState::Running;
    markChanged(context, *task.entry);
    task.runtime().attemptSequence = task.entry->latestChange;
}

void confirmRunning(StepContext& context, const TaskHandle& task, WorkerEntry& worker)
{
    TaskRuntime& runtime = task.runtime();
    if (runtime.isRecovering || !runtime.isConfirmed)
        worker.renewAt = context.now;
    runtime.isRecovering = false;
    runtime.isConfirmed = true;
    task.record().state = TaskState::Running;
}

// False if the worker runs an attempt that it should not run.
bool onRunning(StepContext& context, const WorkerReport& event, const ReportedTask& running)
{
    const TaskHandle task = find(context.ledger, running.attempt.task);
    if (task && isUnrecorded(task, running.attempt)) {
        adoptUnrecordedAttempt(context, task, event.worker, running.attempt);
        if (task.entry->isStoppingGang || task.entry->record.cancelRequested)
            stopTask(context, task);
    }
    if (task && isCurrent(task, event.worker, running.attempt)) {
        confirmRunning(context, task, context.ledger.workers[event.worker]);
        return true;
    }
    if (task || !mayBelongToFormerLeader(context))
        context.actions.emplace_back(SendStop { event.worker, running.attempt });
    return false;
}

bool isRecordedAsOpen(const TaskHandle& task, const ServerId& worker, const TaskAttempt& attempt)
{
    const TaskRecord& record = task.record();
    const bool open = record.state == TaskState::Starting || record.state == TaskState::Running;
    return open && record.worker == worker && record.attempt == attempt.attempt;
}

void onEnded(StepContext& context, const WorkerReport& event, const EndedTask& ended)
{
    const TaskHandle task = find(context.ledger, ended.attempt.task);
    if (!task && mayBelongToFormerLeader(context))
        return;
    if (!task)
        return void(context.actions.emplace_back(SendAck { event.worker, { ended.attempt } }));
    if (isUnrecorded(task, ended.attempt))
        adoptUnrecordedAttempt(context, task, event.worker, ended.attempt);
    if (isCurrent(task, event.worker, ended.attempt)) {
        if (!ended.ok)
            ++context.ledger.workers[event.worker].startFailures;
        finishAttempt(
            context, task, ended.ok ? AttemptOutcome::Success : AttemptOutcome::Failure, ended.result);
    }
    // A gang member's end is recorded together with those of the others; the worker reports it again until
    // then.
    if (isRecordedAsOpen(task, event.worker, ended.attempt))
        return;
    acknowledge(context, *task.entry, event.worker, ended.attempt);
}

// The report was requested after the start's delivery deadline and shows the task neither running nor ended.
void onMissingTask(StepContext& context, const WorkerReport& event, const TaskHandle& task)
{
    const TaskRuntime& runtime = task.runtime();
    // If the worker has not restarted since the start was sent, it would still know an attempt that it
    // received.
    const bool neverArrived
        = runtime.startSent && !runtime.isConfirmed && runtime.incarnation == event.incarnation;
    if (neverArrived) {
        ++context.ledger.workers[event.worker].startFailures;
        return finishAttempt(
            context, task, AttemptOutcome::NotStarted, "the start never reached worker " + event.worker.text);
    }
    finishAttempt(context, task, AttemptOutcome::UnknownOutcome,
        "worker " + event.worker.text + " no longer knows the task");
}

void findMissingTasks(StepContext& context, const WorkerReport& event)
{
    std::set<TaskId> running;
    for (const ReportedTask& task : event.running)
        running.insert(task.attempt.task);
    const std::set<TaskRef> placedTasks = context.ledger.workers[event.worker].tasks;
    for (const TaskRef& ref : placedTasks) {
        const TaskHandle task = find(context.ledger, ref);
        // Handling one member of a gang may already have ended this one.
        if (!task.runtime().holdsCapacity || task.runtime().awaitsIntent
            || event.requestedAt < task.runtime().startDeliveryDeadline)
            continue;
        if (!running.contains(taskId(ref.job, ref.index)))
            onMissingTask(context, event, task);
    }
}

void recordReport(StepContext& context, WorkerEntry& worker, const WorkerReport& event)
{
    worker.lastReportRequestedAt = event.requestedAt;
    worker.isSuspected = false;
    worker.incarnation = event.incarnation;
    worker.reportedUsage = event.usage;
    worker.hasCompleteReport
        = worker.hasCompleteReport || event.requestedAt >= formerStartsArriveBy(context.ledger);
}

} // namespace

void onReport(StepContext& context, const WorkerReport& event)
{
    auto& workers = context.ledger.workers;
    const auto found = workers.find(event.worker);
    if (found == workers.end())
        return;
    // A later leader has contacted the worker, so this ledger must not act on what the worker runs.
    if (event.epoch > context.ledger.epoch)
        return;
    // A report older than the latest one or than the takeover carries no new information.
    if (event.requestedAt < found->second.lastReportRequestedAt
        || event.requestedAt < context.ledger.takenOverAt)
        return;
    recordReport(context, found->second, event);
    for (const EndedTask& ended : event.ended)
        onEnded(context, event, ended);
    bool hasUnknownTasks = false;
    for (const ReportedTask& running : event.running)
        hasUnknownTasks |= !onRunning(context, event, running);
    findMissingTasks(context, event);
    if (workers.contains(event.worker))
        workers[event.worker].hasUnknownTasks = hasUnknownTasks;
    // The last task of an unlisted worker may have ended above, which erases the worker's entry; a later
    // lookup above may then have added an empty one.
    std::erase_if(workers, [](const auto& item) { return !item.second.listed && item.second.tasks.empty(); });
}

} // namespace quay::ledger
