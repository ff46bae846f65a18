#pragma once

#include "quay/core/Fleet.h"
#include "quay/core/Ids.h"
#include "quay/core/Roster.h"
#include "quay/core/Time.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace quay {

/** An entry VM process that is a member of the roster of any failure domain. */
struct TopologyMember {
    MemberId id;
    DomainId domain;
    std::string peerAddress;
    bool leaving = false; // draining, or its VM is listed as leaving
    bool suspected = false; // not heard from for too long; only a hint, it may be alive and own executors
    std::uint32_t slots = 0; // total of the executors it owns according to its roster

    bool operator==(const TopologyMember&) const = default;

    /** True if new work may be forwarded to it. */
    bool isUsable() const { return !leaving && !suspected; }
};

/** All members and the leader of each failure domain. The view may be stale and confers no ownership. */
struct Topology {
    std::vector<TopologyMember> members; // of all rosters, including suspected ones
    std::map<DomainId, MemberId> leaders;

    bool operator==(const Topology&) const = default;

    /** The member with this id, or nullptr if no roster lists it. */
    const TopologyMember* find(const MemberId& id) const;
    /** The leader of a domain, or nullptr if there is none or it is suspected. */
    const TopologyMember* leaderOf(const DomainId& domain) const;
};

/** What this process owns, and until when. To be checked immediately before each send. */
struct Ownership {
    std::uint64_t epoch = 0; // fencing token
    Instant validUntil {}; // on the monotonic clock of this process
    bool isLeader = false; // manages the durable jobs of the domain
    std::set<ServerId> executors; // whose slots this process may use

    bool operator==(const Ownership&) const = default;

    bool holdsLeadership(Instant now) const { return isLeader && now < validUntil; }
    bool mayUse(const ServerId& executor, Instant now) const
    {
        return now < validUntil && executors.count(executor);
    }
};

/**
 * The rosters of all failure domains as scanned from the store. Members of other domains send no heartbeats
 * to this process; changes of their renewal counters show that they are alive.
 */
struct RosterScanState {
    std::map<DomainId, RosterRecord> records;
    std::map<MemberId, RenewalObservation> renewals;
    Instant lastScan {};

    bool operator==(const RosterScanState&) const = default;
};

/** Records the result of a scan that was answered at `now`. */
void recordScan(RosterScanState& scans, const std::vector<RosterRecord>& records, Instant now);

/** The members of all rosters; for the own domain this member's newest row and heartbeats are used. */
Topology topologyOf(
    const RosterScanState& scans, const RosterState& own, const FleetList& fleet, Instant now);

/** What the member owns according to its roster. Leaving executors get no new work and are omitted. */
Ownership ownershipOf(const RosterState& own, const FleetList& fleet);

} // namespace quay
