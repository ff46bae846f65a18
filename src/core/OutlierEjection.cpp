#include "quay/core/OutlierEjection.h"

#include <algorithm>
#include <set>

namespace quay {

namespace {

double failureRate(double failures, double samples) { return samples > 0 ? failures / samples : 0; }

double fleetFailureRate(const OutlierState& state)
{
    double samples = 0;
    double failures = 0;
    for (const auto& [id, health] : state.servers) {
        samples += health.samples;
        failures += health.failures;
    }
    return failureRate(failures, samples);
}

// Samples decay with time, so a server with few requests never reaches minSamples; its consecutive failures
// are judged instead. If many servers have them, the requests are the likely cause and no server is ejected.
bool hasConsecutiveFailures(const OutlierState& state, const ServerHealth& health)
{
    constexpr std::size_t maxFailingFleetDivisor = 3; // more than 1/3 failing: the requests cause it
    const auto limit = state.settings.consecutiveFailures;
    if (health.consecutiveFailures < limit)
        return false;
    const auto failing = static_cast<std::size_t>(std::ranges::count_if(
        state.servers, [limit](const auto& item) { return item.second.consecutiveFailures >= limit; }));
    return failing * maxFailingFleetDivisor <= state.servers.size();
}

// A server on probation was an outlier before, so its failure rate is not compared with the fleet's.
bool isOutlier(const OutlierSettings& settings, const ServerHealth& health, double fleetRate)
{
    const double rate = failureRate(health.failures, health.samples);
    if (health.state == HealthState::Probation)
        return health.samples >= settings.minProbationSamples && rate >= settings.minFailureRate;
    return health.samples >= settings.minSamples && rate >= settings.minFailureRate
        && rate > std::min(0.99, fleetRate * settings.fleetRateFactor);
}

void eject(const OutlierSettings& settings, ServerHealth& health, Instant now)
{
    constexpr unsigned maxBackoffExponent = 16; // keeps the shift from overflowing
    const Duration length
        = settings.baseEjectionTime * (1U << std::min(health.ejections, maxBackoffExponent));
    health.state = HealthState::Ejected;
    health.ejectedUntil = now + std::min(length, settings.maxEjectionTime);
    ++health.ejections;
    health.samples = 0;
    health.failures = 0;
    health.consecutiveFailures = 0;
}

void endProbation(const OutlierSettings& settings, ServerHealth& health)
{
    if (health.samples < settings.minSamples)
        return;
    health.state = HealthState::Healthy;
    health.ejections = 0;
}

bool mayEjectMore(const OutlierState& state)
{
    const auto isEjected = [](const auto& item) { return item.second.state == HealthState::Ejected; };
    const auto ejected = static_cast<std::size_t>(std::ranges::count_if(state.servers, isEjected));
    return (ejected + 1) * 100 <= state.servers.size() * state.settings.maxEjectedPercent;
}

} // namespace

void setTrackedServers(OutlierState& state, const std::vector<ServerId>& servers)
{
    const std::set<ServerId> tracked(servers.begin(), servers.end());
    std::erase_if(state.servers, [&](const auto& item) { return !tracked.contains(item.first); });
    for (const ServerId& id : tracked)
        state.servers.try_emplace(id);
}

void recordOutcome(OutlierState& state, const ServerId& server, bool succeeded)
{
    const auto found = state.servers.find(server);
    if (found == state.servers.end() || found->second.state == HealthState::Ejected)
        return;
    found->second.samples += 1;
    found->second.failures += succeeded ? 0 : 1;
    found->second.consecutiveFailures = succeeded ? 0 : found->second.consecutiveFailures + 1;
}

std::vector<HealthChange> checkOutliers(OutlierState& state, Instant now)
{
    std::vector<HealthChange> changes;
    const double fleetRate = fleetFailureRate(state);
    for (auto& [id, health] : state.servers) {
        if (health.state == HealthState::Ejected) {
            if (now < health.ejectedUntil)
                continue;
            health.state = HealthState::Probation;
            changes.push_back({ id, health.state });
        } else if ((isOutlier(state.settings, health, fleetRate) || hasConsecutiveFailures(state, health))
            && mayEjectMore(state)) {
            eject(state.settings, health, now);
            changes.push_back({ id, health.state });
        } else {
            if (health.state == HealthState::Probation)
                endProbation(state.settings, health);
            health.samples *= state.settings.decayPerCheck;
            health.failures *= state.settings.decayPerCheck;
        }
    }
    return changes;
}

} // namespace quay
