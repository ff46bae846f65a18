#include "fleet/SchedulerState.h"

#include <algorithm>
#include <utility>

// Executors: their lifetimes, their leases, the orders that are due.
namespace quay::fleet {

using namespace internal;

namespace {

constexpr Duration holdWait = 600ms; // a tenth of the longest lease: a cut of nine tenths of it ends nothing
// A larger cell is looked at less often: 500 looks a second, as long as a quarter of the lease allows it.
constexpr Duration holdWaitPerExecutor = 2ms;
constexpr Duration longestHoldWait = 1500ms;
constexpr auto longestEcho = 20s; // an unanswered order may be carried out seconds later; 12 s were seen
constexpr auto ownDeregistration = 1500ms; // a ping interval; silence takes three of them

} // namespace

std::string internal::rackOf(const ExecutorEntry& entry)
{
    return entry.labels.size() < 2 ? std::string() : entry.labels.back();
}

FleetScheduler::Impl::Life& FleetScheduler::Impl::addLife(const ExecutorEntry& entry, Instant now)
{
    auto& life = lives.emplace_back();
    life.number = static_cast<LifeId>(lives.size()) - 1;
    life.entry = entry;
    life.rack = rackOf(entry);
    life.nextHold = now;
    life.leaseEnds = now;
    return life;
}

FleetScheduler::Impl::Life* FleetScheduler::Impl::lifeOfId(const std::string& id)
{
    auto it = lifeById.find(id);
    return it == lifeById.end() ? nullptr : &lives[it->second];
}

// The executor has started again. What ran before is settled when the new life has answered under our fence:
// only then can no earlier scheduler's order reach it any more.
void FleetScheduler::Impl::replaceLife(Life& old, const ExecutorEntry& entry, Instant now)
{
    const LifeId oldNumber = old.number;
    old.isListed = false;
    old.entry.address.clear();
    repool(old);
    auto& life = addLife(entry, now);
    life.isListed = true;
    life.replaced = oldNumber;
    lifeById[entry.id] = life.number;
    repool(life);
    note("executor_reborn", {},
        "executor=" + entry.id + " runs_before=" + std::to_string(lives[oldNumber].runs.size()));
}

void FleetScheduler::Impl::settleReplaced(Life& life, Instant now)
{
    const LifeId number = std::exchange(life.replaced, -1);
    if (number < 0)
        return;
    auto& old = lives[number];
    settleReplaced(old, now);
    for (const auto& [key, run] : old.runs) {
        if (run.inFlight && !run.wantsStop)
            old.echoes[key] = now;
    }
    // A start that is still on its way may reach the new process, which knows nothing of the old one's runs
    // and fences: a stop there bars that run number, also of a run that has ended.
    for (const auto& [key, sentAt] : old.echoes) {
        if (now - sentAt > longestEcho)
            continue;
        life.echoes.emplace(key, sentAt); // it may restart once more
        Run barred;
        barred.isOrphan = true;
        if (auto it = old.runs.find(key); it != old.runs.end()) {
            barred = it->second;
            old.used -= barred.room;
            life.used += barred.room;
            old.runs.erase(it);
            attention.erase({ old.number, key });
            if (!barred.isOrphan)
                key.job->occurrences[key.occurrence].steps[key.step]->tasks[key.index].life = life.number;
        }
        barred.phase = RunPhase::Starting;
        barred.wantsStop = true;
        barred.stopAcknowledged = false;
        barred.inFlight = false;
        barred.nextSend = now;
        life.runs.emplace(key, barred);
        attention.insert({ life.number, key });
    }
    repool(life);
    loseRuns(old, now, "restarted");
    closeLife(old);
}

void FleetScheduler::Impl::loseRuns(Life& life, Instant now, std::string_view why)
{
    if (life.runs.empty())
        return;
    note("runs_lost", {},
        "executor=" + life.entry.id + " runs=" + std::to_string(life.runs.size())
            + " why=" + std::string(why));
    while (!life.runs.empty()) {
        ++totals.lostRuns;
        const RunKey key = life.runs.begin()->first;
        endRun(life, key, RunEnd::LeaseLapsed, {}, now);
    }
}

// What would not end in time, and loses less by a stop than by the executor's end, goes on elsewhere: lasting
// tasks, and those whose stop saves their work.
void FleetScheduler::Impl::evacuate(Life& life, Instant now)
{
    life.isEvacuated = true;
    std::vector<RunKey> leaving;
    for (const auto& [key, run] : life.runs) {
        const auto& request = key.job->request.steps[key.step];
        if (run.isOrphan || run.phase != RunPhase::Running || request.isGang)
            continue;
        const auto spent = now - run.startedAt;
        const auto left = run.progress > 0 ? spent * (100 - run.progress) / run.progress : Duration::max();
        if (request.isLasting
            || (request.savesCheckpoints && now + std::min<Duration>(left, 3600s) > life.leavesAt))
            leaving.push_back(key);
    }
    if (!leaving.empty())
        note("executor_evacuated", {},
            "executor=" + life.entry.id + " runs=" + std::to_string(leaving.size()));
    for (const auto& key : leaving)
        wantStop(life, key, now);
}

// An executor that drained, took its registration away while it still answered, and whose port is closed now
// has left. One that was cut off loses its registration only after several ping intervals of silence.
bool FleetScheduler::Impl::hasLeft(const Life& life, OrderResult result) const
{
    return result == OrderResult::Unreachable && life.entry.isDraining && !life.isListed && life.hasAnswered
        && life.unlistedAt - life.lastAnswer < ownDeregistration;
}

// Called after each change of what counts for its place: its registration, its capacity, what is in use.
void FleetScheduler::Impl::repool(Life& life)
{
    if (life.pool) {
        life.pool->byFreeCpu.erase({ life.pooledFree, life.number });
        life.pool->totalCpu -= life.pooledTotal;
        life.pool->usedCpu -= life.pooledTotal - life.pooledFree;
        life.pool = nullptr;
    }
    if (!life.isListed)
        return;
    life.pool = &pools[life.entry.service];
    life.pooledTotal = life.entry.capacity.cpuMilli;
    life.pooledFree = life.pooledTotal - life.used.cpuMilli;
    life.pool->byFreeCpu.insert({ life.pooledFree, life.number });
    life.pool->totalCpu += life.pooledTotal;
    life.pool->usedCpu += life.pooledTotal - life.pooledFree;
}

void FleetScheduler::Impl::closeLife(Life& life)
{
    life.isClosed = true;
    life.isListed = false;
    repool(life);
    life.strays.clear();
    auto it = lifeById.find(life.entry.id);
    if (it != lifeById.end() && it->second == life.number)
        lifeById.erase(it);
}

std::optional<RunKey> FleetScheduler::Impl::keyOf(const TaskRef& task, int run) const
{
    auto it = jobs.find(task.job);
    if (it == jobs.end())
        return std::nullopt;
    return RunKey { it->second.get(), task.occurrence, task.step, task.index, run };
}

TaskRef FleetScheduler::Impl::refOf(const RunKey& key) const
{
    return TaskRef { key.job->request.id, key.occurrence, key.step, key.index };
}

void FleetScheduler::Impl::release(Life& life, const RunKey& key)
{
    auto it = life.runs.find(key);
    if (it == life.runs.end())
        return;
    life.used -= it->second.room;
    repool(life);
    teamUsage[key.job->request.team] -= it->second.charged;
    attention.erase({ life.number, key });
    life.runs.erase(it);
    placementDue = true;
}

void FleetScheduler::Impl::requeue(Life& life, const RunKey& key, Instant now)
{
    endRun(life, key, RunEnd::Stopped, {}, now);
}

void FleetScheduler::Impl::wantStop(Life& life, const RunKey& key, Instant now)
{
    auto it = life.runs.find(key);
    if (it == life.runs.end() || it->second.wantsStop)
        return;
    auto& run = it->second;
    if (run.phase == RunPhase::Recording) { // nothing was sent
        endRun(life, key, RunEnd::Stopped, {}, now);
        return;
    }
    run.wantsStop = true;
    run.nextSend = now;
    attention.insert({ life.number, key });
}

// The executor's clock up to which it is asked to hold all that runs there; 0 without authority.
std::int64_t FleetScheduler::Impl::leaseClock(Life& life, Instant now)
{
    if (life.clockAt == Instant {} || now >= authorityUntil)
        return 0;
    if (life.isSilent) // what may be lost must end in time: no order prolongs its lease
        return life.grantedClockMs;
    const auto sinceReading = now - life.clockAt;
    // Its clock was read before the reading arrived, so it reaches the end of the lease by `latest` at the
    // latest.
    const auto latest = life.clockAt
        + std::chrono::duration_cast<Duration>((sinceReading + bounds.longestLease) * clockTolerance);
    life.leaseEnds = std::max(life.leaseEnds, latest);
    life.grantedClockMs = std::max(life.grantedClockMs,
        life.clockMs + static_cast<std::int64_t>(toMilliseconds(sinceReading + bounds.longestLease)));
    return life.grantedClockMs;
}

void FleetScheduler::Impl::expireLeases(Instant now)
{
    for (auto& life : lives) {
        if (life.isClosed)
            continue;
        if (!life.runs.empty() && life.isSilent && now > life.leaseEnds + bounds.stopTime)
            loseRuns(life, now, "lease lapsed");
        std::erase_if(life.echoes, [&](const auto& echo) { return now - echo.second > longestEcho; });
        const bool isIdle = life.runs.empty() && !life.holdInFlight && life.replaced < 0;
        if (!life.isListed && isIdle && now > life.leaseEnds + bounds.stopTime) {
            note("executor_closed", {}, "executor=" + life.entry.id);
            closeLife(life);
        }
    }
}

void FleetScheduler::Impl::sendOrders(Instant now, SchedulerActions& actions)
{
    const auto open = attention; // endings change the set
    for (const auto& [number, key] : open) {
        auto& life = lives[number];
        auto it = life.runs.find(key);
        if (it == life.runs.end()) {
            attention.erase({ number, key });
            continue;
        }
        auto& run = it->second;
        if (run.inFlight || now < run.nextSend || life.entry.address.empty())
            continue;
        if (run.wantsStop) {
            if (run.stopAcknowledged)
                continue;
            run.inFlight = true;
            actions.stops.push_back({ number, life.entry.address, life.entry.id, refOf(key), key.run });
            continue;
        }
        if (run.phase != RunPhase::Starting)
            continue;
        auto& step = *key.job->occurrences[key.occurrence].steps[key.step];
        if (!run.ticket.empty() && run.ticketUntil < now) { // it would be refused
            step.tickets.erase(number);
            if (run.unanswered == 0)
                requeue(life, key, now);
            else
                wantStop(life, key, now);
            continue;
        }
        const auto& checkpoint
            = step.request().isGang ? step.gangCheckpoint : step.tasks[key.index].checkpoint;
        run.inFlight = true;
        actions.starts.push_back({ number, life.entry.address, life.entry.id, refOf(key), key.run,
            key.job->request.payload, checkpoint, run.ticket, leaseClock(life, now), run.unanswered });
        ++totals.starts;
    }
    for (const auto& life : lives) {
        for (const auto& [task, run] : life.strays)
            actions.stops.push_back({ life.number, life.entry.address, life.entry.id, task, run });
    }
    for (auto& life : lives)
        life.strays.clear();
}

void FleetScheduler::Impl::sendHolds(Instant now, SchedulerActions& actions)
{
    const auto wait = std::clamp<Duration>(holdWaitPerExecutor * lifeById.size(), holdWait, longestHoldWait);
    for (auto& life : lives) {
        if (life.isClosed || life.holdInFlight || now < life.nextHold || life.entry.address.empty())
            continue;
        HoldAction hold { life.number, life.entry.address, life.entry.id, life.acknowledgedEnds, 0, {} };
        hold.leaseUntilClockMs = leaseClock(life, now);
        if (life.hasAnswered && !life.isSilent && life.processedEnds == life.acknowledgedEnds)
            hold.wait = wait;
        life.holdInFlight = true;
        actions.holds.push_back(std::move(hold));
    }
}

} // namespace quay::fleet
