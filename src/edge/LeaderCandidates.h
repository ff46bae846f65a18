#pragma once

#include "quay/core/Time.h"

#include <map>
#include <string>
#include <vector>

namespace quay::edge {

/**
 * True if a node with `ownShare` of a processor should leave the leadership to one with `largestShare`. It
 * still becomes the leader if no larger node takes the leadership within a short time.
 */
bool isClearlySmaller(double ownShare, double largestShare);

/**
 * Processor shares of the nodes that probed the leader recently. The leader's load grows with the cell, so
 * one of the nodes with the largest shares should be the leader.
 *
 * Usage: `candidates.recordProbe("edge-3", 0.5, now); if (candidates.hasClearlyLarger(0.12, now))
 * relinquish();`
 */
class LeaderCandidates {
public:
    /** Records a probe by `node`. A share of 0 means that the node is not eligible. */
    void recordProbe(const std::string& node, const std::string& address, double share, Instant now);
    /** Number of nodes that probed recently, eligible or not. */
    std::size_t recentCount(Instant now) const;
    /** Largest share of the nodes that probed recently; 0 if there are none. */
    double largestRecentShare(Instant now) const;
    /** True if a node that has been eligible for some seconds has a clearly larger share than `ownShare`. */
    bool hasClearlyLarger(double ownShare, Instant now) const;
    /** Addresses of the eligible nodes with about the largest share, those first that probed last. */
    std::vector<std::string> successors(Instant now) const;

private:
    struct Node {
        std::string address; // for peers
        double share = 0;
        Instant eligibleSince;
        Instant lastProbeAt;
    };

    std::map<std::string, Node> m_nodes;
};

} // namespace quay::edge
