#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

// How long tasks take, learned beside their callers' estimates.
namespace quay::fleet {

/** Steps whose tasks behave alike: the same step of jobs of one queue, with the same image. */
struct DurationKey {
    std::string queue;
    std::string image;
    int step = 0;
};

/** Mean and variance of a logarithm. */
struct LogStatistics {
    double mean = 0;
    double variance = 0;
    double weight = 0; // in samples

    bool operator==(const LogStatistics&) const = default;
};

struct DurationStatistics {
    LogStatistics ms; // of the duration
    LogStatistics ratio; // of the duration and the estimate
    std::uint64_t lastUse = 0; // see DurationModel::uses

    bool operator==(const DurationStatistics&) const = default;
};

/** Bounded: beyond maxDurationKeys a new key replaces the one that has gone longest without a new duration.
 */
struct DurationModel {
    std::unordered_map<std::string, DurationStatistics> steps; // by the text of the key
    std::unordered_map<std::string, DurationStatistics> queues;
    std::uint64_t uses = 0; // counts the durations that were added
};

struct ExpectedDuration {
    double ms = 0; // 0: nothing is known
    double spread = 0; // standard deviation of its logarithm

    bool operator==(const ExpectedDuration&) const = default;
};

constexpr std::size_t maxDurationKeys = 2048;
constexpr double maxDurationMs = 86'400'000; // a day; longer ones count as long

/**
 * Duration to expect of a task on an executor of normal speed: the caller's estimate and what was learned of
 * the key, each weighted by how well it foretold the durations so far. Without samples it is the estimate.
 * `estimateMs`: any number; 0 and below: none.
 */
ExpectedDuration expectedDuration(
    const DurationModel& model, const DurationKey& key, std::int64_t estimateMs);

/** Adds the mean duration of the tasks of a step. One that is not above 0 or not finite is ignored. */
void addDuration(DurationModel& model, const DurationKey& key, std::int64_t estimateMs, double ms);

} // namespace quay::fleet
