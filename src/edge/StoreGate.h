#pragma once

#include "StoreClient.h"
#include "edge/DecisionLog.h"

#include <boost/asio/steady_timer.hpp>

namespace quay::edge {

/**
 * Watches how the store answers the callers' front. While it does not, new requests are refused at once as
 * not run, instead of being written into the unknown; one probe at a time finds its return.
 *
 * Usage: `if (!gate.isPassable()) refuse(); else store.transact(t, gate.timeout(), [&](auto r) {
 * gate.heard(r, sentAt, now); });`
 */
class StoreGate {
public:
    StoreGate(boost::asio::io_context& context, platform::StoreClient& store, DecisionLog& log);

    bool isPassable() const { return m_isPassable; }
    /** How long an exchange may take before it counts as unanswered. */
    Duration timeout() const;
    /** The outcome of an exchange that was sent at `sentAt`. */
    void heard(const platform::StoreResult& result, Instant sentAt, Instant now);

private:
    void close(const std::string& reason);
    void probe();

    platform::StoreClient& m_store;
    DecisionLog& m_log;
    boost::asio::steady_timer m_timer;
    bool m_isPassable = true;
    int m_refusals = 0; // in a row
    Duration m_usual; // moving average of answered exchanges
    Instant m_lastAnswer; // when the newest answered exchange was sent
    Instant m_closedAt;
};

} // namespace quay::edge
