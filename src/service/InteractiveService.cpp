#include "service/InteractiveService.h"

#include "peer.pb.h"

namespace quay {

namespace {

// The task queue holds the admissions of requests in flight and the advertisements of peers; answers bypass
// its capacity. It is larger than maxInFlight, so that new requests are refused before the queue is full.
constexpr std::size_t maxInFlight = 16 * 1024;
constexpr std::size_t ringCapacity = 8 * maxInFlight;
constexpr auto refreshPeriod = std::chrono::milliseconds(100);
constexpr auto expiryPeriod = std::chrono::milliseconds(20);
constexpr auto healthPeriod = std::chrono::seconds(1);
constexpr auto advertPeriod = std::chrono::milliseconds(100);
constexpr auto answerGrace = std::chrono::milliseconds(200); // lets an attempt report its own timeout first
constexpr int overloadRetryAfterMs = 500;
constexpr unsigned statusOk = 200;
constexpr unsigned statusRefused = 503; // the executor had no free slot; the request did not run

constexpr auto maxTokenWait = std::chrono::seconds(2);
constexpr auto tokenRetryPeriod = std::chrono::milliseconds(50);
constexpr std::size_t maxWaitingForToken = 2048;

Instant monotonicNow() { return std::chrono::steady_clock::now(); }

AskReply refusal(ErrorKind kind, std::string detail = {})
{
    return AskReply { Reason { kind, std::move(detail) }, {}, overloadRetryAfterMs };
}

bool isRefused(const HttpResult& result)
{
    return result.response && result.response->status == statusRefused;
}

Reason failureOf(const HttpResult& result)
{
    if (isRefused(result))
        return { ErrorKind::NoCapacity, "the executor is full" };
    if (result.response)
        return { ErrorKind::OutcomeUnknown, "executor answered " + std::to_string(result.response->status) };
    return { result.mayHaveArrived ? ErrorKind::OutcomeUnknown : ErrorKind::NoCapacity,
        result.reason.detail };
}

} // namespace

InteractiveService::InteractiveService(MembershipService& membership, ConfigurationService& configuration,
    BackendLink& backend, PeerLink& peers, TeamTokens& tokens)
    : ServiceThread("interactive", ringCapacity)
    , m_membership(membership)
    , m_configuration(configuration)
    , m_backend(backend)
    , m_peers(peers)
    , m_tokens(tokens)
    , m_router(makeRouter(RouterSettings {}))
    , m_random(std::random_device {}())
{
    every(refreshPeriod, [this] { refresh(); });
    every(expiryPeriod, [this] { expireRequests(); });
    every(healthPeriod, [this] { updateOutlierEjection(); });
    every(advertPeriod, [this] { advertise(); });
    m_peers.onMessage(
        wire::Envelope::kAskForward, [this](const wire::Envelope& envelope) { onForward(envelope); });
    m_peers.onMessage(
        wire::Envelope::kFreeSlots, [this](const wire::Envelope& envelope) { onFreeSlots(envelope); });
}

void InteractiveService::ask(AskCall call, Done done)
{
    if (++m_inFlight > maxInFlight) {
        --m_inFlight;
        done(refusal(ErrorKind::Overloaded));
        return;
    }
    const bool queued
        = post([this, call = std::move(call), done]() mutable { admit(std::move(call), done); });
    if (queued)
        return;
    --m_inFlight;
    done(refusal(ErrorKind::Overloaded));
}

void InteractiveService::admit(AskCall call, Done done)
{
    if (!call.hops) {
        if (!m_tokens.tryAcquire(call.team, 1, monotonicNow())) {
            retryAfterTokenWait(std::move(call), std::move(done));
            return;
        }
        ++m_counters.accepted;
        earnRetryTokens(m_retryBudgets[call.team], m_retrySettings);
    }
    const auto id = m_nextId++;
    m_requests.emplace(id, Request { std::move(call), std::move(done), {}, false });
    route(id);
    dispatchWaiting();
}

// The failed acquisition has signalled demand to the quota service. Units that another member grants back
// become available here after a round of store requests, so the request waits for them instead of failing at
// once.
void InteractiveService::retryAfterTokenWait(AskCall call, Done done)
{
    const auto now = monotonicNow();
    if (call.tokenWaitUntil == Instant {})
        call.tokenWaitUntil = std::min(call.deadline, now + maxTokenWait);
    if (now >= call.tokenWaitUntil || m_waitingForToken >= maxWaitingForToken) {
        --m_inFlight;
        done(refusal(ErrorKind::QuotaExhausted, call.team.text));
        return;
    }
    ++m_waitingForToken;
    after(tokenRetryPeriod, [this, call = std::move(call), done = std::move(done)]() mutable {
        --m_waitingForToken;
        admit(std::move(call), std::move(done));
    });
}

// Uses an own slot if one is free; otherwise forwards to a peer with a shorter wait, or queues the request
// here.
void InteractiveService::route(std::uint64_t id)
{
    const auto& request = m_requests.at(id);
    const auto capacity = slotCapacity(m_router);
    const auto wait = estimateWait(m_router.admission, request.call.team, capacity);
    const bool mayForward = !request.call.hops && !request.mustStayLocal;
    if (wait > Duration::zero() && mayForward && forward(id, wait))
        return;
    const QueuedRequest queued { id, request.call.team, request.call.deadline };
    const auto refused = enqueueRequest(m_router, queued, monotonicNow());
    if (!refused)
        return;
    const bool isRetry = request.lastFailure.kind != ErrorKind::None;
    auto reason = isRetry ? request.lastFailure : Reason { refused->kind, {} };
    if (!isRetry && !capacity.slots)
        reason = { ErrorKind::NoCapacity, "no executor slot here or on a reachable peer" };
    finish(id, AskReply { std::move(reason), {}, static_cast<int>(refused->retryAfterMs) });
}

void InteractiveService::dispatchWaiting()
{
    std::vector<std::uint64_t> unsent;
    const auto result = dispatch(m_router, monotonicNow(), m_random);
    for (const auto& request : result.expired)
        finish(request.id, refusal(ErrorKind::DeadlineExceeded));
    for (const auto& next : result.dispatches) {
        if (send(next))
            continue;
        onSendAborted(m_router, next.executor);
        unsent.push_back(next.request.id);
    }
    m_freeSlots = m_router.freeSlots;
    if (unsent.empty())
        return;
    // Ownership of an executor has ended since the last refresh. The requests are routed again without it.
    refreshOwnership();
    for (const auto id : unsent) {
        if (m_requests.count(id))
            route(id);
    }
}

bool InteractiveService::send(const Dispatch& dispatch)
{
    const auto found = m_requests.find(dispatch.request.id);
    const auto now = monotonicNow();
    if (found == m_requests.end() || !m_membership.ownership().get()->mayUse(dispatch.executor, now))
        return false;
    auto& backend = m_backends.at(dispatch.executor);
    ++backend.sends;
    ++m_counters.sent;
    const auto& call = found->second.call;
    const AttemptKey key { dispatch.request.id, call.attempt };
    ExecuteRequest request { call.team, call.requestId, call.traceparent, call.body };
    m_backend.execute(backend.info.address, std::move(request), call.deadline - now,
        [this, key, executor = dispatch.executor, now](HttpResult result) {
            auto shared = std::make_shared<const HttpResult>(std::move(result));
            postResponse([this, key, executor, now, shared] { onExecuted(key, executor, now, *shared); });
        });
    return true;
}

InteractiveService::Request* InteractiveService::find(const AttemptKey& key)
{
    const auto found = m_requests.find(key.id);
    if (found != m_requests.end() && found->second.call.attempt == key.attempt)
        return &found->second;
    ++m_counters.discardedAnswers;
    return nullptr;
}

// Frees the slot and records the outcome for routing and ejection. Returns true if the attempt succeeded.
bool InteractiveService::recordResult(const ServerId& executor, Instant sentAt, const HttpResult& result)
{
    const bool succeeded = result.response && result.response->status == statusOk;
    const auto now = monotonicNow();
    if (isRefused(result))
        onSendAborted(m_router, executor);
    else
        onAnswer(m_router, executor, succeeded, now - sentAt);
    const bool mayStillHoldSlot = isRefused(result) || (!result.response && result.mayHaveArrived);
    const auto backend = m_backends.find(executor);
    if (mayStillHoldSlot && backend != m_backends.end()) {
        recordLostAnswer(backend->second.gate, now);
        applyExecutors();
    }
    return succeeded;
}

void InteractiveService::onExecuted(
    const AttemptKey& key, const ServerId& executor, Instant sentAt, const HttpResult& result)
{
    const bool succeeded = recordResult(executor, sentAt, result);
    if (find(key)) {
        if (succeeded)
            finish(key.id, AskReply { {}, result.response->body, 0 });
        else
            onFailure(key.id, failureOf(result), overloadRetryAfterMs);
    }
    dispatchWaiting();
}

void InteractiveService::onFailure(std::uint64_t id, Reason failure, int retryAfterMs)
{
    auto& request = m_requests.at(id);
    auto& call = request.call;
    const AskReply reply { failure, {}, retryAfterMs };
    if (describe(failure.kind).disposition == Disposition::Unknown)
        request.mayHaveRun = true;
    if (call.hops) {
        finish(id, reply);
        return;
    }
    const RequestAttempt attempt { call.attempt, call.idempotent, call.deadline };
    const auto decision = tryRetry(m_retryBudgets[call.team], m_retrySettings, attempt,
        describe(failure.kind).disposition, m_router.serviceTime, monotonicNow());
    if (decision == RetryDecision::BudgetExhausted)
        ++m_counters.retriesOverBudget;
    if (decision != RetryDecision::Retry) {
        finish(id, reply);
        return;
    }
    ++m_counters.retries;
    ++call.attempt;
    request.lastFailure = std::move(failure);
    route(id);
}

void InteractiveService::finish(std::uint64_t id, AskReply reply)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end())
        return;
    const Request request = std::move(found->second);
    m_requests.erase(found);
    if (!request.call.hops)
        m_tokens.release(request.call.team, 1);
    --m_inFlight;
    // Reports the outcome of the request, not of its last attempt: if an earlier attempt may have run, the
    // outcome is unknown even if the last attempt did not run.
    const auto& failure = reply.reason;
    if (failure.kind != ErrorKind::None && request.mayHaveRun)
        reply.reason
            = { ErrorKind::OutcomeUnknown, "an earlier attempt may have run; then: " + failure.explain() };
    request.done(std::move(reply));
}

void InteractiveService::expireRequests()
{
    const auto now = monotonicNow();
    for (const auto& request : removeExpired(m_router.admission, now))
        finish(request.id, refusal(ErrorKind::DeadlineExceeded));
    std::vector<std::uint64_t> overdue;
    for (const auto& [id, request] : m_requests) {
        if (request.call.deadline + answerGrace <= now)
            overdue.push_back(id);
    }
    for (const auto id : overdue)
        finish(id, refusal(ErrorKind::OutcomeUnknown, "no answer before the deadline"));
}

} // namespace quay
