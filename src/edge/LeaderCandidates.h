#pragma once

#include "quay/core/Time.h"

#include <map>
#include <string>

namespace quay::edge {

/** True if the node should leave the leadership to another one as long as that one takes it. */
bool isClearlySmaller(double ownShare, double largestShare);

/**
 * Processor shares of the nodes that greeted the leader lately. The leader's work grows with the cell, so it
 * belongs on one of the strongest machines.
 *
 * Usage: `strengths.recordProbe("edge-3", 0.5, now); if (strengths.hasClearlyLarger(0.12, now)) handOver();`
 */
class LeaderCandidates {
public:
    /** A greeting. A share of 0: the node could not lead now. */
    void recordProbe(const std::string& node, double share, Instant now);
    /** The largest share of the nodes heard of lately; 0 if there is none. */
    double largestRecentShare(Instant now) const;
    /** True if a node that has been fit to lead for some seconds is clearly stronger. */
    bool hasClearlyLarger(double ownShare, Instant now) const;

private:
    struct Node {
        double share = 0;
        Instant eligibleSince;
        Instant lastProbeAt;
    };

    std::map<std::string, Node> m_nodes;
};

} // namespace quay::edge
