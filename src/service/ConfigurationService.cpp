#include "service/ConfigurationService.h"

#include "peer.pb.h"
#include "service/RolloutCodec.h"

#include <algorithm>
#include <iostream>

namespace quay {

namespace {

constexpr std::size_t ringCapacity = 1024;
constexpr auto tickPeriod = std::chrono::milliseconds(100);
constexpr auto readTimeout = std::chrono::seconds(2);
constexpr auto commitTimeout = std::chrono::seconds(1);
constexpr auto peerQueryTimeout = std::chrono::seconds(1);
constexpr auto freshnessStep = std::chrono::milliseconds(50);

Instant monotonicNow() { return std::chrono::steady_clock::now(); }

// The store client sends a transaction no later than commitTimeout after the call and closes the connection
// requestTimeout later. After the sum of both, the transaction has taken effect or never will.
RolloutLimits rolloutLimits()
{
    RolloutLimits limits;
    limits.requestLifetime = commitTimeout + StoreLimits {}.requestTimeout;
    return limits;
}

} // namespace

ConfigurationService::ConfigurationService(
    MemberId self, StoreService& store, PeerLink& peers, const Published<Topology>& topology)
    : ServiceThread("configuration", ringCapacity)
    , m_self(std::move(self))
    , m_vm(vmOf(m_self))
    , m_store(store)
    , m_peers(peers)
    , m_topology(topology)
    , m_state(startRollout(m_vm, monotonicNow(), rolloutLimits()))
{
    every(tickPeriod, [this] { tick(); });
    every(m_ackTimes.rewriteEvery, [this] { removeAbandonedAcks(); });
    m_peers.onMessage(wire::Envelope::kConfigAsk, [this](const wire::Envelope& envelope) {
        (void)post([this, copy = std::make_shared<wire::Envelope>(envelope)] { onConfigQuery(*copy); });
    });
}

void ConfigurationService::onStart() { tick(); }

void ConfigurationService::tick()
{
    renewAckRow();
    replaceMissingVoters();
    applyEvent(rollout::Tick {});
}

void ConfigurationService::applyEvent(const RolloutEvent& event)
{
    auto result = step(std::move(m_state), event, monotonicNow());
    m_state = std::move(result.state);
    publish();
    for (const auto& action : result.actions)
        std::visit([this](const auto& one) { perform(one); }, action);
    completeDecidedChanges();
}

void ConfigurationService::perform(const rollout::Read& action)
{
    m_store.read({ acceptedKey, preparedKey }, readTimeout, [this, request = action.request](auto rows) {
        if (!rows)
            return;
        Reason reason;
        auto view = viewOfRows(*rows, reason);
        if (view)
            postResponse([this, request, view = std::move(*view)] {
                m_rowsRead = true;
                applyEvent(rollout::ReadAnswer { request, view });
            });
        else
            std::cerr << "quayd: the configuration rows can't be parsed: " << reason.explain() << "\n";
    });
}

void ConfigurationService::perform(const rollout::Scan& action)
{
    m_store.scan(ackKey(""), readTimeout, [this, request = action.request](auto rows) {
        if (rows)
            postResponse([this, request, confirmed = confirmedByVm(*rows)] {
                applyEvent(rollout::ScanAnswer { request, confirmed });
            });
    });
}

// Request id 0 is the periodic rewrite of the row, which the core has not requested.
void ConfigurationService::perform(const rollout::Confirm& action)
{
    m_confirmed = std::max(m_confirmed, action.version);
    m_ackAttemptedAt = monotonicNow();
    Transaction transaction;
    transaction.puts.push_back({ ackKey(m_vm), ackValue(m_confirmed) });
    m_store.commit(std::move(transaction), commitTimeout,
        [this, request = action.request, sentAt = m_ackAttemptedAt](const TransactionOutcome& outcome) {
            if (outcome.status != TransactionStatus::Done)
                return;
            postResponse([this, request, sentAt, version = outcome.version] {
                m_ackSentAt = std::max(m_ackSentAt, sentAt);
                applyEvent(rollout::WriteAnswer { request, true, version });
            });
        });
}

// Only definite outcomes become events; after any other the core determines the outcome by reading the rows.
void ConfigurationService::perform(const rollout::Write& action)
{
    m_store.commit(transactionOf(action), commitTimeout,
        [this, request = action.request](const TransactionOutcome& outcome) {
            const bool done = outcome.status == TransactionStatus::Done;
            if (done || outcome.status == TransactionStatus::Conflict)
                postResponse([this, request, done, version = outcome.version] {
                    applyEvent(rollout::WriteAnswer { request, done, version });
                });
        });
}

void ConfigurationService::perform(const rollout::QueryPeers& action)
{
    for (const auto& member : m_topology.get()->members) {
        if (member.id == m_self)
            continue;
        wire::Envelope envelope;
        envelope.mutable_config_ask()->set_request(action.request);
        (void)m_peers.request(member.peerAddress, std::move(envelope), peerQueryTimeout,
            [this, id = member.id](std::unique_ptr<wire::Envelope> answer) {
                Reason reason;
                if (!answer || answer->sender() != id.text)
                    return;
                auto decoded = decode(answer->config_answer(), reason);
                if (!decoded)
                    return;
                decoded->from = vmOf(id);
                postResponse([this, event = std::move(*decoded)] { applyEvent(event); });
            });
    }
}

void ConfigurationService::perform(const rollout::Reply& action)
{
    wire::Envelope envelope;
    encode(action.answer, *envelope.mutable_config_answer());
    m_peers.answer(m_currentQuery->reply_to(), *m_currentQuery, std::move(envelope));
}

void ConfigurationService::onConfigQuery(const wire::Envelope& envelope)
{
    const auto& ask = envelope.config_ask();
    if (ask.status_only()) {
        const auto status = ownStatus();
        wire::Envelope answer;
        answer.mutable_config_answer()->set_in_force(status.inForce);
        answer.mutable_config_answer()->set_seen(status.seen);
        answer.mutable_config_answer()->set_fresh(status.isFresh);
        m_peers.answer(envelope.reply_to(), envelope, std::move(answer));
        return;
    }
    m_currentQuery = &envelope;
    applyEvent(rollout::PeerQuery { vmOf(MemberId { envelope.sender() }), ask.request() });
    m_currentQuery = nullptr;
}

// The end of freshness is computed in advance, so that readers of the snapshot don't depend on a timer of
// this service. Promises of the voters extend it past the staleness bound; the search proceeds in fixed
// steps.
Instant ConfigurationService::freshUntil(Instant now) const
{
    if (!m_state.freshAsOf)
        return {};
    const auto byRead = *m_state.freshAsOf + m_state.limits.stalenessBound;
    auto until = std::max(byRead, now);
    while (mayServeAuthenticatedWork(m_state, until + freshnessStep))
        until += freshnessStep;
    return mayServeAuthenticatedWork(m_state, until) ? until : byRead;
}

void ConfigurationService::publish()
{
    const auto before = m_active.get();
    const auto until = freshUntil(monotonicNow());
    const bool known = m_rowsRead || m_state.view.accepted.storeVersion;
    const bool viewChanged = *m_view.get() != m_state.view;
    if (!viewChanged && known == before->isKnown && until == before->freshUntil)
        return;
    m_active.set(ActiveConfiguration { effectiveConfiguration(m_state), known, until });
    if (viewChanged)
        m_view.set(m_state.view);
}

void ConfigurationService::limitsSatisfied(std::uint64_t version)
{
    postResponse([this, version] { applyEvent(rollout::LimitsSatisfied { version }); });
}

} // namespace quay
