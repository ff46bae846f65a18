#include "edge/OrderDispatcher.h"

#include "edge/Clock.h"
#include "edge/OrderRelay.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

namespace quay::edge {

using namespace fleet;
using namespace platform;

namespace {

constexpr std::size_t connectionsPerRelay = 4; // one waits for results, the others carry calls
constexpr std::size_t maxResponseBytes = 1024 * 1024;
constexpr auto tickInterval = 5ms;
constexpr auto orderDelay = 2ms; // the orders of one commit are sent together
constexpr auto heartbeatDelay = 20ms; // a fiftieth of the usual long poll
constexpr std::size_t maxCallsPerRequest = 150; // with the largest payloads it fits into a request body
constexpr int maxRequestsInFlight = 2; // with calls; more are batched
constexpr auto callRequestTimeout
    = 1000ms; // the relay answers at once; a busy node at either end may take longer
constexpr auto pollWait = 700ms;
constexpr auto relayMargin = 200ms; // added to a call's timeout: one hop and batching at a busy relay
constexpr int maxConsecutiveFailures = 2;
constexpr int maxConsecutiveBadResults = 12; // several executors of a failed rack answer as rarely
constexpr auto relayAvoidance = 3000ms;
// An executor that does not answer through its relay is tried directly, in case the fault is between the two.
constexpr auto directTime = 3000ms;

std::function<void(HeartbeatResponse)> orderOnly(std::function<void(OrderResponse)> done)
{
    return [done = std::move(done)](HeartbeatResponse response) { done(std::move(response.order)); };
}

} // namespace

OrderDispatcher::OrderDispatcher(boost::asio::io_context& context, ExecutorClient& direct, StartGuard& guard,
    NodeLog& log, Metrics& metrics)
    : m_direct(direct)
    , m_guard(guard)
    , m_log(log)
    , m_client(context, connectionsPerRelay, maxResponseBytes)
    , m_timer(context)
    , m_relayedCalls(metrics.counter("quay_executor_calls_total",
          "Orders and heartbeats to executors, by the way they were sent", "via=\"relay\""))
    , m_directCalls(metrics.counter("quay_executor_calls_total",
          "Orders and heartbeats to executors, by the way they were sent", "via=\"direct\""))
{
}

void OrderDispatcher::beginSession(std::int64_t term)
{
    endSession();
    m_session = term;
}

void OrderDispatcher::endSession()
{
    ++m_generation;
    m_session = 0;
    m_plan = {};
    m_relays.clear();
    m_pending.clear();
}

void OrderDispatcher::nodeSeen(const std::string& name, const RelayPlan::Node& node, Instant now)
{
    m_plan.nodeSeen(name, node, now);
}

void OrderDispatcher::start(const OrderTarget& target, const StartOrder& order, Duration timeout,
    std::function<void(OrderResponse)> done)
{
    dispatch(
        { 0, RelayCallKind::Start, target, timeout, order, 0, 0, {}, m_plan.domainOf(target.executorId) },
        orderDelay, orderOnly(std::move(done)));
}

void OrderDispatcher::stop(const OrderTarget& target, const TaskRef& task, int run, Duration timeout,
    std::function<void(OrderResponse)> done)
{
    dispatch({ 0, RelayCallKind::Stop, target, timeout, { task, run, {}, {}, {}, 0 }, 0, 0, {}, {} },
        orderDelay, orderOnly(std::move(done)));
}

void OrderDispatcher::throttle(const OrderTarget& target, const TaskRef& task, int run, int percent,
    Duration timeout, std::function<void(OrderResponse)> done)
{
    dispatch(
        { 0, RelayCallKind::Throttle, target, timeout, { task, run, {}, {}, {}, 0 }, percent, 0, {}, {} },
        orderDelay, orderOnly(std::move(done)));
}

void OrderDispatcher::heartbeat(const OrderTarget& target, std::int64_t acknowledgedEnd,
    std::int64_t leaseUntilClockMs, Duration wait, Duration timeout, Done done)
{
    dispatch({ 0, RelayCallKind::Heartbeat, target, timeout, { {}, 0, {}, {}, {}, leaseUntilClockMs }, 0,
                 acknowledgedEnd, wait, {} },
        wait > Duration::zero() ? Duration(heartbeatDelay) : Duration(orderDelay), std::move(done));
}

void OrderDispatcher::dispatch(RelayCall call, Duration maxDelay, Done done)
{
    const auto now = clockNow();
    const auto* name = m_session == 0 ? nullptr : m_plan.relayOf(call.target.executorId, now);
    if (!name) {
        m_directCalls.add();
        sendDirectly(call, std::move(done));
        return;
    }
    m_relayedCalls.add();
    call.number = m_nextNumber++;
    auto& relay = m_relays[*name];
    relay.pending.insert(call.number);
    m_pending[call.number] = { call.target.executorId, *name, call.kind, Instant::max(), std::move(done) };
    relay.queued.push_back(std::move(call));
    relay.flushAt = std::min(relay.flushAt, now + maxDelay);
    scheduleTick();
}

void OrderDispatcher::sendDirectly(const RelayCall& call, Done done)
{
    if (const auto held = m_guard.check(call, clockNow()); held != StartHold::None) {
        endHeld(held, std::move(done));
        return;
    }
    callExecutor(m_direct, call,
        [this, generation = m_generation, done = std::move(done)](HeartbeatResponse response) {
            if (generation == m_generation)
                done(std::move(response));
        });
}

// Later, as with an answer: the caller may be in the midst of its orders.
void OrderDispatcher::endHeld(StartHold held, Done done)
{
    boost::asio::post(
        m_timer.get_executor(), [this, generation = m_generation, held, done = std::move(done)] {
            if (generation == m_generation)
                done(heldResponse(held));
        });
}

void OrderDispatcher::scheduleTick()
{
    if (std::exchange(m_isTicking, true))
        return;
    m_timer.expires_after(tickInterval);
    m_timer.async_wait([this](boost::system::error_code ec) {
        m_isTicking = false;
        if (ec)
            return;
        flushDue();
        if (!m_pending.empty())
            scheduleTick();
    });
}

void OrderDispatcher::flushDue()
{
    const auto now = clockNow();
    for (auto& [name, relay] : m_relays) {
        if (now >= relay.flushAt && relay.callsInFlight < maxRequestsInFlight)
            flush(name, relay);
    }
}

void OrderDispatcher::flush(const std::string& name, Relay& relay)
{
    const auto now = clockNow();
    RelayRequest request { m_session, {}, {} };
    const auto count = std::min(relay.queued.size(), maxCallsPerRequest);
    const auto end = relay.queued.begin() + static_cast<std::ptrdiff_t>(count);
    request.calls.assign(std::make_move_iterator(relay.queued.begin()), std::make_move_iterator(end));
    relay.queued.erase(relay.queued.begin(), end);
    if (relay.queued.empty())
        relay.flushAt = Instant::max();
    std::erase_if(request.calls, [&](const RelayCall& call) {
        const auto held = m_guard.check(call, now);
        if (held == StartHold::None)
            return false;
        if (auto pending = takePending(call.number))
            endHeld(held, std::move(pending->done));
        return true;
    });
    if (request.calls.empty())
        return;
    for (const auto& call : request.calls) {
        const auto dueAt = now + call.timeout + relayMargin;
        m_pending.at(call.number).resultDueAt = dueAt;
        relay.due.insert({ dueAt, call.number });
    }
    ++relay.callsInFlight;
    auto message = relayPost(encode(request));
    m_client.send(m_plan.addressOf(name), std::move(message), callRequestTimeout,
        [this, name, now, generation = m_generation, calls = std::move(request.calls)](
            const HttpResult& answer) {
            if (generation != m_generation)
                return;
            if (const auto it = m_relays.find(name); it != m_relays.end())
                --it->second.callsInFlight;
            if (answer.response && answer.response->status == relayOk)
                applyResults(name, answer.response->body, now);
            else
                requestFailed(name, calls, answer);
            if (generation == m_generation)
                flushDue();
        });
    if (!relay.isPolling)
        poll(name);
}

// Keeps one request waiting at the relay while it has calls without a result.
void OrderDispatcher::poll(const std::string& name)
{
    auto& relay = m_relays[name];
    relay.isPolling = true;
    m_client.send(m_plan.addressOf(name), relayPost(encode(RelayRequest { m_session, pollWait, {} })),
        pollWait + callRequestTimeout,
        [this, name, sentAt = clockNow(), generation = m_generation](const HttpResult& answer) {
            if (generation != m_generation)
                return;
            auto it = m_relays.find(name);
            if (it == m_relays.end())
                return;
            it->second.isPolling = false;
            if (answer.response && answer.response->status == relayOk)
                applyResults(name, answer.response->body, sentAt);
            else
                requestFailed(name, {}, answer);
            if (generation != m_generation)
                return;
            it = m_relays.find(name);
            if (it != m_relays.end() && !it->second.isPolling && !it->second.pending.empty())
                poll(name);
        });
}

void OrderDispatcher::requestFailed(
    const std::string& name, const std::vector<RelayCall>& calls, const HttpResult& answer)
{
    const bool isRefused = answer.response.has_value(); // the node did nothing
    if (!answer.mayHaveArrived || isRefused) {
        for (const auto& call : calls) {
            if (auto pending = takePending(call.number))
                sendDirectly(call, std::move(pending->done));
        }
    }
    const auto relay = m_relays.find(name);
    if (relay == m_relays.end())
        return;
    if (++relay->second.consecutiveFailures >= maxConsecutiveFailures || isRefused)
        abandon(name, isRefused ? "status " + std::to_string(answer.response->status) : answer.reason.detail);
}

void OrderDispatcher::applyResults(const std::string& name, const std::string& body, Instant requestSentAt)
{
    auto results = decodeRelayResults(body);
    if (!results) {
        abandon(name, "its answer can't be decoded");
        return;
    }
    const auto generation = m_generation;
    if (const auto relay = m_relays.find(name); relay != m_relays.end())
        relay->second.consecutiveFailures = 0;
    for (auto& it : *results) {
        applyResult(std::move(it));
        if (generation != m_generation)
            return; // the leader has stopped
    }
    failLostCalls(name, requestSentAt);
}

std::optional<OrderDispatcher::PendingCall> OrderDispatcher::takePending(std::uint64_t number)
{
    auto it = m_pending.find(number);
    if (it == m_pending.end())
        return std::nullopt;
    auto call = std::move(it->second);
    m_pending.erase(it);
    if (const auto relay = m_relays.find(call.relay); relay != m_relays.end()) {
        relay->second.pending.erase(number);
        relay->second.due.erase({ call.resultDueAt, number });
    }
    return call;
}

void OrderDispatcher::applyResult(RelayResult result)
{
    auto call = takePending(result.number);
    if (!call)
        return;
    bool isBad = false;
    if (result.isRelayBlind)
        avoidBlind(call->executor, call->relay);
    if (call->kind == RelayCallKind::Heartbeat) {
        const auto outcome = result.response.order.result;
        const bool isUnanswered = outcome == OrderResult::NoAnswer || outcome == OrderResult::Unreachable;
        if (isUnanswered)
            m_plan.avoidRelays(call->executor, clockNow() + directTime);
        if (const auto relay = m_relays.find(call->relay); relay != m_relays.end()) {
            auto& badResults = relay->second.consecutiveBadResults;
            badResults = isUnanswered ? badResults + 1 : 0;
            isBad = badResults >= maxConsecutiveBadResults;
        }
    }
    const auto generation = m_generation;
    call->done(std::move(result.response));
    if (isBad && generation == m_generation)
        abandon(call->relay, "its executors do not answer it");
}

// The relay's other calls go on: it is blind for starts only.
void OrderDispatcher::avoidBlind(const std::string& executor, const std::string& name)
{
    const auto now = clockNow();
    const auto* current = m_plan.relayOf(executor, now);
    if (!current || *current != name)
        return;
    m_log.write("relay_blind", {}, { { "relay", name }, { "executor", executor } });
    m_plan.avoidNode(name, now + relayAvoidance);
}

// Ends the calls whose results would have been in an answer to a request that was sent at that time: they
// were in an answer that was lost. Only the relay's answers tell this, not the time, so that a delay of this
// node is not taken for one of the executors.
void OrderDispatcher::failLostCalls(const std::string& name, Instant requestSentAt)
{
    const auto generation = m_generation;
    while (generation == m_generation) {
        const auto relay = m_relays.find(name);
        if (relay == m_relays.end() || relay->second.due.empty()
            || relay->second.due.begin()->first > requestSentAt)
            return;
        auto call = takePending(relay->second.due.begin()->second);
        HeartbeatResponse response;
        response.order.detail = "the relay's answer was lost";
        call->done(std::move(response));
    }
}

// Stops using a relay. Its calls without a result may have been carried out.
void OrderDispatcher::abandon(const std::string& name, std::string_view reason)
{
    auto relay = m_relays.find(name);
    if (relay == m_relays.end())
        return;
    m_log.write("relay_abandoned", {},
        { { "relay", name }, { "calls", std::to_string(relay->second.pending.size()) },
            { "reason", std::string(reason) } });
    m_plan.avoidNode(name, clockNow() + relayAvoidance);
    const auto queued = std::move(relay->second.queued);
    auto sent = std::move(relay->second.pending);
    m_relays.erase(relay);
    const auto generation = m_generation;
    for (const auto& call : queued) { // not sent, so they may take another way
        sent.erase(call.number);
        auto pending = takePending(call.number);
        if (pending && generation == m_generation)
            dispatch(call, {}, std::move(pending->done));
    }
    for (const auto number : sent) {
        auto pending = takePending(number);
        if (!pending || generation != m_generation)
            continue;
        HeartbeatResponse response;
        response.order.detail = "the relay was lost";
        pending->done(std::move(response));
    }
}

} // namespace quay::edge
