#pragma once

#include "platform/StoreService.h"
#include "quay/kernel/Duty.h"
#include "quay/kernel/Published.h"
#include "service/Topology.h"

#include <map>
#include <string>

namespace quay {

/** Who this process is. */
struct Identity {
    MemberId id; // VM name and incarnation
    DomainId domain;
    std::string peerAddress;
};

/** Keeps this process in the roster and publishes the topology, the VM list and what this process owns. */
class MembershipService : public Duty {
public:
    MembershipService(Identity self, StoreService& store);

    const Identity& self() const { return m_self; }
    const Published<Topology>& topology() const { return m_topology; }
    const Published<Ownership>& ownership() const { return m_ownership; }
    const Published<FleetList>& fleet() const { return m_fleet; }

private:
    struct Sighting {
        std::uint64_t version = 0;
        Instant changedAt {};
    };

    void onStart() override;
    void renew();
    void readMembers();
    void readServers();
    void onMembers(const std::vector<TableRow>& rows, Instant askedAt);
    void publishOwnership(const Topology& topology, Instant askedAt);

    Identity m_self;
    StoreService& m_store;
    std::map<std::string, Sighting> m_sightings; // by row key
    Published<Topology> m_topology;
    Published<Ownership> m_ownership;
    Published<FleetList> m_fleet;
};

} // namespace quay
