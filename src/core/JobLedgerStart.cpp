#include "JobLedgerParts.h"

#include <algorithm>

namespace quay::ledger {

namespace {

void sendStart(StepContext& context, const TaskHandle& task)
{
    const LedgerSettings& settings = context.ledger.settings;
    const JobSpec& spec = task.entry->record.spec;
    WorkerEntry& worker = context.ledger.workers[task.record().worker];
    ++worker.starts;
    TaskRuntime& runtime = task.runtime();
    runtime.startSent = true;
    runtime.incarnation = worker.incarnation;
    runtime.startDeliveryDeadline = context.now + settings.messageDelayBound;
    runtime.leaseExpiresAt = context.now + leaseExpiryAfterSend(context.ledger);
    setTimer(context, task, runtime.leaseExpiresAt);
    context.actions.emplace_back(SendStart {
        .worker = task.record().worker,
        .attempt = { taskId(task.ref.job, task.ref.index), task.record().attempt },
        .epoch = context.ledger.epoch,
        .leaseMs = toMilliseconds(settings.taskLease),
        .size = spec.perTask,
        .team = spec.team,
        .payload = spec.payload,
    });
}

// Assigns the task's next attempt to a worker and holds the capacity there.
void assignTask(StepContext& context, const TaskHandle& task, const ServerId& worker)
{
    holdCapacity(context, task, worker);
    task.record().state = TaskState::Starting;
    ++task.record().attempt;
    task.record().result.clear();
}

// The change that must be durable before the start is sent. Idempotent work may be one attempt ahead of its
// record, but never two: a new leader skips one attempt number (see skipUnrecordedAttempt), so that leaders
// never give the same number to different attempts. A first attempt is never ahead of its record: if two
// leaders learn of a new job, only one of their intents is applied, and only that leader starts the job.
std::uint64_t requiredChange(const JobLedger& ledger, const TaskHandle& task, std::uint64_t formerAttempt)
{
    const bool mayBeAhead = mayRerun(task.entry->record.spec) && task.record().attempt > 1;
    if (mayBeAhead || !ledger.rules.intentBeforeStart)
        return formerAttempt;
    return task.entry->latestChange;
}

void startWhenDurable(StepContext& context, const TaskHandle& task)
{
    TaskRuntime& runtime = task.runtime();
    runtime.intentSequence = requiredChange(context.ledger, task, runtime.attemptSequence);
    runtime.attemptSequence = task.entry->latestChange;
    if (runtime.intentSequence <= task.entry->durableChange)
        return sendStart(context, task);
    runtime.awaitsIntent = true;
    task.entry->awaitingIntent.push_back(task.ref.index);
}

// Starts tasks that were assigned together, with one write for all their intents.
void startTasks(StepContext& context, JobEntry& entry, const std::vector<TaskHandle>& tasks)
{
    markChanged(context, entry);
    for (const TaskHandle& task : tasks)
        startWhenDurable(context, task);
}

bool mayPlace(const JobLedger& ledger, const TaskHandle& task, const ServerId& worker)
{
    if (!task || !ledger.readyTasks.contains(task.ref) || task.entry->record.cancelRequested
        || task.entry->isStoppingGang)
        return false;
    const auto found = ledger.workers.find(worker);
    if (found == ledger.workers.end() || !acceptsNewWork(found->second))
        return false;
    return task.entry->record.spec.perTask.fitsIn(freeCapacity(ledger, found->second));
}

// Undoes assignTask() before anything was written or sent.
void undoAssignment(StepContext& context, const TaskHandle& task)
{
    releaseCapacity(context, task);
    --task.record().attempt;
    makePending(context, task, context.now);
}

void releaseToken(StepContext& context, const JobId& job)
{
    if (const JobRecord* record = findJob(context.ledger, job))
        context.actions.emplace_back(ReleaseTokens { record->spec.team, 1, false });
}

using Placements = std::vector<TaskPlacement>;

// Assigns the placements that are still possible and returns the tokens of the others.
std::vector<TaskHandle> assignTasks(StepContext& context, const Placements& placements)
{
    std::vector<TaskHandle> assigned;
    for (const TaskPlacement& placement : placements) {
        const TaskHandle task = find(context.ledger, TaskRef { placement.job, placement.index });
        if (!mayPlace(context.ledger, task, placement.worker)) {
            releaseToken(context, placement.job);
            continue;
        }
        assignTask(context, task, placement.worker);
        assigned.push_back(task);
    }
    return assigned;
}

void placeJob(StepContext& context, const Placements& placements)
{
    const auto found = context.ledger.jobs.find(placements.front().job);
    if (found == context.ledger.jobs.end())
        return;
    JobEntry& entry = found->second;
    const std::vector<TaskHandle> assigned = assignTasks(context, placements);
    const bool incompleteGang = isGang(entry) && assigned.size() != entry.tasks.size();
    if (incompleteGang && context.ledger.rules.allOrNothingGangs) {
        for (const TaskHandle& task : assigned)
            undoAssignment(context, task);
        return;
    }
    if (!assigned.empty())
        startTasks(context, entry, assigned);
}

} // namespace

Duration leaseExpiryAfterSend(const JobLedger& ledger)
{
    return ledger.rules.boundedLeaseExpiry ? leaseExpiryBound(ledger.settings) : ledger.settings.taskLease;
}

void onPlacements(StepContext& context, const PlacementsChosen& event)
{
    std::map<JobId, Placements> byJob;
    for (const TaskPlacement& placement : event.placements)
        byJob[placement.job].push_back(placement);
    for (const auto& [job, placements] : byJob)
        placeJob(context, placements);
}

namespace {

bool isWorkerStillOpen(const JobLedger& ledger, const TaskHandle& task)
{
    const auto worker = ledger.workers.find(task.record().worker);
    return worker != ledger.workers.end() && acceptsNewWork(worker->second);
}

} // namespace

void startDurableIntents(StepContext& context, JobEntry& entry)
{
    const std::vector<std::uint32_t> waiting = entry.awaitingIntent;
    for (const std::uint32_t index : waiting) {
        const TaskHandle task { &entry, { entry.record.id, index } };
        // Handling an earlier task of this list may have stopped the gang and withdrawn this one.
        if (!task.runtime().awaitsIntent || task.runtime().intentSequence > entry.durableChange)
            continue;
        if (!isWorkerStillOpen(context.ledger, task)) {
            finishAttempt(context, task, AttemptOutcome::NotStarted, "the worker accepts no new work");
            continue;
        }
        task.runtime().awaitsIntent = false;
        std::erase(entry.awaitingIntent, index);
        sendStart(context, task);
    }
}

namespace {

// True if the answer belongs to the current attempt and this leader sent its start.
bool isCurrent(const TaskHandle& task, const StartAnswer& event)
{
    return task && task.runtime().holdsCapacity && task.runtime().startSent
        && task.record().worker == event.worker && task.record().attempt == event.attempt.attempt;
}

} // namespace

void onStartAnswer(StepContext& context, const StartAnswer& event)
{
    const TaskHandle task = find(context.ledger, event.attempt.task);
    if (!isCurrent(task, event) || task.runtime().isConfirmed)
        return;
    if (event.outcome == StartOutcome::Accepted) {
        task.runtime().isConfirmed = true;
        task.record().state = TaskState::Running;
        return;
    }
    ++context.ledger.workers[event.worker].startFailures;
    const bool refused = event.outcome == StartOutcome::Refused || !context.ledger.rules.refusalNeedsProof;
    if (refused)
        finishAttempt(context, task, AttemptOutcome::NotStarted,
            "worker " + event.worker.text + " refused the start: " + event.why);
}

namespace {

void renewTask(StepContext& context, const TaskHandle& task, SendRenew& renewal)
{
    TaskRuntime& runtime = task.runtime();
    const TaskAttempt attempt { taskId(task.ref.job, task.ref.index), task.record().attempt };
    if (runtime.isStopping)
        return void(context.actions.emplace_back(SendStop { renewal.worker, attempt }));
    if (runtime.awaitsIntent)
        return;
    runtime.leaseExpiresAt
        = std::max(runtime.leaseExpiresAt, context.now + leaseExpiryAfterSend(context.ledger));
    setTimer(context, task, runtime.leaseExpiresAt);
    renewal.tasks.push_back(attempt);
}

void renewWorker(StepContext& context, const ServerId& id, WorkerEntry& worker)
{
    // The leases of an unresponsive worker are not renewed: renewals that never arrive would keep extending
    // the leases on the leader's side, and its tasks would never be declared ended.
    const bool isUnresponsive
        = context.now - worker.lastReportRequestedAt > context.ledger.settings.unresponsiveAfter;
    // It gets no new work until it reports: the outcome of a start sent now would most likely be unknown.
    worker.isSuspected
        = worker.isSuspected || (isUnresponsive && context.ledger.rules.closeUnresponsiveWorkers);
    if (worker.tasks.empty() || isUnresponsive)
        return;
    worker.renewAt = context.now + context.ledger.settings.renewInterval;
    SendRenew renewal { id, context.ledger.epoch, toMilliseconds(context.ledger.settings.taskLease), {} };
    for (const TaskRef& ref : worker.tasks)
        renewTask(context, find(context.ledger, ref), renewal);
    if (!renewal.tasks.empty())
        context.actions.emplace_back(std::move(renewal));
}

} // namespace

void renewLeases(StepContext& context)
{
    for (auto& [id, worker] : context.ledger.workers)
        if (context.now >= worker.renewAt)
            renewWorker(context, id, worker);
}

} // namespace quay::ledger
