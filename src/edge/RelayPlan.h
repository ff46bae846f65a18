#pragma once

#include "quay/core/Time.h"

#include <map>
#include <string>
#include <vector>

namespace quay::edge {

/**
 * Decides which node relays the leader's orders to which executor. In a large cell one node in the executor's
 * zone exchanges with many executors, and the leader with a few relay nodes. In a small cell, and for
 * executors without a usable node in their zone, the leader sends its orders itself.
 *
 * Usage: `plan.nodeSeen("edge-3", { address, "zone-a", 0.5 }, now); plan.executorSeen("i-7", "zone-a");
 * if (const auto* relay = plan.relayOf("i-7", now)) ...`
 */
class RelayPlan {
public:
    struct Node {
        std::string address; // for peers
        std::string zone;
        double processorShare = 0; // of one processor; 0: not eligible as a relay
    };

    /** A node that probed the leader. Nodes that have not been seen for a while are not used. */
    void nodeSeen(const std::string& name, const Node& node, Instant now);
    void executorSeen(const std::string& id, const std::string& zone);
    /** The failure domain of an executor; empty: not known. */
    std::string domainOf(const std::string& executor) const;
    void executorGone(const std::string& id);
    /** Stops using the node as a relay until `until`. */
    void avoidNode(const std::string& name, Instant until);
    /** Stops relaying orders to the executor until `until`. */
    void avoidRelays(const std::string& executor, Instant until);
    /** The name of the executor's relay node; null if its orders are sent directly. */
    const std::string* relayOf(const std::string& executor, Instant now);
    const std::string& addressOf(const std::string& node) const { return m_nodes.at(node).node.address; }

private:
    struct KnownNode {
        Node node;
        Instant lastSeen;
        Instant avoidedUntil;
    };
    struct Executor {
        std::string zone;
        Instant directUntil;
    };
    struct Zone {
        std::size_t executors = 0;
        std::vector<std::string> relays;
    };

    bool isUsable(const std::string& node, Instant now) const;
    void choose(const std::string& name, Zone& zone, Instant now);

    std::map<std::string, KnownNode> m_nodes; // by name
    std::map<std::string, Executor> m_executors; // by id
    std::map<std::string, Zone> m_zones; // by name
    Instant m_nextChoice {};
};

} // namespace quay::edge
