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

/** One entry VM process in a roster, of any failure domain. */
struct TopologyMember {
    MemberId id;
    DomainId domain;
    std::string peerAddress;
    bool leaving = false; // drains, or its VM is listed as leaving
    bool suspected = false; // silent for too long; a hint, it may live and own things
    std::uint32_t slots = 0; // of the executors that it owns by its roster

    bool operator==(const TopologyMember&) const = default;

    /** True if new work may be forwarded to it. */
    bool isUsable() const { return !leaving && !suspected; }
};

/** Who is there, and who leads each failure domain. A lagging view; it grants nothing. */
struct Topology {
    std::vector<TopologyMember> members; // of all rosters, the suspected ones too
    std::map<DomainId, MemberId> leaders;

    bool operator==(const Topology&) const = default;

    /** The member, or nullptr. */
    const TopologyMember* find(const MemberId& id) const;
    /** The lead of a domain if it seems reachable, or nullptr. */
    const TopologyMember* leaderOf(const DomainId& domain) const;
};

/** What this process owns, and until when. Checked immediately before each send. */
struct Ownership {
    std::uint64_t epoch = 0;
    Instant validUntil {}; // by the own monotonic clock
    bool isLeader = false; // holds the durable jobs of the domain
    std::set<ServerId> executors; // whose slots it hands out

    bool operator==(const Ownership&) const = default;

    bool holdsLeadership(Instant now) const { return isLeader && now < validUntil; }
    bool mayUse(const ServerId& executor, Instant now) const
    {
        return now < validUntil && executors.count(executor);
    }
};

/**
 * The rosters of all failure domains as scanned from the store. Members of other domains send no heartbeats
 * here; their renewals tell whether they live.
 */
struct RosterScanState {
    std::map<DomainId, RosterRecord> records;
    std::map<MemberId, RenewalObservation> renewals;
    Instant lastScan {};

    bool operator==(const RosterScanState&) const = default;
};

/** Takes in a scan that was answered at `now`. */
void recordScan(RosterScanState& scans, const std::vector<RosterRecord>& records, Instant now);

/** Everybody in the rosters; the own domain as this member's newest row and heartbeats tell. */
Topology topologyOf(
    const RosterScanState& scans, const RosterState& own, const FleetList& fleet, Instant now);

/** What the member owns by its roster. Executors that are leaving get no new work and are left out. */
Ownership ownershipOf(const RosterState& own, const FleetList& fleet);

} // namespace quay
