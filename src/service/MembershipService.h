#pragma once

#include "net/HttpClient.h"
#include "net/PeerLink.h"
#include "quay/core/Roster.h"
#include "quay/kernel/Published.h"
#include "quay/kernel/ServiceThread.h"
#include "service/Topology.h"
#include "tableservice/StoreService.h"

#include <atomic>
#include <set>
#include <string>

namespace quay {

/** Identity of this process. */
struct Identity {
    MemberId id; // VM name and incarnation
    DomainId domain;
    std::string peerAddress;
};

/**
 * Maintains the membership of this process in the roster of its failure domain, and publishes the topology,
 * the VM list and the ownership of this process. Executes the actions of the roster core (core/Roster.h).
 *
 * Usage: `if (membership.ownership().get()->holdsLeadership(now)) ...`
 */
class MembershipService : public ServiceThread {
public:
    /**
     * @param store should be used by no other service: conflicts on the roster row are normal, and lease
     *     renewals must not be queued behind other writes
     * @param vmListAddress address of the platform's VM list, "ip:port"
     */
    MembershipService(Identity self, StoreService& store, PeerLink& peers, std::string vmListAddress);
    ~MembershipService() override { stop(); } // ends the thread before the members are destroyed

    const Identity& self() const { return m_self; }
    const Published<Topology>& topology() const { return m_topology; }
    const Published<Ownership>& ownership() const { return m_ownership; }
    const Published<FleetList>& fleet() const { return m_fleet; }

    /**
     * Starts the handover of everything this process owns; it then leaves the roster. Callable from any
     * thread.
     */
    void drain();

    /**
     * True once this process has left the roster permanently, by a drain or because other members removed
     * it.
     */
    bool hasLeft() const { return m_hasLeft; }

    /** True once the platform has listed the VM of this process as leaving. */
    bool isListedLeaving() const { return m_isListedLeaving; }

private:
    void onStart() override;

    void applyEvent(const RosterEvent& event);
    void publish();
    void publishTopology();
    void perform(const RosterAction& action);
    void perform(const roster::ReadRow& action);
    void perform(const roster::WriteRow& action);
    void perform(const roster::SendHeartbeat& action);
    void perform(const roster::SendPromiseRequest& action);
    void perform(const roster::SendPromise& action);
    void perform(const roster::PublishOwnership& action);
    void send(const MemberId& to, wire::Envelope envelope);

    void completeRead(std::uint64_t requestNumber, const RosterEvent& event);
    void completeWrite(std::uint64_t requestNumber, const RosterEvent& event);
    void readAfterConflict(std::uint64_t requestNumber);
    void reportEndedPredecessors();
    void receive(const wire::Envelope& envelope);

    void scanRosters();
    void readServerList();
    void onServerList(const FleetList& list);

    Identity m_self;
    StoreService& m_store;
    PeerLink& m_peers;
    std::string m_vmListAddress;
    HttpClient m_vmListClient;
    RosterState m_state;
    RosterScanState m_scans;
    std::set<MemberId> m_seenNotLeaving; // members whose VM was seen while not listed as leaving
    std::uint64_t m_lastRequestNumber = 0; // of the last store request
    std::uint64_t m_pendingRead = 0; // number of the read in flight; 0 if none
    std::uint64_t m_pendingWrite = 0; // number of the write in flight; 0 if none
    std::atomic<bool> m_hasLeft = false;
    std::atomic<bool> m_isListedLeaving = false;
    Published<Topology> m_topology;
    Published<Ownership> m_ownership;
    Published<FleetList> m_fleet;
};

} // namespace quay
