#include "service/MembershipService.h"

#include "peer.pb.h"
#include "tableservice/ServerListCodec.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <thread>

namespace quay {

namespace {

constexpr std::size_t ringCapacity = 4096;
constexpr auto tickPeriod = std::chrono::milliseconds(50);
constexpr auto rosterScanPeriod = std::chrono::seconds(1);
constexpr auto serverListPeriod = std::chrono::seconds(1);
constexpr auto storeTimeout = std::chrono::seconds(2);
constexpr auto serverListTimeout = std::chrono::seconds(2);
constexpr std::size_t maxServerListBytes = 16UL * 1024 * 1024;
constexpr std::size_t serverListConnections = 1;

Instant monotonicNow() { return std::chrono::steady_clock::now(); }

// Identifies the boot of the kernel and the network namespace: within these, only one process at a time can
// listen on an address. Empty if either can't be determined.
std::string hostIdentity()
{
    std::string bootId;
    std::ifstream("/proc/sys/kernel/random/boot_id") >> bootId;
    std::error_code ec;
    const auto network = std::filesystem::read_symlink("/proc/self/ns/net", ec);
    return bootId.empty() || ec ? std::string() : bootId + "/" + network.string();
}

std::optional<RosterRecord> parseRecord(const TableRow& row)
{
    Reason reason;
    return parseRosterRecord(row.value, reason);
}

// A row that can't be parsed must not be taken for a missing one: a new roster would overwrite it.
std::optional<roster::ReadAnswered> toReadAnswered(const std::optional<std::vector<TableRow>>& rows)
{
    if (!rows || rows->size() != 1)
        return std::nullopt;
    const auto& row = rows->front();
    auto record = row.version ? parseRecord(row) : std::nullopt;
    if (row.version && !record)
        return std::nullopt;
    return roster::ReadAnswered { std::move(record), row.version };
}

std::string vmOf(const MemberId& id) { return id.text.substr(0, id.text.rfind('#')); }

std::set<std::string> leavingVms(const FleetList& list)
{
    std::set<std::string> names;
    for (const auto& server : list.servers) {
        if (server.kind == ServerKind::Entry && server.leaving)
            names.insert(server.id.text);
    }
    return names;
}

} // namespace

MembershipService::MembershipService(
    Identity self, StoreService& store, PeerLink& peers, std::string vmListAddress)
    : ServiceThread("membership", ringCapacity)
    , m_self(std::move(self))
    , m_store(store)
    , m_peers(peers)
    , m_vmListAddress(std::move(vmListAddress))
    , m_vmListClient(context(), serverListConnections, maxServerListBytes)
{
    m_state.domain = m_self.domain;
    m_state.self = m_self.id;
    m_state.address = m_self.peerAddress;
    m_state.host = hostIdentity();
    every(tickPeriod, [this] {
        applyEvent(roster::Tick {});
        publishTopology();
    });
    every(rosterScanPeriod, [this] { scanRosters(); });
    every(serverListPeriod, [this] { readServerList(); });
    const auto handler = [this](const wire::Envelope& envelope) { receive(envelope); };
    m_peers.onMessage(wire::Envelope::kHeartbeat, handler);
    m_peers.onMessage(wire::Envelope::kPromiseRequest, handler);
    m_peers.onMessage(wire::Envelope::kPromise, handler);
}

void MembershipService::onStart()
{
    applyEvent(roster::Tick {});
    scanRosters();
    readServerList();
}

void MembershipService::drain()
{
    // A drain must not be dropped; a full task queue has room again soon.
    while (!post([this] { applyEvent(roster::DrainRequested {}); }))
        std::this_thread::yield();
}

void MembershipService::applyEvent(const RosterEvent& event)
{
    const auto releasedEpoch = m_state.releasedEpoch;
    const auto actions = step(m_state, event, monotonicNow());
    publish();
    // The other services use yielded resources until the new ownership is published. The wait before the
    // confirmation therefore starts now and not at the step, as this thread may have been delayed since.
    if (m_state.releasedEpoch != releasedEpoch)
        m_state.releasedAt = monotonicNow();
    for (const auto& action : actions)
        perform(action);
}

void MembershipService::publish()
{
    auto ownership = ownershipOf(m_state, *m_fleet.get());
    if (ownership != *m_ownership.get())
        m_ownership.set(std::move(ownership));
}

void MembershipService::publishTopology()
{
    auto topology = topologyOf(m_scans, m_state, *m_fleet.get(), monotonicNow());
    if (topology != *m_topology.get())
        m_topology.set(std::move(topology));
}

void MembershipService::perform(const RosterAction& action)
{
    std::visit([this](const auto& one) { perform(one); }, action);
}

// Requests to the store.

void MembershipService::perform(const roster::ReadRow&)
{
    const auto requestNumber = ++m_lastRequestNumber;
    m_pendingRead = requestNumber;
    // The timer bounds the wait even if the store client answers late; the later of the two is ignored.
    after(storeTimeout, [this, requestNumber] { completeRead(requestNumber, roster::ReadFailed {}); });
    m_store.read({ rosterKey(m_self.domain) }, storeTimeout, [this, requestNumber](auto rows) {
        postResponse([this, requestNumber, rows = std::move(rows)] {
            const auto answer = toReadAnswered(rows);
            completeRead(requestNumber, answer ? RosterEvent(*answer) : RosterEvent(roster::ReadFailed {}));
        });
    });
}

void MembershipService::completeRead(std::uint64_t requestNumber, const RosterEvent& event)
{
    if (m_pendingRead != requestNumber)
        return;
    m_pendingRead = 0;
    applyEvent(event);
    reportEndedPredecessors();
}

void MembershipService::perform(const roster::WriteRow& action)
{
    const auto requestNumber = ++m_lastRequestNumber;
    m_pendingWrite = requestNumber;
    Transaction transaction;
    transaction.checks.push_back({ rosterKey(m_self.domain), action.expectedVersion });
    transaction.puts.push_back({ rosterKey(m_self.domain), toJson(action.record) });
    after(storeTimeout, [this, requestNumber] { completeWrite(requestNumber, roster::WriteUnknown {}); });
    m_store.commit(std::move(transaction), storeTimeout, [this, requestNumber](TransactionOutcome outcome) {
        postResponse([this, requestNumber, outcome] {
            if (outcome.status == TransactionStatus::Done)
                completeWrite(requestNumber, roster::WriteDone { outcome.version });
            else if (outcome.status == TransactionStatus::Conflict)
                readAfterConflict(requestNumber);
            else
                completeWrite(requestNumber, roster::WriteUnknown {});
        });
    });
}

void MembershipService::readAfterConflict(std::uint64_t requestNumber)
{
    m_store.read({ rosterKey(m_self.domain) }, storeTimeout, [this, requestNumber](auto rows) {
        postResponse([this, requestNumber, rows = std::move(rows)] {
            const auto answer = toReadAnswered(rows);
            if (answer)
                completeWrite(requestNumber, roster::WriteConflicted { answer->record, answer->version });
            else
                completeWrite(requestNumber, roster::WriteUnknown {});
        });
    });
}

void MembershipService::completeWrite(std::uint64_t requestNumber, const RosterEvent& event)
{
    if (m_pendingWrite != requestNumber)
        return;
    m_pendingWrite = 0;
    applyEvent(event);
}

void MembershipService::reportEndedPredecessors()
{
    if (!m_state.known)
        return;
    for (const auto& id : endedPredecessors(*m_state.known, m_self.id, m_state.address, m_state.host))
        applyEvent(roster::PredecessorEnded { id });
}

// Messages to and from peers.

void MembershipService::send(const MemberId& to, wire::Envelope envelope)
{
    const auto* member = m_state.known ? findMember(*m_state.known, to) : nullptr;
    if (member)
        (void)m_peers.send(member->address, std::move(envelope));
}

void MembershipService::perform(const roster::SendHeartbeat& action)
{
    wire::Envelope envelope;
    auto& heartbeat = *envelope.mutable_heartbeat();
    heartbeat.set_to(action.to.text);
    heartbeat.set_version(action.version);
    heartbeat.set_leaving(action.leaving);
    send(action.to, std::move(envelope));
}

void MembershipService::perform(const roster::SendPromiseRequest& action)
{
    wire::Envelope envelope;
    auto& request = *envelope.mutable_promise_request();
    request.set_to(action.to.text);
    request.set_request(action.request);
    const auto length = std::chrono::duration_cast<std::chrono::microseconds>(action.length);
    request.set_length_us(static_cast<std::uint64_t>(length.count()));
    send(action.to, std::move(envelope));
}

void MembershipService::perform(const roster::SendPromise& action)
{
    wire::Envelope envelope;
    envelope.mutable_promise()->set_to(action.to.text);
    envelope.mutable_promise()->set_request(action.request);
    send(action.to, std::move(envelope));
}

void MembershipService::receive(const wire::Envelope& envelope)
{
    const MemberId from { envelope.sender() };
    std::string to;
    RosterEvent event;
    if (envelope.has_heartbeat()) {
        const auto& heartbeat = envelope.heartbeat();
        to = heartbeat.to();
        event = roster::HeartbeatReceived { from, heartbeat.version(), heartbeat.leaving() };
    } else if (envelope.has_promise_request()) {
        const auto& request = envelope.promise_request();
        to = request.to();
        event = roster::PromiseRequested { from, request.request(),
            std::chrono::microseconds(request.length_us()) };
    } else {
        to = envelope.promise().to();
        event = roster::PromiseGranted { from, envelope.promise().request() };
    }
    // Each incarnation numbers its requests from the start, so messages to an earlier incarnation are
    // ignored.
    if (to == m_self.id.text)
        (void)post([this, event] { applyEvent(event); });
}

void MembershipService::perform(const roster::PublishOwnership& action)
{
    if (action.removed)
        m_hasLeft = true;
}

// Periodic reads of all rosters and of the VM list.

void MembershipService::scanRosters()
{
    m_store.scan(rosterKey(DomainId {}), storeTimeout, [this](auto rows) {
        if (!rows)
            return;
        std::vector<RosterRecord> records;
        for (const auto& row : *rows) {
            if (auto record = parseRecord(row))
                records.push_back(std::move(*record));
        }
        postResponse([this, records = std::move(records)] {
            recordScan(m_scans, records, monotonicNow());
            publishTopology();
        });
    });
}

void MembershipService::readServerList()
{
    HttpRequest request;
    request.target = "/v1/vms";
    m_vmListClient.send(
        m_vmListAddress, std::move(request), serverListTimeout, [this](const HttpResult& result) {
            Reason reason;
            if (!result.response || result.response->status != 200)
                return;
            if (auto list = decodeServerList(result.response->body, reason))
                onServerList(*list);
        });
}

void MembershipService::onServerList(const FleetList& list)
{
    m_fleet.set(list);
    // The list lags: a VM that was replaced under its old name may still be listed as leaving. The flag
    // therefore applies only to a process that was seen before it was set.
    const auto leaving = leavingVms(list);
    roster::PlatformListed listed;
    for (const auto& member : m_topology.get()->members) {
        if (!leaving.count(vmOf(member.id)))
            m_seenNotLeaving.insert(member.id);
        else if (m_seenNotLeaving.count(member.id))
            listed.leaving.push_back(member.id);
    }
    std::erase_if(m_seenNotLeaving, [&](const auto& id) { return !m_topology.get()->find(id); });
    const bool self = std::count(listed.leaving.begin(), listed.leaving.end(), m_self.id) > 0;
    m_isListedLeaving = m_isListedLeaving || self;
    applyEvent(listed);
}

} // namespace quay
