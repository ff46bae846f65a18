#include "edge/ConfigurationFollower.h"

#include "Wire.h"

namespace quay::edge {

using namespace platform;

namespace {

constexpr auto pollWait
    = 1400ms; // under the 2 s in which a version must be in force, with room for one retry
constexpr auto pollTimeout = pollWait + 400ms;
constexpr auto readTimeout = 800ms;
constexpr auto retryPause = 120ms;
constexpr auto reachableFor = 2300ms; // one poll, its timeout and a retry
constexpr int failuresUntilLost = 2;

} // namespace

ConfigurationFollower::ConfigurationFollower(
    boost::asio::io_context& context, StoreClient& store, DecisionLog& log, Changed changed)
    : m_context(context)
    , m_store(store)
    , m_log(log)
    , m_changed(std::move(changed))
    , m_timer(context)
{
}

void ConfigurationFollower::start() { readAll(); }

bool ConfigurationFollower::isStoreReachable(Instant now) const
{
    return m_failures < failuresUntilLost && m_lastAnswer != Instant {} && now - m_lastAnswer < reachableFor;
}

void ConfigurationFollower::heard(bool ok, const std::string& detail)
{
    const auto now = std::chrono::steady_clock::now();
    if (ok) {
        if (m_failures >= failuresUntilLost)
            m_log.write(
                "store_regained", {}, { { "outage_ms", std::to_string(toMilliseconds(now - m_lostAt)) } });
        m_failures = 0;
        m_lastAnswer = now;
        return;
    }
    if (++m_failures == failuresUntilLost) {
        m_lostAt = now;
        m_log.write("store_lost", {}, { { "reason", detail } });
    }
}

void ConfigurationFollower::readAll()
{
    m_store.readRow(std::string(operatorTable), "", std::string(configurationKey), readTimeout,
        [this](StoreResult result) {
            heard(result.outcome == StoreOutcome::Ok, result.detail);
            if (result.outcome != StoreOutcome::Ok) {
                retryLater(true);
                return;
            }
            for (const auto& row : result.rows)
                apply(row);
            m_seen = result.version;
            if (m_current)
                follow();
            else
                retryLater(true);
        });
}

void ConfigurationFollower::refresh()
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

void ConfigurationFollower::follow()
{
    m_store.pollChanges(
        std::string(operatorTable), m_seen, pollWait, pollTimeout, [this](StoreResult result) {
            const bool isAnswered
                = result.outcome == StoreOutcome::Ok || result.outcome == StoreOutcome::HistoryTruncated;
            heard(isAnswered, result.detail);
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
            m_seen = std::max(m_seen, result.version);
            follow();
        });
}

void ConfigurationFollower::retryLater(bool fromStart)
{
    m_timer.expires_after(retryPause);
    m_timer.async_wait([this, fromStart](boost::system::error_code ec) {
        if (ec)
            return;
        if (fromStart)
            readAll();
        else
            follow();
    });
}

void ConfigurationFollower::apply(const StoreRow& row)
{
    if (row.key != configurationKey || row.isDeleted)
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
    m_changed(*m_current);
}

} // namespace quay::edge
