#include "quay-bench/Sharing.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>

namespace quay::bench {

namespace {

constexpr std::int64_t samplePeriodUs = 100'000;

double fraction(std::int64_t part, std::int64_t whole)
{
    return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0;
}

bool isRunningAt(const TaskRun& run, std::int64_t atUs)
{
    return run.startUs <= atUs && (!run.endUs || run.endUs > atUs);
}

Resources scaled(const Resources& amount, std::int64_t n)
{
    return { amount.cpuMilli * n, amount.memoryMb * n, amount.accelerators * n };
}

struct Usage {
    std::map<std::string, Resources> held;
    std::map<std::string, Resources> demanded;
};

// Demand at a time is the size of all tasks that have arrived less the size of those that are done.
Usage usageAt(const std::vector<TaskRun>& runs, const std::vector<JobDemand>& demands, std::int64_t atUs)
{
    Usage usage;
    for (const auto& demand : demands) {
        if (demand.arrivalUs <= atUs)
            usage.demanded[demand.team] += scaled(demand.perTask, demand.tasks);
    }
    for (const auto& run : runs) {
        if (isRunningAt(run, atUs))
            usage.held[run.team] += run.size;
        if (run.endUs && run.endUs <= atUs && run.endReason == "done")
            usage.demanded[run.team] -= run.size;
    }
    return usage;
}

struct Sample {
    std::vector<double> held;
    std::vector<double> fair;
};

Sample sampleAt(const Usage& usage, const std::map<std::string, double>& weights, const Resources& fleet)
{
    Sample sample;
    std::vector<double> weightList;
    std::vector<double> demanded;
    double total = 0;
    for (const auto& [team, weight] : weights) {
        const auto held = usage.held.find(team);
        const auto want = usage.demanded.find(team);
        sample.held.push_back(held == usage.held.end() ? 0 : dominantShare(held->second, fleet));
        const auto demand = want == usage.demanded.end() ? 0 : dominantShare(want->second, fleet);
        demanded.push_back(std::max(demand, sample.held.back()));
        weightList.push_back(weight);
        total += sample.held.back();
    }
    sample.fair = maxMinShares(total, weightList, demanded);
    return sample;
}

} // namespace

double dominantShare(const Resources& amount, const Resources& total)
{
    return std::max({ fraction(amount.cpuMilli, total.cpuMilli), fraction(amount.memoryMb, total.memoryMb),
        fraction(amount.accelerators, total.accelerators) });
}

// Progressive filling: each round offers the remaining amount by weight and settles the demands that it
// satisfies. Example: total 1, weights 1 and 1, demands 0.2 and 2. The first round offers 0.5 each, which
// satisfies the first demand with 0.2; the second round gives the remaining 0.8 to the other.
std::vector<double> maxMinShares(
    double total, const std::vector<double>& weights, const std::vector<double>& demands)
{
    std::vector<double> shares(weights.size(), 0);
    std::set<std::size_t> unsatisfied;
    for (std::size_t i = 0; i < weights.size(); ++i)
        unsatisfied.insert(i);
    double remaining = total;
    while (!unsatisfied.empty()) {
        double weightSum = 0;
        for (const auto i : unsatisfied)
            weightSum += weights[i];
        std::vector<std::size_t> satisfied;
        for (const auto i : unsatisfied) {
            if (demands[i] * weightSum <= remaining * weights[i])
                satisfied.push_back(i);
        }
        if (satisfied.empty()) {
            for (const auto i : unsatisfied)
                shares[i] = remaining * weights[i] / weightSum;
            break;
        }
        for (const auto i : satisfied) {
            shares[i] = demands[i];
            remaining -= demands[i];
            unsatisfied.erase(i);
        }
    }
    return shares;
}

Packing packing(
    const std::vector<TaskRun>& runs, const Resources& worker, std::size_t workers, const Window& window)
{
    Packing result;
    std::size_t samples = 0;
    const auto fleet = scaled(worker, static_cast<std::int64_t>(workers));
    for (auto atUs = window.fromUs; atUs < window.untilUs; atUs += samplePeriodUs) {
        Resources used;
        std::set<std::string> busy;
        for (const auto& run : runs) {
            if (!isRunningAt(run, atUs))
                continue;
            used += run.size;
            busy.insert(run.worker);
        }
        ++samples;
        result.capacityInUse += dominantShare(used, fleet);
        result.workersInUse += static_cast<double>(busy.size());
        result.inUseOnBusyWorkers
            += dominantShare(used, scaled(worker, static_cast<std::int64_t>(busy.size())));
    }
    if (!samples)
        return {};
    result.capacityInUse /= static_cast<double>(samples);
    result.workersInUse /= static_cast<double>(samples);
    result.inUseOnBusyWorkers /= static_cast<double>(samples);
    return result;
}

ShareError shareError(const std::vector<TaskRun>& runs, const std::vector<JobDemand>& demands,
    const std::map<std::string, double>& weights, const Resources& fleet, const Window& window)
{
    ShareError result;
    double samples = 0;
    for (auto atUs = window.fromUs; atUs < window.untilUs; atUs += samplePeriodUs) {
        const auto sample = sampleAt(usageAt(runs, demands, atUs), weights, fleet);
        double worst = 0;
        std::size_t i = 0;
        for (const auto& [team, weight] : weights) {
            result.held[team] += sample.held[i];
            result.fair[team] += sample.fair[i];
            worst = std::max(worst, std::abs(sample.held[i] - sample.fair[i]));
            ++i;
        }
        result.mean += worst;
        result.max = std::max(result.max, worst);
        ++samples;
    }
    if (samples == 0)
        return result;
    result.mean /= samples;
    for (auto* shares : { &result.held, &result.fair }) {
        for (auto& [team, share] : *shares)
            share /= samples;
    }
    return result;
}

} // namespace quay::bench
