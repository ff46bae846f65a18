#include "fleet/SpeedModel.h"

#include <algorithm>
#include <cmath>

namespace quay::fleet {

namespace {

constexpr double priorWeight = 1; // of a kind's mean, in samples of the executor
constexpr double neutralWeight = 8; // of a factor of 1, in samples of the kind
constexpr double maxOwnWeight = 4; // a larger one would follow a change too slowly
constexpr double maxKindWeight = 300;
constexpr double halfLifeS = 20; // of the weight of an executor's samples
constexpr double kindHalfLifeS = 120; // of the weight of a kind's samples
constexpr double suddenHalfLifeS = 4; // if it differs much from its kind: it may recover within seconds
// A few tasks take many times as long for reasons of their own, so a single outlier proves little.
constexpr double outlierLimit = 0.8;
constexpr double slowFromLog = 0.69; // twice as long as its kind
constexpr double slowUntilLog = 0.34;
constexpr double minWeightToJudge = 1.5;
constexpr double residualGain = 0.03;
constexpr double classHysteresis = 0.65; // in class widths; half a width would be none
constexpr double maxPaceDeviation = 1;

double bounded(double logFactor) { return std::clamp(logFactor, -maxLogFactor, maxLogFactor); }

double priorOf(const SpeedMean& kind) { return kind.logFactor * kind.weight / (kind.weight + neutralWeight); }

double agedWeight(const ExecutorSpeed& speed, const SpeedMean& kind, Instant now)
{
    const double age = std::max(0.0, std::chrono::duration<double>(now - speed.updatedAt).count());
    const bool isSudden = std::abs(speed.own.logFactor - priorOf(kind)) > outlierLimit;
    return speed.own.weight * std::exp2(-age / (isSudden ? suddenHalfLifeS : halfLifeS));
}

void addTo(SpeedMean& mean, double value, double weight, double maxWeight)
{
    mean.weight = std::min(maxWeight, mean.weight + weight);
    mean.logFactor = bounded(mean.logFactor + (value - mean.logFactor) * weight / mean.weight);
}

} // namespace

std::string speedKind(const std::vector<std::string>& labels)
{
    std::string kind;
    const auto count = labels.size() < 2 ? labels.size() : labels.size() - 1;
    for (std::size_t i = 0; i < count; ++i)
        kind += (i ? "," : "") + labels[i];
    return kind;
}

SpeedMean& kindMean(ServiceSpeeds& speeds, const std::string& kind)
{
    const auto found = speeds.kinds.find(kind);
    if (found != speeds.kinds.end())
        return found->second;
    return speeds.kinds[speeds.kinds.size() + 1 < maxSpeedKinds ? kind : std::string()];
}

void ageKinds(ServiceSpeeds& speeds, Duration elapsed)
{
    const double seconds = std::max(0.0, std::chrono::duration<double>(elapsed).count());
    for (auto& [kind, mean] : speeds.kinds)
        mean.weight *= std::exp2(-seconds / kindHalfLifeS);
}

double logFactorOf(const ExecutorSpeed& speed, const SpeedMean& kind, Instant now)
{
    const double prior = priorOf(kind);
    const double weight = agedWeight(speed, kind, now);
    return bounded(prior + (speed.own.logFactor - prior) * weight / (weight + priorWeight));
}

bool addSpeedSample(
    ExecutorSpeed& speed, SpeedMean& kind, ServiceSpeeds& speeds, double logRatio, double weight, Instant now)
{
    if (!std::isfinite(logRatio) || !(weight > 0))
        return false;
    const double current = logFactorOf(speed, kind, now);
    const double residual = bounded(logRatio - speeds.meanResidual) - current;
    const double usual = std::clamp(residual, -outlierLimit, outlierLimit);
    const bool isOutlier = usual != residual;
    const int side = residual > 0 ? 1 : -1;
    speed.outliers = !isOutlier ? 0 : speed.outliers * side > 0 ? speed.outliers + side : side;
    const bool hasChanged = std::abs(speed.outliers) > 1;
    speeds.meanResidual
        = std::clamp(speeds.meanResidual + residualGain * weight * usual, -outlierLimit, outlierLimit);
    addTo(kind, priorOf(kind) + std::clamp(current + usual - priorOf(kind), -outlierLimit, outlierLimit),
        weight, maxKindWeight);
    speed.own.weight = agedWeight(speed, kind, now);
    if (speed.own.weight < weight)
        speed.own.logFactor = current; // so little is left of the earlier samples that the kind knows better
    if (hasChanged)
        speed.own.weight = std::min(speed.own.weight, weight);
    addTo(speed.own, current + (hasChanged ? residual : usual), weight, maxOwnWeight);
    speed.updatedAt = std::max(speed.updatedAt, now);
    return isOutlier;
}

bool judgeSlow(ExecutorSpeed& speed, const SpeedMean& kind, Instant now)
{
    const double excess = logFactorOf(speed, kind, now) - priorOf(kind);
    if (speed.isSlow)
        speed.isSlow = excess > slowUntilLog;
    else
        speed.isSlow = excess > slowFromLog && agedWeight(speed, kind, now) >= minWeightToJudge;
    return speed.isSlow;
}

double logRatioTo(const StepPace& pace, double runMs)
{
    return std::log(std::max(1.0, runMs)) - pace.meanLogMs;
}

void addToPace(StepPace& pace, double runMs, double logFactor)
{
    double value = std::log(std::max(1.0, runMs)) - logFactor;
    if (!std::isfinite(value))
        return;
    if (pace.count >= minPaceCount)
        value = std::clamp(value, pace.meanLogMs - maxPaceDeviation, pace.meanLogMs + maxPaceDeviation);
    ++pace.count;
    pace.meanLogMs += (value - pace.meanLogMs) / pace.count;
}

int speedClassOf(double logFactor, int current)
{
    const double exact = bounded(logFactor) / speedClassWidth;
    if (std::abs(exact - current) <= classHysteresis)
        return current;
    return std::clamp(static_cast<int>(std::lround(exact)), -maxSpeedClass, maxSpeedClass);
}

} // namespace quay::fleet
