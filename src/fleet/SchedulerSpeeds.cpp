#include "fleet/SchedulerState.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

// Learns the speeds of executors and the durations of steps from runs, and says what follows for placement.
namespace quay::fleet {

using namespace internal;

namespace {

constexpr auto speedCheckInterval = 500ms;
constexpr int maxSpeedEventsPerCheck = 5; // bounds the log
// A run that has done this part, in percent, tells how long it will take, before its end does.
constexpr int minSampledProgress = 20;
constexpr auto minSampledTime = 200ms; // below it the delays of orders and reports weigh too much
constexpr double progressSampleWeight = 0.5;

double toMs(Duration duration) { return std::chrono::duration<double, std::milli>(duration).count(); }

// Runs whose time tells something about their executor. Restarted and resumed tasks have less to do, members
// of a gang wait for each other, a long-running task has no end, and one on spare CPU takes what is left.
bool isTelling(const Incarnation& incarnation, const RunKey& key, const Run& run)
{
    const auto& request = key.job->request.steps[key.step];
    return key.run == 1 && !run.isOrphan && !run.isStopRequested && run.phase == RunPhase::Running
        && run.unansweredAttempts == 0 // else its start was confirmed late
        && run.placedAt != Instant {} // else an earlier leader started it, at an unknown time
    && run.startedAt > incarnation.lastMiss // else its end may have been heard of late
        && !request.isLongRunning && !request.isGang && !request.usesSpareCpu
        && (request.dataRack.empty() || request.dataRack == incarnation.rack);
}

DurationKey durationKeyOf(const JobRequest& request, int step)
{
    return { request.queue, request.steps[step].image, step };
}

} // namespace

double FleetScheduler::Impl::logFactorOf(const Incarnation& incarnation, Instant now) const
{
    return incarnation.speedOfKind ? fleet::logFactorOf(incarnation.speed, *incarnation.speedOfKind, now) : 0;
}

void FleetScheduler::Impl::learnFromEnd(
    Incarnation& incarnation, const RunKey& key, const Run& run, Instant now)
{
    if (!incarnation.speedOfKind || !isTelling(incarnation, key, run))
        return;
    auto& step = *key.job->occurrences[key.occurrence].steps[key.step];
    const double ms = toMs(now - run.startedAt);
    const double before = logFactorOf(incarnation, now);
    if (step.pace.count >= minPaceCount && !run.isOutlier)
        addSpeedSample(incarnation.speed, *incarnation.speedOfKind, incarnation.pool->speeds,
            logRatioTo(step.pace, ms), 1, now);
    addToPace(step.pace, ms, before);
    updateSpeedClass(incarnation, now);
    if (step.done + 1 == static_cast<int>(step.tasks.size()))
        addDuration(durations, durationKeyOf(key.job->request, key.step), step.request().estimateMs,
            std::exp(step.pace.meanLogMs));
}

void FleetScheduler::Impl::learnFromProgress(
    Incarnation& incarnation, const RunKey& key, Run& run, Instant now)
{
    const auto spent = now - run.startedAt;
    if (run.hasSpeedSample || run.progress < minSampledProgress || run.progress >= 100
        || spent < minSampledTime || !incarnation.speedOfKind || !isTelling(incarnation, key, run))
        return;
    const auto& step = *key.job->occurrences[key.occurrence].steps[key.step];
    if (step.pace.count < minPaceCount)
        return;
    run.hasSpeedSample = true;
    run.isOutlier = addSpeedSample(incarnation.speed, *incarnation.speedOfKind, incarnation.pool->speeds,
        logRatioTo(step.pace, toMs(spent) * 100 / run.progress), progressSampleWeight, now);
    updateSpeedClass(incarnation, now);
}

// Must be called after each change of what is known of an executor's speed.
void FleetScheduler::Impl::updateSpeedClass(Incarnation& incarnation, Instant now)
{
    const int changed = speedClassOf(logFactorOf(incarnation, now), incarnation.speedClass);
    if (changed == incarnation.speedClass)
        return;
    if (incarnation.pool) {
        const std::pair entry(incarnation.pooledFreeCpu(), incarnation.number);
        incarnation.pool->removeOfSpeed(incarnation.speedClass, entry);
        incarnation.pool->bySpeed[changed].insert(entry);
    }
    incarnation.speedClass = changed;
}

// What was learned ages also without new samples.
void FleetScheduler::Impl::checkSpeeds(Instant now)
{
    if (now < nextSpeedCheck)
        return;
    nextSpeedCheck = now + speedCheckInterval;
    for (auto& [service, pool] : pools)
        ageKinds(pool.speeds, speedCheckInterval);
    int reported = 0;
    slowExecutors = 0;
    for (auto& it : incarnations) {
        if (it.isClosed || !it.speedOfKind)
            continue;
        updateSpeedClass(it, now);
        const bool wasSlow = it.speed.isSlow;
        slowExecutors += judgeSlow(it.speed, *it.speedOfKind, now) ? 1 : 0;
        if (it.speed.isSlow == wasSlow || ++reported > maxSpeedEventsPerCheck)
            continue;
        const auto percent
            = [](double logFactor) { return std::to_string(std::lround(100 * std::exp(logFactor))); };
        addEvent(it.speed.isSlow ? "executor_slow" : "executor_speed_normal", {},
            "executor=" + it.entry.id + " run_time_percent=" + percent(logFactorOf(it, now))
                + " of_kind=" + percent(it.speedOfKind->logFactor)
                + " samples=" + std::to_string(std::lround(it.speed.own.weight)));
    }
}

// Duration of a task of the step on an executor of normal speed. Its own tasks tell most.
double FleetScheduler::Impl::expectedTaskMs(const StepState& step) const
{
    if (step.pace.count >= minPaceCount)
        return std::exp(step.pace.meanLogMs);
    return expectedDuration(
        durations, durationKeyOf(step.job->request, step.number), step.request().estimateMs)
        .ms;
}

std::vector<double> FleetScheduler::Impl::expectedDurations(const JobRequest& request) const
{
    std::vector<double> result;
    for (std::size_t i = 0; i < request.steps.size(); ++i)
        result.push_back(expectedDuration(
            durations, durationKeyOf(request, static_cast<int>(i)), request.steps[i].estimateMs)
                             .ms);
    return result;
}

SpeedPreference FleetScheduler::Impl::speedPreferenceOf(const StepState& step, Instant now) const
{
    const auto& request = step.request();
    const auto pool = pools.find(step.queue->service);
    if (pool == pools.end() || pool->second.bySpeed.size() < 2 || request.isLongRunning || request.isGang
        || request.usesSpareCpu)
        return {};
    SpeedChoice choice;
    choice.isUrgent = step.queue->priority == 0;
    choice.taskMs = expectedTaskMs(step);
    choice.restMs = std::max(0.0, step.criticalPathMs - choice.taskMs);
    choice.timeLeftMs = toMs(step.job->deadline - now);
    choice.isRoomScarce = !pool->second.isUnderHalfUsed();
    choice.fastest = pool->second.bySpeed.begin()->first;
    choice.slowest = pool->second.bySpeed.rbegin()->first;
    return speedPreference(choice);
}

void internal::ServicePool::removeOfSpeed(
    int speedClass, const std::pair<std::int64_t, IncarnationId>& executor)
{
    const auto found = bySpeed.find(speedClass);
    found->second.erase(executor);
    if (found->second.empty())
        bySpeed.erase(found);
}

} // namespace quay::fleet
