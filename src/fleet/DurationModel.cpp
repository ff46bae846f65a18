#include "fleet/DurationModel.h"

#include <algorithm>
#include <cmath>

namespace quay::fleet {

namespace {

constexpr double maxWeight = 50; // so that changes are followed
// Assumed before there are samples, with the weight of one: an estimate is off by a third, and the tasks of
// unknown steps differ by a factor of four or more.
constexpr double priorRatioVariance = 0.1;
constexpr double priorMsVariance = 2.25;
constexpr double priorVarianceWeight = 1;
constexpr double neutralWeight = 4; // of a ratio of 1, and of the ratio of the queue, in samples
constexpr double maxRatioStep = 1.5; // of one sample, from the mean: one odd step proves little

std::string textOf(const DurationKey& key)
{
    return key.queue + '\n' + key.image + '\n' + std::to_string(key.step);
}

double boundedMs(double ms) { return std::clamp(ms, 1.0, maxDurationMs); }

void addTo(LogStatistics& statistics, double value)
{
    statistics.weight = std::min(maxWeight, statistics.weight + 1);
    const double gain = 1 / statistics.weight;
    const double difference = value - statistics.mean;
    statistics.mean += gain * difference;
    statistics.variance = (1 - gain) * (statistics.variance + gain * difference * difference);
}

void addTo(DurationStatistics& statistics, std::int64_t estimateMs, double ms)
{
    addTo(statistics.ms, std::log(ms));
    if (estimateMs > 0)
        addTo(statistics.ratio,
            std::clamp(std::log(ms / boundedMs(static_cast<double>(estimateMs))),
                statistics.ratio.mean - maxRatioStep, statistics.ratio.mean + maxRatioStep));
}

DurationStatistics& slot(std::unordered_map<std::string, DurationStatistics>& statistics,
    const std::string& key, std::uint64_t use)
{
    if (statistics.size() >= maxDurationKeys && !statistics.count(key))
        statistics.erase(std::min_element(statistics.begin(), statistics.end(),
            [](const auto& a, const auto& b) { return a.second.lastUse < b.second.lastUse; }));
    auto& result = statistics[key];
    result.lastUse = use;
    return result;
}

DurationStatistics find(
    const std::unordered_map<std::string, DurationStatistics>& statistics, const std::string& key)
{
    const auto found = statistics.find(key);
    return found == statistics.end() ? DurationStatistics {} : found->second;
}

double varianceOf(const LogStatistics& statistics, double prior)
{
    const double weight = std::max(0.0, statistics.weight - 1); // one sample tells nothing of the variance
    return (statistics.variance * weight + prior * priorVarianceWeight) / (weight + priorVarianceWeight);
}

} // namespace

ExpectedDuration expectedDuration(const DurationModel& model, const DurationKey& key, std::int64_t estimateMs)
{
    const auto step = find(model.steps, textOf(key));
    const auto queue = find(model.queues, key.queue);
    double precision = 0;
    double sum = 0;
    const auto add = [&](double logMs, double variance) {
        precision += 1 / variance;
        sum += logMs / variance;
    };
    if (estimateMs > 0) {
        const double ofQueue = queue.ratio.mean * queue.ratio.weight / (queue.ratio.weight + neutralWeight);
        const double ratio = (step.ratio.mean * step.ratio.weight + ofQueue * neutralWeight)
            / (step.ratio.weight + neutralWeight);
        add(std::log(boundedMs(static_cast<double>(estimateMs))) + ratio,
            varianceOf(step.ratio, varianceOf(queue.ratio, priorRatioVariance)));
    }
    const auto& known = step.ms.weight > 0 ? step.ms : queue.ms;
    if (known.weight > 0)
        add(known.mean, varianceOf(known, priorMsVariance));
    if (precision == 0)
        return {};
    return { boundedMs(std::exp(sum / precision)), std::sqrt(1 / precision) };
}

void addDuration(DurationModel& model, const DurationKey& key, std::int64_t estimateMs, double ms)
{
    if (!(ms > 0) || !std::isfinite(ms))
        return;
    const auto use = ++model.uses;
    addTo(slot(model.steps, textOf(key), use), estimateMs, boundedMs(ms));
    addTo(slot(model.queues, key.queue, use), estimateMs, boundedMs(ms));
}

} // namespace quay::fleet
