#include "fleet/SchedulerState.h"

#include <algorithm>
#include <utility>

// Applies the verdicts of CrashBlame.h to tasks and jobs.
namespace quay::fleet {

using namespace internal;

RunAtCrash FleetScheduler::Impl::runAtCrash(const RunKey& key, const Run& run) const
{
    const auto& step = *key.job->occurrences.at(key.occurrence).steps[key.step];
    const auto& task = step.tasks[key.index];
    RunAtCrash result;
    if (run.phase != RunPhase::Inherited && run.startSentAt != Instant {})
        result.startedAt = run.startSentAt;
    result.isStarted = run.phase == RunPhase::Inherited || run.startSentAt != Instant {};
    result.crashes = task.crashes;
    if (step.request().isGang && step.lastCrashedGangRun == key.run)
        result.crashes = std::max(0, task.crashes - 1); // this run has been counted already
    result.wasSeenBefore = task.wasBlamed;
    result.failures = task.failures;
    if (!step.request().isLongRunning && step.queue)
        result.maxAttempts = step.queue->maxAttempts;
    return result;
}

// Number of executors that turned silent at about the same time, still are, and had no new start: their
// silence has another cause than a task.
std::size_t FleetScheduler::Impl::silentTogether(const Incarnation& incarnation, Instant silentSince) const
{
    return static_cast<std::size_t>(
        std::count_if(incarnations.begin(), incarnations.end(), [&](const auto& it) {
            if (it.number == incarnation.number || it.isClosed || it.isCrashJudged
                || it.silentSince == Instant {} || !isSameTime(it.silentSince, silentSince))
                return false;
            return std::none_of(it.runs.begin(), it.runs.end(), [&](const auto& run) {
                return !run.second.isOrphan
                    && isNewAtCrash(runAtCrash(run.first, run.second), it.lastAnswer, it.silentSince);
            });
        }));
}

void FleetScheduler::Impl::judgeCrash(Incarnation& incarnation, bool isGone, Instant now)
{
    if (std::exchange(incarnation.isCrashJudged, true))
        return;
    CrashFacts facts;
    facts.executor = incarnation.entry.id;
    facts.aliveAt = incarnation.lastAnswer;
    facts.silentSince = incarnation.silentSince == Instant {} ? now : incarnation.silentSince;
    facts.isDraining = incarnation.entry.isDraining;
    facts.isGone = isGone;
    facts.silentTogether = silentTogether(incarnation, facts.silentSince);
    facts.executors = currentIncarnations.size();
    std::vector<RunKey> keys;
    std::vector<std::pair<const StepState*, int>> units;
    for (const auto& [key, run] : incarnation.runs) {
        if (run.isOrphan)
            continue;
        const auto& step = *key.job->occurrences[key.occurrence].steps[key.step];
        const std::pair<const StepState*, int> unit { &step, step.request().isGang ? -1 : key.index };
        const auto found = std::find(units.begin(), units.end(), unit);
        auto fact = runAtCrash(key, run);
        fact.unit = static_cast<int>(found - units.begin());
        if (found == units.end())
            units.push_back(unit);
        facts.runs.push_back(fact);
        keys.push_back(key);
    }
    const auto verdict = fleet::judgeCrash(facts, crashHistory);
    const auto number = noteCrash(crashHistory, facts, verdict);
    if (facts.runs.empty())
        return;
    addEvent("crash_blamed", {},
        "executor=" + facts.executor + " why=" + verdict.why + " runs=" + std::to_string(facts.runs.size())
            + " suspects=" + std::to_string(verdict.suspects)
            + " silent_ms=" + std::to_string(toMilliseconds(now - facts.silentSince)) + " answered_before_ms="
            + (facts.aliveAt == Instant {}
                    ? std::string("-")
                    : std::to_string(toMilliseconds(facts.silentSince - facts.aliveAt)))
            + " together=" + std::to_string(facts.silentTogether));
    for (std::size_t i = 0; i < keys.size(); ++i) {
        if (verdict.isNew[i])
            keys[i].job->occurrences[keys[i].occurrence].steps[keys[i].step]->tasks[keys[i].index].lastCrash
                = number;
        if (verdict.runs[i] != Blame::None)
            blame(keys[i], now);
    }
    for (std::size_t i = 0; i < keys.size(); ++i) {
        auto& job = *keys[i].job;
        if (verdict.runs[i] != Blame::Convicted || isFinal(job.phase))
            continue;
        addEvent("task_convicted", job.request.id,
            "task=" + text(taskRefOf(keys[i])) + " crashes=" + std::to_string(facts.runs[i].crashes + 1)
                + " failures=" + std::to_string(facts.runs[i].failures));
        finishJob(job, JobPhase::Failed, now);
    }
}

void FleetScheduler::Impl::blame(const RunKey& key, Instant now)
{
    auto& step = *key.job->occurrences[key.occurrence].steps[key.step];
    const bool isGang = step.request().isGang;
    if (isGang && std::exchange(step.lastCrashedGangRun, key.run) == key.run)
        return; // the crashes of one run of a gang count once
    const auto size = static_cast<int>(step.tasks.size());
    for (int i = isGang ? 0 : key.index; i < (isGang ? size : key.index + 1); ++i) {
        auto& task = step.tasks[i];
        task.crashes = boundedCrashes(task.crashes + 1);
        task.wasBlamed = true;
        if (step.request().isLongRunning)
            task.startNotBefore = now + pauseAfterCrashes(task.crashes);
        task.apartUntil = apartUntil(now, task.startNotBefore);
        if (!isFinal(key.job->phase))
            suspects.insert({ key.job->request.id, key.occurrence, key.step, i });
    }
    markDirty(*key.job);
    addEvent("task_suspected", key.job->request.id,
        "task=" + text(taskRefOf(key)) + " run=" + std::to_string(key.run)
            + " crashes=" + std::to_string(step.tasks[key.index].crashes));
}

void FleetScheduler::Impl::clearSuspect(const TaskRef& ref, TaskState& task, std::string_view why)
{
    if (task.lastCrash == 0 && task.crashes == 0)
        return;
    exonerate(crashHistory, std::exchange(task.lastCrash, 0));
    if (task.crashes == 0)
        return;
    addEvent("task_cleared", ref.job,
        "task=" + text(ref) + " crashes=" + std::to_string(task.crashes) + " why=" + std::string(why));
    task.crashes = 0;
    task.wasBlamed = false;
    task.startNotBefore = {};
    suspects.erase(ref);
    if (const auto job = jobs.find(ref.job); job != jobs.end())
        markDirty(*job->second); // a new leader must not take it for a suspect
}

void FleetScheduler::Impl::forgetSuspects(const JobState& job)
{
    auto it = suspects.lower_bound({ job.request.id, 0, 0, 0 });
    while (it != suspects.end() && it->job == job.request.id)
        it = suspects.erase(it);
}

// Whether a task may not be placed on the executor because one of the two has to be run apart: a suspect
// waits for its pause, and for another suspect there until that one is cleared, but only for some time.
bool FleetScheduler::Impl::isKeptApart(
    const TaskState& task, const Incarnation& incarnation, Instant now) const
{
    if (task.crashes == 0)
        return false;
    if (now < task.startNotBefore)
        return true;
    if (now >= task.apartUntil)
        return false;
    return std::any_of(incarnation.runs.begin(), incarnation.runs.end(), [&](const auto& it) {
        const auto& [key, run] = it;
        if (run.isOrphan || hasOutlivedSuspicion(run.placedAt, now))
            return false;
        return key.job->occurrences.at(key.occurrence).steps[key.step]->tasks[key.index].crashes > 0;
    });
}

} // namespace quay::fleet
