#pragma once

#include "edge/CellLeader.h"
#include "edge/Clock.h"
#include "edge/ConfigurationWatcher.h"
#include "edge/LeaderCandidates.h"
#include "edge/PeerClient.h"

#include <memory>
#include <optional>
#include <string>

namespace quay::edge {

/**
 * Leader election through one row in the store, without a quorum of nodes: finds the cell's leader, probes it
 * regularly, and replaces it when it fails.
 *
 * The leader rewrites the leadership row with each commit. A candidate replaces it by writing the row under
 * the condition that its version has not changed for some time. A leader that still commits therefore can't
 * be replaced, even if its peers can't reach it. Nodes with a clearly smaller processor share than the
 * largest known one wait longer, and a leader with a clearly smaller share hands over to a larger node.
 *
 * Usage: `Election election(services, peers, configurationWatcher, identity, bounds); election.start();`
 */
class Election {
public:
    struct Identity {
        std::string node;
        std::string peerAddress;
        std::string zone;
        std::uint64_t incarnation = 0; // of this process
        double processorShare = 0; // share of a processor that this node may use; 0: unknown
    };

    Election(EdgeServices services, PeerClient& peers, ConfigurationWatcher& configurationWatcher,
        Identity identity, const fleet::SchedulerBounds& bounds);

    void start();
    /** Relinquishes the leadership, if held, and never takes it again; then calls `done`. */
    void resign(std::function<void()> done);
    /**
     * Records a probe by another node. A leader hands over to a node with a clearly larger share, and to any
     * eligible node once it has led for too long by a configuration that may have been replaced.
     */
    void probeReceived(const std::string& node, const std::string& address, double share);
    /**
     * The leader, which the store refuses, asks this node to replace it. Has no effect if the version of the
     * leadership row is not `version` any more, or if this node may not lead. `done` is told whether this
     * node leads now.
     */
    void takeOver(std::int64_t version, std::function<void(bool isTaken)> done);

    /** Null unless this node is the leader. */
    CellLeader* leader() const { return m_leader.get(); }
    /** The leader's address for peers; empty if the leader is unknown or unreachable. */
    std::string leaderAddress() const { return m_isLeaderReachable ? m_knownLeader.address : std::string(); }
    /** Number of jobs that have not started, by queue, and when the leader reported it. */
    const std::map<std::string, std::int64_t>& pending() const { return m_pending; }
    Instant pendingAt() const { return m_pendingAt; }

    /** Number of nodes that probed this one recently. */
    std::size_t probingNodes() const { return m_candidates.recentCount(clockNow()); }

    /** False once the leadership row names a format of stored rows that this version does not know. */
    bool isFormatKnown() const { return m_isFormatKnown; }

    void configurationChanged(const fleet::FleetConfiguration& configuration);
    void evacuationsRead(const fleet::EvacuationView& evacuations);

private:
    LeaderProbe ownProbe() const;
    void scheduleCheck(Duration delay);
    void checkLeader();
    void probe();
    void probeAnswered(const LeaderStatus& status, Instant sentAt);
    void compareConfiguration(const LeaderStatus& status, Instant sentAt);
    void readLeadershipRow();
    void leadershipRowRead(const platform::StoreResult& result);
    void acquireLeadership(std::int64_t version);
    void acquireAnswered(const platform::StoreResult& result, std::int64_t expectedVersion);
    void applyAcquireResult(const platform::StoreResult& result, std::int64_t expectedVersion);
    void startLeading(std::int64_t version, Instant lastPredecessorCommit);
    void askSuccessor(std::int64_t version);
    bool mayLead() const
    {
        return !m_hasResigned && m_isFormatKnown && m_configurationWatcher.isCurrent(clockNow());
    }
    void updateStaleness(Instant now);
    std::optional<std::string_view> handoverReason(Instant now) const;
    void relinquish(std::string_view why, std::function<void()> done);

    EdgeServices m_services;
    PeerClient& m_peers;
    ConfigurationWatcher& m_configurationWatcher;
    Identity m_identity;
    fleet::SchedulerBounds m_bounds;
    boost::asio::steady_timer m_timer;
    Counter& m_requestedTakeovers;
    std::shared_ptr<CellLeader> m_leader;
    LeadershipRecord m_knownLeader; // as last read from the store or written by this node
    bool m_isLeaderReachable = false;
    bool m_hasLeaderLostStore = false; // the leader reported that its commits fail
    bool m_isLeaderGone = false; // its machine answers, but not the process that leads
    bool m_hasResigned = false;
    bool m_isFormatKnown = true; // the leader stores rows in a format that this version can read
    std::int64_t m_suspectVersion = -1; // row version when the leader was suspected; -1: not suspected
    Instant m_suspectedAt;
    std::int64_t m_lastReadVersion = -1; // of the leadership row when last read
    Instant m_lastReadVersionSince; // when the row was first read with this version
    Instant m_acquireSentAt {}; // of the first write of the row that may have succeeded; zero: none
    // When the leadership row was first seen without a leader or with an earlier process of this node as the
    // leader. Zero while it names another leader.
    Instant m_vacantSince;
    LeaderCandidates m_candidates; // maintained while this node is the leader
    Instant m_nextHandoverAt {};
    Instant
        m_staleSince {}; // as the leader, by a configuration that may have been replaced; zero: it is current
    Instant m_nextCandidateUpdate {};
    Instant m_nextSuccessorRequestAt {};
    std::size_t m_successorsAsked = 0;
    bool m_isFetchingConfiguration = false; // from the leader
    bool m_isAcquiring = false; // a write of the row is not answered yet
    std::function<void(bool isTaken)> m_onTakenOver; // for the leader that asked for this write
    std::map<std::string, std::int64_t> m_pending;
    Instant m_pendingAt;
};

} // namespace quay::edge
