#include "service/ConfigurationService.h"

#include "peer.pb.h"

#include <algorithm>

namespace quay {

namespace {

constexpr auto readTimeout = std::chrono::seconds(2);
constexpr auto commitTimeout = std::chrono::seconds(1);
constexpr auto askTimeout = std::chrono::seconds(1);
constexpr auto ackRetry = std::chrono::seconds(5);
constexpr auto voterMissingFor = std::chrono::seconds(30);
constexpr std::size_t votersEachDomain = 2;

Instant monotonicNow() { return std::chrono::steady_clock::now(); }

std::set<std::string> liveVms(const Topology& topology)
{
    std::set<std::string> vms;
    for (const auto& member : topology.members)
        vms.insert(vmOf(member.id));
    return vms;
}

} // namespace

// Our row is written again now and then. If that fails for too long, others may take the row for abandoned
// and remove it; then no view counts until the row is written again. Promises of the voters still count:
// while they hold nothing is accepted, with our row or without it.
void ConfigurationService::keepAck()
{
    const auto now = monotonicNow();
    if (!m_state.registeredAt)
        return;
    if (now - m_ackSentAt >= m_ackTimes.validFor)
        m_state.registeredAt.reset();
    else if (now - m_ackSentAt >= m_ackTimes.rewriteEvery && now - m_ackTriedAt >= ackRetry)
        perform(rollout::Confirm { 0, m_confirmed });
}

// Rows of VMs that are gone would make every change wait for the lapse of their views.
void ConfigurationService::removeAbandonedAcks()
{
    const auto topology = m_topology.get();
    const auto isOwn = [&](const auto& lead) { return lead.second == m_self; };
    if (std::none_of(topology->leads.begin(), topology->leads.end(), isOwn))
        return;
    m_store.scan(ackKey(""), readTimeout, [this](auto rows) {
        if (!rows)
            return;
        postResponse([this, rows = std::move(*rows)] {
            const auto vms = liveVms(*m_topology.get());
            for (const auto& check : abandonedAcks(m_ackSightings, rows, vms, m_ackTimes, monotonicNow()))
                m_store.commit(Transaction { { check }, {}, { check.key } }, commitTimeout, [](auto) {});
        });
    });
}

// The lead of each domain and one more member: few, since each of them scans while a version is prepared.
std::set<std::string> ConfigurationService::wantedVoters() const
{
    const auto topology = m_topology.get();
    std::map<DomainId, std::set<std::string>> chosen;
    for (const auto& [domain, lead] : topology->leads)
        chosen[domain].insert(vmOf(lead));
    for (const auto& member : topology->members) {
        auto& voters = chosen[member.domain];
        if (voters.size() < votersEachDomain)
            voters.insert(vmOf(member.id));
    }
    std::set<std::string> all;
    for (const auto& [domain, voters] : chosen)
        all.insert(voters.begin(), voters.end());
    if (all.empty())
        all.insert(m_vm);
    return all;
}

// Only a voter can accept a change, so a voter that is gone for long is replaced before the last one is. The
// replacement is a change like any other, with the same document, proposed by the first of the live voters.
void ConfigurationService::keepVoters()
{
    const auto now = monotonicNow();
    const auto& accepted = m_state.view.accepted;
    const auto live = liveVms(*m_topology.get());
    bool missing = false;
    std::string first;
    for (const auto& voter : accepted.row.voters) {
        auto& seenAt = m_voterSeenAt.try_emplace(voter, now).first->second;
        if (live.contains(voter))
            seenAt = now;
        missing |= now - seenAt >= voterMissingFor;
        if (live.contains(voter) && first.empty())
            first = voter;
    }
    const auto wanted = wantedVoters();
    const bool alone = accepted.row.voters.size() == 1 && wanted.size() > 1;
    if (!accepted.storeVersion || first != m_vm || !(missing || alone) || m_state.apply
        || m_state.view.hasPendingVersion() || wanted == accepted.row.voters
        || !mayServeAuthenticatedWork(m_state, now))
        return;
    begin({ {}, accepted.row.document.version, {}, wanted, true }, [](auto, const auto&) {});
}

MemberRollout ConfigurationService::ownStatus() const
{
    MemberRollout status;
    status.id = m_self;
    status.answered = true;
    status.inForce = m_state.view.accepted.row.document.version;
    status.seen = std::max(status.inForce, m_state.view.prepared.row.document.version);
    status.fresh = mayServeAuthenticatedWork(m_state, monotonicNow());
    return status;
}

// One status question to all members; the last answer completes it.
struct ConfigurationService::StatusRound {
    StatusDone done;
    std::vector<MemberRollout> members;
    std::size_t missing = 0;
};

void ConfigurationService::status(StatusDone done)
{
    const bool queued = post([this, done] {
        auto round = std::make_shared<StatusRound>();
        round->done = done;
        const auto topology = m_topology.get();
        round->missing = topology->members.size();
        if (!round->missing) {
            done({ ownStatus() });
            return;
        }
        for (const auto& member : topology->members)
            askStatus(round, member);
    });
    if (!queued)
        done({});
}

void ConfigurationService::askStatus(const std::shared_ptr<StatusRound>& round, const TopologyMember& member)
{
    const auto add = [this, round](MemberRollout status) {
        postResponse([round, status = std::move(status)] {
            round->members.push_back(status);
            if (--round->missing == 0)
                round->done(std::move(round->members));
        });
    };
    MemberRollout status;
    status.id = member.id;
    if (member.id == m_self)
        status = ownStatus();
    status.domain = member.domain;
    if (member.id == m_self)
        return add(status);
    wire::Envelope envelope;
    envelope.mutable_config_ask()->set_status_only(true);
    const bool sent = m_peers.request(member.peerAddress, std::move(envelope), askTimeout,
        [add, status](std::unique_ptr<wire::Envelope> answer) mutable {
            if (answer) {
                status.answered = true;
                status.seen = answer->config_answer().seen();
                status.inForce = answer->config_answer().in_force();
                status.fresh = answer->config_answer().fresh();
            }
            add(std::move(status));
        });
    if (!sent)
        add(std::move(status));
}

} // namespace quay
