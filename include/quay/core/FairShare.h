#pragma once

#include "quay/core/Ids.h"
#include "quay/core/Resources.h"
#include "quay/core/Time.h"

#include <cstdint>
#include <unordered_map>

namespace quay {

/** An amount of resources averaged over time. */
struct AverageResources {
    double cpuMilli = 0;
    double memoryMb = 0;
    double accelerators = 0;

    bool operator==(const AverageResources&) const = default;
};

/** Current and averaged past resource usage of one team. */
struct ShareUsage {
    double weight = 1;
    Resources running; // allocated to running tasks
    std::uint32_t runningTasks = 0;
    AverageResources average; // exponential moving average of `running`, valid at `averagedAt`
    Instant averagedAt {};

    bool operator==(const ShareUsage&) const = default;
};

/** The average advanced to `now`; unchanged if `now` is not after `averagedAt`. */
AverageResources averageAt(const ShareUsage& usage, Duration halfLife, Instant now);

/** Usage after the start of `tasks` tasks that hold `amount` in total. */
ShareUsage withTasksStarted(
    ShareUsage usage, const Resources& amount, std::uint32_t tasks, Duration halfLife, Instant now);

/** Usage after the end of `tasks` tasks that held `amount` in total. Never falls below zero. */
ShareUsage withTasksEnded(
    ShareUsage usage, const Resources& amount, std::uint32_t tasks, Duration halfLife, Instant now);

/** The largest fraction of `total` that `amount` has in any dimension whose total isn't zero. */
double dominantShare(const AverageResources& amount, const Resources& total);

/**
 * Scheduling score of a team; the team with the lowest score is served next.
 * It is the dominant share of the sum of current and averaged past usage, divided by the team's weight.
 * Current usage gives weighted max-min fairness at this moment; past usage favors teams that recently got
 * less than their share.
 */
double shareScore(const ShareUsage& usage, const Resources& total, Duration halfLife, Instant now);

/**
 * The usage of all teams, changed by the free functions above.
 *
 * Usage: `auto& usage = fair.teams[team]; usage = withTasksStarted(usage, amount, 1, fair.halfLife, now);`
 */
struct FairShare {
    std::unordered_map<TeamId, ShareUsage> teams;
    Duration halfLife = std::chrono::minutes(10);

    bool operator==(const FairShare&) const = default;
};

} // namespace quay
