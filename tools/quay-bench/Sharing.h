#pragma once

#include "quay-bench/Ledgers.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace quay::bench {

/** A span of the machine's monotonic clock. */
struct Window {
    std::int64_t fromUs = 0;
    std::int64_t untilUs = 0;

    std::int64_t length() const { return untilUs - fromUs; }
};

/** What one job wants, from its arrival on; the ledger says until when. */
struct JobDemand {
    std::string job;
    std::string team;
    std::int64_t arrivalUs = 0;
    std::uint32_t tasks = 0;
    Resources perTask;
};

/** How full the workers were. */
struct Packing {
    double capacityInUse = 0; // part of the fleet's dominant resource, mean over the window
    double workersInUse = 0; // mean number of workers with at least one task
    double inUseOnBusyWorkers = 0; // part of the capacity of the workers that were in use
};

/** How near the teams came to their shares. Parts of the fleet, from 0 to 1. */
struct ShareError {
    double mean = 0; // over time, of the worst team at each time
    double max = 0; // over time, of the worst team at each time
    std::map<std::string, double> held; // mean dominant share by team
    std::map<std::string, double> fair; // mean fair share by team
};

/** The largest of the fractions that an amount is of a total. */
double dominantShare(const Resources& amount, const Resources& total);

/**
 * Weighted max-min division of `total`: nobody gets more than its demand, what it leaves goes to the others
 * by weight. Demands and the result are in the order of the weights.
 */
std::vector<double> maxMinShares(
    double total, const std::vector<double>& weights, const std::vector<double>& demands);

Packing packing(
    const std::vector<TaskRun>& runs, const Resources& worker, std::size_t workers, const Window& window);

/**
 * Compares at regular times what each team held with its max-min share of what all teams held together.
 * A team's demand is its tasks that have arrived and not ended.
 */
ShareError shareError(const std::vector<TaskRun>& runs, const std::vector<JobDemand>& demands,
    const std::map<std::string, double>& weights, const Resources& fleet, const Window& window);

} // namespace quay::bench
