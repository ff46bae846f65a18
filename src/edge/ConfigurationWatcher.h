#pragma once

#include "StoreClient.h"
#include "edge/NodeLog.h"
#include "quay/fleet/FleetConfiguration.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace quay::edge {

/**
 * Watches the operator's configuration row in the store with long polls. Their results also tell whether the
 * store is reachable.
 *
 * Usage: `ConfigurationWatcher watcher(io, store, log, [](const auto& configuration) { ... });
 * watcher.start();`
 */
class ConfigurationWatcher {
public:
    using ChangeCallback = std::function<void(const fleet::FleetConfiguration&)>;

    ConfigurationWatcher(boost::asio::io_context& context, platform::StoreClient& store, NodeLog& log,
        ChangeCallback onChange);

    void start();
    /** Reads the row immediately; for use when a peer reports a newer version. */
    void refresh();

    /** Null until the first version has been read. */
    std::shared_ptr<const fleet::FleetConfiguration> current() const { return m_current; }
    std::int64_t version() const { return m_current ? m_current->version : 0; }
    /** True if the store has answered recently. */
    bool isStoreReachable(Instant now) const;

private:
    void readAll();
    void watch();
    void retryLater(bool fromStart);
    void apply(const platform::StoreRow& row);
    void recordOutcome(bool ok, const std::string& detail);

    boost::asio::io_context& m_context;
    platform::StoreClient& m_store;
    NodeLog& m_log;
    ChangeCallback m_onChange;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<const fleet::FleetConfiguration> m_current;
    std::int64_t m_lastVersionRead = 0; // store version up to which changes have been read
    int m_consecutiveFailures = 0;
    Instant m_lastAnswerAt;
    Instant m_lostAt;
    bool m_isRefreshing = false;
};

} // namespace quay::edge
