#include "service/MembershipService.h"

#include "platform/ServerListCodec.h"

#include <boost/json.hpp>

namespace quay {

namespace json = boost::json;

namespace {

constexpr std::size_t ringCapacity = 4096;
constexpr auto renewPeriod = std::chrono::milliseconds(500);
constexpr auto readPeriod = std::chrono::milliseconds(500);
constexpr auto lease = std::chrono::seconds(5);

Instant monotonicNow() { return std::chrono::steady_clock::now(); }

std::optional<TopologyMember> memberOf(const TableRow& row)
{
    boost::system::error_code ec;
    const auto value = json::parse(row.value, ec);
    if (ec || !value.is_object())
        return std::nullopt;
    const auto& object = value.get_object();
    TopologyMember member;
    member.id = MemberId { std::string(object.at("id").as_string()) };
    member.domain = DomainId { std::string(object.at("domain").as_string()) };
    member.peerAddress = std::string(object.at("address").as_string());
    return member;
}

} // namespace

MembershipService::MembershipService(Identity self, StoreService& store)
    : Duty("membership", ringCapacity)
    , m_self(std::move(self))
    , m_store(store)
{
    every(renewPeriod, [this] { renew(); });
    every(readPeriod, [this] {
        readMembers();
        readServers();
    });
}

void MembershipService::onStart()
{
    renew();
    readMembers();
    readServers();
}

void MembershipService::renew()
{
    Transaction transaction;
    const json::object row { { "id", m_self.id.text }, { "domain", m_self.domain.text },
        { "address", m_self.peerAddress } };
    transaction.puts.push_back(
        { "member/" + m_self.domain.text + "/" + m_self.id.text, json::serialize(row) });
    m_store.commit(std::move(transaction), 2s, [](TransactionOutcome) {});
}

void MembershipService::readMembers()
{
    const auto askedAt = monotonicNow();
    m_store.scan("member/", 2s, [this, askedAt](auto rows) {
        if (rows)
            (void)post([this, rows = std::move(*rows), askedAt] { onMembers(rows, askedAt); });
    });
}

void MembershipService::readServers()
{
    m_store.getServers(2s, [this](HttpResult result) {
        Reason reason;
        if (!result.response || result.response->status != 200)
            return;
        if (auto list = decodeServerList(result.response->body, reason))
            m_fleet.set(std::move(*list));
    });
}

void MembershipService::onMembers(const std::vector<TableRow>& rows, Instant askedAt)
{
    Topology topology;
    for (const auto& row : rows) {
        auto& sighting = m_sightings[row.key];
        if (sighting.version != row.version)
            sighting = { row.version, askedAt };
        const auto member = memberOf(row);
        if (!member || sighting.changedAt + lease < askedAt)
            continue;
        topology.members.push_back(*member);
        topology.leads.emplace(member->domain, member->id); // rows come in key order: the first leads
    }
    publishOwnership(topology, askedAt);
    m_topology.set(std::move(topology));
}

void MembershipService::publishOwnership(const Topology& topology, Instant askedAt)
{
    Ownership ownership;
    const auto* lead = topology.leadOf(m_self.domain);
    ownership.leads = lead && lead->id == m_self.id;
    ownership.epoch = 1;
    ownership.validUntil = askedAt + lease;
    std::vector<MemberId> peers;
    for (const auto& member : topology.members) {
        if (member.domain == m_self.domain)
            peers.push_back(member.id);
    }
    const auto fleet = m_fleet.get();
    for (const auto& server : fleet->servers) {
        if (peers.empty() || server.kind != ServerKind::Executor || server.domain != m_self.domain)
            continue;
        if (peers[std::hash<ServerId>()(server.id) % peers.size()] == m_self.id)
            ownership.executors.insert(server.id);
    }
    m_ownership.set(std::move(ownership));
}

} // namespace quay
