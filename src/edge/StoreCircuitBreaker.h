#pragma once

#include "StoreClient.h"
#include "edge/NodeLog.h"

#include <boost/asio/steady_timer.hpp>

namespace quay::edge {

/**
 * Circuit breaker for the store calls of the job API. While the store does not answer, new requests are
 * refused immediately as not run, instead of being sent with an unknown outcome. One probe at a time detects
 * when the store answers again. The breaker also derives the timeout of calls from their latency.
 *
 * Usage: `if (!breaker.allowsRequests()) refuse(); else store.transact(t, breaker.timeout(), [&](auto r) {
 * breaker.recordOutcome(r, sentAt, now); });`
 */
class StoreCircuitBreaker {
public:
    StoreCircuitBreaker(boost::asio::io_context& context, platform::StoreClient& store, NodeLog& log);

    bool allowsRequests() const { return m_allowsRequests; }
    /**
     * Time after which a call counts as unanswered: a multiple of the average latency, within fixed
     * bounds.
     */
    Duration timeout() const;
    /** Records the outcome of a call that was sent at `sentAt` and ended at `now`. */
    void recordOutcome(const platform::StoreResult& result, Instant sentAt, Instant now);

private:
    void trip(const std::string& reason);
    void probe();

    platform::StoreClient& m_store;
    NodeLog& m_log;
    boost::asio::steady_timer m_timer;
    bool m_allowsRequests = true;
    int m_consecutiveRefusals = 0;
    Duration m_averageLatency; // moving average over answered calls; doubled by each unknown outcome
    Instant m_lastAnsweredSentAt; // latest send time of an answered call
    Instant m_trippedAt;
};

} // namespace quay::edge
