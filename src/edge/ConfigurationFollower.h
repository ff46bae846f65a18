#pragma once

#include "StoreClient.h"
#include "edge/DecisionLog.h"
#include "quay/fleet/FleetConfiguration.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace quay::edge {

/**
 * Follows the operator's configuration in the store by long polls, and so knows whether the store answers.
 *
 * Usage: `ConfigurationFollower follower(io, store, log, [](const auto& configuration) { ... });
 * follower.start();`
 */
class ConfigurationFollower {
public:
    using Changed = std::function<void(const fleet::FleetConfiguration&)>;

    ConfigurationFollower(
        boost::asio::io_context& context, platform::StoreClient& store, DecisionLog& log, Changed changed);

    void start();
    /** Reads the row at once; for a hint that there is a newer version. */
    void refresh();

    /** Null until the first version was read. */
    std::shared_ptr<const fleet::FleetConfiguration> current() const { return m_current; }
    std::int64_t version() const { return m_current ? m_current->version : 0; }
    /** True while the store has answered lately. */
    bool isStoreReachable(Instant now) const;

private:
    void readAll();
    void follow();
    void retryLater(bool fromStart);
    void apply(const platform::StoreRow& row);
    void heard(bool ok, const std::string& detail);

    boost::asio::io_context& m_context;
    platform::StoreClient& m_store;
    DecisionLog& m_log;
    Changed m_changed;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<const fleet::FleetConfiguration> m_current;
    std::int64_t m_seen = 0; // version of the store up to which changes were read
    int m_failures = 0; // in a row
    Instant m_lastAnswer;
    Instant m_lostAt;
    bool m_isRefreshing = false;
};

} // namespace quay::edge
