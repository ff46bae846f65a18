#include "service/InteractiveService.h"

#include "peer.pb.h"

#include <algorithm>

namespace quay {

namespace {

constexpr std::uint64_t roundsPerRemoteAdvert = 5; // members of other domains get every fifth round
constexpr auto advertTimeout = std::chrono::seconds(1);
constexpr auto advertLifetime = std::chrono::milliseconds(2500);
constexpr auto localRoundTrip = std::chrono::milliseconds(1); // assumed until measured
constexpr auto remoteRoundTrip = std::chrono::milliseconds(5);
constexpr auto remoteDomainPenalty = std::chrono::milliseconds(20);
constexpr int roundTripSmoothing = 8; // a new sample has the weight of one eighth

Instant monotonicNow() { return std::chrono::steady_clock::now(); }

wire::Envelope encode(const AskCall& call)
{
    wire::Envelope envelope;
    auto& forward = *envelope.mutable_ask_forward();
    forward.set_team(call.team.text);
    forward.set_queue(call.queue.text);
    forward.set_body(call.body);
    forward.set_idempotent(call.idempotent);
    forward.set_deadline_ms(static_cast<std::uint32_t>(toMilliseconds(call.deadline - monotonicNow())));
    forward.set_attempt(call.attempt);
    forward.set_traceparent(call.traceparent);
    forward.set_request_id(call.requestId);
    forward.set_hops(call.hops + 1);
    return envelope;
}

AskCall decode(const wire::AskForward& forward)
{
    AskCall call;
    call.team = TeamId { forward.team() };
    call.queue = QueueId { forward.queue() };
    call.body = forward.body();
    call.idempotent = forward.idempotent();
    call.deadline = monotonicNow() + std::chrono::milliseconds(forward.deadline_ms());
    call.attempt = forward.attempt();
    call.traceparent = forward.traceparent();
    call.requestId = forward.request_id();
    call.hops = std::max<std::uint32_t>(1, forward.hops()); // members of an older version don't set it
    return call;
}

// True for refusals after which the request has definitely not run at the peer, so it can be sent elsewhere.
bool isCapacityRefusal(ErrorKind kind)
{
    return kind == ErrorKind::NoCapacity || kind == ErrorKind::QueueFull
        || kind == ErrorKind::DeadlineExceeded || kind == ErrorKind::Overloaded;
}

} // namespace

std::vector<ForwardPeer> InteractiveService::forwardPeers(const Topology& topology) const
{
    std::vector<ForwardPeer> peers;
    const auto now = monotonicNow();
    const auto& self = m_membership.self();
    for (const auto& member : topology.members) {
        const auto view = m_peerStates.find(member.id);
        if (member.id == self.id || view == m_peerStates.end()
            || view->second.advertisedAt + advertLifetime < now)
            continue;
        const bool isSameDomain = member.domain == self.domain;
        const Duration expected = isSameDomain ? localRoundTrip : remoteRoundTrip;
        const auto measured = view->second.roundTrip;
        const auto roundTrip = measured == Duration::zero() ? expected : measured;
        const Duration penalty = isSameDomain ? Duration::zero() : remoteDomainPenalty;
        peers.push_back({ member.id, isSameDomain, view->second.freeSlots, roundTrip, penalty });
    }
    return peers;
}

// Used if this process has no slots and thus no queue that could make progress: the request is queued, or
// refused, by a peer. Peers of the same domain come first; among them the choice is random, weighted by
// slots.
std::optional<MemberId> InteractiveService::peerWithSlots(
    const std::vector<ForwardPeer>& peers, Duration timeLeft)
{
    for (const bool isSameDomain : { true, false }) {
        std::vector<const ForwardPeer*> candidates;
        std::vector<double> weights;
        for (const auto& peer : peers) {
            const auto slots = m_peerStates[peer.member].slotsInService;
            if (peer.sameDomain != isSameDomain || !slots || peer.roundTrip >= timeLeft)
                continue;
            candidates.push_back(&peer);
            weights.push_back(slots);
        }
        if (candidates.empty())
            continue;
        std::discrete_distribution<std::size_t> choice(weights.begin(), weights.end());
        return candidates[choice(m_random)]->member;
    }
    return std::nullopt;
}

bool InteractiveService::forward(std::uint64_t id, Duration wait)
{
    const auto& call = m_requests.at(id).call;
    const auto topology = m_membership.topology().get();
    const Duration timeLeft = call.deadline - monotonicNow();
    const auto peers = forwardPeers(*topology);
    auto chosen = chooseForwardPeer(peers, wait, m_router.serviceTime, timeLeft);
    if (!chosen && !m_router.slots)
        chosen = peerWithSlots(peers, timeLeft);
    const auto* peer = chosen ? topology->find(*chosen) : nullptr;
    if (!peer)
        return false;
    const AttemptKey key { id, call.attempt };
    const bool isSent = m_peers.request(peer->peerAddress, encode(call), timeLeft,
        [this, key, member = peer->id](std::unique_ptr<wire::Envelope> answer) {
            std::shared_ptr<wire::Envelope> shared(std::move(answer));
            postResponse([this, key, member, shared] { onForwardAnswer(key, member, shared); });
        });
    if (!isSent)
        return false;
    ++m_counters.forwarded;
    auto& freeSlots = m_peerStates[peer->id].freeSlots;
    freeSlots -= freeSlots ? 1 : 0; // until its next advertisement
    return true;
}

void InteractiveService::onForwardAnswer(
    const AttemptKey& key, const MemberId& peer, std::shared_ptr<wire::Envelope> answer)
{
    if (!answer)
        m_peerStates.erase(peer);
    auto* request = find(key);
    if (!request)
        return;
    if (!answer) {
        onFailure(key.id, { ErrorKind::OutcomeUnknown, "the peer didn't answer" }, 0);
        dispatchWaiting();
        return;
    }
    const auto& reply = answer->ask_answer();
    const auto kind = describe(static_cast<ErrorKind>(reply.kind())).kind;
    if (kind == ErrorKind::None) {
        finish(key.id, AskReply { {}, reply.body(), 0 });
        return;
    }
    if (isCapacityRefusal(kind)) {
        ++m_counters.forwardsRefused;
        m_peerStates[peer].freeSlots = 0;
        request->mustStayLocal = true;
        if (m_router.slots)
            route(key.id);
        else
            finish(
                key.id, AskReply { { kind, reply.detail() }, {}, static_cast<int>(reply.retry_after_ms()) });
    } else {
        onFailure(key.id, { kind, reply.detail() }, static_cast<int>(reply.retry_after_ms()));
    }
    dispatchWaiting();
}

void InteractiveService::onForward(const wire::Envelope& envelope)
{
    auto request = std::make_shared<wire::Envelope>(envelope);
    ask(decode(envelope.ask_forward()), [this, request](AskReply reply) {
        wire::Envelope answer;
        auto& content = *answer.mutable_ask_answer();
        content.set_kind(static_cast<std::uint32_t>(reply.reason.kind));
        content.set_body(reply.body);
        content.set_detail(reply.reason.detail);
        content.set_retry_after_ms(static_cast<std::uint32_t>(std::max(0, reply.retryAfterMs)));
        m_peers.answer(request->reply_to(), *request, std::move(answer));
    });
}

// Members of the own domain get an advertisement ten times a second, others twice. Its size is constant, so
// the traffic depends on the number of members only.
void InteractiveService::advertise()
{
    const auto topology = m_membership.topology().get();
    const auto& self = m_membership.self();
    const bool advertisesToAll = m_advertRound++ % roundsPerRemoteAdvert == 0;
    for (const auto& member : topology->members) {
        if (member.id != self.id && (advertisesToAll || member.domain == self.domain))
            advertiseTo(member);
    }
    std::erase_if(m_peerStates, [&](const auto& item) { return !topology->find(item.first); });
}

void InteractiveService::advertiseTo(const TopologyMember& member)
{
    wire::Envelope envelope;
    envelope.mutable_free_slots()->set_slots(m_freeSlots);
    envelope.mutable_free_slots()->set_in_service(m_slotsInService);
    const auto askedAt = monotonicNow();
    (void)m_peers.request(member.peerAddress, std::move(envelope), advertTimeout,
        [this, id = member.id, askedAt](std::unique_ptr<wire::Envelope> answer) {
            if (!answer)
                return;
            const auto slots = answer->free_slots().slots();
            const auto inService = answer->free_slots().in_service();
            const auto now = monotonicNow();
            postResponse([this, id, slots, inService, now, sample = now - askedAt] {
                recordAdvert(id, slots, inService, now);
                auto& peer = m_peerStates[id];
                const bool isFirst = peer.roundTrip == Duration::zero();
                peer.roundTrip
                    = isFirst ? sample : peer.roundTrip + (sample - peer.roundTrip) / roundTripSmoothing;
            });
        });
}

void InteractiveService::onFreeSlots(const wire::Envelope& envelope)
{
    wire::Envelope answer;
    answer.mutable_free_slots()->set_slots(m_freeSlots);
    answer.mutable_free_slots()->set_in_service(m_slotsInService);
    m_peers.answer(envelope.reply_to(), envelope, std::move(answer));
    const MemberId member { envelope.sender() };
    const auto slots = envelope.free_slots().slots();
    const auto inService = envelope.free_slots().in_service();
    (void)post([this, member, slots, inService, now = monotonicNow()] {
        recordAdvert(member, slots, inService, now);
    });
}

void InteractiveService::recordAdvert(
    const MemberId& member, std::uint32_t freeSlots, std::uint32_t inService, Instant now)
{
    auto& peer = m_peerStates[member];
    peer.freeSlots = freeSlots;
    peer.slotsInService = inService;
    peer.advertisedAt = now;
}

} // namespace quay
