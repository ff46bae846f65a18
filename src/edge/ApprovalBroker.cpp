#include "edge/ApprovalBroker.h"

#include <algorithm>

namespace quay::edge {

namespace {

constexpr double longCallThresholdMs = 120; // waiting for a longer call makes an urgent step miss its SLO
constexpr auto nodeExpiry = 1500ms; // a few leader probe intervals
constexpr auto timeoutMargin = 1000ms; // allowed past the expected end of a call

} // namespace

ApprovalBroker::ApprovalBroker(
    platform::ApprovalClient& localClient, DurationHistogram& queueTime, Forward forward)
    : m_localClient(localClient)
    , m_queueTime(queueTime)
    , m_forward(std::move(forward))
{
}

void ApprovalBroker::nodeSeen(const std::string& name, const std::string& address, Instant now)
{
    auto& node = m_approvalNodes[name];
    node.address = address;
    node.lastSeen = now;
}

int ApprovalBroker::liveNodes(Instant now) const
{
    return static_cast<int>(std::count_if(m_approvalNodes.begin(), m_approvalNodes.end(),
        [&](const auto& it) { return it.second.address.empty() || now - it.second.lastSeen < nodeExpiry; }));
}

void ApprovalBroker::requestApprovals(const std::string& step, const std::vector<std::string>& workers,
    double expectedMs, Instant now, Done done)
{
    std::vector<Node*> candidates;
    for (auto& [name, node] : m_approvalNodes) {
        if (node.address.empty() || now - node.lastSeen < nodeExpiry)
            candidates.push_back(&node);
    }
    // With at least two nodes, the first third (at least one) is reserved for short calls.
    const bool isLong = expectedMs > longCallThresholdMs;
    const std::size_t reserved = candidates.size() > 1 ? std::max<std::size_t>(1, candidates.size() / 3) : 0;
    const std::size_t first = isLong ? reserved : 0;
    auto it = std::min_element(candidates.begin() + static_cast<std::ptrdiff_t>(first), candidates.end(),
        [&](const Node* a, const Node* b) {
            return std::max(a->busyUntil, now) < std::max(b->busyUntil, now);
        });
    if (it == candidates.end()) {
        done({});
        return;
    }
    auto& node = **it;
    const auto length = std::chrono::microseconds(static_cast<long long>(expectedMs * 1000));
    m_queueTime.record(std::max<Duration>(node.busyUntil - now, {}));
    node.busyUntil = std::max(node.busyUntil, now) + length;
    const auto timeout = node.busyUntil - now + timeoutMargin;
    if (node.address.empty())
        m_localClient.requestApprovals(step, workers, timeout, std::move(done));
    else
        m_forward(node.address, step, workers, timeout, std::move(done));
}

} // namespace quay::edge
