#pragma once

#include "edge/CellLeader.h"
#include "edge/ConfigurationWatcher.h"
#include "edge/LeaderCandidates.h"
#include "edge/PeerClient.h"

#include <memory>
#include <string>

namespace quay::edge {

/**
 * Finds the cell's leader, greets it, and takes its place when it is silent.
 *
 * A leader rewrites the leadership row with each commit. Who wants its place writes the row under the
 * condition that it has not changed for some time: a leader at work can't be replaced, whatever its peers see
 * of it. Nodes that are clearly weaker than the strongest known one wait longer, and a weak leader hands over
 * to a stronger node.
 *
 * Usage: `Election election(services, peers, follower, identity, bounds); election.start();`
 */
class Election {
public:
    struct Identity {
        std::string node;
        std::string peerAddress;
        std::uint64_t incarnation = 0; // of this process
        double processorShare = 0; // 0: not told
    };

    Election(EdgeServices services, PeerClient& peers, ConfigurationWatcher& configurationWatcher,
        Identity identity, const fleet::SchedulerBounds& bounds);

    void start();
    /** Gives up the leadership, if held, and never takes it again; then calls `done`. */
    void resign(std::function<void()> done);
    /** A greeting of another node; a leader hands over to a clearly stronger one. */
    void probeReceived(const std::string& node, double share);

    /** Null unless this node leads. */
    CellLeader* leader() const { return m_leader.get(); }
    /** The leader's address for peers; empty if it is not known or does not answer. */
    std::string leaderAddress() const { return m_isLeaderReachable ? m_knownLeader.address : std::string(); }
    /** What the leader last said of jobs that have not begun, and when. */
    const std::map<std::string, std::int64_t>& pending() const { return m_pending; }
    Instant pendingAt() const { return m_pendingAt; }

    void configurationChanged(const fleet::FleetConfiguration& configuration);

private:
    LeaderProbe ownProbe() const;
    void scheduleCheck(Duration delay);
    void checkLeader();
    void probe();
    void probeAnswered(const LeaderStatus& status);
    void readLeadershipRow();
    void leadershipRowRead(const platform::StoreResult& result);
    void acquireLeadership(std::int64_t version);
    void acquireAnswered(const platform::StoreResult& result, std::int64_t condition);
    void startLeading(std::int64_t version, Instant lastForeignCommit);
    void relinquish(std::string_view why, std::function<void()> done);

    EdgeServices m_services;
    PeerClient& m_peers;
    ConfigurationWatcher& m_configurationWatcher;
    Identity m_identity;
    fleet::SchedulerBounds m_bounds;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<CellLeader> m_leader;
    LeadershipRecord m_knownLeader; // the leader as far as we know
    bool m_isLeaderReachable = false;
    bool m_hasLeaderLostStore = false; // the leader said that the store refuses it
    bool m_hasResigned = false;
    std::int64_t m_suspectVersion = -1; // of the leadership row when the leader was first suspected
    Instant m_suspectedAt;
    std::int64_t m_lastReadVersion = -1; // of the leadership row when last read
    Instant m_lastReadVersionSince; // it was read with this version first
    Instant m_acquireSentAt {}; // the first write of the row whose outcome is not known to be a failure
    Instant m_vacantSince; // the leadership row names nobody since then; of no meaning while it does
    LeaderCandidates m_candidates; // while this node leads
    Instant m_nextHandoverAt {};
    std::map<std::string, std::int64_t> m_pending;
    Instant m_pendingAt;
};

} // namespace quay::edge
