#include "net/PeerLink.h"
#include "service/Topology.h"

#include <doctest/doctest.h>

using namespace quay;

namespace {

const MemberId self { "a#1" };
const MemberId peer { "b#1" };
const MemberId remoteMember { "c#1" };
const DomainId ownDomain { "d1" };
const DomainId otherDomain { "d2" };
constexpr std::uint32_t slotsPerExecutor = 8;
constexpr auto address = "10.0.0.1:7000";
constexpr auto host = "boot-1/net:[1]";

RosterMember makeMember(const MemberId& id, std::uint64_t renewal = 1)
{
    RosterMember row;
    row.id = id;
    row.renewal = renewal;
    row.address = id.text + ":7000";
    return row;
}

RosterRecord makeRecord(const DomainId& domain, std::vector<RosterMember> members)
{
    RosterRecord row { domain, 1, members.front().id, std::move(members) };
    return row;
}

Instant at(Duration sinceStart) { return Instant {} + 1000s + sinceStart; }

RosterState joinedState()
{
    RosterState state;
    state.domain = ownDomain;
    state.self = self;
    state.known = makeRecord(ownDomain, { makeMember(self), makeMember(peer) });
    state.heldViews = { viewOf(*state.known) };
    state.leaseStart = at(0s);
    return state;
}

ServerInfo makeExecutor(const std::string& id, const DomainId& domain, bool leaving)
{
    ServerInfo server;
    server.id = ServerId { id };
    server.kind = ServerKind::Executor;
    server.domain = domain;
    server.leaving = leaving;
    server.slots = slotsPerExecutor;
    return server;
}

} // namespace

TEST_CASE(
    "a predecessor has ended only if this process holds its address in the same boot and network namespace")
{
    struct Row {
        const char* id;
        const char* address;
        const char* host;
        bool ended;
    };
    const Row rows[] = {
        { "a#0", address, host, true }, { "old-name#0", address, host, true },
        { "a#0", address, "boot-2/net:[1]", false }, // another boot, or another VM of the same name
        { "a#0", address, "boot-1/net:[2]", false }, { "a#0", address, "", false },
        { "a#0", "10.0.0.1:7001", host, false }, { "a#1", address, host, false }, // this process
    };
    for (const auto& row : rows) {
        CAPTURE(row.id);
        CAPTURE(row.address);
        CAPTURE(row.host);
        auto entry = makeMember(MemberId { row.id });
        entry.address = row.address;
        entry.host = row.host;
        const auto ended = endedPredecessors(makeRecord(ownDomain, { entry }), self, address, host);
        CHECK(ended.size() == (row.ended ? 1 : 0));
    }
    auto unknownHost = makeMember(MemberId { "a#0" });
    unknownHost.address = address;
    CHECK(endedPredecessors(makeRecord(ownDomain, { unknownHost }), self, address, {}).empty());
}

TEST_CASE("a peer address can be bound by only one process at a time")
{
    const PeerLink first(self, ownDomain, "127.0.0.1:0");
    CHECK_THROWS_AS(PeerLink(peer, ownDomain, first.address()), std::runtime_error);
}

TEST_CASE("members of other domains are suspected when they stop renewing, but not after a gap between scans")
{
    struct Row {
        std::vector<Duration> scans;
        std::uint64_t renewalStep;
        bool suspected;
    };
    const Row rows[] = {
        { { 0s, 1s, 2s, 3s, 4s, 5s, 6s }, 0, false },
        { { 0s, 1s, 2s, 3s, 4s, 5s, 6s, 7s }, 0, true },
        { { 0s, 1s, 2s, 3s, 4s, 5s, 6s, 7s }, 1, false },
        { { 0s, 1s, 2s, 20s, 21s, 22s }, 0, false },
        { { 0s, 20s, 21s, 22s, 23s, 24s, 25s, 26s, 27s }, 0, true },
    };
    for (const auto& row : rows) {
        CAPTURE(row.scans.size());
        CAPTURE(row.renewalStep);
        RosterScanState scans;
        std::uint64_t renewal = 1;
        for (const auto& time : row.scans)
            recordScan(scans,
                { makeRecord(otherDomain, { makeMember(remoteMember, renewal += row.renewalStep) }) },
                at(time));
        const auto topology = topologyOf(scans, joinedState(), {}, at(row.scans.back()));
        REQUIRE(topology.find(remoteMember));
        CHECK(topology.find(remoteMember)->suspected == row.suspected);
        CHECK((topology.leaderOf(otherDomain) == nullptr) == row.suspected);
    }
}

TEST_CASE("members of the own domain are suspected when heartbeats stop, and leave when a heartbeat says so")
{
    auto state = joinedState();
    RosterScanState scans;
    recordHeartbeat(state.detector, peer, false, at(0s));
    for (int i = 0; i <= 100; ++i)
        recordTick(state.detector, at(i * 50ms));
    CHECK(topologyOf(scans, state, {}, at(5s)).find(peer)->suspected);
    recordHeartbeat(state.detector, peer, false, at(5s));
    CHECK(topologyOf(scans, state, {}, at(5s)).find(peer)->isUsable());
    recordHeartbeat(state.detector, peer, true, at(5s));
    CHECK_FALSE(topologyOf(scans, state, {}, at(5s)).find(peer)->isUsable());
    CHECK_FALSE(topologyOf(scans, state, {}, at(5s)).find(peer)->suspected);
}

TEST_CASE("ownership ends with the lease and excludes executors that leave or belong to another member")
{
    auto state = joinedState();
    FleetList fleet;
    for (int i = 0; i < 16; ++i) {
        const auto name = "x" + std::to_string(i);
        fleet.servers.push_back(makeExecutor(name, ownDomain, false));
        fleet.servers.push_back(makeExecutor("leaving-" + name, ownDomain, true));
        fleet.servers.push_back(makeExecutor("far-" + name, otherDomain, false));
    }
    const auto ownership = ownershipOf(state, fleet);
    CHECK(ownership.epoch == 1);
    CHECK(ownership.holdsLeadership(at(6s) - 1us));
    CHECK_FALSE(ownership.holdsLeadership(at(6s)));
    CHECK_FALSE(ownership.executors.empty());
    CHECK(ownership.executors.size() < 16);
    for (const auto& id : ownership.executors)
        CHECK(ownerOf(state.heldViews.front(), id) == self);
    const auto topology = topologyOf({}, state, fleet, at(0s));
    CHECK(topology.find(self)->slots == ownership.executors.size() * slotsPerExecutor);
    CHECK(topology.find(peer)->slots == (16 - ownership.executors.size()) * slotsPerExecutor);

    // A pending epoch in which this member owns nothing ends its leadership and ownership at once.
    state.heldViews.push_back(OwnershipView { 2, { peer }, peer });
    CHECK_FALSE(ownershipOf(state, fleet).isLeader);
    CHECK(ownershipOf(state, fleet).executors.empty());
    CHECK(ownershipOf(state, fleet).epoch == 1);
}
