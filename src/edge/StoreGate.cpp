#include "edge/StoreGate.h"

#include "edge/JobRows.h"

#include <algorithm>

namespace quay::edge {

using namespace platform;

namespace {

constexpr auto usualAtFirst = 40ms; // a transaction and a round trip across failure domains
constexpr auto shortestTimeout = 350ms; // one lost packet is sent again after 200 ms
constexpr auto longestTimeout = 1200ms; // two tries inside a caller's deadline of 3 s
constexpr int timeoutFactor = 5;
constexpr int smoothing = 8; // weight of the past against the newest exchange
constexpr int refusalsUntilClosed = 2;
constexpr auto probeInterval = 120ms;

} // namespace

StoreGate::StoreGate(boost::asio::io_context& context, StoreClient& store, DecisionLog& log)
    : m_store(store)
    , m_log(log)
    , m_timer(context)
    , m_usual(usualAtFirst)
{
}

Duration StoreGate::timeout() const
{
    return std::clamp<Duration>(m_usual * timeoutFactor, shortestTimeout, longestTimeout);
}

void StoreGate::heard(const StoreResult& result, Instant sentAt, Instant now)
{
    if (result.outcome == StoreOutcome::Ok || result.outcome == StoreOutcome::ConditionFailed) {
        m_refusals = 0;
        m_lastAnswer = std::max(m_lastAnswer, sentAt);
        m_usual = (m_usual * (smoothing - 1) + (now - sentAt)) / smoothing;
        return;
    }
    if (result.outcome == StoreOutcome::NotApplied && ++m_refusals < refusalsUntilClosed)
        return;
    if (result.outcome == StoreOutcome::Unknown) {
        m_usual = std::min<Duration>(m_usual * 2, longestTimeout);
        if (m_lastAnswer > sentAt)
            return; // one dead connection: exchanges that were sent later were answered
    }
    close(result.detail);
}

void StoreGate::close(const std::string& reason)
{
    if (!m_isPassable)
        return;
    m_isPassable = false;
    m_closedAt = std::chrono::steady_clock::now();
    m_log.write("store_gate_closed", {}, { { "reason", reason } });
    probe();
}

void StoreGate::probe()
{
    const auto sentAt = std::chrono::steady_clock::now();
    m_store.readRow(leadTable, cellPartition, leadKey, timeout(), [this, sentAt](StoreResult result) {
        const auto now = std::chrono::steady_clock::now();
        if (result.outcome == StoreOutcome::Ok) {
            m_isPassable = true;
            m_refusals = 0;
            m_usual = now - sentAt;
            m_log.write(
                "store_gate_open", {}, { { "closed_ms", std::to_string(toMilliseconds(now - m_closedAt)) } });
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
