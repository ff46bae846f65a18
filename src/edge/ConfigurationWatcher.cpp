#include "edge/ConfigurationWatcher.h"

#include "Wire.h"
#include "edge/Clock.h"

namespace quay::edge {

using namespace platform;

namespace {

// A new version must take effect within 2 s; this leaves time for one retry.
constexpr auto pollWait = 1400ms;
constexpr auto pollTimeout = pollWait + 400ms;
constexpr auto readTimeout = 800ms;
constexpr auto retryDelay = 120ms;
constexpr auto maxAnswerAge = 2300ms; // one poll with its timeout, and a retry
constexpr int maxConsecutiveFailures = 2;

} // namespace

ConfigurationWatcher::ConfigurationWatcher(
    boost::asio::io_context& context, StoreClient& store, NodeLog& log, ChangeCallback onChange)
    : m_context(context)
    , m_store(store)
    , m_log(log)
    , m_onChange(std::move(onChange))
    , m_timer(context)
{
}

void ConfigurationWatcher::start() { readAll(); }

bool ConfigurationWatcher::isStoreReachable(Instant now) const
{
    return m_consecutiveFailures < maxConsecutiveFailures && m_lastAnswerAt != Instant {}
    && now - m_lastAnswerAt < maxAnswerAge;
}

void ConfigurationWatcher::recordOutcome(bool ok, const std::string& detail)
{
    const auto now = clockNow();
    if (ok) {
        if (m_consecutiveFailures >= maxConsecutiveFailures)
            m_log.write(
                "store_regained", {}, { { "outage_ms", std::to_string(toMilliseconds(now - m_lostAt)) } });
        m_consecutiveFailures = 0;
        m_lastAnswerAt = now;
        return;
    }
    if (++m_consecutiveFailures == maxConsecutiveFailures) {
        m_lostAt = now;
        m_log.write("store_lost", {}, { { "reason", detail } });
    }
}

void ConfigurationWatcher::readAll()
{
    m_store.readRow(std::string(operatorTable), "", std::string(configurationKey), readTimeout,
        [this](StoreResult result) {
            recordOutcome(result.outcome == StoreOutcome::Ok, result.detail);
            if (result.outcome != StoreOutcome::Ok) {
                retryLater(true);
                return;
            }
            for (const auto& row : result.rows)
                apply(row);
            m_lastVersionRead = result.version;
            if (m_current)
                watch();
            else
                retryLater(true);
        });
}

void ConfigurationWatcher::refresh()
{
    if (m_isRefreshing)
        return;
    m_isRefreshing = true;
    m_store.readRow(std::string(operatorTable), "", std::string(configurationKey), readTimeout,
        [this](StoreResult result) {
            m_isRefreshing = false;
            for (const auto& row : result.rows)
                apply(row);
        });
}

void ConfigurationWatcher::watch()
{
    m_store.pollChanges(
        std::string(operatorTable), m_lastVersionRead, pollWait, pollTimeout, [this](StoreResult result) {
            const bool isAnswered
                = result.outcome == StoreOutcome::Ok || result.outcome == StoreOutcome::HistoryTruncated;
            recordOutcome(isAnswered, result.detail);
            if (result.outcome == StoreOutcome::HistoryTruncated) {
                readAll();
                return;
            }
            if (!isAnswered) {
                retryLater(false);
                return;
            }
            for (const auto& row : result.rows)
                apply(row);
            m_lastVersionRead = std::max(m_lastVersionRead, result.version);
            watch();
        });
}

void ConfigurationWatcher::retryLater(bool fromStart)
{
    m_timer.expires_after(retryDelay);
    m_timer.async_wait([this, fromStart](boost::system::error_code ec) {
        if (ec)
            return;
        if (fromStart)
            readAll();
        else
            watch();
    });
}

void ConfigurationWatcher::apply(const StoreRow& row)
{
    // The change feed has the rows of all partitions; the operator writes to the one without a name.
    if (!row.partition.empty() || row.key != configurationKey || row.isDeleted)
        return;
    Reason reason;
    auto configuration = decodeConfiguration(row.value, reason);
    if (!configuration) {
        m_log.write("configuration_unreadable", {}, { { "reason", reason.explain() } });
        return;
    }
    if (m_current && configuration->version <= m_current->version)
        return;
    m_current = std::make_shared<const fleet::FleetConfiguration>(std::move(*configuration));
    m_log.write("configuration_in_force", {},
        { { "version", std::to_string(m_current->version) },
            { "queues", std::to_string(m_current->queues.size()) },
            { "teams", std::to_string(m_current->teams.size()) } });
    m_onChange(*m_current);
}

} // namespace quay::edge
