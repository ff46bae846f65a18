#include "JobLedgerParts.h"

#include <algorithm>

namespace quay::ledger {

Found find(JobLedger& ledger, const TaskRef& ref)
{
    const auto entry = ledger.jobs.find(ref.job);
    if (entry == ledger.jobs.end() || ref.index >= entry->second.tasks.size())
        return {};
    return { &entry->second, ref };
}

Found find(JobLedger& ledger, const TaskId& task)
{
    TaskRef ref;
    if (!splitTaskId(task, ref.job, ref.index))
        return {};
    return find(ledger, ref);
}

JobEntry& addJob(Turn& turn, const VersionedRecord& row)
{
    JobEntry& entry = turn.ledger.jobs[row.record.id];
    entry.record = row.record;
    entry.version = row.version;
    entry.tasks.resize(row.record.tasks.size());
    for (const TaskRecord& task : row.record.tasks)
        entry.unfinished += isFinal(task.state) ? 0 : 1;
    return entry;
}

void touch(Turn& turn, JobEntry& entry)
{
    ++entry.changed;
    turn.ledger.unwritten.insert(entry.record.id);
}

void explain(Turn& turn, const JobEntry& entry, std::string text)
{
    turn.actions.emplace_back(Explain { entry.record.id, std::move(text) });
}

void setTimer(Turn& turn, const Found& task, Instant at)
{
    clearTimer(turn, task);
    task.live().hasTimer = true;
    task.live().timerAt = at;
    turn.ledger.timers.emplace(at, task.ref);
}

void clearTimer(Turn& turn, const Found& task)
{
    if (task.live().hasTimer)
        turn.ledger.timers.erase({ task.live().timerAt, task.ref });
    task.live().hasTimer = false;
}

void makePending(Turn& turn, const Found& task, Instant notBefore)
{
    TaskLive& live = task.live();
    const auto until = task.entry->recoversUntil;
    // A former lead may have started a later attempt that its records don't show, but no first one.
    const bool mayBeAhead = mayRerun(task.entry->record.spec) && task.record().attempt > 0;
    live.recovering = until && turn.now < *until && mayBeAhead;
    live.notBefore = live.recovering ? std::max(notBefore, *until) : notBefore;
    live.endedWell = false;
    task.record().state = TaskState::Pending;
    if (live.notBefore > turn.now)
        return setTimer(turn, task, live.notBefore);
    clearTimer(turn, task);
    turn.ledger.ready.insert(task.ref);
}

void makeFinal(Turn& turn, const Found& task, TaskState state, std::string result)
{
    clearTimer(turn, task);
    turn.ledger.ready.erase(task.ref);
    task.live().recovering = false;
    task.live().endedWell = false;
    task.record().state = state;
    task.record().result = std::move(result);
    --task.entry->unfinished;
}

void occupy(Turn& turn, const Found& task, const ServerId& worker)
{
    WorkerEntry& entry = turn.ledger.workers[worker];
    entry.held += task.entry->record.spec.perTask;
    entry.tasks.insert(task.ref);
    turn.ledger.ready.erase(task.ref);
    clearTimer(turn, task);
    task.record().worker = worker;
    task.live().occupies = true;
    ++task.entry->occupying;
}

void vacate(Turn& turn, const Found& task)
{
    TaskLive& live = task.live();
    if (!live.occupies)
        return;
    const auto worker = turn.ledger.workers.find(task.record().worker);
    worker->second.held -= task.entry->record.spec.perTask;
    worker->second.tasks.erase(task.ref);
    if (!worker->second.listed && worker->second.tasks.empty())
        turn.ledger.workers.erase(worker);
    turn.actions.emplace_back(ReleaseTokens { task.entry->record.spec.team, 1, live.inherited });
    clearTimer(turn, task);
    std::erase(task.entry->awaitingIntent, task.ref.index);
    --task.entry->occupying;
    // Only the counters and what later attempts must wait for outlive the attempt.
    TaskLive fresh;
    fresh.startBy = live.startBy;
    fresh.attemptSequence = live.attemptSequence;
    fresh.failures = live.failures;
    fresh.refusals = live.refusals;
    live = fresh;
}

bool takesWork(const WorkerEntry& worker)
{
    return worker.listed && worker.recovered && !worker.leaving && !worker.lost && !worker.foreign;
}

// Reported usage lags, so that it may raise what counts as used but never lower it.
Resources freeRoom(const JobLedger& ledger, const WorkerEntry& worker)
{
    if (!ledger.rules.countHeldRoom)
        return worker.info.capacity - worker.reportedUsage;
    const Resources used {
        std::max(worker.held.cpuMilli, worker.reportedUsage.cpuMilli),
        std::max(worker.held.memoryMb, worker.reportedUsage.memoryMb),
        std::max(worker.held.accelerators, worker.reportedUsage.accelerators),
    };
    return worker.info.capacity - used;
}

} // namespace quay::ledger
