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
 * Usage: `broker.ask("5c0e7a21d94b36f8.0.1", workers, 490, now, [](platform::ApprovalResponse answer) { ...
 * });`
 */
class ApprovalBroker {
public:
    using Done = std::function<void(platform::ApprovalResponse)>;
    /** Lets another node call. */
    using Forward = std::function<void(const std::string& address, const std::string& step,
        const std::vector<std::string>& workers, Duration timeout, Done done)>;

    ApprovalBroker(platform::ApprovalClient& own, DurationHistogram& queueTime, Forward forward);

    /** A node that can call; its address is empty for this one. */
    void callerSeen(const std::string& node, const std::string& address, Instant now);
    /** Nodes that can call now, this one among them. */
    int callers(Instant now) const;
    void ask(const std::string& step, const std::vector<std::string>& workers, double expectedMs, Instant now,
        Done done);

private:
    struct Caller {
        std::string address;
        Instant lastSeen;
        Instant busyUntil; // by the expected times of the calls that it was given
    };

    platform::ApprovalClient& m_own;
    DurationHistogram& m_queueTime; // a call's expected wait behind those that its caller has in hand
    Forward m_forward;
    std::map<std::string, Caller> m_callers; // in order of name: the first part keeps to short calls
};

} // namespace quay::edge
