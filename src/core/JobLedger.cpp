#include "quay/core/JobLedger.h"

#include "JobLedgerParts.h"

namespace quay {

namespace ledger {

namespace {

void expireTimers(Turn& turn)
{
    auto& timers = turn.ledger.timers;
    while (!timers.empty() && timers.begin()->first <= turn.now) {
        const Found task = find(turn.ledger, timers.begin()->second);
        clearTimer(turn, task);
        onTimer(turn, task);
    }
}

void onTick(Turn& turn)
{
    expireTimers(turn);
    renewLeases(turn);
    failUnrunnable(turn);
    retryUnknownWrites(turn);
    turn.ledger.unwritten.merge(turn.ledger.failedWrites);
    turn.ledger.failedWrites.clear();
}

// One overload an event.
struct Handler {
    Turn& turn;

    void operator()(const BecameLead& event) const { onBecameLead(turn, event); }
    void operator()(const LostLead&) const { onLostLead(turn); }
    void operator()(const JobAccepted& event) const { onAccepted(turn, event); }
    void operator()(const CancelRequested& event) const { onCancel(turn, event); }
    void operator()(const WriteDone& event) const { onWriteDone(turn, event); }
    // A late answer to a write of an earlier time as lead says nothing of this one.
    void operator()(const WriteConflict& event) const
    {
        if (turn.ledger.writes.contains(event.writeId))
            onLostLead(turn);
    }
    void operator()(const WriteUnknown& event) const { onWriteUnknown(turn, event); }
    void operator()(const WriteFailed& event) const { onWriteFailed(turn, event); }
    void operator()(const WorkerList& event) const { onWorkerList(turn, event); }
    void operator()(const WorkerReport& event) const { onReport(turn, event); }
    void operator()(const StartAnswer& event) const { onStartAnswer(turn, event); }
    void operator()(const PlacementsChosen& event) const { onPlacements(turn, event); }
    void operator()(const WorkerLeaving& event) const
    {
        if (turn.ledger.workers.contains(event.worker))
            turn.ledger.workers[event.worker].leaving = true;
    }
    void operator()(const WorkerLost& event) const
    {
        if (turn.ledger.workers.contains(event.worker))
            turn.ledger.workers[event.worker].lost = true;
    }
    void operator()(const LedgerTick&) const { onTick(turn); }
};

bool mattersToFollower(const LedgerEvent& event)
{
    return std::holds_alternative<BecameLead>(event) || std::holds_alternative<WorkerList>(event);
}

void releaseAll(Turn& turn, const LedgerEvent& event)
{
    const auto* chosen = std::get_if<PlacementsChosen>(&event);
    if (!chosen)
        return;
    for (const TaskPlacement& placement : chosen->placements)
        if (const JobRecord* job = findJob(turn.ledger, placement.job))
            turn.actions.emplace_back(ReleaseTokens { job->spec.team, 1, false });
}

} // namespace

} // namespace ledger

std::vector<LedgerAction> step(JobLedger& ledger, const LedgerEvent& event, Instant now)
{
    ledger::Turn turn { ledger, now, {} };
    if (!ledger.leading && !ledger::mattersToFollower(event)) {
        ledger::releaseAll(turn, event);
        return std::move(turn.actions);
    }
    std::visit(ledger::Handler { turn }, event);
    ledger::issueWrites(turn);
    return std::move(turn.actions);
}

namespace {

PendingTask describeTask(const JobRecord& record, std::uint32_t index)
{
    return {
        .job = record.id,
        .index = index,
        .kind = record.spec.kind,
        .team = record.spec.team,
        .queue = record.spec.queue,
        .size = record.spec.perTask,
        .gangSize = record.spec.kind == JobKind::Gang ? record.spec.taskCount : 1,
        .submittedAtMs = record.submittedAtMs,
        .declaredRunTimeMs = record.spec.declaredRunTimeMs,
    };
}

bool wholeGangReady(const JobLedger& ledger, const JobEntry& entry)
{
    for (std::uint32_t index = 0; index < entry.tasks.size(); ++index)
        if (!ledger.ready.contains({ entry.record.id, index }))
            return false;
    return true;
}

void addGang(const JobLedger& ledger, const JobEntry& entry, std::vector<PendingTask>& tasks)
{
    if (!wholeGangReady(ledger, entry))
        return;
    for (std::uint32_t index = 0; index < entry.tasks.size(); ++index)
        tasks.push_back(describeTask(entry.record, index));
}

} // namespace

std::vector<PendingTask> pendingWork(const JobLedger& ledger, std::size_t limit)
{
    std::vector<PendingTask> tasks;
    auto next = ledger.ready.begin();
    while (next != ledger.ready.end() && tasks.size() < limit) {
        const JobEntry& entry = ledger.jobs.at(next->job);
        if (ledger::isGang(entry)) {
            addGang(ledger, entry, tasks);
            next = ledger.ready.upper_bound({ next->job, UINT32_MAX });
            continue;
        }
        tasks.push_back(describeTask(entry.record, next->index));
        ++next;
    }
    return tasks;
}

std::vector<LedgerWorker> workerViews(const JobLedger& ledger)
{
    std::vector<LedgerWorker> views;
    for (const auto& [id, worker] : ledger.workers) {
        views.push_back({
            .id = id,
            .rack = worker.info.rack,
            .capacity = worker.info.capacity,
            .free = ledger::freeRoom(ledger, worker),
            .open = ledger::takesWork(worker),
            .starts = worker.starts,
            .startFailures = worker.startFailures,
            .tasks = { worker.tasks.begin(), worker.tasks.end() },
        });
    }
    return views;
}

const JobRecord* findJob(const JobLedger& ledger, const JobId& job)
{
    const auto found = ledger.jobs.find(job);
    return found == ledger.jobs.end() ? nullptr : &found->second.record;
}

std::vector<VersionedRecord> takeFinished(JobLedger& ledger)
{
    std::vector<VersionedRecord> rows;
    for (const JobId& job : ledger.finished) {
        const auto found = ledger.jobs.find(job);
        rows.push_back({ std::move(found->second.record), found->second.version });
        ledger.jobs.erase(found);
    }
    ledger.finished.clear();
    return rows;
}

// The worker counts from receipt (at most a flight after our send), by a clock that may be slow,
// and takes a moment to end the task. With a lease of 10 s, 2 % and the default bounds:
// 3 s + 10.205 s + 2 s.
Duration sureLapse(const LedgerSettings& settings)
{
    constexpr std::int64_t wholePermille = 1000;
    const Duration slowLease
        = settings.taskLease * wholePermille / (wholePermille - settings.clockRatePermille);
    return settings.flightBound + slowLease + settings.stopBound;
}

} // namespace quay
