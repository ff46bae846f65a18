#include "fleet/SchedulerState.h"

#include <algorithm>
#include <utility>

// Handles the answers and reports of executors, and the ends of runs.
namespace quay::fleet {

using namespace internal;

namespace {

// The duration of a few commits. Once the reported ends are durable, the next heartbeat is sent at once.
constexpr auto heartbeatDelayAfterEnds = 80ms;
// Delay after the second consecutive missed heartbeat, and its increment for each further one. After the
// first the heartbeat is repeated without delay.
constexpr auto minHeartbeatRetryDelay = 80ms;
constexpr auto maxHeartbeatRetryDelay = 500ms; // bounds the time to detect the end of a network partition
constexpr auto startRetryDelay = 60ms; // a few round trips between failure domains
constexpr auto unresponsiveRetryDelay = 400ms; // about the interval of heartbeats to an unresponsive executor
constexpr auto stopRetryDelay = 150ms; // a stop has to arrive within seconds
constexpr auto refusalBackoff = 700ms; // half of an executor's ping interval
constexpr auto failureBackoff = 3000ms; // two ping intervals
constexpr int failuresUntilBackoff = 3; // consecutive, of tasks of any job
constexpr std::size_t unreachableStartsUntilRequeued = 2;

} // namespace

void FleetScheduler::Impl::countFailure(
    Incarnation& incarnation, StepState& step, const RunKey& key, Instant now)
{
    auto& task = step.tasks[key.index];
    task.lastFailedOn = incarnation.number;
    ++incarnation.consecutiveFailures;
    if (incarnation.consecutiveFailures >= failuresUntilBackoff) {
        incarnation.backoffUntil = now + failureBackoff;
        addEvent("executor_avoided", {},
            "executor=" + incarnation.entry.id
                + " failures=" + std::to_string(incarnation.consecutiveFailures));
    }
    if (step.request().isGang) { // the failures of one run of a gang count once
        if (step.lastFailedGangRun == key.run)
            return;
        step.lastFailedGangRun = key.run;
        for (auto& it : step.tasks)
            ++it.failures;
    } else {
        ++task.failures;
    }
    if (!step.request().isLongRunning && step.queue && task.failures >= step.queue->maxAttempts
        && !isFinal(key.job->phase)) {
        // finishJob() sets the phase before it stops the runs, so that they are not started again.
        finishJob(*key.job, JobPhase::Failed, now);
    }
}

// Marks a task as done, and all members of its gang: a gang is done as soon as one member is done. Their runs
// that are still active no longer change the state of their tasks.
void FleetScheduler::Impl::completeTask(StepState& step, int index)
{
    const auto size = static_cast<int>(step.tasks.size());
    const bool isGang = step.request().isGang;
    for (int i = isGang ? 0 : index; i < (isGang ? size : index + 1); ++i) {
        const auto& task = step.tasks[i];
        if (task.phase == TaskPhase::Active) {
            auto& runs = incarnations[task.incarnation].runs;
            if (auto run = runs.find(RunKey { step.job, step.occurrence, step.number, i, task.run });
                run != runs.end())
                run->second.isOrphan = true;
        }
        markTaskDone(step, i);
    }
}

// A run that was taken for ended, or barred by a stop, can be reported as done later. Its task must not be
// started again once this end is acknowledged, so the end counts, and a run of the task elsewhere is stopped.
// Does nothing if the task is done already.
void FleetScheduler::Impl::applyLateDone(const RunKey& key, Instant now)
{
    auto& job = *key.job;
    const auto occurrence = job.occurrences.find(key.occurrence);
    if (isFinal(job.phase) || occurrence == job.occurrences.end()
        || key.step >= static_cast<int>(occurrence->second.steps.size()))
        return;
    auto& step = *occurrence->second.steps[key.step];
    if (step.request().isLongRunning || key.index >= static_cast<int>(step.tasks.size())
        || step.tasks[key.index].phase == TaskPhase::Done)
        return;
    job.hasStarted = true;
    markDirty(job);
    std::vector<std::pair<IncarnationId, RunKey>> active;
    for (std::size_t i = 0; i < step.tasks.size(); ++i) {
        const auto& task = step.tasks[i];
        if (task.phase == TaskPhase::Active && (step.request().isGang || static_cast<int>(i) == key.index))
            active.emplace_back(
                task.incarnation, RunKey { &job, key.occurrence, key.step, static_cast<int>(i), task.run });
    }
    completeTask(step, key.index);
    for (const auto& [incarnation, run] : active)
        requestStop(incarnations[incarnation], run, now);
    advanceJob(job, now);
}

void FleetScheduler::Impl::endRun(Incarnation& incarnation, const RunKey& key, RunOutcome outcome,
    const std::string& checkpoint, Instant now)
{
    auto it = incarnation.runs.find(key);
    if (it == incarnation.runs.end())
        return;
    const bool isOrphan = it->second.isOrphan;
    if (outcome == RunOutcome::Done)
        learnFromEnd(incarnation, key, it->second, now);
    releaseRun(incarnation, key);
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
    if (outcome == RunOutcome::Done && !step.request().isLongRunning) {
        incarnation.consecutiveFailures = 0;
        completeTask(step, key.index);
        advanceJob(*key.job, now);
        return;
    }
    markTaskWaiting(step, key.index, now);
    if (outcome == RunOutcome::Failed) {
        clearSuspect(taskRefOf(key), task, "failed"); // its executor has outlived it
        countFailure(incarnation, step, key, now);
    }
    if (step.request().isGang) {
        for (std::size_t i = 0; i < step.tasks.size(); ++i) {
            const auto& other = step.tasks[i];
            if (other.phase == TaskPhase::Active)
                requestStop(incarnations[other.incarnation],
                    RunKey { key.job, key.occurrence, key.step, static_cast<int>(i), other.run }, now);
        }
    }
}

void FleetScheduler::Impl::applyEnd(Incarnation& incarnation, const EndedTask& end, Instant now)
{
    const auto key = keyOf(end.task, end.run);
    const bool isMatched = key && incarnation.runs.count(*key) > 0;
    static constexpr std::string_view names[]
        = { "done", "failed", "stopped", "lease_lapsed", "gang_broken", "gang_incomplete" };
    addEvent(isMatched ? "run_ended" : "end_unmatched", end.task.job,
        "task=" + text(end.task) + " run=" + std::to_string(end.run)
            + " how=" + std::string(names[static_cast<std::size_t>(end.outcome)])
            + " executor=" + incarnation.entry.id);
    if (isMatched) {
        if (end.outcome == RunOutcome::Done || end.outcome == RunOutcome::Failed)
            key->job->hasStarted = true;
        endRun(incarnation, *key, end.outcome, end.checkpoint, now);
    }
    if (key && end.outcome == RunOutcome::Done)
        applyLateDone(*key, now);
}

void FleetScheduler::Impl::applyRunning(
    Incarnation& incarnation, const ExecutorReport& report, Instant sentAt, Instant now)
{
    std::set<RunKey> listed;
    for (const auto& it : report.running) {
        const auto key = keyOf(it.task, it.run);
        auto run = key ? incarnation.runs.find(*key) : incarnation.runs.end();
        if (run == incarnation.runs.end()) {
            executorsWithUnknownRuns.insert(incarnation.number);
            if (incarnation.unknownRuns.insert({ it.task, it.run }).second)
                addEvent("stray_run", it.task.job,
                    "task=" + text(it.task) + " run=" + std::to_string(it.run)
                        + " executor=" + incarnation.entry.id);
            continue;
        }
        listed.insert(*key);
        if (run->second.phase != RunPhase::Running) {
            run->second.phase = RunPhase::Running;
            key->job->hasStarted = true;
            run->second.confirmedAt = now;
            run->second.startedAt = now;
            if (!run->second.isStopRequested)
                openOrders.erase({ incarnation.number, *key });
        }
        if ((!suspects.empty() || !crashHistory.signs.empty()) && !run->second.isOrphan
            && run->second.startedAt != Instant {} && hasOutlivedSuspicion(run->second.startedAt, now))
            clearSuspect(it.task, key->job->occurrences[key->occurrence].steps[key->step]->tasks[key->index],
                "outlived");
        run->second.progress = it.percent;
        learnFromProgress(incarnation, *key, run->second, now);
        if (!it.checkpoint.empty() && !run->second.isOrphan) {
            auto& step = *key->job->occurrences[key->occurrence].steps[key->step];
            step.tasks[key->index].checkpoint = it.checkpoint;
            step.gangCheckpoint = it.checkpoint;
        }
    }
    setStrayTasks(incarnation, strayTasks(incarnation, report));
    const bool hasUncountedRuns = !incarnation.unknownRuns.empty();
    if (std::exchange(incarnation.hasUncountedRuns, hasUncountedRuns) && !hasUncountedRuns)
        isPlacementDue = true;
    if (report.ended.size() >= maxEndsPerReport)
        return; // the report is truncated: a missing run may have ended
    std::vector<RunKey> absent;
    for (const auto& [key, run] : incarnation.runs) {
        if (listed.count(key))
            continue;
        // That a run is missing proves its end only if the report was requested after the executor confirmed
        // the start or the stop. An inherited run needs no such confirmation, because an executor that has
        // answered this leader refuses a delayed start of an earlier one.
        const bool isConclusive = run.phase == RunPhase::Inherited
            || (run.phase == RunPhase::Running && sentAt > run.confirmedAt)
            || (run.isStopRequested && run.isStopAcknowledged && sentAt > run.confirmedAt);
        if (isConclusive)
            absent.push_back(key);
    }
    for (const auto& key : absent) {
        const auto it = incarnation.runs.find(key);
        if (it == incarnation.runs.end())
            continue;
        const auto& run = it->second;
        const std::string_view proof = run.phase == RunPhase::Inherited ? "answer_to_new_leader"
            : run.isStopAcknowledged                                    ? "stop"
                                                                        : "start";
        addEvent("run_absent", key.job->request.id,
            "task=" + text(taskRefOf(key)) + " run=" + std::to_string(key.run)
                + " executor=" + incarnation.entry.id + " proof=" + std::string(proof) + " asked_after_ms="
                + (run.confirmedAt == Instant {} ? std::string("-")
                                                 : std::to_string(toMilliseconds(sentAt - run.confirmedAt)))
                + " unanswered=" + std::to_string(run.unansweredAttempts)
                + " acknowledged=" + std::to_string(incarnation.acknowledgedEnds));
        endRun(incarnation, key, RunOutcome::LeaseExpired, {}, now);
    }
}

// Returns the tasks with a listed run that is not, or no longer, one of the incarnation's.
std::set<TaskRef> FleetScheduler::Impl::strayTasks(
    const Incarnation& incarnation, const ExecutorReport& report) const
{
    std::set<TaskRef> tasks;
    for (const auto& it : report.running) {
        const auto key = keyOf(it.task, it.run);
        const auto run = key ? incarnation.runs.find(*key) : incarnation.runs.end();
        if (key && (run == incarnation.runs.end() || run->second.isOrphan))
            tasks.insert(it.task);
    }
    return tasks;
}

void FleetScheduler::Impl::setStrayTasks(Incarnation& incarnation, std::set<TaskRef> tasks)
{
    for (const auto& task : std::exchange(incarnation.strayTasks, std::move(tasks))) {
        if (--strayRuns[task] == 0) {
            strayRuns.erase(task);
            isPlacementDue = true;
        }
    }
    for (const auto& task : incarnation.strayTasks)
        ++strayRuns[task];
}

// Whether an executor still lists a run of the task, or of its gang, that was given up. It may be done before
// its stop arrives.
bool FleetScheduler::Impl::hasStrayRun(const StepState& step, int index) const
{
    if (strayRuns.empty())
        return false;
    const bool isGang = step.request().isGang;
    auto it
        = strayRuns.lower_bound({ step.job->request.id, step.occurrence, step.number, isGang ? 0 : index });
    if (it == strayRuns.end() || it->first.job != step.job->request.id
        || it->first.occurrence != step.occurrence || it->first.step != step.number)
        return false;
    return isGang || it->first.index == index;
}

void FleetScheduler::Impl::applyReport(
    Incarnation& incarnation, const ExecutorReport& report, Instant sentAt, Instant now)
{
    incarnation.clockMs = report.clockMs;
    incarnation.clockReceivedAt = now;
    incarnation.unknownRuns.clear();
    for (const auto& end : report.ended) {
        if (end.number <= incarnation.processedEnds)
            continue;
        if (incarnation.processedEnds == incarnation.acknowledgedEnds)
            incarnation.unacknowledgedSince = now;
        incarnation.processedEnds = end.number;
        unacknowledgedExecutors.insert(incarnation.number);
        applyEnd(incarnation, end, now);
    }
    applyRunning(incarnation, report, sentAt, now);
    updateThrottling(incarnation, report);
}

void FleetScheduler::startAnswered(
    IncarnationId number, const TaskRef& task, int runNumber, const StartAnswer& answer, Instant now)
{
    auto& it = *m_impl;
    auto& incarnation = it.incarnations[number];
    const auto result = answer.result;
    if (result == OrderResult::Ok && !incarnation.isSameProcess(answer.clockMs))
        incarnation.lastUnverifiedStart = now;
    const auto key = it.keyOf(task, runNumber);
    auto found = key ? incarnation.runs.find(*key) : incarnation.runs.end();
    if (found == incarnation.runs.end()) {
        if (key && result == OrderResult::NoAnswer)
            incarnation.unansweredStarts[*key] = now;
        if (result == OrderResult::NoAnswer)
            it.raiseEpoch(incarnation, it.epochOf(incarnation));
        return;
    }
    auto& run = found->second;
    run.isInFlight = run.isStartInFlight = false;
    if (result == OrderResult::NoAnswer) {
        it.raiseEpoch(incarnation, run.sentEpoch);
        run.openEpoch = std::max(run.openEpoch, run.sentEpoch);
    }
    if (result != OrderResult::Ok)
        it.addEvent("start_refused", task.job,
            "task=" + text(task) + " run=" + std::to_string(runNumber) + " executor=" + incarnation.entry.id
                + " result=" + std::string(text(result))
                + " unanswered=" + std::to_string(run.unansweredAttempts));
    const auto giveUp = [&] {
        if (run.unansweredAttempts == 0)
            it.requeue(incarnation, *key, now);
        else
            it.requestStop(incarnation, *key, now);
    };
    switch (result) {
    case OrderResult::Ok:
        if (run.phase == RunPhase::Starting) {
            run.phase = RunPhase::Running;
            run.confirmedAt = now;
            run.startedAt = now;
            key->job->hasStarted = true;
            if (!run.isStopRequested)
                it.openOrders.erase({ number, *key });
            auto& approvals = key->job->occurrences[key->occurrence].steps[key->step]->approvals;
            if (auto approval = approvals.find(number); approval != approvals.end())
                approval->second.ticketRefusals = 0;
        }
        break;
    case OrderResult::NoAnswer:
        ++run.unansweredAttempts;
        incarnation.unansweredStarts[*key] = now;
        run.nextSend = now;
        if (incarnation.isUnresponsive)
            run.nextSend += unresponsiveRetryDelay;
        else if (run.unansweredAttempts > 1) // one lost answer rarely means that the executor failed
            run.nextSend += startRetryDelay;
        break;
    case OrderResult::Unreachable:
        ++run.unreachableAttempts;
        if (run.unansweredAttempts == 0)
            run.startSentAt = {}; // nothing was sent
        run.nextSend = now + unresponsiveRetryDelay;
        if (run.unreachableAttempts >= static_cast<int>(unreachableStartsUntilRequeued)
            && run.unansweredAttempts == 0) {
            incarnation.backoffUntil = now + refusalBackoff;
            it.requeue(incarnation, *key, now);
        }
        break;
    case OrderResult::DeadlinePassed:
        run.nextSend = now;
        incarnation.nextHeartbeat = std::min(incarnation.nextHeartbeat, now);
        break;
    case OrderResult::OtherIncarnation:
        it.judgeCrash(incarnation, true, now);
        it.loseRuns(incarnation, now, "another process at its address");
        break;
    case OrderResult::NoTicket:
        it.rejectTicket(*key->job->occurrences[key->occurrence].steps[key->step], number, run.ticket, now);
        giveUp();
        break;
    case OrderResult::Unhealthy:
    case OrderResult::NoRoom:
    case OrderResult::Malformed:
        incarnation.backoffUntil = now + refusalBackoff;
        giveUp();
        break;
    case OrderResult::Outdated:
        giveUp();
        break;
    case OrderResult::Fenced:
        run.nextSend = now; // a later order of this scheduler came first; otherwise the caller resigns
        break;
    }
}

void FleetScheduler::stopAnswered(
    IncarnationId number, const TaskRef& task, int runNumber, OrderResult result, Instant now)
{
    auto& it = *m_impl;
    auto& incarnation = it.incarnations[number];
    const auto key = it.keyOf(task, runNumber);
    auto found = key ? incarnation.runs.find(*key) : incarnation.runs.end();
    if (found == incarnation.runs.end())
        return;
    auto& run = found->second;
    run.isInFlight = false;
    if (result == OrderResult::NoAnswer)
        it.raiseEpoch(incarnation, run.sentEpoch);
    if (result == OrderResult::Ok || result == OrderResult::Outdated) {
        run.isStopAcknowledged = true;
        run.confirmedAt = now;
        it.openOrders.erase({ number, *key });
        incarnation.nextHeartbeat = std::min(incarnation.nextHeartbeat, now);
    } else if (result == OrderResult::OtherIncarnation) {
        it.judgeCrash(incarnation, true, now);
        it.loseRuns(incarnation, now, "another process at its address");
    } else if (result == OrderResult::Fenced) {
        run.nextSend = now; // see startAnswered()
    } else {
        run.nextSend = now + (incarnation.isUnresponsive ? unresponsiveRetryDelay : stopRetryDelay);
    }
}

void FleetScheduler::heartbeatAnswered(IncarnationId number, OrderResult result,
    const std::optional<ExecutorReport>& report, Instant sentAt, Instant now)
{
    auto& it = *m_impl;
    auto& incarnation = it.incarnations[number];
    incarnation.isHeartbeatInFlight = false;
    if (result == OrderResult::NoAnswer)
        it.raiseEpoch(incarnation, incarnation.heartbeatEpoch);
    if (incarnation.isClosed)
        return;
    if (result == OrderResult::NoAnswer && incarnation.sentAcknowledgement > 0)
        incarnation.unansweredAcknowledgementUntil = now + maxOrderDelay;
    if (result == OrderResult::Ok && report) {
        if (report->startedUnixMs != 0 && incarnation.entry.startedUnixMs != 0
            && report->startedUnixMs != incarnation.entry.startedUnixMs) {
            incarnation.nextHeartbeat = now + minHeartbeatRetryDelay;
            // Only the newest incarnation may be replaced: the registration may have told of this one's
            // successor before the answer arrived.
            if (report->startedUnixMs > incarnation.entry.startedUnixMs
                && it.incarnationOf(incarnation.entry.id) == &incarnation) {
                auto entry = incarnation.entry;
                entry.startedUnixMs = report->startedUnixMs;
                auto& next = it.replaceIncarnation(incarnation, entry, false, now);
                it.boundLease(next, now);
                auto strays = it.strayTasks(it.incarnations[number], *report);
                for (const auto& end : report->ended) // applied with the next report
                    strays.insert(end.task);
                it.setStrayTasks(next, std::move(strays));
            }
            return; // the next heartbeat goes to the new incarnation
        }
        if (incarnation.isUnresponsive && incarnation.hasAnswered)
            it.addEvent("executor_back", {}, "executor=" + incarnation.entry.id);
        if (incarnation.isUnresponsive)
            it.isPlacementDue = true;
        if (incarnation.entry.startedUnixMs == 0)
            incarnation.entry.startedUnixMs = report->startedUnixMs;
        incarnation.isUnresponsive = false;
        incarnation.silentSince = {};
        incarnation.isCrashJudged = false;
        incarnation.missedHeartbeats = 0;
        incarnation.lastAnswer = now;
        incarnation.lastAnswerSentAt = sentAt;
        for (auto& [key, run] : incarnation.runs) {
            if (run.openEpoch < incarnation.heartbeatEpoch)
                run.openEpoch = -1;
        }
        if (!std::exchange(incarnation.hasAnswered, true))
            it.boundLease(incarnation, now);
        incarnation.confirmedAcknowledgement
            = std::max(incarnation.confirmedAcknowledgement, incarnation.sentAcknowledgement);
        it.closePredecessor(incarnation, *report, now);
        it.applyReport(it.incarnations[number], *report, sentAt, now);
        incarnation.nextHeartbeat
            = incarnation.processedEnds > incarnation.acknowledgedEnds ? now + heartbeatDelayAfterEnds : now;
        return;
    }
    if (result == OrderResult::Fenced) {
        incarnation.nextHeartbeat = now; // see startAnswered()
        return;
    }
    if (result == OrderResult::OtherIncarnation) {
        it.judgeCrash(incarnation, true, now);
        it.loseRuns(incarnation, now, "another process at its address");
        incarnation.isRegistered = false;
        it.updatePool(incarnation);
        incarnation.nextHeartbeat = now + maxHeartbeatRetryDelay;
        incarnation.isUnresponsive = true;
        return;
    }
    incarnation.lastMiss = now;
    if (!incarnation.isUnresponsive) {
        incarnation.isUnresponsive = true;
        incarnation.silentSince = now;
        it.addEvent("executor_silent", {},
            "executor=" + incarnation.entry.id + " result=" + std::string(text(result)));
    }
    ++incarnation.missedHeartbeats;
    incarnation.nextHeartbeat = now
        + std::min<Duration>(
            minHeartbeatRetryDelay * (incarnation.missedHeartbeats - 1), maxHeartbeatRetryDelay);
}

} // namespace quay::fleet
