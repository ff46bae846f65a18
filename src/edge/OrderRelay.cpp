#include "edge/OrderRelay.h"

#include "edge/Clock.h"
#include "edge/Delay.h"

#include <algorithm>
#include <utility>

namespace quay::edge {

using namespace platform;

namespace {

constexpr auto answerInterval = 15ms; // results within it share an answer
constexpr std::size_t maxResultsPerAnswer = 300; // some 300 KB at three running tasks each
constexpr unsigned statusMalformed = 400;
constexpr unsigned statusReplaced = 409;

} // namespace

HttpRequest relayPost(std::string body)
{
    auto request = jsonPost(relayPath, std::move(body));
    request.headers["Content-Type"] = "application/x-protobuf";
    return request;
}

void callExecutor(
    ExecutorClient& executors, const RelayCall& call, std::function<void(HeartbeatResponse)> done)
{
    const auto orderDone = [done](OrderResponse response) { done({ std::move(response), std::nullopt }); };
    switch (call.kind) {
    case RelayCallKind::Start:
        executors.start(call.target, call.order, call.timeout, orderDone);
        break;
    case RelayCallKind::Stop:
        executors.stop(call.target, call.order.task, call.order.run, call.timeout, orderDone);
        break;
    case RelayCallKind::Throttle:
        executors.throttle(
            call.target, call.order.task, call.order.run, call.percent, call.timeout, orderDone);
        break;
    case RelayCallKind::Heartbeat:
        executors.heartbeat(call.target, call.acknowledgedEnd, call.order.leaseUntilClockMs, call.wait,
            call.timeout, std::move(done));
        break;
    }
}

OrderRelay::OrderRelay(boost::asio::io_context& context, ExecutorClient& executors, StartGuard& guard)
    : m_context(context)
    , m_executors(executors)
    , m_guard(guard)
{
}

void OrderRelay::serve(const HttpRequest& request, Respond respond)
{
    HttpResponse response;
    const auto relayRequest = decodeRelayRequest(request.body);
    if (!relayRequest || relayRequest->session < m_session) {
        response.status = relayRequest ? statusReplaced : statusMalformed;
        respond(std::move(response));
        return;
    }
    if (relayRequest->session > m_session) { // results for an earlier leader are of no use
        m_session = relayRequest->session;
        m_results.clear();
        if (m_waiting)
            std::exchange(m_waiting, nullptr)(takeResults());
    }
    if (m_waiting && relayRequest->calls.empty())
        std::exchange(m_waiting, nullptr)(takeResults());
    for (const auto& call : relayRequest->calls) {
        if (const auto held = m_guard.check(call, clockNow()); held != StartHold::None) {
            callAnswered(m_session, { call.number, heldResponse(held), held == StartHold::Blind });
            continue;
        }
        callExecutor(
            m_executors, call, [this, session = m_session, number = call.number](HeartbeatResponse answer) {
                callAnswered(session, { number, std::move(answer) });
            });
    }
    if (!relayRequest->calls.empty()) {
        respond(takeResults());
        return;
    }
    m_waiting = std::move(respond);
    const auto number = ++m_waitNumber;
    callLater(m_context, relayRequest->wait, [this, number] {
        if (number == m_waitNumber && m_waiting)
            std::exchange(m_waiting, nullptr)(takeResults());
    });
    answerWaiting();
}

void OrderRelay::callAnswered(std::int64_t session, RelayResult result)
{
    if (session != m_session)
        return;
    m_results.push_back(std::move(result));
    answerWaiting();
}

void OrderRelay::answerWaiting()
{
    if (m_results.empty() || !m_waiting || m_isAnswerScheduled)
        return;
    const auto sinceLast = clockNow() - m_lastAnswer;
    m_isAnswerScheduled = true;
    // Not at once: the calls of one request are often answered together.
    callLater(m_context, std::max<Duration>(answerInterval - sinceLast, Duration::zero()), [this] {
        m_isAnswerScheduled = false;
        if (!m_results.empty() && m_waiting)
            std::exchange(m_waiting, nullptr)(takeResults());
    });
}

HttpResponse OrderRelay::takeResults()
{
    m_lastAnswer = clockNow();
    const auto count = std::min(m_results.size(), maxResultsPerAnswer);
    const auto end = m_results.begin() + static_cast<std::ptrdiff_t>(count);
    std::vector<RelayResult> taken(std::make_move_iterator(m_results.begin()), std::make_move_iterator(end));
    m_results.erase(m_results.begin(), end);
    HttpResponse response;
    response.contentType = "application/x-protobuf";
    response.body = encode(taken);
    return response;
}

} // namespace quay::edge
