#include "service/InteractiveService.h"

#include <algorithm>

namespace quay {

namespace {

constexpr std::int64_t millitokensPerPercent = 10;
constexpr unsigned wholeFleetPercent = 100;

Instant monotonicNow() { return std::chrono::steady_clock::now(); }

RoutingPolicy routingPolicy(const std::string& name)
{
    if (name == "random")
        return RoutingPolicy::Random;
    if (name == "first_fit")
        return RoutingPolicy::FirstFit;
    return RoutingPolicy::TwoChoices;
}

} // namespace

void InteractiveService::refresh()
{
    refreshConfiguration();
    refreshOwnership();
    for (auto& [id, backend] : m_backends) {
        if (backend.isOwned && !backend.isStatusPending && needsStatus(backend.gate))
            queryStatus(id, backend);
    }
    dispatchWaiting();
}

void InteractiveService::refreshConfiguration()
{
    const auto active = m_configuration.active().get();
    const auto& configuration = active->configuration;
    if (!active->isKnown || configuration.version == m_configurationVersion)
        return;
    m_configurationVersion = configuration.version;
    for (const auto& [team, config] : configuration.teams) {
        setWeight(m_router.admission, team, config.share);
        setMaxWaiting(m_router.admission, team, config.maxQueued);
    }
    m_router.settings.policy = routingPolicy(configuration.policy.routing);
    m_retrySettings.earnedMillitokens = configuration.policy.retryPercent * millitokensPerPercent;
}

// Executors that this process has just come to own get no requests until their status is known. Executors
// that it no longer owns are kept until their outstanding requests have ended.
void InteractiveService::refreshOwnership()
{
    const auto now = monotonicNow();
    const auto ownership = m_membership.ownership().get();
    const auto fleet = m_membership.fleet().get();
    for (auto& [id, backend] : m_backends)
        backend.isOwned = backend.isOwned && ownership->mayUse(id, now);
    for (const auto& server : fleet->servers) {
        if (server.kind != ServerKind::Executor || !ownership->mayUse(server.id, now))
            continue;
        auto& backend = m_backends[server.id];
        if (!backend.isOwned)
            backend.gate = gateAfterTakeover(now);
        backend.isOwned = true;
        backend.info = server;
    }
    std::erase_if(
        m_backends, [this](const auto& item) { return !item.second.isOwned && !outstandingOf(item.first); });
    applyExecutors();
}

void InteractiveService::applyExecutors()
{
    const auto now = monotonicNow();
    std::vector<ExecutorInfo> infos;
    for (const auto& [id, backend] : m_backends) {
        if (backend.isOwned)
            infos.push_back({ id, usableSlots(backend.gate, backend.info.slots, now), backend.info.leaving });
    }
    setExecutors(m_router, infos);
    m_freeSlots = m_router.freeSlots;
    m_slotsInService = m_router.slots;
}

std::uint32_t InteractiveService::outstandingOf(const ServerId& executor) const
{
    const auto found = m_router.executorIndices.find(executor);
    return found == m_router.executorIndices.end() ? 0 : m_router.executors[found->second].outstanding;
}

void InteractiveService::queryStatus(const ServerId& id, Backend& backend)
{
    backend.isStatusPending = true;
    const auto askedAt = monotonicNow();
    // With requests of this process outstanding, the answer can't be exact; no count of sends ever equals
    // this value.
    const auto sends = outstandingOf(id) ? UINT64_MAX : backend.sends;
    m_backend.queryBusySlots(
        backend.info.address, [this, id, askedAt, sends](std::optional<std::uint32_t> busy) {
            postResponse([this, id, askedAt, sends, busy] { onStatus(id, askedAt, sends, busy); });
        });
}

void InteractiveService::onStatus(
    const ServerId& id, Instant askedAt, std::uint64_t sends, std::optional<std::uint32_t> busy)
{
    const auto found = m_backends.find(id);
    if (found == m_backends.end())
        return;
    auto& backend = found->second;
    backend.isStatusPending = false;
    if (!busy)
        return;
    applyStatus(backend.gate, { *busy, askedAt, sends == backend.sends });
    applyExecutors();
    dispatchWaiting();
}

// All executors of one member may be faulty. It may eject all of them while a peer advertises slots in
// service. A peer whose executors fail as well advertises none, so with a fault on all members the ejection
// cap applies.
void InteractiveService::updateOutlierEjection()
{
    const bool peersHaveSlots = std::any_of(m_peerStates.begin(), m_peerStates.end(),
        [](const auto& item) { return item.second.slotsInService > 0; });
    const OutlierSettings defaults;
    m_router.outliers.settings.maxEjectedPercent
        = peersHaveSlots ? wholeFleetPercent : defaults.maxEjectedPercent;
    for (const auto& change : updateEjections(m_router, monotonicNow()))
        m_counters.ejections += change.state == HealthState::Ejected ? 1 : 0;
    dispatchWaiting();
}

} // namespace quay
