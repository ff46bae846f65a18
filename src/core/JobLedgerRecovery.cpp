#include "JobLedgerParts.h"

#include <algorithm>

namespace quay::ledger {

namespace {

WorkerEntry forgotten(const WorkerEntry& worker, Instant now)
{
    WorkerEntry fresh;
    fresh.info = worker.info;
    fresh.listed = true;
    fresh.leaving = worker.leaving;
    fresh.heardAt = now;
    return fresh;
}

// Jobs and what workers hold are forgotten; the platform's list stays.
void reset(Turn& turn)
{
    JobLedger& ledger = turn.ledger;
    ledger.jobs.clear();
    ledger.timers.clear();
    ledger.ready.clear();
    ledger.unwritten.clear();
    ledger.unknownWrites.clear();
    ledger.failedWrites.clear();
    ledger.writes.clear();
    ledger.finished.clear();
    std::erase_if(ledger.workers, [](const auto& item) { return !item.second.listed; });
    for (auto& [id, worker] : ledger.workers)
        worker = forgotten(worker, turn.now);
}

// A former lead's last start has arrived by then, or never will.
Instant formerStartsBy(const JobLedger& ledger)
{
    if (!ledger.rules.awaitFormerLead)
        return ledger.takenOverAt;
    return ledger.takenOverAt + ledger.settings.staleLeadBound + ledger.settings.flightBound;
}

// What a former lead started or renewed last has surely ended by then.
Instant formerLeasesLapseAt(const JobLedger& ledger)
{
    if (!ledger.rules.awaitFormerLead)
        return ledger.takenOverAt;
    return ledger.takenOverAt + ledger.settings.staleLeadBound + lapseAfterSend(ledger);
}

void inherit(Turn& turn, const Found& task, const ServerId& worker)
{
    occupy(turn, task, worker);
    TaskLive& live = task.live();
    live.inherited = true;
    live.startBy = formerStartsBy(turn.ledger);
    live.lapsesAt = formerLeasesLapseAt(turn.ledger);
    setTimer(turn, task, live.lapsesAt);
}

void recoverTask(Turn& turn, const Found& task)
{
    const TaskRecord& record = task.record();
    if (isFinal(record.state))
        return;
    // The count of failures is not stored: at least one more attempt is allowed.
    const std::uint32_t maxAttempts = std::max(task.entry->record.spec.maxAttempts, 1U);
    task.live().failures = std::min(record.attempt, maxAttempts - 1);
    if (record.state == TaskState::Pending)
        return makePending(turn, task, turn.now);
    inherit(turn, task, ServerId(record.worker));
    task.live().recovering = true;
    turn.ledger.workers[record.worker].heardAt = turn.now;
}

void cancelRecovered(Turn& turn, const Found& task)
{
    if (task.live().occupies)
        return stopTask(turn, task);
    if (!isFinal(task.record().state) && !task.live().recovering)
        makeFinal(turn, task, TaskState::Cancelled, "cancelled before its start");
}

} // namespace

void recoverJob(Turn& turn, const VersionedRecord& row)
{
    JobEntry& entry = addJob(turn, row);
    if (entry.record.state != JobState::Active) {
        entry.ended = true;
        turn.ledger.finished.push_back(row.record.id);
        turn.actions.emplace_back(JobEnded { row.record.id });
        return;
    }
    entry.recoversUntil = formerLeasesLapseAt(turn.ledger);
    for (std::uint32_t index = 0; index < entry.tasks.size(); ++index)
        recoverTask(turn, { &entry, { row.record.id, index } });
    if (entry.record.cancelRequested) {
        entry.unwinding = isGang(entry);
        for (std::uint32_t index = 0; index < entry.tasks.size(); ++index)
            cancelRecovered(turn, { &entry, { row.record.id, index } });
    }
    afterChange(turn, entry);
}

void onBecameLead(Turn& turn, const BecameLead& event)
{
    reset(turn);
    turn.ledger.leading = true;
    turn.ledger.epoch = event.epoch;
    turn.ledger.takenOverAt = turn.now;
    for (const VersionedRecord& row : event.records)
        recoverJob(turn, row);
}

void onLostLead(Turn& turn)
{
    reset(turn);
    turn.ledger.leading = false;
}

namespace {

void addListed(Turn& turn, const ServerInfo& info)
{
    WorkerEntry& worker = turn.ledger.workers[info.id];
    if (!worker.listed) {
        worker.leaving = false;
        worker.heardAt = std::max(worker.heardAt, turn.now);
    }
    worker.info = info;
    worker.listed = true;
    // The list lags: it may not take back a hint.
    worker.leaving = worker.leaving || info.leaving;
}

} // namespace

void onWorkerList(Turn& turn, const WorkerList& event)
{
    auto& workers = turn.ledger.workers;
    std::set<ServerId> listed;
    for (const ServerInfo& info : event.servers) {
        if (info.kind != ServerKind::Worker || info.domain != turn.ledger.domain)
            continue;
        listed.insert(info.id);
        addListed(turn, info);
    }
    for (auto& [id, worker] : workers)
        worker.listed = listed.contains(id);
    std::erase_if(workers, [](const auto& item) { return !item.second.listed && item.second.tasks.empty(); });
}

namespace {

bool isCurrent(const Found& task, const ServerId& worker, const TaskAttempt& attempt)
{
    return task.live().occupies && !task.live().awaitsIntent && task.record().worker == worker
        && task.record().attempt == attempt.attempt;
}

// An attempt that this lead never gave. A former lead started it without a durable intent (it may be
// one ahead of its record), or recorded it after this lead had read the row: the next write then meets
// a conflict, and the takeover that follows reads the right record. In neither case may it be
// acknowledged or stopped as unknown.
bool isUnrecorded(const Found& task, const TaskAttempt& attempt)
{
    return !isFinal(task.record().state) && attempt.attempt > task.record().attempt;
}

// While a former lead may still start work, a job that this ledger doesn't hold may be one that was
// stored after the takeover's scan. Its tasks are left alone: nobody renews their leases.
bool mayBeFormerLeads(const Turn& turn) { return turn.now < formerLeasesLapseAt(turn.ledger); }

void adopt(Turn& turn, const Found& task, const ServerId& worker, const TaskAttempt& attempt)
{
    // A later attempt was started, so that the former lead knew that the recorded one had ended.
    vacate(turn, task);
    inherit(turn, task, worker);
    task.live().recovering = false;
    task.live().endedWell = false;
    task.record().attempt = attempt.attempt;
    task.record().state = TaskState::Running;
    touch(turn, *task.entry);
    task.live().attemptSequence = task.entry->changed;
}

void onKnownRunning(Turn& turn, const Found& task, WorkerEntry& worker)
{
    TaskLive& live = task.live();
    if (live.recovering || !live.confirmed)
        worker.renewAt = turn.now;
    live.recovering = false;
    live.confirmed = true;
    task.record().state = TaskState::Running;
}

// False if the worker runs something that it should not.
bool onRunning(Turn& turn, const WorkerReport& event, const ReportedTask& running)
{
    const Found task = find(turn.ledger, running.attempt.task);
    if (task && isUnrecorded(task, running.attempt)) {
        adopt(turn, task, event.worker, running.attempt);
        if (task.entry->unwinding || task.entry->record.cancelRequested)
            stopTask(turn, task);
    }
    if (task && isCurrent(task, event.worker, running.attempt)) {
        onKnownRunning(turn, task, turn.ledger.workers[event.worker]);
        return true;
    }
    if (task || !mayBeFormerLeads(turn))
        turn.actions.emplace_back(SendStop { event.worker, running.attempt });
    return false;
}

bool showsOpen(const Found& task, const ServerId& worker, const TaskAttempt& attempt)
{
    const TaskRecord& record = task.record();
    const bool open = record.state == TaskState::Starting || record.state == TaskState::Running;
    return open && record.worker == worker && record.attempt == attempt.attempt;
}

void onEnded(Turn& turn, const WorkerReport& event, const EndedTask& ended)
{
    const Found task = find(turn.ledger, ended.attempt.task);
    if (!task && mayBeFormerLeads(turn))
        return;
    if (!task)
        return void(turn.actions.emplace_back(SendAck { event.worker, { ended.attempt } }));
    if (isUnrecorded(task, ended.attempt))
        adopt(turn, task, event.worker, ended.attempt);
    if (isCurrent(task, event.worker, ended.attempt)) {
        if (!ended.ok)
            ++turn.ledger.workers[event.worker].startFailures;
        settle(turn, task, ended.ok ? AttemptEnd::Well : AttemptEnd::Badly, ended.result);
    }
    // The end of a gang member is recorded together with the others; the worker reports it again.
    if (showsOpen(task, event.worker, ended.attempt))
        return;
    acknowledge(turn, *task.entry, event.worker, ended.attempt);
}

// The worker was asked after the start had arrived, and neither runs the task nor keeps its end.
void onAbsent(Turn& turn, const WorkerReport& event, const Found& task)
{
    const TaskLive& live = task.live();
    // The same incarnation all along would still know of it.
    const bool neverArrived = live.startSent && !live.confirmed && live.incarnation == event.incarnation;
    if (neverArrived) {
        ++turn.ledger.workers[event.worker].startFailures;
        return settle(
            turn, task, AttemptEnd::NotStarted, "the start never reached worker " + event.worker.text);
    }
    settle(turn, task, AttemptEnd::Lost, "worker " + event.worker.text + " knows nothing of it any more");
}

void findAbsent(Turn& turn, const WorkerReport& event)
{
    std::set<TaskId> running;
    for (const ReportedTask& task : event.running)
        running.insert(task.attempt.task);
    const std::set<TaskRef> held = turn.ledger.workers[event.worker].tasks;
    for (const TaskRef& ref : held) {
        const Found task = find(turn.ledger, ref);
        // Settling one member of a gang may have settled this one too.
        if (!task.live().occupies || task.live().awaitsIntent || event.requestedAt < task.live().startBy)
            continue;
        if (!running.contains(taskId(ref.job, ref.index)))
            onAbsent(turn, event, task);
    }
}

// Keeps the entry while the report is worked through, though its last task may be settled.
void noteReport(Turn& turn, WorkerEntry& worker, const WorkerReport& event)
{
    worker.heardAt = event.requestedAt;
    worker.lost = false;
    worker.incarnation = event.incarnation;
    worker.reportedUsage = event.usage;
    worker.recovered = worker.recovered || event.requestedAt >= formerStartsBy(turn.ledger);
}

} // namespace

void onReport(Turn& turn, const WorkerReport& event)
{
    auto& workers = turn.ledger.workers;
    const auto found = workers.find(event.worker);
    if (found == workers.end())
        return;
    // A later lead has spoken to the worker: what it runs is no longer this ledger's to judge.
    if (event.epoch > turn.ledger.epoch)
        return;
    // An older view of the worker, or one from before the takeover, proves nothing.
    if (event.requestedAt < found->second.heardAt || event.requestedAt < turn.ledger.takenOverAt)
        return;
    noteReport(turn, found->second, event);
    for (const EndedTask& ended : event.ended)
        onEnded(turn, event, ended);
    bool foreign = false;
    for (const ReportedTask& running : event.running)
        foreign |= !onRunning(turn, event, running);
    findAbsent(turn, event);
    if (workers.contains(event.worker))
        workers[event.worker].foreign = foreign;
    std::erase_if(workers, [](const auto& item) { return !item.second.listed && item.second.tasks.empty(); });
}

} // namespace quay::ledger
