#include "edge/NodeStrength.h"

#include <algorithm>

namespace quay::edge {

namespace {

constexpr double clearlyLess = 0.8; // machines of one kind are alike; a change of leader is not for nothing
constexpr auto heardWithin = 1500ms; // five greetings
constexpr auto fitFor = 3000ms; // a node that comes and goes would have to be replaced again

} // namespace

bool isWeak(double ownShare, double strongestShare) { return ownShare < clearlyLess * strongestShare; }

void NodeStrengths::heard(const std::string& node, double share, Instant now)
{
    auto& known = m_nodes[node];
    if (known.share != share || now - known.lastHeard > heardWithin)
        known.fitSince = now;
    known.share = share;
    known.lastHeard = now;
    std::erase_if(m_nodes, [&](const auto& it) { return now - it.second.lastHeard > heardWithin; });
}

double NodeStrengths::strongest(Instant now) const
{
    double result = 0;
    for (const auto& [name, node] : m_nodes) {
        if (now - node.lastHeard <= heardWithin)
            result = std::max(result, node.share);
    }
    return result;
}

bool NodeStrengths::hasStronger(double ownShare, Instant now) const
{
    return std::any_of(m_nodes.begin(), m_nodes.end(), [&](const auto& it) {
        return isWeak(ownShare, it.second.share) && now - it.second.lastHeard <= heardWithin
            && now - it.second.fitSince >= fitFor;
    });
}

} // namespace quay::edge
