#include "JobLedgerParts.h"

#include <algorithm>

namespace quay::ledger {

TaskHandle find(JobLedger& ledger, const TaskRef& ref)
{
    const auto entry = ledger.jobs.find(ref.job);
    if (entry == ledger.jobs.end() || ref.index >= entry->second.tasks.size())
        return {};
    return { &entry->second, ref };
}

TaskHandle find(JobLedger& ledger, const TaskId& task)
{
    TaskRef ref;
    if (!splitTaskId(task, ref.job, ref.index))
        return {};
    return find(ledger, ref);
}

JobEntry& addJob(StepContext& context, const VersionedRecord& row)
{
    JobEntry& entry = context.ledger.jobs[row.record.id];
    entry.record = row.record;
    entry.version = row.version;
    entry.tasks.resize(row.record.tasks.size());
    for (const TaskRecord& task : row.record.tasks)
        entry.unfinishedTasks += isFinal(task.state) ? 0 : 1;
    return entry;
}

void markChanged(StepContext& context, JobEntry& entry)
{
    ++entry.latestChange;
    context.ledger.jobsToWrite.insert(entry.record.id);
}

void explain(StepContext& context, const JobEntry& entry, std::string text)
{
    context.actions.emplace_back(Explain { entry.record.id, std::move(text) });
}

void setTimer(StepContext& context, const TaskHandle& task, Instant at)
{
    clearTimer(context, task);
    task.runtime().hasTimer = true;
    task.runtime().timerAt = at;
    context.ledger.timers.emplace(at, task.ref);
}

void clearTimer(StepContext& context, const TaskHandle& task)
{
    if (task.runtime().hasTimer)
        context.ledger.timers.erase({ task.runtime().timerAt, task.ref });
    task.runtime().hasTimer = false;
}

void makePending(StepContext& context, const TaskHandle& task, Instant notBefore)
{
    TaskRuntime& runtime = task.runtime();
    const auto until = task.entry->recoveryEndsAt;
    // A former leader may have started a later attempt that is not in its records, but never a first one.
    const bool mayBeAhead = mayRerun(task.entry->record.spec) && task.record().attempt > 0;
    runtime.isRecovering = until && context.now < *until && mayBeAhead;
    runtime.notBefore = runtime.isRecovering ? std::max(notBefore, *until) : notBefore;
    runtime.hasSucceeded = false;
    task.record().state = TaskState::Pending;
    if (runtime.notBefore > context.now)
        return setTimer(context, task, runtime.notBefore);
    clearTimer(context, task);
    context.ledger.readyTasks.insert(task.ref);
}

void makeFinal(StepContext& context, const TaskHandle& task, TaskState state, std::string result)
{
    clearTimer(context, task);
    context.ledger.readyTasks.erase(task.ref);
    task.runtime().isRecovering = false;
    task.runtime().hasSucceeded = false;
    task.record().state = state;
    task.record().result = std::move(result);
    --task.entry->unfinishedTasks;
}

void holdCapacity(StepContext& context, const TaskHandle& task, const ServerId& worker)
{
    WorkerEntry& entry = context.ledger.workers[worker];
    entry.heldResources += task.entry->record.spec.perTask;
    entry.tasks.insert(task.ref);
    context.ledger.readyTasks.erase(task.ref);
    clearTimer(context, task);
    task.record().worker = worker;
    task.runtime().holdsCapacity = true;
    ++task.entry->capacityHolders;
}

void releaseCapacity(StepContext& context, const TaskHandle& task)
{
    TaskRuntime& runtime = task.runtime();
    if (!runtime.holdsCapacity)
        return;
    const auto worker = context.ledger.workers.find(task.record().worker);
    worker->second.heldResources -= task.entry->record.spec.perTask;
    worker->second.tasks.erase(task.ref);
    if (!worker->second.listed && worker->second.tasks.empty())
        context.ledger.workers.erase(worker);
    context.actions.emplace_back(ReleaseTokens { task.entry->record.spec.team, 1, runtime.inherited });
    clearTimer(context, task);
    std::erase(task.entry->awaitingIntent, task.ref.index);
    --task.entry->capacityHolders;
    // Only the counters and the conditions that later attempts wait for are kept beyond the attempt.
    TaskRuntime fresh;
    fresh.startDeliveryDeadline = runtime.startDeliveryDeadline;
    fresh.attemptSequence = runtime.attemptSequence;
    fresh.failures = runtime.failures;
    fresh.refusals = runtime.refusals;
    runtime = fresh;
}

bool acceptsNewWork(const WorkerEntry& worker)
{
    return worker.listed && worker.hasCompleteReport && !worker.leaving && !worker.isSuspected
        && !worker.hasUnknownTasks;
}

// Reported usage lags behind, so it may only raise the used capacity above the held one, never lower it.
Resources freeCapacity(const JobLedger& ledger, const WorkerEntry& worker)
{
    if (!ledger.rules.countHeldCapacity)
        return worker.info.capacity - worker.reportedUsage;
    const Resources used {
        std::max(worker.heldResources.cpuMilli, worker.reportedUsage.cpuMilli),
        std::max(worker.heldResources.memoryMb, worker.reportedUsage.memoryMb),
        std::max(worker.heldResources.accelerators, worker.reportedUsage.accelerators),
    };
    return worker.info.capacity - used;
}

} // namespace quay::ledger
