#include "edge/RelayPlan.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace quay::edge {

namespace {

// Executors that a leader exchanges with itself. Up to this number the batches of the relays would save
// nothing.
constexpr std::size_t maxDirectExecutors = 100;
constexpr std::size_t maxExecutorsPerRelay = 200; // some 700 exchanges a second at two starts each
constexpr auto nodeExpiry = 2500ms; // two leader probes of a large cell and their timeout
constexpr auto choiceInterval = 200ms;

} // namespace

void RelayPlan::nodeSeen(const std::string& name, const Node& node, Instant now)
{
    auto& known = m_nodes[name];
    known.node = node;
    known.lastSeen = now;
}

void RelayPlan::executorSeen(const std::string& id, const std::string& zone)
{
    auto [it, isNew] = m_executors.try_emplace(id);
    if (!isNew && it->second.zone == zone)
        return;
    if (!isNew)
        --m_zones[it->second.zone].executors;
    it->second.zone = zone;
    ++m_zones[zone].executors;
}

std::string RelayPlan::domainOf(const std::string& executor) const
{
    const auto it = m_executors.find(executor);
    return it == m_executors.end() ? std::string() : it->second.zone;
}

void RelayPlan::executorGone(const std::string& id)
{
    const auto it = m_executors.find(id);
    if (it == m_executors.end())
        return;
    --m_zones[it->second.zone].executors;
    m_executors.erase(it);
}

void RelayPlan::avoidNode(const std::string& name, Instant until)
{
    if (const auto it = m_nodes.find(name); it != m_nodes.end())
        it->second.avoidedUntil = until;
    m_nextChoice = {};
}

void RelayPlan::avoidRelays(const std::string& executor, Instant until)
{
    if (const auto it = m_executors.find(executor); it != m_executors.end())
        it->second.directUntil = until;
}

bool RelayPlan::isUsable(const std::string& node, Instant now) const
{
    const auto it = m_nodes.find(node);
    return it != m_nodes.end() && it->second.node.processorShare > 0
        && now - it->second.lastSeen <= nodeExpiry && now >= it->second.avoidedUntil;
}

// Keeps relays that are still usable in their places, so that only the executors of a lost one change theirs.
void RelayPlan::choose(const std::string& name, Zone& zone, Instant now)
{
    const auto count = (zone.executors + maxExecutorsPerRelay - 1) / maxExecutorsPerRelay;
    std::vector<std::pair<double, std::string>> candidates;
    for (const auto& [node, known] : m_nodes) {
        const bool isRelay = std::find(zone.relays.begin(), zone.relays.end(), node) != zone.relays.end();
        if (known.node.zone == name && !isRelay && isUsable(node, now))
            candidates.emplace_back(-known.node.processorShare, node);
    }
    std::sort(candidates.begin(), candidates.end());
    auto next = candidates.begin();
    zone.relays.resize(count);
    for (auto& relay : zone.relays) {
        if (isUsable(relay, now))
            continue;
        relay.clear();
        if (next != candidates.end())
            relay = (next++)->second;
    }
    std::erase(zone.relays, std::string());
}

const std::string* RelayPlan::relayOf(const std::string& executor, Instant now)
{
    if (m_executors.size() <= maxDirectExecutors)
        return nullptr;
    if (now >= m_nextChoice) {
        m_nextChoice = now + choiceInterval;
        for (auto& [name, zone] : m_zones)
            choose(name, zone, now);
    }
    const auto it = m_executors.find(executor);
    if (it == m_executors.end() || now < it->second.directUntil)
        return nullptr;
    const auto& relays = m_zones[it->second.zone].relays;
    return relays.empty() ? nullptr : &relays[std::hash<std::string>()(executor) % relays.size()];
}

} // namespace quay::edge
