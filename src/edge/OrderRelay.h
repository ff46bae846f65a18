#pragma once

#include "edge/RelayCodec.h"
#include "edge/StartGuard.h"
#include "net/HttpServer.h"

#include <boost/asio/io_context.hpp>
#include <optional>
#include <vector>

namespace quay::edge {

constexpr const char* relayPath = "/peer/relay";
constexpr unsigned relayOk = 200;

/** A request to a relay node. */
HttpRequest relayPost(std::string body);

/** Makes the call through the client. */
void callExecutor(platform::ExecutorClient& executors, const RelayCall& call,
    std::function<void(platform::HeartbeatResponse)> done);

/**
 * The part of a node that carries out the leader's calls to executors of its zone. A request with calls is
 * answered at once, one without waits for the next result; either answer carries all results that are ready.
 * Requests with a lower session than an earlier one are refused: their leader has been replaced. A start that
 * the guard holds back is answered as unreachable: nothing was sent.
 *
 * Usage: `OrderRelay relay(context, executors, guard); relay.serve(request, respond);`
 */
class OrderRelay {
public:
    OrderRelay(boost::asio::io_context& context, platform::ExecutorClient& executors, StartGuard& guard);

    void serve(const HttpRequest& request, Respond respond);

private:
    void callAnswered(std::int64_t session, RelayResult result);
    void answerWaiting();
    HttpResponse takeResults();

    boost::asio::io_context& m_context;
    platform::ExecutorClient& m_executors;
    StartGuard& m_guard;
    std::int64_t m_session = 0;
    std::vector<RelayResult> m_results; // not sent yet
    Respond m_waiting; // of a request that waits for results; may be empty
    std::uint64_t m_waitNumber = 0; // of m_waiting
    Instant m_lastAnswer {};
    bool m_isAnswerScheduled = false;
};

} // namespace quay::edge
