#include "quay/core/FairShare.h"

#include <algorithm>
#include <cmath>

namespace quay {

namespace {

double weightedAverage(double average, std::int64_t running, double oldWeight)
{
    return average * oldWeight + static_cast<double>(running) * (1 - oldWeight);
}

double fraction(double amount, std::int64_t total)
{
    return total > 0 ? amount / static_cast<double>(total) : 0;
}

// The average is advanced to `now` before `running` changes, because the old amount was held until `now`.
ShareUsage withAverageAt(ShareUsage usage, Duration halfLife, Instant now)
{
    usage.average = averageAt(usage, halfLife, now);
    usage.averagedAt = std::max(usage.averagedAt, now);
    return usage;
}

} // namespace

AverageResources averageAt(const ShareUsage& usage, Duration halfLife, Instant now)
{
    if (now <= usage.averagedAt || halfLife <= Duration::zero())
        return usage.average;
    const std::chrono::duration<double> passed = now - usage.averagedAt;
    const std::chrono::duration<double> half = halfLife;
    // Example: after one half-life, the old average and the running amount each have a weight of 1/2.
    const double oldWeight = std::exp2(-(passed / half));
    return { weightedAverage(usage.average.cpuMilli, usage.running.cpuMilli, oldWeight),
        weightedAverage(usage.average.memoryMb, usage.running.memoryMb, oldWeight),
        weightedAverage(usage.average.accelerators, usage.running.accelerators, oldWeight) };
}

ShareUsage withTasksStarted(
    ShareUsage usage, const Resources& amount, std::uint32_t tasks, Duration halfLife, Instant now)
{
    usage = withAverageAt(usage, halfLife, now);
    usage.running += amount;
    usage.runningTasks += tasks;
    return usage;
}

ShareUsage withTasksEnded(
    ShareUsage usage, const Resources& amount, std::uint32_t tasks, Duration halfLife, Instant now)
{
    usage = withAverageAt(usage, halfLife, now);
    usage.running = atLeastZero(usage.running - amount);
    usage.runningTasks -= std::min(usage.runningTasks, tasks);
    return usage;
}

double dominantShare(const AverageResources& amount, const Resources& total)
{
    return std::max({ fraction(amount.cpuMilli, total.cpuMilli), fraction(amount.memoryMb, total.memoryMb),
        fraction(amount.accelerators, total.accelerators) });
}

double shareScore(const ShareUsage& usage, const Resources& total, Duration halfLife, Instant now)
{
    auto held = averageAt(usage, halfLife, now);
    held.cpuMilli += static_cast<double>(usage.running.cpuMilli);
    held.memoryMb += static_cast<double>(usage.running.memoryMb);
    held.accelerators += static_cast<double>(usage.running.accelerators);
    return dominantShare(held, total) / usage.weight;
}

} // namespace quay
