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
 * Spreads calls to the approval service over all nodes, since it takes one call at a time from each machine.
 * Long calls go to one part of the nodes so that short ones never wait behind them.
 *
 * Usage: `broker.ask("5c0e7a21d94b36f8.0.1", workers, 490, now, [](platform::ApprovalAnswer answer) { ...
 * });`
 */
class ApprovalBroker {
public:
    using Done = std::function<void(platform::ApprovalAnswer)>;
    /** Lets another name call. */
    using Forward = std::function<void(const std::string& address, const std::string& step,
        const std::vector<std::string>& workers, Duration timeout, Done done)>;

    ApprovalBroker(platform::ApprovalClient& localClient, DurationHistogram& queueTime, Forward forward);

    /** A name that can call; its address is empty for this one. */
    void nodeSeen(const std::string& name, const std::string& address, Instant now);
    /** Nodes that can call now, this one among them. */
    int liveNodes(Instant now) const;
    void ask(const std::string& step, const std::vector<std::string>& workers, double expectedMs, Instant now,
        Done done);

private:
    struct Node {
        std::string address;
        Instant lastSeen;
        Instant busyUntil; // by the expected times of the calls that it was given
    };

    platform::ApprovalClient& m_localClient;
    DurationHistogram& m_queueTime; // a call's expected wait behind those that its node has in hand
    Forward m_forward;
    std::map<std::string, Node> m_approvalNodes; // in order of name: the first part keeps to short calls
};

} // namespace quay::edge
