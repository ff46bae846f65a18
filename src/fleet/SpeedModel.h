#pragma once

#include "quay/core/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

// How fast executors are, learned from the run times of their tasks.
namespace quay::fleet {

/**
 * A run time as a multiple of its normal value is kept as its natural logarithm, so that "twice as long" and
 * "half as long" weigh the same.
 */
struct SpeedMean {
    double logFactor = 0;
    double weight = 0; // in samples; decreases with age

    bool operator==(const SpeedMean&) const = default;
};

/** What is known of one executor. Without samples it is taken for as fast as others of its kind. */
struct ExecutorSpeed {
    SpeedMean own;
    Instant updatedAt; // of the last sample
    int outliers = 0; // consecutive samples far to one side; negative: far below
    bool isSlow = false; // as last judged, see judgeSlow()

    bool operator==(const ExecutorSpeed&) const = default;
};

/** The executors of one service. Bounded: kinds beyond maxSpeedKinds share one mean. */
struct ServiceSpeeds {
    std::map<std::string, SpeedMean> kinds; // by the label or labels of an executor without its rack
    double meanResidual = 0; // of all samples; subtracted, so that the factors don't drift together
};

/** The run times of the tasks of one step, which have the same size but for small differences. */
struct StepPace {
    double meanLogMs = 0; // of the normal run time: that on an executor whose factor is 1
    int count = 0;

    bool operator==(const StepPace&) const = default;
};

constexpr std::size_t maxSpeedKinds = 64;
constexpr double maxLogFactor = 2.08; // a factor of 8 in both directions

/** The key of an executor's kind: its labels without the last one, its rack, if there are several. */
std::string speedKind(const std::vector<std::string>& labels);

/** The mean of a kind; adds it if it is new. The reference stays valid. */
SpeedMean& kindMean(ServiceSpeeds& speeds, const std::string& kind);

/** Lets the means of the kinds age towards a factor of 1: a kind that gets no tasks is tried again. */
void ageKinds(ServiceSpeeds& speeds, Duration elapsed);

/**
 * Logarithm of the factor to expect of an executor at `now`: what was learned of it, which ages towards the
 * mean of its kind. Finite and within maxLogFactor for any input.
 */
double logFactorOf(const ExecutorSpeed& speed, const SpeedMean& kind, Instant now);

/**
 * Adds a run of an executor. `logRatio`: of its run time and the normal one, as from logRatioTo(). `weight`:
 * 1 for a run that has ended, less for an early estimate. Returns whether the sample is an outlier: it moves
 * the value little, unless the one before it, of another run, was one to the same side. A value that is not
 * finite is ignored.
 */
bool addSpeedSample(ExecutorSpeed& speed, SpeedMean& kind, ServiceSpeeds& speeds, double logRatio,
    double weight, Instant now);

/** Updates and returns `isSlow`: whether the executor is far slower than its kind. With hysteresis. */
bool judgeSlow(ExecutorSpeed& speed, const SpeedMean& kind, Instant now);

/** Logarithm of a run's time relative to the step's normal one, of which `pace` needs two runs at least. */
double logRatioTo(const StepPace& pace, double runMs);
constexpr int minPaceCount = 2;

/** Adds a run that took `runMs` on an executor of the given factor. Times below one millisecond count as it.
 */
void addToPace(StepPace& pace, double runMs, double logFactor);

// Executors are chosen by classes of about the same speed, so that small differences, which are mostly noise,
// don't disturb the packing.

constexpr double speedClassWidth = 0.2; // in logFactor: a factor of 1.22
constexpr int maxSpeedClass = 10; // of the slowest; that of the fastest is -maxSpeedClass

/** The class of a factor. `current` is kept while the factor is near it. */
int speedClassOf(double logFactor, int current);

} // namespace quay::fleet
