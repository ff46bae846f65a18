#include "service/Topology.h"

#include <algorithm>

namespace quay {

namespace {

// Two renewals and one scan may be missed before a member of another domain is suspected.
constexpr auto maxRenewalSilence = std::chrono::seconds(6);
// Renewals can't be observed while scans fail, so after such a gap the silence of each member starts at zero.
constexpr auto scanGap = std::chrono::seconds(3);

bool isSilent(const RosterScanState& scans, const MemberId& id)
{
    const auto it = scans.renewals.find(id);
    return it != scans.renewals.end() && scans.lastScan - it->second.since > maxRenewalSilence;
}

bool isMarkedLeaving(const RosterState& own, const MemberId& id)
{
    const auto it = own.detector.peers.find(id);
    return it != own.detector.peers.end() && it->second.leaving;
}

bool acceptsNewWork(const ServerInfo& server, const DomainId& domain)
{
    return server.kind == ServerKind::Executor && server.domain == domain && !server.leaving;
}

std::map<MemberId, std::uint32_t> slotsByOwner(const RosterRecord& record, const FleetList& fleet)
{
    const auto view = viewOf(record);
    std::map<MemberId, std::uint32_t> slots;
    for (const auto& server : fleet.servers) {
        if (acceptsNewWork(server, record.domain))
            slots[ownerOf(view, server.id)] += server.slots;
    }
    return slots;
}

void addDomain(Topology& topology, const RosterRecord& record, const FleetList& fleet)
{
    auto slots = slotsByOwner(record, fleet);
    for (const auto& row : record.members) {
        TopologyMember member { row.id, record.domain, row.address };
        member.leaving = row.state == MemberState::Draining;
        member.slots = slots[row.id];
        topology.members.push_back(std::move(member));
    }
    if (!record.leader.empty())
        topology.leaders[record.domain] = record.leader;
}

} // namespace

const TopologyMember* Topology::find(const MemberId& id) const
{
    auto it
        = std::find_if(members.begin(), members.end(), [&](const auto& member) { return member.id == id; });
    return it == members.end() ? nullptr : &*it;
}

const TopologyMember* Topology::leaderOf(const DomainId& domain) const
{
    auto it = leaders.find(domain);
    const auto* leader = it == leaders.end() ? nullptr : find(it->second);
    return leader && !leader->suspected ? leader : nullptr;
}

void recordScan(RosterScanState& scans, const std::vector<RosterRecord>& records, Instant now)
{
    const bool isAfterGap = now - scans.lastScan > scanGap;
    std::map<MemberId, RenewalObservation> renewals;
    scans.records.clear();
    for (const auto& record : records) {
        scans.records[record.domain] = record;
        for (const auto& member : record.members) {
            const auto seen = scans.renewals.find(member.id);
            const bool unchanged
                = !isAfterGap && seen != scans.renewals.end() && seen->second.renewal == member.renewal;
            renewals[member.id] = { member.renewal, unchanged ? seen->second.since : now };
        }
    }
    scans.renewals = std::move(renewals);
    scans.lastScan = now;
}

Topology topologyOf(const RosterScanState& scans, const RosterState& own, const FleetList& fleet, Instant now)
{
    Topology topology;
    const bool knowsOwn = own.known && !own.removed;
    for (const auto& [domain, record] : scans.records) {
        if (domain != own.domain || !knowsOwn)
            addDomain(topology, record, fleet);
    }
    if (knowsOwn)
        addDomain(topology, *own.known, fleet);
    for (auto& member : topology.members) {
        const bool receivesHeartbeats = knowsOwn && member.domain == own.domain;
        member.suspected
            = receivesHeartbeats ? isSuspected(own.detector, member.id, now) : isSilent(scans, member.id);
        member.leaving = member.leaving || isMarkedLeaving(own, member.id);
    }
    return topology;
}

Ownership ownershipOf(const RosterState& own, const FleetList& fleet)
{
    Ownership ownership;
    ownership.epoch = fencingToken(own);
    ownership.validUntil = coveredUntil(own).value_or(Instant {});
    ownership.isLeader = ownsInEveryView(own, LeaderRole {});
    for (const auto& server : fleet.servers) {
        if (acceptsNewWork(server, own.domain) && ownsInEveryView(own, server.id))
            ownership.executors.insert(server.id);
    }
    return ownership;
}

} // namespace quay
