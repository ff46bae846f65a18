#pragma once

#include "StoreClient.h"
#include "edge/NodeLog.h"

#include <boost/asio/steady_timer.hpp>

namespace quay::edge {

/**
 * Watches how the store answers the callers' front. While it does not, new requests are refused at once as
 * not run, instead of being written into the unknown; one probe at a time finds its return.
 *
 * Usage: `if (!gate.allowsRequests()) refuse(); else store.transact(t, gate.timeout(), [&](auto r) {
 * gate.recordOutcome(r, sentAt, now); });`
 */
class StoreCircuitBreaker {
public:
    StoreCircuitBreaker(boost::asio::io_context& context, platform::StoreClient& store, NodeLog& log);

    bool allowsRequests() const { return m_allowsRequests; }
    /** How long an exchange may take before it counts as unanswered. */
    Duration timeout() const;
    /** The outcome of an exchange that was sent at `sentAt`. */
    void recordOutcome(const platform::StoreResult& result, Instant sentAt, Instant now);

private:
    void trip(const std::string& reason);
    void probe();

    platform::StoreClient& m_store;
    NodeLog& m_log;
    boost::asio::steady_timer m_timer;
    bool m_allowsRequests = true;
    int m_refusals = 0; // in a row
    Duration m_averageLatency; // moving average of answered exchanges
    Instant m_lastAnsweredSentAt; // when the newest answered exchange was sent
    Instant m_trippedAt;
};

} // namespace quay::edge
