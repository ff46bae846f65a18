#include "fleet/SchedulerState.h"

#include <algorithm>
#include <utility>

// Executors: their lifetimes, orders and reports.
namespace quay::fleet {

using namespace internal;

namespace {

constexpr auto holdWait = 600ms; // a tenth of the longest lease: a cut of nine tenths of it ends nothing
constexpr auto holdPauseAfterEnds = 80ms; // some commits; the commit that covers the ends asks again at once
constexpr auto holdRetryFirst
    = 80ms; // after the second look in a row without an answer; the first is repeated at once
constexpr auto holdRetryLongest = 500ms;
constexpr auto startRetry = 60ms; // a few round trips across failure domains
constexpr auto startRetrySilent = 400ms;
constexpr auto stopRetry = 150ms;
constexpr auto longestEcho = 20s; // an unanswered order may be carried out seconds later; 12 s were seen
constexpr auto ownDeregistration = 1500ms; // a ping interval; silence takes three of them
constexpr auto avoidUnhealthy = 700ms; // half an executor's ping interval
constexpr auto avoidFailing = 3000ms; // two ping intervals
constexpr int failuresUntilAvoided = 3; // in a row, of any job
constexpr std::size_t reportLimit = 500; // ends that one report holds at most
constexpr std::size_t startsUnreachedUntilMoved = 2;

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
    auto& life = addLife(entry, now);
    life.isListed = true;
    life.replaced = oldNumber;
    lifeById[entry.id] = life.number;
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

void FleetScheduler::Impl::closeLife(Life& life)
{
    life.isClosed = true;
    life.isListed = false;
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

void FleetScheduler::Impl::countFailure(Life& life, StepState& step, const RunKey& key, Instant now)
{
    auto& task = step.tasks[key.index];
    task.avoid = life.number;
    ++life.failuresInRow;
    if (life.failuresInRow >= failuresUntilAvoided) {
        life.avoidUntil = now + avoidFailing;
        note("executor_avoided", {},
            "executor=" + life.entry.id + " failures=" + std::to_string(life.failuresInRow));
    }
    if (step.request().isGang) { // one failed member is one failed run of the gang
        if (step.lastFailedGangRun == key.run)
            return;
        step.lastFailedGangRun = key.run;
        for (auto& it : step.tasks)
            ++it.failures;
    } else {
        ++task.failures;
    }
    const auto* queue = configuration.queueNamed(key.job->request.queue);
    if (!step.request().isLasting && queue && task.failures >= queue->maxAttempts
        && !isFinal(key.job->phase)) {
        // Phase first: the runs that are stopped below must not be started again.
        finish(*key.job, JobPhase::Failed, now);
    }
}

void FleetScheduler::Impl::endRun(
    Life& life, const RunKey& key, RunEnd how, const std::string& checkpoint, Instant now)
{
    auto it = life.runs.find(key);
    if (it == life.runs.end())
        return;
    const bool isOrphan = it->second.isOrphan;
    release(life, key);
    if (isOrphan)
        return;
    auto& step = *key.job->occurrences[key.occurrence].steps[key.step];
    auto& task = step.tasks[key.index];
    if (task.phase != TaskPhase::Active || task.run != key.run)
        return;
    ++totals.ends;
    markDirty(*key.job);
    if (!checkpoint.empty()) {
        task.checkpoint = checkpoint;
        step.gangCheckpoint = checkpoint;
    }
    if (how == RunEnd::Done && !step.request().isLasting) {
        life.failuresInRow = 0;
        taskDone(step, key.index);
        if (step.request().isGang) { // one end stands for all members
            for (std::size_t i = 0; i < step.tasks.size(); ++i) {
                const auto& other = step.tasks[i];
                if (other.phase == TaskPhase::Active) {
                    const RunKey otherKey { key.job, key.occurrence, key.step, static_cast<int>(i),
                        other.run };
                    auto member = lives[other.life].runs.find(otherKey);
                    if (member != lives[other.life].runs.end())
                        member->second.isOrphan = true;
                }
                taskDone(step, static_cast<int>(i));
            }
        }
        settle(*key.job, now);
        return;
    }
    taskWaiting(step, key.index);
    if (how == RunEnd::Failed)
        countFailure(life, step, key, now);
    if (step.request().isGang) {
        for (std::size_t i = 0; i < step.tasks.size(); ++i) {
            const auto& other = step.tasks[i];
            if (other.phase == TaskPhase::Active)
                wantStop(lives[other.life],
                    RunKey { key.job, key.occurrence, key.step, static_cast<int>(i), other.run }, now);
        }
    }
}

void FleetScheduler::Impl::applyEnd(Life& life, const EndedTask& end, Instant now)
{
    const auto key = keyOf(end.task, end.run);
    if (!key || life.runs.count(*key) == 0)
        return; // of a run that is settled already
    static constexpr std::string_view names[]
        = { "done", "failed", "stopped", "lease_lapsed", "gang_broken", "gang_incomplete" };
    note("run_ended", end.task.job,
        "task=" + text(end.task) + " run=" + std::to_string(end.run)
            + " how=" + std::string(names[static_cast<std::size_t>(end.how)]) + " executor=" + life.entry.id);
    endRun(life, *key, end.how, end.checkpoint, now);
}

void FleetScheduler::Impl::applyRunning(Life& life, const ExecutorReport& report, Instant sentAt, Instant now)
{
    std::set<RunKey> listed;
    for (const auto& it : report.running) {
        const auto key = keyOf(it.task, it.run);
        auto run = key ? life.runs.find(*key) : life.runs.end();
        if (run == life.runs.end()) {
            if (life.strays.insert({ it.task, it.run }).second)
                note("stray_run", it.task.job,
                    "task=" + text(it.task) + " run=" + std::to_string(it.run)
                        + " executor=" + life.entry.id);
            continue;
        }
        listed.insert(*key);
        if (run->second.phase != RunPhase::Running) {
            run->second.phase = RunPhase::Running;
            run->second.confirmedAt = now;
            run->second.startedAt = now;
            if (!run->second.wantsStop)
                attention.erase({ life.number, *key });
        }
        run->second.progress = it.percent;
        if (!it.checkpoint.empty() && !run->second.isOrphan) {
            auto& step = *key->job->occurrences[key->occurrence].steps[key->step];
            step.tasks[key->index].checkpoint = it.checkpoint;
            step.gangCheckpoint = it.checkpoint;
        }
    }
    if (report.ended.size() >= reportLimit)
        return; // further ends follow; an absent run may be among them
    std::vector<RunKey> absent;
    for (const auto& [key, run] : life.runs) {
        if (listed.count(key))
            continue;
        // A report is conclusive if it was asked for after the executor had confirmed the start or the stop.
        const bool isConclusive = run.phase == RunPhase::Inherited
            || (run.phase == RunPhase::Running && sentAt > run.confirmedAt)
            || (run.wantsStop && run.stopAcknowledged && sentAt > run.confirmedAt);
        if (isConclusive)
            absent.push_back(key);
    }
    for (const auto& key : absent) {
        note("run_absent", key.job->request.id,
            "task=" + text(refOf(key)) + " run=" + std::to_string(key.run) + " executor=" + life.entry.id);
        endRun(life, key, RunEnd::LeaseLapsed, {}, now);
    }
}

void FleetScheduler::Impl::applyReport(Life& life, const ExecutorReport& report, Instant sentAt, Instant now)
{
    life.clockMs = report.clockMs;
    life.clockAt = now;
    life.strays.clear();
    for (const auto& end : report.ended) {
        if (end.number <= life.processedEnds)
            continue;
        life.processedEnds = end.number;
        applyEnd(life, end, now);
    }
    applyRunning(life, report, sentAt, now);
    applyPacing(life, report);
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
            key.job->request.payload, checkpoint, run.ticket, leaseClock(life, now) });
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
    for (auto& life : lives) {
        if (life.isClosed || life.holdInFlight || now < life.nextHold || life.entry.address.empty())
            continue;
        HoldAction hold { life.number, life.entry.address, life.entry.id, life.acknowledgedEnds, 0, {} };
        hold.leaseUntilClockMs = leaseClock(life, now);
        if (life.hasAnswered && !life.isSilent && life.processedEnds == life.acknowledgedEnds)
            hold.wait = holdWait;
        life.holdInFlight = true;
        actions.holds.push_back(std::move(hold));
    }
}

void FleetScheduler::startAnswered(
    LifeId number, const TaskRef& task, int runNumber, OrderResult result, Instant now)
{
    auto& it = *m_impl;
    auto& life = it.lives[number];
    const auto key = it.keyOf(task, runNumber);
    auto found = key ? life.runs.find(*key) : life.runs.end();
    if (found == life.runs.end()) {
        if (key && result == OrderResult::NoAnswer)
            life.echoes[*key] = now;
        return;
    }
    auto& run = found->second;
    run.inFlight = false;
    if (result != OrderResult::Ok)
        it.note("start_refused", task.job,
            "task=" + text(task) + " run=" + std::to_string(runNumber) + " executor=" + life.entry.id
                + " result=" + std::string(text(result)) + " unanswered=" + std::to_string(run.unanswered));
    const auto giveUp = [&] {
        if (run.unanswered == 0)
            it.requeue(life, *key, now);
        else
            it.wantStop(life, *key, now);
    };
    switch (result) {
    case OrderResult::Ok:
        if (run.phase == RunPhase::Starting) {
            run.phase = RunPhase::Running;
            run.confirmedAt = now;
            run.startedAt = now;
            if (!run.wantsStop)
                it.attention.erase({ number, *key });
        }
        break;
    case OrderResult::NoAnswer:
        ++run.unanswered;
        life.echoes[*key] = now;
        run.nextSend = now + (life.isSilent ? startRetrySilent : startRetry);
        break;
    case OrderResult::Unreachable:
        ++run.unreached;
        run.nextSend = now + startRetrySilent;
        if (run.unreached >= static_cast<int>(startsUnreachedUntilMoved) && run.unanswered == 0) {
            life.avoidUntil = now + avoidUnhealthy;
            it.requeue(life, *key, now);
        }
        break;
    case OrderResult::TooLate:
        run.nextSend = now;
        life.nextHold = std::min(life.nextHold, now);
        break;
    case OrderResult::OtherLife:
        it.loseRuns(life, now, "another process at its address");
        break;
    case OrderResult::NoTicket: {
        auto& step = *key->job->occurrences[key->occurrence].steps[key->step];
        step.tickets.erase(number);
        giveUp();
        break;
    }
    case OrderResult::Unhealthy:
    case OrderResult::NoRoom:
    case OrderResult::Malformed:
        life.avoidUntil = now + avoidUnhealthy;
        giveUp();
        break;
    case OrderResult::Outdated:
        giveUp();
        break;
    case OrderResult::Fenced:
        break; // the caller gives up its leadership
    }
}

void FleetScheduler::stopAnswered(
    LifeId number, const TaskRef& task, int runNumber, OrderResult result, Instant now)
{
    auto& it = *m_impl;
    auto& life = it.lives[number];
    const auto key = it.keyOf(task, runNumber);
    auto found = key ? life.runs.find(*key) : life.runs.end();
    if (found == life.runs.end())
        return;
    auto& run = found->second;
    run.inFlight = false;
    if (result == OrderResult::Ok || result == OrderResult::Outdated || result == OrderResult::Malformed) {
        run.stopAcknowledged = true;
        run.confirmedAt = now;
        it.attention.erase({ number, *key });
        life.nextHold = std::min(life.nextHold, now);
    } else if (result == OrderResult::OtherLife) {
        it.loseRuns(life, now, "another process at its address");
    } else {
        run.nextSend = now + (life.isSilent ? startRetrySilent : stopRetry);
    }
}

void FleetScheduler::holdAnswered(LifeId number, OrderResult result,
    const std::optional<ExecutorReport>& report, Instant sentAt, Instant now)
{
    auto& it = *m_impl;
    auto& life = it.lives[number];
    life.holdInFlight = false;
    if (life.isClosed)
        return;
    if (result == OrderResult::Ok && report) {
        if (report->bornUnixMs != 0 && life.entry.bornUnixMs != 0
            && report->bornUnixMs != life.entry.bornUnixMs) {
            life.nextHold = now + holdRetryFirst;
            if (report->bornUnixMs > life.entry.bornUnixMs) {
                auto entry = life.entry;
                entry.bornUnixMs = report->bornUnixMs;
                it.replaceLife(life, entry, now);
            }
            return; // the new life is asked next
        }
        if (life.isSilent && life.hasAnswered)
            it.note("executor_back", {}, "executor=" + life.entry.id);
        if (life.isSilent)
            it.placementDue = true;
        if (life.entry.bornUnixMs == 0)
            life.entry.bornUnixMs = report->bornUnixMs;
        life.isSilent = false;
        life.silentLooks = 0;
        life.lastAnswer = now;
        life.hasAnswered = true;
        it.settleReplaced(life, now);
        it.applyReport(it.lives[number], *report, sentAt, now);
        life.nextHold = life.processedEnds > life.acknowledgedEnds ? now + holdPauseAfterEnds : now;
        return;
    }
    if (result == OrderResult::OtherLife) {
        it.loseRuns(life, now, "another process at its address");
        life.isListed = false;
        life.nextHold = now + holdRetryLongest;
        life.isSilent = true;
        return;
    }
    if (it.hasLeft(life, result))
        it.loseRuns(life, now, "left");
    if (!life.isSilent) {
        life.isSilent = true;
        it.note("executor_silent", {}, "executor=" + life.entry.id + " result=" + std::string(text(result)));
    }
    ++life.silentLooks;
    life.nextHold = now + std::min<Duration>(holdRetryFirst * (life.silentLooks - 1), holdRetryLongest);
}

} // namespace quay::fleet
