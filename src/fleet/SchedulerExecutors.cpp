#include "fleet/SchedulerState.h"

#include <algorithm>
#include <cmath>
#include <utility>

// Tracks the incarnations of executors and their leases, and sends orders and heartbeats.
namespace quay::fleet {

using namespace internal;

namespace {

// A tenth of the maximum lease, so a network partition of up to nine tenths of it ends no task.
constexpr Duration minHeartbeatWait = 600ms;
// Limits a large cell to 500 heartbeats per second, as long as the wait stays within a quarter of the lease.
constexpr Duration heartbeatWaitPerExecutor = 2ms;
constexpr Duration maxHeartbeatWait = 1500ms;
// A heartbeat waits at most the timeout of an order for a start in flight, so that it can carry the
// acknowledgement.
constexpr Duration maxAcknowledgementWait = 300ms;
// Intervals of the passes over all executors. They bound the cost of a scheduling round in a large cell.
constexpr auto heartbeatCheckInterval = 8ms;
constexpr auto executorCheckInterval = 20ms;
// Allows for a stop and the delivery of its order and its end, before a draining executor exits.
constexpr auto evacuationMargin = 300ms;
// Longer than the time from one answered heartbeat to the next, including a long poll and its timeout.
constexpr std::int64_t minClockToIdentifyMs = 5000;

void removeFromPool(Incarnation& incarnation)
{
    const std::pair entry(incarnation.pooledFreeCpu(), incarnation.number);
    incarnation.pool->byFreeCpu.erase(entry);
    incarnation.pool->removeOfSpeed(incarnation.speedClass, entry);
    for (auto* group : incarnation.groups) {
        group->total -= incarnation.pooledTotal;
        group->used -= incarnation.pooledUsed;
        group->usedByOpenEndedRuns -= incarnation.pooledUsedByOpenEndedRuns;
    }
}

} // namespace

std::string internal::rackOf(const ExecutorEntry& entry)
{
    return entry.labels.size() < 2 ? std::string() : entry.labels.back();
}

std::size_t FleetScheduler::Impl::domainIndex(const std::string& zone)
{
    const auto found = std::find(domains.begin(), domains.end(), zone);
    const auto index = static_cast<std::size_t>(found - domains.begin());
    if (found == domains.end())
        domains.push_back(zone);
    return index;
}

FleetScheduler::Impl::Incarnation& FleetScheduler::Impl::addIncarnation(
    const ExecutorEntry& entry, Instant now)
{
    auto& incarnation = incarnations.emplace_back();
    incarnation.number = static_cast<IncarnationId>(incarnations.size()) - 1;
    incarnation.entry = entry;
    incarnation.rack = rackOf(entry);
    incarnation.domain = domainIndex(entry.zone);
    incarnation.nextHeartbeat = now;
    incarnation.leaseEndsAt = now;
    incarnation.servesUntil = now + std::chrono::milliseconds(entry.remainingMs);
    if (const auto [epoch, isNew] = epochs.emplace(entry.id, 0); !isNew)
        raiseEpoch(incarnation, epoch->second);
    return incarnation;
}

void internal::Incarnation::addUsage(const Run& run)
{
    used += run.demand;
    if (run.isOpenEnded)
        usedByOpenEndedRuns += run.demand;
}

void internal::Incarnation::removeUsage(const Run& run)
{
    used -= run.demand;
    if (run.isOpenEnded)
        usedByOpenEndedRuns -= run.demand;
}

void internal::TeamUsage::add(const Run& run)
{
    total += run.charged;
    if (run.isOpenEnded)
        openEnded += run.charged;
}

void internal::TeamUsage::remove(const Run& run)
{
    total -= run.charged;
    if (run.isOpenEnded)
        openEnded -= run.charged;
}

bool internal::Incarnation::hasStartInFlight() const
{
    return std::any_of(runs.begin(), runs.end(), [](const auto& it) { return it.second.isStartInFlight; });
}

bool internal::Incarnation::hasOpenStart() const
{
    return std::any_of(runs.begin(), runs.end(), [](const auto& it) { return it.second.isStartOpen(); });
}

// The clock of a process starts at its birth, so a later process is behind the last reading of this one,
// unless this one was young. A process that has been up for longer has been identified by a heartbeat.
bool internal::Incarnation::isSameProcess(std::int64_t clock) const
{
    return clockMs > minClockToIdentifyMs && clock >= clockMs;
}

// Starts that follow each other without a pause would hold back an acknowledgement for ever.
bool internal::Incarnation::isAcknowledgementOverdue(Instant now) const
{
    return acknowledgementHeldSince != Instant {} && !isUnresponsive
        && now - acknowledgementHeldSince > maxAcknowledgementWait;
}

// Only an answered heartbeat that was sent after the answers of all starts tells that this process has
// carried them out, and not a later one.
bool internal::Incarnation::mayHaveStartedInLaterProcess() const
{
    return hasOpenStart() || lastUnverifiedStart >= lastAnswerSentAt;
}

std::int64_t FleetScheduler::Impl::epochOf(const Incarnation& incarnation) const
{
    return epochs.at(incarnation.entry.id);
}

// Later orders to the executor bar those of `epoch`; those of an earlier epoch are barred already.
void FleetScheduler::Impl::raiseEpoch(const Incarnation& incarnation, std::int64_t epoch)
{
    auto& current = epochs.at(incarnation.entry.id);
    current = std::max(current, epoch + 1);
}

bool FleetScheduler::isSuperseded(IncarnationId incarnation, std::int64_t epoch) const
{
    return epoch < m_impl->epochOf(m_impl->incarnations[incarnation]);
}

FleetScheduler::Impl::Incarnation* FleetScheduler::Impl::incarnationOf(const std::string& id)
{
    auto it = currentIncarnations.find(id);
    return it == currentIncarnations.end() ? nullptr : &incarnations[it->second];
}

// The executor has restarted. The runs of the old incarnation end in closePredecessor(), once the new one
// has answered with our fencing token: from then on it refuses orders of earlier leaders. `isRegistered`:
// `entry` is the registration of the new one, which may have other capacity and labels than the old one.
FleetScheduler::Impl::Incarnation& FleetScheduler::Impl::replaceIncarnation(
    Incarnation& old, const ExecutorEntry& entry, bool isRegistered, Instant now)
{
    const IncarnationId oldNumber = old.number;
    old.isRegistered = false;
    if (old.silentSince == Instant {})
        old.silentSince = now;
    old.entry.address.clear();
    updatePool(old);
    auto& incarnation = addIncarnation(entry, now);
    incarnation.isRegistered = isRegistered;
    incarnation.predecessor = oldNumber;
    if (incarnations[oldNumber].entry.labels == entry.labels) {
        incarnation.speed = incarnations[oldNumber].speed;
        incarnation.speedClass = incarnations[oldNumber].speedClass;
    }
    currentIncarnations[entry.id] = incarnation.number;
    updatePool(incarnation);
    addEvent("executor_reborn", {},
        "executor=" + entry.id + " started=" + std::to_string(entry.startedUnixMs)
            + " before=" + std::to_string(incarnations[oldNumber].entry.startedUnixMs)
            + " runs_before=" + std::to_string(incarnations[oldNumber].runs.size()));
    return incarnation;
}

// Moves a run to the later incarnation of its executor. Its start may have been carried out there.
void FleetScheduler::Impl::moveRun(Incarnation& from, Incarnation& to, const RunKey& key)
{
    auto run = from.runs.extract(key);
    from.removeUsage(run.mapped());
    to.addUsage(run.mapped());
    openOrders.erase({ from.number, key });
    run.mapped().phase = RunPhase::Starting;
    run.mapped().isInFlight = run.mapped().isStartInFlight = false;
    run.mapped().openEpoch = -1; // barred by the first order to the later process
    run.mapped().isStopAcknowledged = false; // by the earlier process
    if (!run.mapped().isOrphan)
        key.job->occurrences[key.occurrence].steps[key.step]->tasks[key.index].incarnation = to.number;
    to.runs.insert(std::move(run));
}

// Ends the runs of earlier incarnations, except those that this one lists or may still start: it accepts
// starts that were sent to an earlier one, because it has the same id.
void FleetScheduler::Impl::closePredecessor(
    Incarnation& incarnation, const ExecutorReport& report, Instant now)
{
    if (incarnation.predecessor < 0 || report.ended.size() >= maxEndsPerReport)
        return; // a truncated report may omit a run that has ended
    const IncarnationId number = std::exchange(incarnation.predecessor, -1);
    auto& old = incarnations[number];
    closePredecessor(old, report, now);
    if (old.isHeartbeatInFlight && old.sentAcknowledgement > 0)
        old.unansweredAcknowledgementUntil = now + maxOrderDelay;
    incarnation.staleAcknowledgementUntil
        = std::max(old.staleAcknowledgementUntil, old.unansweredAcknowledgementUntil);
    const auto moveListed = [&](const TaskRef& task, int runNumber) {
        const auto key = keyOf(task, runNumber);
        if (!key || old.runs.count(*key) == 0)
            return;
        addEvent("run_moved", task.job,
            "task=" + text(task) + " run=" + std::to_string(runNumber) + " executor=" + incarnation.entry.id);
        moveRun(old, incarnation, *key);
        openOrders.insert({ incarnation.number, *key });
    };
    for (const auto& it : report.running)
        moveListed(it.task, it.run);
    for (const auto& it : report.ended)
        moveListed(it.task, it.run);
    judgeCrash(old, true, now); // before runs that may yet be started are moved
    for (const auto& [key, run] : old.runs) {
        if (run.isStartInFlight)
            old.unansweredStarts[key] = now;
    }
    // A stop makes the new process refuse this run number, even if the run has ended.
    for (const auto& [key, sentAt] : old.unansweredStarts) {
        if (now - sentAt > maxOrderDelay)
            continue;
        incarnation.unansweredStarts.emplace(key, sentAt); // the executor may restart again
        if (incarnation.runs.count(key))
            continue; // listed
        if (old.runs.count(key) == 0) {
            Run orphan;
            orphan.isOrphan = true;
            orphan.demand = demandOf(key.job->request.steps[key.step]); // it may be running
            incarnation.addUsage(orphan);
            incarnation.runs.emplace(key, orphan);
        } else {
            moveRun(old, incarnation, key);
        }
        auto& blockedRun = incarnation.runs.at(key);
        blockedRun.phase = RunPhase::Starting;
        markStopRequested(incarnation, key, blockedRun);
        blockedRun.nextSend = now;
        openOrders.insert({ incarnation.number, key });
    }
    updatePool(incarnation);
    loseRuns(old, now, "restarted");
    closeIncarnation(old);
}

void FleetScheduler::Impl::loseRuns(Incarnation& incarnation, Instant now, std::string_view why)
{
    setStrayTasks(incarnation, {});
    if (incarnation.runs.empty())
        return;
    addEvent("runs_lost", {},
        "executor=" + incarnation.entry.id + " runs=" + std::to_string(incarnation.runs.size())
            + " why=" + std::string(why));
    while (!incarnation.runs.empty()) {
        ++totals.lostRuns;
        const RunKey key = incarnation.runs.begin()->first;
        const Run& run = incarnation.runs.begin()->second;
        if (run.isStartInFlight)
            raiseEpoch(incarnation, run.sentEpoch); // bars the start, which may still be carried out
        endRun(incarnation, key, RunOutcome::LeaseExpired, {}, now);
    }
}

// Estimated time until a run that was confirmed as running ends.
Duration FleetScheduler::Impl::expectedTimeLeft(
    const Incarnation& incarnation, const RunKey& key, const Run& run, Instant now) const
{
    const auto spent = now - run.startedAt;
    if (run.progress > 0)
        return spent * (100 - run.progress) / run.progress;
    const auto expectedMs = expectedTaskMs(*key.job->occurrences.at(key.occurrence).steps[key.step])
        * std::exp(logFactorOf(incarnation, now));
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(expectedMs))
        - spent;
}

// CPU of a service that its waiting tasks will take, and those that are being moved off draining executors
// and emptied failure domains.
std::int64_t FleetScheduler::Impl::cpuAwaitingPlacement(const std::string& service) const
{
    std::int64_t cpu = 0;
    for (const auto* step : readySteps) {
        if (step->queue && step->queue->service == service)
            cpu += step->waiting * demandOf(step->request()).cpuMilli;
    }
    for (const auto& incarnation : incarnations) {
        if (incarnation.isClosed || incarnation.entry.service != service
            || !(incarnation.entry.isDraining || isEmptied(incarnation)))
            continue;
        for (const auto& [key, run] : incarnation.runs)
            cpu += run.isStopRequested && !run.isOrphan ? run.demand.cpuMilli : 0;
    }
    return cpu;
}

// Returns whether another executor has room for a task of the step beyond `claimed` CPU.
bool FleetScheduler::Impl::hasRoomElsewhere(const StepState& step, std::int64_t claimed, Instant now) const
{
    const auto pool = step.queue ? pools.find(step.queue->service) : pools.end();
    if (pool == pools.end())
        return false;
    const auto demand = demandOf(step.request());
    const auto each = std::max<std::int64_t>(1, demand.cpuMilli);
    const int limit = step.request().maxPerExecutor;
    const auto tasksByIncarnation
        = limit > 0 ? tasksPerIncarnation(step) : std::unordered_map<IncarnationId, int>();
    std::int64_t room = 0;
    const auto& byFreeCpu = pool->second.byFreeCpu;
    for (auto it = byFreeCpu.rbegin(); it != byFreeCpu.rend() && it->first >= each; ++it) {
        if (!isCandidate(step, incarnations[it->second], demand, now)
            || (step.queue->approval && !step.isApproved(it->second)))
            continue;
        auto places = it->first / each;
        if (limit > 0) {
            const auto here = tasksByIncarnation.find(it->second);
            const int running = here == tasksByIncarnation.end() ? 0 : here->second;
            places = std::min<std::int64_t>(places, std::max(0, limit - running));
        }
        room += places * each;
        if (room >= claimed + each)
            return true;
    }
    return false;
}

// Moves tasks off a draining executor while it still reports their ends: an exit is never certain before the
// lease has expired. Long-running tasks and those that save a checkpoint when stopped are moved at once if
// they would not end in time, others shortly before the executor may exit, and only if they find room: it may
// serve for longer than it says.
void FleetScheduler::Impl::evacuate(Incarnation& incarnation, Instant now)
{
    const Duration servesFor = std::max<Duration>(incarnation.servesUntil - now, bounds.maxStopDuration);
    const bool isExitNear = servesFor <= bounds.maxStopDuration + evacuationMargin;
    std::vector<RunKey> leaving;
    std::optional<std::int64_t> claimed;
    for (const auto& [key, run] : incarnation.runs) {
        if (run.isOrphan || run.isStopRequested)
            continue;
        const auto& request = key.job->request.steps[key.step];
        if (run.phase == RunPhase::Recording) { // no start was sent
            leaving.push_back(key);
            continue;
        }
        if (run.phase != RunPhase::Running
            || (!request.isLongRunning && expectedTimeLeft(incarnation, key, run, now) <= servesFor))
            continue;
        if (request.isLongRunning || (request.savesCheckpoints && !request.isGang)) {
            leaving.push_back(key);
        } else if (isExitNear) {
            if (!claimed)
                claimed = cpuAwaitingPlacement(incarnation.entry.service);
            if (hasRoomElsewhere(*key.job->occurrences[key.occurrence].steps[key.step], *claimed, now)) {
                leaving.push_back(key);
                *claimed += run.demand.cpuMilli;
            }
        }
    }
    if (!leaving.empty())
        addEvent("executor_evacuated", {},
            "executor=" + incarnation.entry.id + " runs=" + std::to_string(leaving.size()));
    for (const auto& key : leaving)
        requestStop(incarnation, key, now);
}

// Must be called after each change of the registration, the capacity or the used resources of an executor.
void FleetScheduler::Impl::updatePool(Incarnation& incarnation)
{
    if (!incarnation.isRegistered || isEmptied(incarnation)) {
        leavePool(incarnation);
        return;
    }
    if (!incarnation.pool) {
        incarnation.pool = &pools[incarnation.entry.service];
        incarnation.groups.push_back(&incarnation.pool->all);
        if (incarnation.entry.capacity.accelerators > 0)
            incarnation.groups.push_back(&incarnation.pool->withAccelerators);
        for (const auto& label : incarnation.entry.labels)
            incarnation.groups.push_back(&incarnation.pool->byLabel[label]);
        for (auto* group : incarnation.groups)
            ++group->size;
        incarnation.speedOfKind = &kindMean(incarnation.pool->speeds, speedKind(incarnation.entry.labels));
    } else {
        removeFromPool(incarnation);
    }
    incarnation.pooledTotal = incarnation.entry.capacity;
    incarnation.pooledUsed = incarnation.used;
    incarnation.pooledUsedByOpenEndedRuns = incarnation.usedByOpenEndedRuns;
    const std::pair entry(incarnation.pooledFreeCpu(), incarnation.number);
    incarnation.pool->byFreeCpu.insert(entry);
    incarnation.pool->bySpeed[incarnation.speedClass].insert(entry);
    for (auto* group : incarnation.groups) {
        group->total += incarnation.pooledTotal;
        group->used += incarnation.pooledUsed;
        group->usedByOpenEndedRuns += incarnation.pooledUsedByOpenEndedRuns;
    }
}

// Also called before the executor's entry changes, because its groups follow from the entry.
void FleetScheduler::Impl::leavePool(Incarnation& incarnation)
{
    if (!incarnation.pool)
        return;
    removeFromPool(incarnation);
    for (auto* group : incarnation.groups)
        --group->size;
    incarnation.groups.clear();
    incarnation.pool = nullptr;
    incarnation.speedOfKind = nullptr;
}

void FleetScheduler::Impl::closeIncarnation(Incarnation& incarnation)
{
    incarnation.isClosed = true;
    incarnation.isRegistered = false;
    updatePool(incarnation);
    incarnation.unknownRuns.clear();
    setStrayTasks(incarnation, {});
    auto it = currentIncarnations.find(incarnation.entry.id);
    if (it != currentIncarnations.end() && it->second == incarnation.number)
        currentIncarnations.erase(it);
}

std::optional<RunKey> FleetScheduler::Impl::keyOf(const TaskRef& task, int run) const
{
    auto it = jobs.find(task.job);
    if (it == jobs.end())
        return std::nullopt;
    return RunKey { it->second.get(), task.occurrence, task.step, task.index, run };
}

TaskRef FleetScheduler::Impl::taskRefOf(const RunKey& key) const
{
    return TaskRef { key.job->request.id, key.occurrence, key.step, key.index };
}

void FleetScheduler::Impl::releaseRun(Incarnation& incarnation, const RunKey& key)
{
    auto it = incarnation.runs.find(key);
    if (it == incarnation.runs.end())
        return;
    incarnation.removeUsage(it->second);
    updatePool(incarnation);
    teamUsage[key.job->request.team].remove(it->second);
    openOrders.erase({ incarnation.number, key });
    incarnation.runs.erase(it);
    isPlacementDue = true;
}

void FleetScheduler::Impl::requeue(Incarnation& incarnation, const RunKey& key, Instant now)
{
    endRun(incarnation, key, RunOutcome::Stopped, {}, now);
}

void FleetScheduler::Impl::requestStop(Incarnation& incarnation, const RunKey& key, Instant now)
{
    auto it = incarnation.runs.find(key);
    if (it == incarnation.runs.end() || it->second.isStopRequested)
        return;
    auto& run = it->second;
    if (run.phase == RunPhase::Recording) { // no start was sent
        endRun(incarnation, key, RunOutcome::Stopped, {}, now);
        return;
    }
    markStopRequested(incarnation, key, run);
    run.nextSend = now;
    openOrders.insert({ incarnation.number, key });
}

void FleetScheduler::Impl::markStopRequested(Incarnation& incarnation, const RunKey& key, Run& run)
{
    run.isStopRequested = true;
    if (!std::exchange(run.isOpenEnded, false))
        return;
    incarnation.usedByOpenEndedRuns -= run.demand;
    updatePool(incarnation);
    teamUsage[key.job->request.team].openEnded -= run.charged;
}

// An executor may hold a lease that late orders to its previous process or an earlier leader have granted,
// but none that is longer than the maximum.
void FleetScheduler::Impl::boundLease(Incarnation& incarnation, Instant now) const
{
    incarnation.leaseEndsAt = std::max(incarnation.leaseEndsAt,
        now + std::chrono::duration_cast<Duration>(bounds.maxLeaseDuration * maxClockRateRatio));
}

// Returns the end of the lease, on the executor's clock, that the next order may request, and records it as
// granted. Returns 0 if no lease may be granted now.
std::int64_t FleetScheduler::Impl::extendLease(Incarnation& incarnation, Instant now)
{
    if (incarnation.clockReceivedAt == Instant {} || now >= renewalAllowedUntil)
        return 0;
    if (incarnation.isUnresponsive) // not renewed, so that its lease ends in bounded time
        return incarnation.requestedLeaseClockMs;
    const auto sinceReading = now - incarnation.clockReceivedAt;
    // The executor read its clock before the reading arrived here, so its lease ends no later than `latest`.
    const auto latest = incarnation.clockReceivedAt
        + std::chrono::duration_cast<Duration>((sinceReading + bounds.maxLeaseDuration) * maxClockRateRatio);
    incarnation.leaseEndsAt = std::max(incarnation.leaseEndsAt, latest);
    incarnation.requestedLeaseClockMs = std::max(incarnation.requestedLeaseClockMs,
        incarnation.clockMs
            + static_cast<std::int64_t>(toMilliseconds(sinceReading + bounds.maxLeaseDuration)));
    return incarnation.requestedLeaseClockMs;
}

void FleetScheduler::Impl::checkExecutors(Instant now)
{
    if (now < nextExecutorCheck)
        return;
    nextExecutorCheck = now + executorCheckInterval;
    for (auto& incarnation : incarnations) {
        if (incarnation.isClosed)
            continue;
        if (incarnation.entry.isDraining && !incarnation.runs.empty())
            evacuate(incarnation, now);
        if (now > incarnation.leaseEndsAt + bounds.maxStopDuration
            && !(incarnation.runs.empty() && incarnation.strayTasks.empty())
            && (incarnation.isUnresponsive || incarnationOf(incarnation.entry.id) != &incarnation)) {
            judgeCrash(incarnation, !incarnation.isRegistered, now);
            loseRuns(incarnation, now, "lease expired");
        }
        std::erase_if(incarnation.unansweredStarts,
            [&](const auto& unansweredStart) { return now - unansweredStart.second > maxOrderDelay; });
        const bool isIdle
            = incarnation.runs.empty() && !incarnation.isHeartbeatInFlight && incarnation.predecessor < 0;
        if (incarnation.isRegistered || !isIdle || now <= incarnation.leaseEndsAt + bounds.maxStopDuration)
            continue;
        // If the executor starts again under its id, orders without an answer may reach its next process.
        const auto ordersMayArriveUntil
            = std::max(incarnation.unansweredAcknowledgementUntil, incarnation.staleAcknowledgementUntil);
        if (!incarnation.unansweredStarts.empty() || now < ordersMayArriveUntil) {
            incarnation.entry.address.clear();
            continue;
        }
        judgeCrash(incarnation, true, now);
        addEvent("executor_closed", {}, "executor=" + incarnation.entry.id);
        closeIncarnation(incarnation);
    }
}

void FleetScheduler::Impl::sendOrders(Instant now, SchedulerActions& actions)
{
    const std::vector<std::pair<IncarnationId, RunKey>> open(
        openOrders.begin(), openOrders.end()); // a copy, because requeue() and requestStop() change the set
    for (const auto& [number, key] : open) {
        auto& incarnation = incarnations[number];
        auto it = incarnation.runs.find(key);
        if (it == incarnation.runs.end()) {
            openOrders.erase({ number, key });
            continue;
        }
        auto& run = it->second;
        if (run.isInFlight || now < run.nextSend || incarnation.entry.address.empty())
            continue;
        if (run.isStopRequested) {
            if (run.isStopAcknowledged)
                continue;
            run.isInFlight = true;
            run.sentEpoch = epochOf(incarnation);
            actions.stops.push_back({ number, incarnation.entry.address, incarnation.entry.id, taskRefOf(key),
                key.run, run.sentEpoch });
            continue;
        }
        if (run.phase != RunPhase::Starting)
            continue;
        const auto& step = *key.job->occurrences[key.occurrence].steps[key.step];
        if (isEmptied(incarnation)) {
            withdrawStart(incarnation, key, "evacuation", now);
            continue;
        }
        if (incarnation.isAcknowledgementOverdue(now) || isStartHeld(incarnation, now))
            continue;
        // The executor would refuse the start. The step calls for a new ticket before it is placed again.
        const bool isTicketExpired = !run.ticket.empty() && run.ticketUntil < now;
        // The capacity may have shrunk since the placement, and the executor may not guard it.
        const bool isAboveCapacity = !incarnation.used.fitsIn(incarnation.entry.capacity);
        const bool isBesideStray = incarnation.hasUncountedRuns || hasStrayRun(step, key.index);
        if (isTicketExpired || isAboveCapacity || isBesideStray) {
            withdrawStart(incarnation, key,
                isTicketExpired       ? "ticket_expired"
                    : isAboveCapacity ? "capacity"
                                      : "stray_run",
                now);
            continue;
        }
        const auto& checkpoint
            = step.request().isGang ? step.gangCheckpoint : step.tasks[key.index].checkpoint;
        // A later process that carries out both a late acknowledgement and a late start must not discard the
        // end of that run, so the start bars the acknowledgement.
        if (incarnation.isAcknowledgementInFlight())
            raiseEpoch(incarnation, incarnation.heartbeatEpoch);
        run.isInFlight = run.isStartInFlight = true;
        if (run.startSentAt == Instant {})
            run.startSentAt = now;
        run.sentEpoch = epochOf(incarnation);
        actions.starts.push_back({ number, incarnation.entry.address, incarnation.entry.id, taskRefOf(key),
            key.run, key.job->request.payload, checkpoint, run.ticket, extendLease(incarnation, now),
            run.unansweredAttempts, run.sentEpoch });
        ++totals.starts;
    }
    for (IncarnationId number : std::exchange(executorsWithUnknownRuns, {})) {
        auto& incarnation = incarnations[number];
        for (const auto& [task, run] : incarnation.unknownRuns)
            actions.stops.push_back({ incarnation.number, incarnation.entry.address, incarnation.entry.id,
                task, run, epochOf(incarnation) });
        incarnation.unknownRuns.clear();
    }
}

void FleetScheduler::Impl::sendHeartbeats(Instant now, SchedulerActions& actions)
{
    if (now < nextHeartbeatCheck)
        return;
    nextHeartbeatCheck = now + heartbeatCheckInterval;
    const auto wait = std::clamp<Duration>(
        heartbeatWaitPerExecutor * currentIncarnations.size(), minHeartbeatWait, maxHeartbeatWait);
    for (auto& incarnation : incarnations) {
        if (incarnation.isClosed || incarnation.isHeartbeatInFlight || now < incarnation.nextHeartbeat
            || incarnation.entry.address.empty())
            continue;
        // An acknowledgement is sent until it is answered and not again, and only right after an answer: a
        // later process of the executor that carries it out discards its own ends. For the same reason it
        // waits for the answers of the starts before it.
        const bool isAcknowledgementDue = !incarnation.isUnresponsive
            && incarnation.acknowledgedEnds > incarnation.confirmedAcknowledgement;
        const bool isHeldBack = isAcknowledgementDue && incarnation.mayHaveStartedInLaterProcess();
        if (!isHeldBack)
            incarnation.acknowledgementHeldSince = {};
        else if (incarnation.acknowledgementHeldSince == Instant {})
            incarnation.acknowledgementHeldSince = now;
        if (isHeldBack && incarnation.hasStartInFlight()
            && now - incarnation.lastAnswer < maxAcknowledgementWait)
            continue;
        incarnation.sentAcknowledgement
            = isAcknowledgementDue && !isHeldBack ? incarnation.acknowledgedEnds : 0;
        incarnation.heartbeatEpoch = epochOf(incarnation);
        HeartbeatAction heartbeat { incarnation.number, incarnation.entry.address, incarnation.entry.id,
            incarnation.sentAcknowledgement, 0, {}, incarnation.heartbeatEpoch };
        heartbeat.leaseUntilClockMs = extendLease(incarnation, now);
        if (incarnation.hasAnswered && !incarnation.isUnresponsive && !isHeldBack
            && incarnation.processedEnds == incarnation.acknowledgedEnds)
            heartbeat.wait = wait;
        incarnation.isHeartbeatInFlight = true;
        actions.heartbeats.push_back(std::move(heartbeat));
    }
}

} // namespace quay::fleet
