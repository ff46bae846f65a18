#pragma once

#include "StoreClient.h"
#include "edge/NodeLog.h"
#include "quay/fleet/DomainEvacuation.h"
#include "quay/fleet/FleetConfiguration.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>

namespace quay::edge {

/** Bounds on how long the operator's acknowledged writes may be unknown to a node; zero: none. */
struct ConfigurationBounds {
    Duration maxConfigurationDelay {}; // until a configuration is in force on every node
    Duration maxEvacuationDelay {}; // until the last start in a domain that is to be emptied
};

/**
 * Watches what the operator writes to the store with long polls: the configuration, and the requests to empty
 * failure domains. Their results also tell whether the store is reachable, and since when what the node holds
 * may be out of date: a store that answers may still not have shown the newest configuration.
 *
 * Usage: `ConfigurationWatcher watcher(io, store, log, bounds, [](const auto& configuration) { ... },
 * [](const auto& evacuations) { ... }); watcher.start();`
 */
class ConfigurationWatcher {
public:
    using ChangeCallback = std::function<void(const fleet::FleetConfiguration&)>;
    using EvacuationsCallback = std::function<void(const fleet::EvacuationView&)>;

    /**
     * The polls are so short that the view of evacuations stays well below its bound in age. `onEvacuations`
     * is called with each view, also if only its age is new.
     */
    ConfigurationWatcher(boost::asio::io_context& context, platform::StoreClient& store, NodeLog& log,
        const ConfigurationBounds& bounds, ChangeCallback onChange, EvacuationsCallback onEvacuations);

    void start();
    /** Reads the row before the next poll does; for use when a peer reports a newer version. */
    void refresh();
    /** Applies the configuration that a peer has read, unless it is invalid or not newer. */
    void applyFromPeer(const std::string& text);
    /** A peer knows that `version` was the newest at `asOf`. */
    void confirmByPeer(std::int64_t version, Instant asOf);

    /** Null until the first version has been read. */
    std::shared_ptr<const fleet::FleetConfiguration> current() const { return m_current; }
    /** The text from which current() was decoded; null until the first version has been read. */
    std::shared_ptr<const std::string> currentText() const { return m_currentText; }
    std::int64_t version() const { return m_current ? m_current->version : 0; }
    /** The requests to empty failure domains as they were last read. */
    const fleet::EvacuationView& evacuations() const { return m_evacuations; }
    /**
     * A moment at which the store had no newer configuration than `current()`; zero if there is none. What
     * was acknowledged after it may be missing.
     */
    Instant currentAsOf() const { return m_currentAsOf; }
    /** True if a configuration that was acknowledged longer ago than the bound can't be missing. */
    bool isCurrent(Instant now) const;
    /** True once several calls in a row have failed, until one is answered. */
    bool isStoreLost() const;
    /** True if the store has answered recently. */
    bool isStoreReachable(Instant now) const;

private:
    // A reading of all of the operator's rows that this class knows, page by page.
    struct FullRead {
        Instant startedAt; // when the first page was requested
        std::int64_t version = 0; // of the first page
        std::string nextKey;
        std::vector<platform::StoreRow> rows;
    };

    void readAll();
    void readPage(std::shared_ptr<FullRead> read);
    void fullyRead(const FullRead& read);
    void watch();
    void retryLater(bool fromStart);
    void applyNewestConfiguration(const std::vector<platform::StoreRow>& rows);
    bool applyConfiguration(const std::string& text);
    void applyEvacuation(const platform::StoreRow& row);
    void removeEvacuation(const std::string& domain);
    void publishEvacuations(Instant readAt);
    void recordOutcome(bool ok, const std::string& detail);
    void logRead(std::string_view read, const platform::StoreResult& result, Instant sentAt);
    void confirmCurrent(Instant asOf);

    boost::asio::io_context& m_context;
    platform::StoreClient& m_store;
    NodeLog& m_log;
    Duration m_maxAge; // of the configuration; zero: unbounded
    Duration m_pollWait;
    ChangeCallback m_onChange;
    EvacuationsCallback m_onEvacuations;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<const fleet::FleetConfiguration> m_current;
    std::shared_ptr<const std::string> m_currentText;
    Instant m_currentAsOf {};
    fleet::EvacuationView m_evacuations;
    std::map<std::string, std::int64_t> m_requests; // versions of the rows, by failure domain
    // Of the last poll, beyond its wait. All of m_pollWait: the next poll must not wait.
    Duration m_answerDelay {};
    bool m_hadConfiguration = false; // the last poll's answer
    std::int64_t m_lastVersionRead = 0; // store version up to which changes have been read
    int m_consecutiveFailures = 0;
    Instant m_lastAnswerAt;
    Instant m_lostAt;
    bool m_isRefreshing = false;
};

} // namespace quay::edge
