#include "JobLedgerParts.h"

#include <algorithm>

namespace quay::ledger {

namespace {

bool isUntouched(const JobRecord& record)
{
    const auto untouched = [](const TaskRecord& task) { return task == TaskRecord {}; };
    return record.state == JobState::Active && !record.cancelRequested
        && std::all_of(record.tasks.begin(), record.tasks.end(), untouched);
}

} // namespace

void onAccepted(StepContext& context, const JobAccepted& event)
{
    if (context.ledger.jobs.contains(event.record.id))
        return;
    // The event is late: a former leader has already worked on the job.
    if (!isUntouched(event.record))
        return recoverJob(context, { event.record, event.version });
    JobEntry& entry = addJob(context, { event.record, event.version });
    for (std::uint32_t index = 0; index < entry.tasks.size(); ++index)
        makePending(context, { &entry, { entry.record.id, index } }, context.now);
}

namespace {

void cancelTask(StepContext& context, const TaskHandle& task)
{
    if (isFinal(task.record().state))
        return;
    if (task.runtime().holdsCapacity)
        return stopTask(context, task);
    // An unrecorded attempt of a former leader may run: wait until it is reported or its lease has expired.
    if (task.runtime().isRecovering)
        return;
    makeFinal(context, task, TaskState::Cancelled, "cancelled before its start");
}

} // namespace

void onCancel(StepContext& context, const CancelRequested& event)
{
    const auto found = context.ledger.jobs.find(event.job);
    if (found == context.ledger.jobs.end())
        return;
    JobEntry& entry = found->second;
    if (entry.record.cancelRequested || entry.record.state != JobState::Active)
        return;
    entry.record.cancelRequested = true;
    markChanged(context, entry);
    // The loop below stops all members.
    entry.isStoppingGang = isGang(entry);
    for (std::uint32_t index = 0; index < entry.tasks.size(); ++index)
        cancelTask(context, { &entry, { entry.record.id, index } });
    updateJobState(context, entry);
}

namespace {

bool hasAnySucceeded(const JobEntry& entry)
{
    return std::any_of(entry.tasks.begin(), entry.tasks.end(),
        [](const TaskRuntime& runtime) { return runtime.hasSucceeded; });
}

// A former leader may have started one attempt beyond its record, and late messages may still name that
// attempt's number, so the number is not used again.
void skipUnrecordedAttempt(StepContext& context, const TaskHandle& task)
{
    if (!task.runtime().isRecovering)
        return;
    task.runtime().isRecovering = false;
    ++task.record().attempt;
    markChanged(context, *task.entry);
    task.runtime().attemptSequence = task.entry->latestChange;
}

void onBackoffEnd(StepContext& context, const TaskHandle& task)
{
    JobEntry& entry = *task.entry;
    skipUnrecordedAttempt(context, task);
    if (entry.record.cancelRequested) {
        makeFinal(context, task, TaskState::Cancelled, "cancelled before its start");
        markChanged(context, entry);
        return updateJobState(context, entry);
    }
    if (isGang(entry) && (entry.isStoppingGang || entry.capacityHolders > 0 || hasAnySucceeded(entry))) {
        // A former leader started only some members: stop them rather than let them run without the others.
        stopGang(context, entry);
        return updateJobState(context, entry);
    }
    context.ledger.readyTasks.insert(task.ref);
}

} // namespace

void onTimer(StepContext& context, const TaskHandle& task)
{
    if (!task.runtime().holdsCapacity)
        return onBackoffEnd(context, task);
    finishAttempt(context, task, AttemptOutcome::UnknownOutcome, "the task's lease on the worker expired");
}

namespace {

std::int64_t copiesThatFit(const Resources& size, const Resources& capacity, std::int64_t wanted)
{
    std::int64_t copies = 0;
    for (Resources sum = size; copies < wanted && sum.fitsIn(capacity); sum += size)
        ++copies;
    return copies;
}

bool couldEverFit(const JobLedger& ledger, const JobSpec& spec)
{
    std::int64_t missing = spec.kind == JobKind::Gang ? spec.taskCount : 1;
    for (const auto& [id, worker] : ledger.workers) {
        if (worker.listed && !worker.leaving)
            missing -= copiesThatFit(spec.perTask, worker.info.capacity, missing);
        if (missing <= 0)
            return true;
    }
    return false;
}

void failPendingTasks(StepContext& context, JobEntry& entry)
{
    entry.record.note = "no worker of the failure domain could ever hold its tasks";
    explain(context, entry, entry.record.note);
    for (std::uint32_t index = 0; index < entry.tasks.size(); ++index)
        if (entry.record.tasks[index].state == TaskState::Pending)
            makeFinal(context, { &entry, { entry.record.id, index } }, TaskState::Failed, entry.record.note);
    markChanged(context, entry);
    updateJobState(context, entry);
}

void checkSchedulable(StepContext& context, JobEntry& entry)
{
    if (couldEverFit(context.ledger, entry.record.spec)) {
        entry.unschedulableSince.reset();
        return;
    }
    if (!entry.unschedulableSince)
        entry.unschedulableSince = context.now;
    if (context.now - *entry.unschedulableSince >= context.ledger.settings.unschedulableAfter)
        failPendingTasks(context, entry);
}

} // namespace

// Checks every job with ready tasks, at most once per second.
void failUnschedulableJobs(StepContext& context)
{
    JobLedger& ledger = context.ledger;
    if (context.now < ledger.nextSchedulableCheckAt || ledger.workers.empty())
        return;
    ledger.nextSchedulableCheckAt = context.now + 1s;
    auto next = ledger.readyTasks.begin();
    while (next != ledger.readyTasks.end()) {
        const JobId job = next->job;
        checkSchedulable(context, ledger.jobs.at(job));
        next = ledger.readyTasks.upper_bound({ job, UINT32_MAX });
    }
}

} // namespace quay::ledger
