#include "service/InteractiveService.h"

#include "peer.pb.h"

namespace quay {

namespace {

constexpr std::size_t ringCapacity = 16 * 1024;
constexpr std::size_t maxWaiting = 8192;
constexpr auto refreshPeriod = std::chrono::milliseconds(200);
constexpr auto expiryPeriod = std::chrono::milliseconds(20);
constexpr int retryAfterMs = 500;

Instant monotonicNow() { return std::chrono::steady_clock::now(); }

AskReply refusal(ErrorKind kind, std::string detail = {})
{
    return AskReply { Reason { kind, std::move(detail) }, {}, retryAfterMs };
}

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
    call.forwarded = true;
    return call;
}

AskReply replyOf(const HttpResult& result, const AskCall& call)
{
    if (!result.response) {
        const bool unknown = result.mayHaveArrived && !call.idempotent;
        return refusal(unknown ? ErrorKind::OutcomeUnknown : ErrorKind::NoCapacity, result.reason.detail);
    }
    if (result.response->status == 200)
        return AskReply { {}, result.response->body, 0 };
    if (result.response->status == 503) // the executor had no slot; it did not run
        return refusal(ErrorKind::NoCapacity, "executor is full");
    return refusal(ErrorKind::OutcomeUnknown, "executor answered " + std::to_string(result.response->status));
}

} // namespace

InteractiveService::InteractiveService(
    MembershipService& membership, BackendLink& backend, PeerLink& peers, TeamTokens& tokens)
    : Duty("interactive", ringCapacity)
    , m_membership(membership)
    , m_backend(backend)
    , m_peers(peers)
    , m_tokens(tokens)
{
    every(refreshPeriod, [this] {
        refreshExecutors();
        dispatch();
    });
    every(expiryPeriod, [this] { expire(); });
    m_peers.onMessage(
        wire::Envelope::kAskForward, [this](const wire::Envelope& envelope) { onForward(envelope); });
}

void InteractiveService::ask(AskCall call, Done done)
{
    ++m_inFlight;
    const auto finish = [this, done = std::move(done)](AskReply reply) {
        --m_inFlight;
        done(std::move(reply));
    };
    if (!post([this, call = std::move(call), finish]() mutable { admit(std::move(call), finish); }))
        finish(refusal(ErrorKind::Overloaded));
}

void InteractiveService::admit(AskCall call, Done done)
{
    if (m_queue.size() >= maxWaiting) {
        done(refusal(ErrorKind::QueueFull));
        return;
    }
    if (!call.forwarded) {
        if (!m_tokens.tryAcquire(call.team, 1, monotonicNow())) {
            done(refusal(ErrorKind::QuotaExhausted, call.team.text));
            return;
        }
        done = [this, team = call.team, done = std::move(done)](AskReply reply) {
            m_tokens.release(team, 1);
            done(std::move(reply));
        };
    }
    m_queue.push_back({ std::move(call), std::move(done) });
    dispatch();
}

void InteractiveService::refreshExecutors()
{
    const auto ownership = m_membership.ownership().get();
    for (auto& [id, executor] : m_executors)
        executor.open = false;
    const auto fleet = m_membership.fleet().get();
    for (const auto& server : fleet->servers) {
        if (server.kind != ServerKind::Executor || !ownership->executors.count(server.id))
            continue;
        auto& executor = m_executors[server.id];
        executor.address = server.address;
        executor.slots = server.slots;
        executor.open = !server.leaving;
    }
    std::erase_if(
        m_executors, [](const auto& item) { return !item.second.open && !item.second.outstanding; });
}

InteractiveService::Executor* InteractiveService::pick(ServerId& id)
{
    Executor* best = nullptr;
    for (auto& [candidate, executor] : m_executors) {
        if (!executor.open || executor.outstanding >= executor.slots)
            continue;
        if (best && best->outstanding <= executor.outstanding)
            continue;
        best = &executor;
        id = candidate;
    }
    return best;
}

void InteractiveService::dispatch()
{
    while (!m_queue.empty()) {
        if (m_executors.empty()) {
            if (!forward(m_queue.front()))
                return;
            m_queue.pop_front();
            continue;
        }
        ServerId id;
        auto* executor = pick(id);
        if (!executor || !m_membership.ownership().get()->mayUse(id, monotonicNow()))
            return;
        auto waiting = std::move(m_queue.front());
        m_queue.pop_front();
        send(id, *executor, std::move(waiting));
    }
}

void InteractiveService::send(const ServerId& id, Executor& executor, Waiting waiting)
{
    ++executor.outstanding;
    auto call = std::make_shared<AskCall>(std::move(waiting.call));
    ExecuteRequest request { call->team, call->requestId, call->traceparent, call->body };
    m_backend.execute(executor.address, std::move(request), call->deadline - monotonicNow(),
        [this, id, call, done = std::move(waiting.done)](HttpResult result) {
            auto shared = std::make_shared<HttpResult>(std::move(result));
            if (!post([this, id, call, done, shared] { onExecuted(id, *call, done, std::move(*shared)); }))
                done(refusal(ErrorKind::OutcomeUnknown, "overloaded"));
        });
}

void InteractiveService::onExecuted(
    const ServerId& id, const AskCall& call, const Done& done, HttpResult result)
{
    --m_executors[id].outstanding;
    done(replyOf(result, call));
    dispatch();
}

void InteractiveService::expire()
{
    const auto now = monotonicNow();
    while (!m_queue.empty() && m_queue.front().call.deadline <= now) {
        auto waiting = std::move(m_queue.front());
        m_queue.pop_front();
        waiting.done(refusal(ErrorKind::DeadlineExceeded));
    }
}

bool InteractiveService::forward(Waiting& waiting)
{
    if (waiting.call.forwarded)
        return false;
    const auto topology = m_membership.topology().get();
    std::vector<const TopologyMember*> peers;
    for (const auto& member : topology->members) {
        if (member.id != m_membership.self().id)
            peers.push_back(&member);
    }
    if (peers.empty())
        return false;
    const auto& peer = *peers[m_nextPeer++ % peers.size()];
    const auto timeout = waiting.call.deadline - monotonicNow();
    const bool idempotent = waiting.call.idempotent;
    return m_peers.request(peer.peerAddress, encode(waiting.call), timeout,
        [done = waiting.done, idempotent](std::unique_ptr<wire::Envelope> answer) {
            if (!answer) {
                done(refusal(
                    idempotent ? ErrorKind::OwnerUnreachable : ErrorKind::OutcomeUnknown, "no answer"));
                return;
            }
            const auto& reply = answer->ask_answer();
            const auto kind = describe(static_cast<ErrorKind>(reply.kind())).kind;
            done(AskReply { Reason { kind, reply.detail() }, reply.body(), retryAfterMs });
        });
}

void InteractiveService::onForward(const wire::Envelope& envelope)
{
    auto request = std::make_shared<wire::Envelope>(envelope);
    ask(decode(envelope.ask_forward()), [this, request](AskReply reply) {
        wire::Envelope answer;
        answer.mutable_ask_answer()->set_kind(static_cast<std::uint32_t>(reply.reason.kind));
        answer.mutable_ask_answer()->set_body(reply.body);
        answer.mutable_ask_answer()->set_detail(reply.reason.detail);
        m_peers.answer(request->reply_to(), *request, std::move(answer));
    });
}

} // namespace quay
