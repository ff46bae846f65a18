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

/** What one team holds now and held in the recent past. */
struct ShareUsage {
    double weight = 1;
    Resources running;
    std::uint32_t runningTasks = 0;
    AverageResources average; // exponential moving average of `running`, valid at `averagedAt`
    Instant averagedAt {};

    bool operator==(const ShareUsage&) const = default;
};

/** The average brought forward to `now`; a past `now` leaves it as it is. */
AverageResources averageAt(const ShareUsage& usage, Duration halfLife, Instant now);

/** Usage after `tasks` more tasks started that hold `amount` together. */
ShareUsage withTasksStarted(
    ShareUsage usage, const Resources& amount, std::uint32_t tasks, Duration halfLife, Instant now);

/** Usage after `tasks` tasks ended. Never falls below zero. */
ShareUsage withTasksEnded(
    ShareUsage usage, const Resources& amount, std::uint32_t tasks, Duration halfLife, Instant now);

/** The largest fraction of `total` that `amount` is in any dimension; dimensions the fleet lacks don't count.
 */
double dominantShare(const AverageResources& amount, const Resources& total);

/**
 * A team's place in the order: the lowest score is served next.
 * It is the dominant share of what the team holds now plus what it held on average, over its weight.
 * The first term makes it weighted max-min at this moment, the second repays teams that got less lately.
 */
double shareScore(const ShareUsage& usage, const Resources& total, Duration halfLife, Instant now);

/** The usage of all teams. A plain value; the free functions above do the arithmetic. */
struct FairShare {
    std::unordered_map<TeamId, ShareUsage> teams;
    Duration halfLife = std::chrono::minutes(10);

    bool operator==(const FairShare&) const = default;
};

} // namespace quay
