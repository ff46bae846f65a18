#pragma once

#include "quay-bench/Ledgers.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace quay::bench {

/** A time interval on the monotonic clock of the machine. */
struct Window {
    std::int64_t fromUs = 0;
    std::int64_t untilUs = 0;

    std::int64_t length() const { return untilUs - fromUs; }
};

/** Resource demand of one job: starts with its arrival and ends task by task, as the ledgers record. */
struct JobDemand {
    std::string job;
    std::string team;
    std::int64_t arrivalUs = 0;
    std::uint32_t tasks = 0;
    Resources perTask;
};

/** Utilization of the workers. */
struct Packing {
    double capacityInUse = 0; // dominant share of the fleet's capacity, mean over the window
    double workersInUse = 0; // number of workers that run at least one task, mean over the window
    double inUseOnBusyWorkers = 0; // dominant share of the capacity of those workers, mean over the window
};

/** Difference between held and fair shares of the teams, as fractions of the fleet from 0 to 1. */
struct ShareError {
    double mean = 0; // largest difference of any team, mean over time
    double max = 0; // largest difference of any team, maximum over time
    std::map<std::string, double> held; // mean dominant share by team
    std::map<std::string, double> fair; // mean fair share by team
};

/** Returns the largest fraction of `total` that `amount` takes of any resource. */
double dominantShare(const Resources& amount, const Resources& total);

/**
 * Divides `total` by weighted max-min fairness: no share exceeds its demand, and unused parts go to the
 * others by weight. Demands and the result are in the order of the weights.
 */
std::vector<double> maxMinShares(
    double total, const std::vector<double>& weights, const std::vector<double>& demands);

/** Samples the runs at regular times. Each of the `workers` workers has the capacity `worker`. */
Packing packing(
    const std::vector<TaskRun>& runs, const Resources& worker, std::size_t workers, const Window& window);

/**
 * Compares at regular times the share that each team held with its weighted max-min share of the sum that all
 * teams held. The demand of a team is its tasks that have arrived and are not done; a failed or stopped run
 * does not lower it. `fleet` is the capacity of all workers.
 */
ShareError shareError(const std::vector<TaskRun>& runs, const std::vector<JobDemand>& demands,
    const std::map<std::string, double>& weights, const Resources& fleet, const Window& window);

} // namespace quay::bench
