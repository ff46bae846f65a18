#include "service/ConfigurationService.h"

#include "peer.pb.h"

#include <algorithm>

namespace quay {

namespace {

constexpr auto readTimeout = std::chrono::seconds(2);
constexpr auto commitTimeout = std::chrono::seconds(1);
constexpr auto peerQueryTimeout = std::chrono::seconds(1);
constexpr auto ackRetryPeriod = std::chrono::seconds(5);
constexpr auto voterAbsenceLimit = std::chrono::seconds(30);
constexpr std::size_t maxVotersPerDomain = 2;

Instant monotonicNow() { return std::chrono::steady_clock::now(); }

std::set<std::string> currentVms(const Topology& topology)
{
    std::set<std::string> vms;
    for (const auto& member : topology.members)
        vms.insert(vmOf(member.id));
    return vms;
}

} // namespace

// The row of this VM is rewritten periodically. If that fails for validFor, other members may consider the
// row abandoned and remove it, so views read after that don't count until the row is written again. Promises
// of the voters remain valid: while they hold, no version is accepted, with or without the row.
void ConfigurationService::renewAckRow()
{
    const auto now = monotonicNow();
    if (!m_state.registeredAt)
        return;
    if (now - m_ackSentAt >= m_ackTimes.validFor)
        m_state.registeredAt.reset();
    else if (now - m_ackSentAt >= m_ackTimes.rewriteEvery && now - m_ackAttemptedAt >= ackRetryPeriod)
        perform(rollout::Confirm { 0, m_confirmed });
}

// While rows of VMs that are gone exist, every change waits until the views of these VMs have expired.
void ConfigurationService::removeAbandonedAcks()
{
    const auto topology = m_topology.get();
    const auto isOwn = [&](const auto& leader) { return leader.second == m_self; };
    if (std::none_of(topology->leaders.begin(), topology->leaders.end(), isOwn))
        return;
    m_store.scan(ackKey(""), readTimeout, [this](auto rows) {
        if (!rows)
            return;
        postResponse([this, rows = std::move(*rows)] {
            const auto vms = currentVms(*m_topology.get());
            for (const auto& check : abandonedAcks(m_ackObservations, rows, vms, m_ackTimes, monotonicNow()))
                m_store.commit(Transaction { { check }, {}, { check.key } }, commitTimeout, [](auto) {});
        });
    });
}

// The leader and one more member of each domain. The number is small because every voter scans the rows while
// a version is prepared.
std::set<std::string> ConfigurationService::desiredVoters() const
{
    const auto topology = m_topology.get();
    std::map<DomainId, std::set<std::string>> chosen;
    for (const auto& [domain, leader] : topology->leaders)
        chosen[domain].insert(vmOf(leader));
    for (const auto& member : topology->members) {
        auto& voters = chosen[member.domain];
        if (voters.size() < maxVotersPerDomain)
            voters.insert(vmOf(member.id));
    }
    std::set<std::string> all;
    for (const auto& [domain, voters] : chosen)
        all.insert(voters.begin(), voters.end());
    if (all.empty())
        all.insert(m_vm);
    return all;
}

// Only a voter can accept a change, so a voter that stays away is replaced while others remain. The
// replacement is an ordinary change with an unchanged document; the first of the live voters proposes it.
void ConfigurationService::replaceMissingVoters()
{
    const auto now = monotonicNow();
    const auto& accepted = m_state.view.accepted;
    const auto live = currentVms(*m_topology.get());
    bool missing = false;
    std::string first;
    for (const auto& voter : accepted.row.voters) {
        auto& seenAt = m_voterSeenAt.try_emplace(voter, now).first->second;
        if (live.contains(voter))
            seenAt = now;
        missing |= now - seenAt >= voterAbsenceLimit;
        if (live.contains(voter) && first.empty())
            first = voter;
    }
    const auto desired = desiredVoters();
    const bool isSingleVoter = accepted.row.voters.size() == 1 && desired.size() > 1;
    if (!accepted.storeVersion || first != m_vm || !(missing || isSingleVoter) || m_state.apply
        || m_state.view.hasPendingVersion() || desired == accepted.row.voters
        || !mayServeAuthenticatedWork(m_state, now))
        return;
    proposeChange({ {}, accepted.row.document.version, {}, desired, true }, [](auto, const auto&) {});
}

MemberRolloutStatus ConfigurationService::ownStatus() const
{
    MemberRolloutStatus status;
    status.id = m_self;
    status.hasAnswered = true;
    status.inForce = m_state.view.accepted.row.document.version;
    status.seen = std::max(status.inForce, m_state.view.prepared.row.document.version);
    status.isFresh = mayServeAuthenticatedWork(m_state, monotonicNow());
    return status;
}

// A status query to all members; complete when the last answer or timeout has come in.
struct ConfigurationService::StatusRound {
    StatusDone done;
    std::vector<MemberRolloutStatus> members;
    std::size_t pendingAnswers = 0;
};

void ConfigurationService::status(StatusDone done)
{
    const bool queued = post([this, done] {
        auto round = std::make_shared<StatusRound>();
        round->done = done;
        const auto topology = m_topology.get();
        round->pendingAnswers = topology->members.size();
        if (!round->pendingAnswers) {
            done({ ownStatus() });
            return;
        }
        for (const auto& member : topology->members)
            queryStatus(round, member);
    });
    if (!queued)
        done({});
}

void ConfigurationService::queryStatus(
    const std::shared_ptr<StatusRound>& round, const TopologyMember& member)
{
    const auto add = [this, round](MemberRolloutStatus status) {
        postResponse([round, status = std::move(status)] {
            round->members.push_back(status);
            if (--round->pendingAnswers == 0)
                round->done(std::move(round->members));
        });
    };
    MemberRolloutStatus status;
    status.id = member.id;
    if (member.id == m_self)
        status = ownStatus();
    status.domain = member.domain;
    if (member.id == m_self)
        return add(status);
    wire::Envelope envelope;
    envelope.mutable_config_ask()->set_status_only(true);
    const bool sent = m_peers.request(member.peerAddress, std::move(envelope), peerQueryTimeout,
        [add, status](std::unique_ptr<wire::Envelope> answer) mutable {
            if (answer) {
                status.hasAnswered = true;
                status.seen = answer->config_answer().seen();
                status.inForce = answer->config_answer().in_force();
                status.isFresh = answer->config_answer().fresh();
            }
            add(std::move(status));
        });
    if (!sent)
        add(std::move(status));
}

} // namespace quay
