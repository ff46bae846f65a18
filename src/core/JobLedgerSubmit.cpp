#include "JobLedgerParts.h"

#include <algorithm>

namespace quay::ledger {

namespace {

bool isFresh(const JobRecord& record)
{
    const auto untouched = [](const TaskRecord& task) { return task == TaskRecord {}; };
    return record.state == JobState::Active && !record.cancelRequested
        && std::all_of(record.tasks.begin(), record.tasks.end(), untouched);
}

} // namespace

void onAccepted(Turn& turn, const JobAccepted& event)
{
    if (turn.ledger.jobs.contains(event.record.id))
        return;
    // Read late: a former lead has already worked on it.
    if (!isFresh(event.record))
        return recoverJob(turn, { event.record, event.version });
    JobEntry& entry = addJob(turn, { event.record, event.version });
    for (std::uint32_t index = 0; index < entry.tasks.size(); ++index)
        makePending(turn, { &entry, { entry.record.id, index } }, turn.now);
}

namespace {

void cancelTask(Turn& turn, const Found& task)
{
    if (isFinal(task.record().state))
        return;
    if (task.live().occupies)
        return stopTask(turn, task);
    // An unrecorded attempt of a former lead may run: wait until it is found or has surely lapsed.
    if (task.live().recovering)
        return;
    makeFinal(turn, task, TaskState::Cancelled, "cancelled before its start");
}

} // namespace

void onCancel(Turn& turn, const CancelRequested& event)
{
    const auto found = turn.ledger.jobs.find(event.job);
    if (found == turn.ledger.jobs.end())
        return;
    JobEntry& entry = found->second;
    if (entry.record.cancelRequested || entry.record.state != JobState::Active)
        return;
    entry.record.cancelRequested = true;
    touch(turn, entry);
    // The loop below stops all members.
    entry.unwinding = isGang(entry);
    for (std::uint32_t index = 0; index < entry.tasks.size(); ++index)
        cancelTask(turn, { &entry, { entry.record.id, index } });
    afterChange(turn, entry);
}

namespace {

bool anyEndedWell(const JobEntry& entry)
{
    return std::any_of(
        entry.tasks.begin(), entry.tasks.end(), [](const TaskLive& live) { return live.endedWell; });
}

// A former lead may have sent one attempt more than it recorded, whose late messages may still name it.
void skipUnrecorded(Turn& turn, const Found& task)
{
    if (!task.live().recovering)
        return;
    task.live().recovering = false;
    ++task.record().attempt;
    touch(turn, *task.entry);
    task.live().attemptSequence = task.entry->changed;
}

void backoffOver(Turn& turn, const Found& task)
{
    JobEntry& entry = *task.entry;
    skipUnrecorded(turn, task);
    if (entry.record.cancelRequested) {
        makeFinal(turn, task, TaskState::Cancelled, "cancelled before its start");
        touch(turn, entry);
        return afterChange(turn, entry);
    }
    if (isGang(entry) && (entry.unwinding || entry.occupying > 0 || anyEndedWell(entry))) {
        // A former lead started only some members: never leave those without the rest.
        stopMembers(turn, entry);
        return afterChange(turn, entry);
    }
    turn.ledger.ready.insert(task.ref);
}

} // namespace

void onTimer(Turn& turn, const Found& task)
{
    if (!task.live().occupies)
        return backoffOver(turn, task);
    settle(turn, task, AttemptEnd::Lost, "the worker's lease of the task lapsed");
}

namespace {

std::int64_t copiesThatFit(const Resources& size, const Resources& capacity, std::int64_t wanted)
{
    std::int64_t copies = 0;
    for (Resources sum = size; copies < wanted && sum.fitsIn(capacity); sum += size)
        ++copies;
    return copies;
}

bool couldEverRun(const JobLedger& ledger, const JobSpec& spec)
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

void failPending(Turn& turn, JobEntry& entry)
{
    entry.record.note = "no worker of the failure domain could ever hold its tasks";
    explain(turn, entry, entry.record.note);
    for (std::uint32_t index = 0; index < entry.tasks.size(); ++index)
        if (entry.record.tasks[index].state == TaskState::Pending)
            makeFinal(turn, { &entry, { entry.record.id, index } }, TaskState::Failed, entry.record.note);
    touch(turn, entry);
    afterChange(turn, entry);
}

void checkRunnable(Turn& turn, JobEntry& entry)
{
    if (couldEverRun(turn.ledger, entry.record.spec)) {
        entry.unrunnableSince.reset();
        return;
    }
    if (!entry.unrunnableSince)
        entry.unrunnableSince = turn.now;
    if (turn.now - *entry.unrunnableSince >= turn.ledger.settings.neverRunnableAfter)
        failPending(turn, entry);
}

} // namespace

// Looks at each job with waiting tasks, once a second at most.
void failUnrunnable(Turn& turn)
{
    JobLedger& ledger = turn.ledger;
    if (turn.now < ledger.runnableCheckAt || ledger.workers.empty())
        return;
    ledger.runnableCheckAt = turn.now + 1s;
    auto next = ledger.ready.begin();
    while (next != ledger.ready.end()) {
        const JobId job = next->job;
        checkRunnable(turn, ledger.jobs.at(job));
        next = ledger.ready.upper_bound({ job, UINT32_MAX });
    }
}

} // namespace quay::ledger
