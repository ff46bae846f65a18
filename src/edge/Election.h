#pragma once

#include "edge/CellLeader.h"
#include "edge/ConfigurationFollower.h"
#include "edge/NodeStrength.h"
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

    Election(EdgeServices services, PeerClient& peers, ConfigurationFollower& follower, Identity identity,
        const fleet::SchedulerBounds& bounds);

    void start();
    /** Gives up the leadership, if held, and never takes it again; then calls `done`. */
    void retire(std::function<void()> done);
    /** A greeting of another node; a leader hands over to a clearly stronger one. */
    void heard(const std::string& node, double share);

    /** Null unless this node leads. */
    CellLeader* leader() const { return m_leader.get(); }
    /** The leader's address for peers; empty if it is not known or does not answer. */
    std::string leaderAddress() const { return m_isLeaderUp ? m_known.address : std::string(); }
    /** What the leader last said of jobs that have not begun, and when. */
    const std::map<std::string, std::int64_t>& pending() const { return m_pending; }
    Instant pendingAt() const { return m_pendingAt; }

    void configurationChanged(const fleet::FleetConfiguration& configuration);

private:
    Greeter self() const;
    void schedule(Duration delay);
    void step();
    void greet();
    void greeted(const Greeting& greeting);
    void examine();
    void examined(const platform::StoreResult& result);
    void acquire(std::int64_t version);
    void acquired(const platform::StoreResult& result, std::int64_t condition);
    void lead(std::int64_t version, Instant lastForeignCommit);
    void giveUp(std::string_view why, std::function<void()> done);

    EdgeServices m_services;
    PeerClient& m_peers;
    ConfigurationFollower& m_follower;
    Identity m_identity;
    fleet::SchedulerBounds m_bounds;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<CellLeader> m_leader;
    LeadRecord m_known; // the leader as far as we know
    bool m_isLeaderUp = false;
    bool m_isUnusable = false; // the leader said that the store refuses it
    bool m_isRetired = false;
    std::int64_t m_suspectVersion = -1; // of the leadership row when the leader was first suspected
    Instant m_suspectedAt;
    std::int64_t m_seenVersion = -1; // of the leadership row when last read
    Instant m_seenSince; // it was read with this version first
    Instant m_acquireSentAt {}; // the first write of the row whose outcome is not known to be a failure
    Instant m_vacantSince; // the leadership row names nobody since then; of no meaning while it does
    NodeStrengths m_strengths; // while this node leads
    Instant m_nextHandOver {};
    std::map<std::string, std::int64_t> m_pending;
    Instant m_pendingAt;
};

} // namespace quay::edge
