#include "JobLedgerParts.h"

#include <algorithm>

namespace quay::ledger {

namespace {

Instant backoffEnd(const Turn& turn, const TaskLive& live)
{
    constexpr std::uint32_t maxDoublings = 16;
    const LedgerSettings& settings = turn.ledger.settings;
    const std::uint32_t failures = std::min(std::max(live.failures, live.refusals), maxDoublings);
    const Duration backoff
        = std::min<Duration>(settings.retryBackoff * (1LL << failures), settings.maxBackoff);
    // Not before the old start has surely arrived or vanished.
    return std::max(turn.now + backoff, live.startBy);
}

// Has the task used up its attempts? Services have no limit.
bool exhausted(const Turn& turn, const JobSpec& spec, const TaskLive& live)
{
    if (spec.kind == JobKind::Service)
        return false;
    return live.refusals >= turn.ledger.settings.maxRefusals || live.failures >= spec.maxAttempts;
}

// Refusals are counted in a row: a task that ran once more has found its worker.
void count(TaskLive& live, AttemptEnd end)
{
    if (end == AttemptEnd::NotStarted) {
        ++live.refusals;
        return;
    }
    live.refusals = 0;
    live.failures = end == AttemptEnd::Well ? 0 : live.failures + 1;
}

// A service that ran for long before it broke is restarted without the backoff of its past.
void forgiveLongRun(const Turn& turn, const Found& task)
{
    const bool ranLong = turn.now - task.live().startBy >= turn.ledger.settings.maxBackoff;
    if (ranLong && task.entry->record.spec.kind == JobKind::Service)
        task.live().failures = 0;
}

// The state after an attempt of a task that is no gang member; Pending: run it again.
TaskState nextState(const Turn& turn, const Found& task, AttemptEnd end)
{
    const JobRecord& record = task.entry->record;
    const bool service = record.spec.kind == JobKind::Service;
    if (end == AttemptEnd::Well && !service)
        return TaskState::Succeeded;
    if (end == AttemptEnd::Lost && !mayRerun(record.spec) && turn.ledger.rules.neverRetryUnknown)
        return TaskState::OutcomeUnknown;
    if (record.cancelRequested)
        return TaskState::Cancelled;
    if (end == AttemptEnd::Badly && !mayRerun(record.spec))
        return TaskState::Failed;
    return exhausted(turn, record.spec, task.live()) ? TaskState::Failed : TaskState::Pending;
}

void settleAlone(Turn& turn, const Found& task, AttemptEnd end, const std::string& text)
{
    const TaskState state = nextState(turn, task, end);
    if (state == TaskState::Pending)
        return makePending(turn, task, backoffEnd(turn, task.live()));
    makeFinal(turn, task, state, text);
}

// A gang that can't be run again: the member is final and the others are stopped.
void settleFixedMember(Turn& turn, const Found& task, AttemptEnd end, const std::string& text)
{
    const bool cancelled = task.entry->record.cancelRequested;
    if (end == AttemptEnd::Well)
        return makeFinal(turn, task, TaskState::Succeeded, text);
    if (end == AttemptEnd::Lost)
        makeFinal(turn, task, TaskState::OutcomeUnknown, text);
    else
        makeFinal(turn, task, cancelled ? TaskState::Cancelled : TaskState::Failed, text);
    stopMembers(turn, *task.entry);
}

// A gang that can be run again: a good end counts only together with those of all members,
// so it stays unrecorded and unacknowledged; the worker keeps it for a possible new lead.
void settleMember(Turn& turn, const Found& task, AttemptEnd end, const std::string& text)
{
    if (end == AttemptEnd::Well) {
        task.live().endedWell = true;
        task.record().state = TaskState::Running;
        task.record().result = text;
        return;
    }
    task.entry->unwindByFailure |= end != AttemptEnd::NotStarted;
    stopMembers(turn, *task.entry);
}

} // namespace

void settle(Turn& turn, const Found& task, AttemptEnd end, const std::string& text)
{
    JobEntry& entry = *task.entry;
    vacate(turn, task);
    touch(turn, entry);
    if (end != AttemptEnd::Well)
        explain(turn, entry, taskId(task.ref.job, task.ref.index).text + ": " + text);
    if (!isGang(entry)) {
        if (end != AttemptEnd::NotStarted)
            forgiveLongRun(turn, task);
        count(task.live(), end);
        settleAlone(turn, task, end, text);
    } else if (mayRerun(entry.record.spec)) {
        settleMember(turn, task, end, text);
    } else {
        settleFixedMember(turn, task, end, text);
    }
    afterChange(turn, entry);
}

// Asks the worker to end the task; its lease is renewed no more, so that it ends in any case.
void stopTask(Turn& turn, const Found& task)
{
    if (task.live().awaitsIntent)
        return settle(turn, task, AttemptEnd::NotStarted, "withdrawn before its start");
    task.live().stopping = true;
    const TaskAttempt attempt { taskId(task.ref.job, task.ref.index), task.record().attempt };
    turn.actions.emplace_back(SendStop { task.record().worker, attempt });
}

namespace {

// Members of a gang that can't be run again and that never started end with it.
void dropUnstarted(Turn& turn, const Found& task)
{
    if (mayRerun(task.entry->record.spec) || task.record().state != TaskState::Pending)
        return;
    const bool cancelled = task.entry->record.cancelRequested;
    makeFinal(
        turn, task, cancelled ? TaskState::Cancelled : TaskState::Failed, "another member of the gang ended");
}

} // namespace

// Once an unwinding: the settling of members while it goes on doesn't start it again.
void stopMembers(Turn& turn, JobEntry& entry)
{
    if (entry.unwinding)
        return;
    entry.unwinding = true;
    for (std::uint32_t index = 0; index < entry.tasks.size(); ++index) {
        const Found task { &entry, { entry.record.id, index } };
        if (task.live().occupies && !task.live().stopping)
            stopTask(turn, task);
        else if (!task.live().occupies)
            dropUnstarted(turn, task);
    }
}

namespace {

bool anyRecovering(const JobEntry& entry)
{
    return std::any_of(
        entry.tasks.begin(), entry.tasks.end(), [](const TaskLive& live) { return live.recovering; });
}

// Counts the attempt for all members; true if the gang has used up its attempts. Recovery may have
// counted more attempts of one member than of another: the gang has no more than its worst member,
// or some members would end for good while the others wait for them for ever.
bool countUnwind(const Turn& turn, JobEntry& entry)
{
    bool usedUp = false;
    for (TaskLive& live : entry.tasks) {
        count(live, entry.unwindByFailure ? AttemptEnd::Badly : AttemptEnd::NotStarted);
        usedUp |= exhausted(turn, entry.record.spec, live);
    }
    return usedUp;
}

void rewindMember(Turn& turn, const Found& task, bool usedUp)
{
    turn.ledger.ready.erase(task.ref);
    if (task.entry->record.cancelRequested)
        return makeFinal(turn, task, TaskState::Cancelled, "cancelled");
    if (usedUp)
        return makeFinal(turn, task, TaskState::Failed, "the gang's attempts are used up");
    makePending(turn, task, backoffEnd(turn, task.live()));
}

// No member runs any more: the gang goes back as a whole.
void finishUnwind(Turn& turn, JobEntry& entry)
{
    const bool usedUp = countUnwind(turn, entry);
    for (std::uint32_t index = 0; index < entry.tasks.size(); ++index)
        if (!isFinal(entry.record.tasks[index].state))
            rewindMember(turn, { &entry, { entry.record.id, index } }, usedUp);
    entry.unwinding = false;
    entry.unwindByFailure = false;
    touch(turn, entry);
}

bool allEndedWell(const JobEntry& entry)
{
    return std::all_of(
        entry.tasks.begin(), entry.tasks.end(), [](const TaskLive& live) { return live.endedWell; });
}

void succeedGang(Turn& turn, JobEntry& entry)
{
    touch(turn, entry);
    for (std::uint32_t index = 0; index < entry.tasks.size(); ++index) {
        const Found task { &entry, { entry.record.id, index } };
        task.live().endedWell = false;
        makeFinal(turn, task, TaskState::Succeeded, task.record().result);
        acknowledge(
            turn, entry, task.record().worker, { taskId(task.ref.job, index), task.record().attempt });
    }
}

bool hasTask(const JobRecord& record, TaskState state)
{
    const auto is = [&](const TaskRecord& task) { return task.state == state; };
    return std::any_of(record.tasks.begin(), record.tasks.end(), is);
}

JobState finalState(const JobRecord& record)
{
    if (hasTask(record, TaskState::OutcomeUnknown))
        return JobState::OutcomeUnknown;
    if (hasTask(record, TaskState::Failed))
        return JobState::Failed;
    return hasTask(record, TaskState::Cancelled) ? JobState::Cancelled : JobState::Succeeded;
}

std::string firstFailure(const JobRecord& record)
{
    for (const TaskRecord& task : record.tasks)
        if (task.state == TaskState::Failed || task.state == TaskState::OutcomeUnknown)
            return task.result;
    return {};
}

void finishJob(Turn& turn, JobEntry& entry)
{
    entry.record.state = finalState(entry.record);
    if (entry.record.note.empty())
        entry.record.note = firstFailure(entry.record);
    touch(turn, entry);
}

} // namespace

void afterChange(Turn& turn, JobEntry& entry)
{
    if (entry.occupying > 0 || entry.record.state != JobState::Active)
        return;
    const bool rerunGang = isGang(entry) && mayRerun(entry.record.spec);
    if (rerunGang && entry.unfinished > 0 && allEndedWell(entry))
        succeedGang(turn, entry);
    else if (rerunGang && entry.unwinding && !anyRecovering(entry))
        finishUnwind(turn, entry);
    if (entry.unfinished == 0)
        finishJob(turn, entry);
}

} // namespace quay::ledger
