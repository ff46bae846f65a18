#include "quay/core/JobLedger.h"

#include <algorithm>

#include "JobLedgerParts.h"

namespace quay {

namespace ledger {

namespace {

void expireTimers(StepContext& context)
{
    auto& timers = context.ledger.timers;
    while (!timers.empty() && timers.begin()->first <= context.now) {
        const TaskHandle task = find(context.ledger, timers.begin()->second);
        clearTimer(context, task);
        onTimer(context, task);
    }
}

void onTick(StepContext& context)
{
    expireTimers(context);
    renewLeases(context);
    failUnschedulableJobs(context);
    retryUnknownWrites(context);
    context.ledger.jobsToWrite.merge(context.ledger.failedWrites);
    context.ledger.failedWrites.clear();
}

// One overload for each event type.
struct EventHandler {
    StepContext& context;

    void operator()(const BecameLeader& event) const { onBecameLeader(context, event); }
    void operator()(const EpochRaised& event) const
    {
        context.ledger.epoch = std::max(context.ledger.epoch, event.epoch);
    }
    void operator()(const LostLeadership&) const { onLostLeadership(context); }
    void operator()(const JobAccepted& event) const { onAccepted(context, event); }
    void operator()(const CancelRequested& event) const { onCancel(context, event); }
    void operator()(const WriteDone& event) const { onWriteDone(context, event); }
    // A late answer to a write of an earlier leadership of this process has no meaning for the current one.
    void operator()(const WriteConflict& event) const
    {
        if (context.ledger.writesInFlight.contains(event.writeId))
            onLostLeadership(context);
    }
    void operator()(const WriteUnknown& event) const { onWriteUnknown(context, event); }
    void operator()(const WriteFailed& event) const { onWriteFailed(context, event); }
    void operator()(const WorkerList& event) const { onWorkerList(context, event); }
    void operator()(const WorkerReport& event) const { onReport(context, event); }
    void operator()(const StartAnswer& event) const { onStartAnswer(context, event); }
    void operator()(const PlacementsChosen& event) const { onPlacements(context, event); }
    void operator()(const WorkerLeaving& event) const
    {
        if (context.ledger.workers.contains(event.worker))
            context.ledger.workers[event.worker].leaving = true;
    }
    void operator()(const WorkerSuspected& event) const
    {
        if (context.ledger.workers.contains(event.worker))
            context.ledger.workers[event.worker].isSuspected = true;
    }
    void operator()(const LedgerTick&) const { onTick(context); }
};

bool isHandledWhileFollower(const LedgerEvent& event)
{
    return std::holds_alternative<BecameLeader>(event) || std::holds_alternative<WorkerList>(event);
}

void releasePlacementTokens(StepContext& context, const LedgerEvent& event)
{
    const auto* chosen = std::get_if<PlacementsChosen>(&event);
    if (!chosen)
        return;
    for (const TaskPlacement& placement : chosen->placements)
        if (const JobRecord* job = findJob(context.ledger, placement.job))
            context.actions.emplace_back(ReleaseTokens { job->spec.team, 1, false });
}

} // namespace

} // namespace ledger

std::vector<LedgerAction> step(JobLedger& ledger, const LedgerEvent& event, Instant now)
{
    ledger::StepContext context { ledger, now, {} };
    if (!ledger.isLeading && !ledger::isHandledWhileFollower(event)) {
        ledger::releasePlacementTokens(context, event);
        return std::move(context.actions);
    }
    std::visit(ledger::EventHandler { context }, event);
    ledger::issueWrites(context);
    return std::move(context.actions);
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

bool isWholeGangReady(const JobLedger& ledger, const JobEntry& entry)
{
    for (std::uint32_t index = 0; index < entry.tasks.size(); ++index)
        if (!ledger.readyTasks.contains({ entry.record.id, index }))
            return false;
    return true;
}

void addGang(const JobLedger& ledger, const JobEntry& entry, std::vector<PendingTask>& tasks)
{
    if (!isWholeGangReady(ledger, entry))
        return;
    for (std::uint32_t index = 0; index < entry.tasks.size(); ++index)
        tasks.push_back(describeTask(entry.record, index));
}

} // namespace

std::vector<PendingTask> pendingWork(const JobLedger& ledger, std::size_t limit)
{
    std::vector<PendingTask> tasks;
    auto next = ledger.readyTasks.begin();
    while (next != ledger.readyTasks.end() && tasks.size() < limit) {
        const JobEntry& entry = ledger.jobs.at(next->job);
        if (ledger::isGang(entry)) {
            addGang(ledger, entry, tasks);
            next = ledger.readyTasks.upper_bound({ next->job, UINT32_MAX });
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
            .free = ledger::freeCapacity(ledger, worker),
            .isOpen = ledger::acceptsNewWork(worker),
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

std::uint64_t latestChange(const JobLedger& ledger, const JobId& job)
{
    const auto found = ledger.jobs.find(job);
    return found == ledger.jobs.end() ? 0 : found->second.latestChange;
}

bool isChangeDurable(const JobLedger& ledger, const JobId& job, std::uint64_t change)
{
    const auto found = ledger.jobs.find(job);
    return found == ledger.jobs.end() || found->second.durableChange >= change;
}

std::vector<VersionedRecord> takeFinished(JobLedger& ledger)
{
    std::vector<VersionedRecord> rows;
    for (const JobId& job : ledger.endedJobs) {
        const auto found = ledger.jobs.find(job);
        rows.push_back({ std::move(found->second.record), found->second.version });
        ledger.jobs.erase(found);
    }
    ledger.endedJobs.clear();
    return rows;
}

// The worker counts the lease from receipt, which is at most messageDelayBound after the send, on a clock
// that may run slow, and then needs up to taskStopBound to end the task. With the defaults (14 s lease, clock
// 2 % slow): 3 s + 14.286 s + 2 s.
Duration leaseExpiryBound(const LedgerSettings& settings)
{
    constexpr std::int64_t wholePermille = 1000;
    const Duration slowLease
        = settings.taskLease * wholePermille / (wholePermille - settings.clockRatePermille);
    return settings.messageDelayBound + slowLease + settings.taskStopBound;
}

} // namespace quay
