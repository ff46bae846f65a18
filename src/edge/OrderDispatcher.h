#pragma once

#include "edge/NodeLog.h"
#include "edge/RelayCodec.h"
#include "edge/RelayPlan.h"
#include "edge/StartGuard.h"
#include "net/HttpClient.h"
#include "quay/telemetry/Metrics.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>

namespace quay::edge {

/**
 * Sends the leader's calls to executors: in batches through relay nodes where RelayPlan names one, otherwise
 * directly. A relay decides nothing: each call carries its fencing token, and a call that is lost
 * with its relay ends as NoAnswer, like one that an executor did not answer.
 *
 * Usage: `dispatcher.beginSession(term); dispatcher.start(target, order, 90ms, [](OrderResponse
 * answer) { ... });`
 */
class OrderDispatcher {
public:
    /** A start that the guard holds back ends as Unreachable. */
    OrderDispatcher(boost::asio::io_context& context, platform::ExecutorClient& direct, StartGuard& guard,
        NodeLog& log, Metrics& metrics);

    /** Begins to send for a new leader. Results of earlier calls are dropped. */
    void beginSession(std::int64_t term);
    /** Ends the session: the relays get no more requests. */
    void endSession();
    void nodeSeen(const std::string& name, const RelayPlan::Node& node, Instant now);
    void executorSeen(const std::string& id, const std::string& zone) { m_plan.executorSeen(id, zone); }
    void executorGone(const std::string& id) { m_plan.executorGone(id); }

    // The calls of platform::ExecutorClient. `done` is called exactly once, or never if the session ends.

    void start(const platform::OrderTarget& target, const platform::StartOrder& order, Duration timeout,
        std::function<void(platform::OrderResponse)> done);
    void stop(const platform::OrderTarget& target, const fleet::TaskRef& task, int run, Duration timeout,
        std::function<void(platform::OrderResponse)> done);
    void throttle(const platform::OrderTarget& target, const fleet::TaskRef& task, int run, int percent,
        Duration timeout, std::function<void(platform::OrderResponse)> done);
    void heartbeat(const platform::OrderTarget& target, std::int64_t acknowledgedEnd,
        std::int64_t leaseUntilClockMs, Duration wait, Duration timeout,
        std::function<void(platform::HeartbeatResponse)> done);

private:
    using Done = std::function<void(platform::HeartbeatResponse)>;

    struct PendingCall {
        std::string executor;
        std::string relay;
        RelayCallKind kind = RelayCallKind::Heartbeat;
        // An answer of the relay to a request sent later has its result; unset until it is sent.
        Instant resultDueAt = Instant::max();
        Done done;
    };
    // The exchanges with one relay node.
    struct Relay {
        std::vector<RelayCall> queued;
        Instant flushAt = Instant::max();
        int callsInFlight = 0; // requests with calls
        bool isPolling = false; // a request without calls waits for results
        int consecutiveFailures = 0; // of requests
        int consecutiveBadResults = 0; // heartbeats that its executors did not answer
        std::set<std::uint64_t> pending; // numbers of its calls without a result
        std::set<std::pair<Instant, std::uint64_t>> due; // those that were sent, by resultDueAt
    };

    void dispatch(RelayCall call, Duration maxDelay, Done done);
    void sendDirectly(const RelayCall& call, Done done);
    void endHeld(StartHold held, Done done);
    void flushDue();
    void flush(const std::string& name, Relay& relay);
    void poll(const std::string& name);
    void requestFailed(
        const std::string& name, const std::vector<RelayCall>& calls, const HttpResult& answer);
    void applyResults(const std::string& name, const std::string& body, Instant requestSentAt);
    void applyResult(RelayResult result);
    std::optional<PendingCall> takePending(std::uint64_t number);
    void avoidBlind(const std::string& executor, const std::string& name);
    void failLostCalls(const std::string& name, Instant requestSentAt);
    void abandon(const std::string& name, std::string_view reason);
    void scheduleTick();

    platform::ExecutorClient& m_direct;
    StartGuard& m_guard;
    NodeLog& m_log;
    HttpClient m_client;
    RelayPlan m_plan;
    std::map<std::string, Relay> m_relays; // by node name
    std::map<std::uint64_t, PendingCall> m_pending; // relayed calls without a result, by number
    std::uint64_t m_nextNumber = 1;
    std::int64_t m_session = 0; // 0: none
    std::uint64_t m_generation = 0; // incremented with each session; answers of earlier ones are ignored
    bool m_isTicking = false;
    boost::asio::steady_timer m_timer;
    Counter& m_relayedCalls;
    Counter& m_directCalls;
};

} // namespace quay::edge
