#include "edge/LeaderCandidates.h"

#include <algorithm>

namespace quay::edge {

namespace {

// Shares of machines of the same type differ slightly, which is not worth the cost of a change of leader.
constexpr double smallShareRatio = 0.8;
constexpr auto probeExpiry = 1500ms; // five probe intervals
constexpr auto minEligibleTime = 3000ms; // an unstable node would soon have to be replaced again

} // namespace

bool isClearlySmaller(double ownShare, double largestShare)
{
    return ownShare < smallShareRatio * largestShare;
}

void LeaderCandidates::recordProbe(
    const std::string& node, const std::string& address, double share, Instant now)
{
    auto& known = m_nodes[node];
    known.address = address;
    if (known.share != share || now - known.lastProbeAt > probeExpiry)
        known.eligibleSince = now;
    known.share = share;
    known.lastProbeAt = now;
    std::erase_if(m_nodes, [&](const auto& it) { return now - it.second.lastProbeAt > probeExpiry; });
}

std::size_t LeaderCandidates::recentCount(Instant now) const
{
    return static_cast<std::size_t>(std::count_if(m_nodes.begin(), m_nodes.end(),
        [&](const auto& it) { return now - it.second.lastProbeAt <= probeExpiry; }));
}

double LeaderCandidates::largestRecentShare(Instant now) const
{
    double result = 0;
    for (const auto& [name, node] : m_nodes) {
        if (now - node.lastProbeAt <= probeExpiry)
            result = std::max(result, node.share);
    }
    return result;
}

bool LeaderCandidates::hasClearlyLarger(double ownShare, Instant now) const
{
    return std::any_of(m_nodes.begin(), m_nodes.end(), [&](const auto& it) {
        return isClearlySmaller(ownShare, it.second.share) && now - it.second.lastProbeAt <= probeExpiry
            && now - it.second.eligibleSince >= minEligibleTime;
    });
}

std::vector<std::string> LeaderCandidates::successors(Instant now) const
{
    const auto largest = largestRecentShare(now);
    std::vector<std::pair<Instant, std::string>> eligible;
    for (const auto& [name, node] : m_nodes) {
        if (now - node.lastProbeAt <= probeExpiry && node.share > 0 && !isClearlySmaller(node.share, largest))
            eligible.emplace_back(node.lastProbeAt, node.address);
    }
    std::sort(eligible.rbegin(), eligible.rend());
    std::vector<std::string> addresses;
    addresses.reserve(eligible.size());
    for (auto& it : eligible)
        addresses.push_back(std::move(it.second));
    return addresses;
}

} // namespace quay::edge
