#include "JobLedgerParts.h"

#include <algorithm>

namespace quay::ledger {

namespace {

Instant backoffEnd(const StepContext& context, const TaskRuntime& runtime)
{
    constexpr std::uint32_t maxDoublings = 16;
    const LedgerSettings& settings = context.ledger.settings;
    const std::uint32_t failures = std::min(std::max(runtime.failures, runtime.refusals), maxDoublings);
    const Duration backoff
        = std::min<Duration>(settings.retryBackoff * (1LL << failures), settings.maxBackoff);
    // The start of the ended attempt must have arrived or been lost before the task is started again.
    return std::max(context.now + backoff, runtime.startDeliveryDeadline);
}

// True if the task has used up its attempts. Services have no limit.
bool isOutOfAttempts(const StepContext& context, const JobSpec& spec, const TaskRuntime& runtime)
{
    if (spec.kind == JobKind::Service)
        return false;
    return runtime.refusals >= context.ledger.settings.maxRefusals || runtime.failures >= spec.maxAttempts;
}

// Only consecutive refusals count: an attempt that ran resets them.
void countAttempt(TaskRuntime& runtime, AttemptOutcome outcome)
{
    if (outcome == AttemptOutcome::NotStarted) {
        ++runtime.refusals;
        return;
    }
    runtime.refusals = 0;
    runtime.failures = outcome == AttemptOutcome::Success ? 0 : runtime.failures + 1;
}

// A service that ran for at least maxBackoff before it failed is restarted without its accumulated backoff.
void resetFailuresAfterLongRun(const StepContext& context, const TaskHandle& task)
{
    const bool ranLong
        = context.now - task.runtime().startDeliveryDeadline >= context.ledger.settings.maxBackoff;
    if (ranLong && task.entry->record.spec.kind == JobKind::Service)
        task.runtime().failures = 0;
}

// The state of a task outside a gang after an attempt; Pending means that it is run again.
TaskState stateAfterAttempt(const StepContext& context, const TaskHandle& task, AttemptOutcome outcome)
{
    const JobRecord& record = task.entry->record;
    const bool isService = record.spec.kind == JobKind::Service;
    if (outcome == AttemptOutcome::Success && !isService)
        return TaskState::Succeeded;
    if (outcome == AttemptOutcome::UnknownOutcome && !mayRerun(record.spec)
        && context.ledger.rules.neverRetryUnknown)
        return TaskState::OutcomeUnknown;
    if (record.cancelRequested)
        return TaskState::Cancelled;
    if (outcome == AttemptOutcome::Failure && !mayRerun(record.spec))
        return TaskState::Failed;
    return isOutOfAttempts(context, record.spec, task.runtime()) ? TaskState::Failed : TaskState::Pending;
}

void finishSingleTask(
    StepContext& context, const TaskHandle& task, AttemptOutcome outcome, const std::string& text)
{
    const TaskState state = stateAfterAttempt(context, task, outcome);
    if (state == TaskState::Pending)
        return makePending(context, task, backoffEnd(context, task.runtime()));
    makeFinal(context, task, state, text);
}

// For a gang that may not be run again: the member's state is final. Unless it succeeded, the others are
// stopped.
void finishNonRerunnableMember(
    StepContext& context, const TaskHandle& task, AttemptOutcome outcome, const std::string& text)
{
    const bool isCancelled = task.entry->record.cancelRequested;
    if (outcome == AttemptOutcome::Success)
        return makeFinal(context, task, TaskState::Succeeded, text);
    if (outcome == AttemptOutcome::UnknownOutcome)
        makeFinal(context, task, TaskState::OutcomeUnknown, text);
    else
        makeFinal(context, task, isCancelled ? TaskState::Cancelled : TaskState::Failed, text);
    stopGang(context, *task.entry);
}

// For a gang that may be run again: a member's success counts only when all members have succeeded, so it is
// neither recorded nor acknowledged until then; the worker keeps reporting it, also to a new leader.
void finishRerunnableMember(
    StepContext& context, const TaskHandle& task, AttemptOutcome outcome, const std::string& text)
{
    if (outcome == AttemptOutcome::Success) {
        task.runtime().hasSucceeded = true;
        task.record().state = TaskState::Running;
        task.record().result = text;
        return;
    }
    task.entry->hasMemberFailed |= outcome != AttemptOutcome::NotStarted;
    stopGang(context, *task.entry);
}

} // namespace

void finishAttempt(
    StepContext& context, const TaskHandle& task, AttemptOutcome outcome, const std::string& text)
{
    JobEntry& entry = *task.entry;
    releaseCapacity(context, task);
    markChanged(context, entry);
    if (outcome != AttemptOutcome::Success)
        explain(context, entry, taskId(task.ref.job, task.ref.index).text + ": " + text);
    if (!isGang(entry)) {
        if (outcome != AttemptOutcome::NotStarted)
            resetFailuresAfterLongRun(context, task);
        countAttempt(task.runtime(), outcome);
        finishSingleTask(context, task, outcome, text);
    } else if (mayRerun(entry.record.spec)) {
        finishRerunnableMember(context, task, outcome, text);
    } else {
        finishNonRerunnableMember(context, task, outcome, text);
    }
    updateJobState(context, entry);
}

// Asks the worker to stop the task. Its lease is not renewed any more, so it ends even if the stop is lost.
void stopTask(StepContext& context, const TaskHandle& task)
{
    if (task.runtime().awaitsIntent)
        return finishAttempt(context, task, AttemptOutcome::NotStarted, "withdrawn before its start");
    task.runtime().isStopping = true;
    const TaskAttempt attempt { taskId(task.ref.job, task.ref.index), task.record().attempt };
    context.actions.emplace_back(SendStop { task.record().worker, attempt });
}

namespace {

// Ends a member that never started, if its gang may not be run again.
void finishUnstartedMember(StepContext& context, const TaskHandle& task)
{
    if (mayRerun(task.entry->record.spec) || task.record().state != TaskState::Pending)
        return;
    const bool isCancelled = task.entry->record.cancelRequested;
    makeFinal(context, task, isCancelled ? TaskState::Cancelled : TaskState::Failed,
        "another member of the gang ended");
}

} // namespace

// Runs once until the gang has stopped: members that end in the meantime don't trigger it again.
void stopGang(StepContext& context, JobEntry& entry)
{
    if (entry.isStoppingGang)
        return;
    entry.isStoppingGang = true;
    for (std::uint32_t index = 0; index < entry.tasks.size(); ++index) {
        const TaskHandle task { &entry, { entry.record.id, index } };
        if (task.runtime().holdsCapacity && !task.runtime().isStopping)
            stopTask(context, task);
        else if (!task.runtime().holdsCapacity)
            finishUnstartedMember(context, task);
    }
}

namespace {

bool hasRecoveringTask(const JobEntry& entry)
{
    return std::any_of(entry.tasks.begin(), entry.tasks.end(),
        [](const TaskRuntime& runtime) { return runtime.isRecovering; });
}

// Counts the attempt for all members; true if any member has used up its attempts. Recovery may have counted
// more attempts for one member than for another. The member with the most attempts decides for the gang:
// otherwise some members would become final and the others would wait for them forever.
bool countGangAttempt(const StepContext& context, JobEntry& entry)
{
    bool attemptsUsedUp = false;
    for (TaskRuntime& runtime : entry.tasks) {
        countAttempt(runtime, entry.hasMemberFailed ? AttemptOutcome::Failure : AttemptOutcome::NotStarted);
        attemptsUsedUp |= isOutOfAttempts(context, entry.record.spec, runtime);
    }
    return attemptsUsedUp;
}

void resetMember(StepContext& context, const TaskHandle& task, bool attemptsUsedUp)
{
    context.ledger.readyTasks.erase(task.ref);
    if (task.entry->record.cancelRequested)
        return makeFinal(context, task, TaskState::Cancelled, "cancelled");
    if (attemptsUsedUp)
        return makeFinal(context, task, TaskState::Failed, "the gang's attempts are used up");
    makePending(context, task, backoffEnd(context, task.runtime()));
}

// No member runs any more: the whole gang becomes pending again, or ends.
void finishGangStop(StepContext& context, JobEntry& entry)
{
    const bool attemptsUsedUp = countGangAttempt(context, entry);
    for (std::uint32_t index = 0; index < entry.tasks.size(); ++index)
        if (!isFinal(entry.record.tasks[index].state))
            resetMember(context, { &entry, { entry.record.id, index } }, attemptsUsedUp);
    entry.isStoppingGang = false;
    entry.hasMemberFailed = false;
    markChanged(context, entry);
}

bool haveAllSucceeded(const JobEntry& entry)
{
    return std::all_of(entry.tasks.begin(), entry.tasks.end(),
        [](const TaskRuntime& runtime) { return runtime.hasSucceeded; });
}

void recordGangSuccess(StepContext& context, JobEntry& entry)
{
    markChanged(context, entry);
    for (std::uint32_t index = 0; index < entry.tasks.size(); ++index) {
        const TaskHandle task { &entry, { entry.record.id, index } };
        task.runtime().hasSucceeded = false;
        makeFinal(context, task, TaskState::Succeeded, task.record().result);
        acknowledge(
            context, entry, task.record().worker, { taskId(task.ref.job, index), task.record().attempt });
    }
}

bool hasTaskInState(const JobRecord& record, TaskState state)
{
    const auto is = [&](const TaskRecord& task) { return task.state == state; };
    return std::any_of(record.tasks.begin(), record.tasks.end(), is);
}

JobState finalState(const JobRecord& record)
{
    if (hasTaskInState(record, TaskState::OutcomeUnknown))
        return JobState::OutcomeUnknown;
    if (hasTaskInState(record, TaskState::Failed))
        return JobState::Failed;
    return hasTaskInState(record, TaskState::Cancelled) ? JobState::Cancelled : JobState::Succeeded;
}

std::string firstFailure(const JobRecord& record)
{
    for (const TaskRecord& task : record.tasks)
        if (task.state == TaskState::Failed || task.state == TaskState::OutcomeUnknown)
            return task.result;
    return {};
}

void finishJob(StepContext& context, JobEntry& entry)
{
    entry.record.state = finalState(entry.record);
    if (entry.record.note.empty())
        entry.record.note = firstFailure(entry.record);
    markChanged(context, entry);
}

} // namespace

void updateJobState(StepContext& context, JobEntry& entry)
{
    if (entry.capacityHolders > 0 || entry.record.state != JobState::Active)
        return;
    const bool isRerunnableGang = isGang(entry) && mayRerun(entry.record.spec);
    if (isRerunnableGang && entry.unfinishedTasks > 0 && haveAllSucceeded(entry))
        recordGangSuccess(context, entry);
    else if (isRerunnableGang && entry.isStoppingGang && !hasRecoveringTask(entry))
        finishGangStop(context, entry);
    if (entry.unfinishedTasks == 0)
        finishJob(context, entry);
}

} // namespace quay::ledger
