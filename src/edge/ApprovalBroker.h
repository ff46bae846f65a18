#pragma once

#include "ApprovalClient.h"
#include "quay/core/Time.h"
#include "quay/telemetry/Metrics.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace quay::edge {

/**
 * Distributes calls to the approval service over all live nodes, because the service accepts one call at a
 * time from each machine. A subset of the nodes is reserved for short calls so that they never queue behind
 * long ones.
 *
 * Usage: `broker.requestApprovals("5c0e7a21d94b36f8.0.1", workers, 490, now,
 * [](platform::ApprovalResponse answer) { ... });`
 */
class ApprovalBroker {
public:
    using Done = std::function<void(platform::ApprovalResponse)>;
    /** Asks the node at `address` to make the call. */
    using Forward = std::function<void(const std::string& address, const std::string& step,
        const std::vector<std::string>& workers, Duration timeout, Done done)>;

    ApprovalBroker(platform::ApprovalClient& localClient, DurationHistogram& queueTime, Forward forward);

    /** Records that a node is alive. `address` is empty for this node, which never expires. */
    void nodeSeen(const std::string& name, const std::string& address, Instant now);
    /** Number of nodes that can make calls now, including this one. */
    int liveNodes(Instant now) const;
    /**
     * Sends the call through the node that is expected to be free first. `expectedMs`: expected duration of
     * the call in milliseconds. `done` gets an undecided answer if no node is available.
     */
    void requestApprovals(const std::string& step, const std::vector<std::string>& workers, double expectedMs,
        Instant now, Done done);

private:
    struct Node {
        std::string address;
        Instant lastSeen;
        Instant busyUntil; // estimated from the expected durations of the calls assigned to it
    };

    platform::ApprovalClient& m_localClient;
    DurationHistogram& m_queueTime; // expected wait of a call behind those already assigned to its node
    Forward m_forward;
    std::map<std::string, Node> m_approvalNodes; // by name; the first third serves only short calls
};

} // namespace quay::edge
