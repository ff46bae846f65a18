#include "edge/StoreCircuitBreaker.h"

#include "edge/Clock.h"
#include "edge/JobRows.h"

#include <algorithm>

namespace quay::edge {

using namespace platform;

namespace {

constexpr auto initialLatency = 40ms; // one transaction and one round trip across failure domains
constexpr auto minTimeout = 350ms; // a lost packet is retransmitted after 200 ms
constexpr auto maxTimeout = 1200ms; // allows two attempts within the default deadline of 3 s
constexpr int timeoutPerLatency = 5;
constexpr int smoothingWeight = 8; // the newest call has a weight of 1 / smoothingWeight
constexpr int maxConsecutiveRefusals = 2;
constexpr auto probeInterval = 120ms;

} // namespace

StoreCircuitBreaker::StoreCircuitBreaker(boost::asio::io_context& context, StoreClient& store, NodeLog& log)
    : m_store(store)
    , m_log(log)
    , m_timer(context)
    , m_averageLatency(initialLatency)
{
}

Duration StoreCircuitBreaker::timeout() const
{
    return std::clamp<Duration>(m_averageLatency * timeoutPerLatency, minTimeout, maxTimeout);
}

void StoreCircuitBreaker::recordOutcome(const StoreResult& result, Instant sentAt, Instant now)
{
    if (result.outcome == StoreOutcome::Ok || result.outcome == StoreOutcome::ConditionFailed) {
        m_consecutiveRefusals = 0;
        m_lastAnsweredSentAt = std::max(m_lastAnsweredSentAt, sentAt);
        m_averageLatency = (m_averageLatency * (smoothingWeight - 1) + (now - sentAt)) / smoothingWeight;
        return;
    }
    if (result.outcome == StoreOutcome::NotApplied && ++m_consecutiveRefusals < maxConsecutiveRefusals)
        return;
    if (result.outcome == StoreOutcome::Unknown) {
        m_averageLatency = std::min<Duration>(m_averageLatency * 2, maxTimeout);
        if (m_lastAnsweredSentAt > sentAt)
            return; // only this connection failed: calls that were sent later were answered
    }
    trip(result.detail);
}

void StoreCircuitBreaker::trip(const std::string& reason)
{
    if (!m_allowsRequests)
        return;
    m_allowsRequests = false;
    m_trippedAt = clockNow();
    m_log.write("store_gate_closed", {}, { { "reason", reason } });
    probe();
}

void StoreCircuitBreaker::probe()
{
    const auto sentAt = clockNow();
    m_store.readRow(
        leadershipTable, cellPartition, leadershipKey, timeout(), [this, sentAt](StoreResult result) {
            const auto now = clockNow();
            if (result.outcome == StoreOutcome::Ok) {
                m_allowsRequests = true;
                m_consecutiveRefusals = 0;
                m_averageLatency = now - sentAt;
                m_log.write("store_gate_open", {},
                    { { "closed_ms", std::to_string(toMilliseconds(now - m_trippedAt)) } });
                return;
            }
            m_timer.expires_after(probeInterval);
            m_timer.async_wait([this](boost::system::error_code ec) {
                if (!ec)
                    probe();
            });
        });
}

} // namespace quay::edge
