#include "fleet/SchedulerState.h"

#include <algorithm>
#include <utility>

// What executors answer and report, and how runs end.
namespace quay::fleet {

using namespace internal;

namespace {

constexpr auto holdPauseAfterEnds = 80ms; // some commits; the commit that covers the ends asks again at once
// After the second look in a row without an answer; the first is repeated at once.
constexpr auto holdRetryFirst = 80ms;
constexpr auto holdRetryLongest = 500ms; // a cut's end is noticed within this
constexpr auto startRetry = 60ms; // a few round trips across failure domains
constexpr auto startRetrySilent = 400ms; // the executor is looked at as often
constexpr auto stopRetry = 150ms; // a stop is to be heard within seconds
constexpr auto avoidUnhealthy = 700ms; // half an executor's ping interval
constexpr auto avoidFailing = 3000ms; // two ping intervals
constexpr int failuresUntilAvoided = 3; // in a row, of any job
constexpr std::size_t reportLimit = 500; // ends that one report holds at most
constexpr std::size_t startsUnreachedUntilMoved = 2;

} // namespace

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
    if (!step.request().isLasting && step.queue && task.failures >= step.queue->maxAttempts
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
    if (end.how == RunEnd::Done || end.how == RunEnd::Failed)
        key->job->hasBegun = true;
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
            key->job->hasBegun = true;
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
        if (life.processedEnds == life.acknowledgedEnds)
            life.endsOpenSince = now;
        life.processedEnds = end.number;
        applyEnd(life, end, now);
    }
    applyRunning(life, report, sentAt, now);
    applyPacing(life, report);
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
            key->job->hasBegun = true;
            if (!run.wantsStop)
                it.attention.erase({ number, *key });
        }
        break;
    case OrderResult::NoAnswer:
        ++run.unanswered;
        life.echoes[*key] = now;
        run.nextSend = now;
        if (life.isSilent)
            run.nextSend += startRetrySilent;
        else if (run.unanswered > 1) // a single answer is lost more often than an executor is
            run.nextSend += startRetry;
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
        it.repool(life);
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
