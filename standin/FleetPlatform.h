#pragma once

#include "net/HttpServer.h"
#include "quay/core/Time.h"

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace quay::standin {

/**
 * A small stand-in of the users' platform for tests: the store with rows, transactions and changes, an
 * approval service that approves all, and executors that fence, hold leases and list ends. It refuses what
 * the published pages say is refused.
 *
 * Usage: `FleetPlatform platform(4); platform.configure(text); ... platform.storeAddress()`
 */
class FleetPlatform {
public:
    explicit FleetPlatform(int executors);
    ~FleetPlatform();
    FleetPlatform(const FleetPlatform&) = delete;
    FleetPlatform& operator=(const FleetPlatform&) = delete;

    std::string storeAddress() const { return m_store->address(); }

    /** Writes the operator's configuration. */
    void configure(const std::string& configuration);
    /** Answers all store calls with 503, or as usual again. */
    void setStoreUnavailable(bool isUnavailable);
    /** Leaves transactions without an answer and does not carry them out, or serves them again; reads are
     * served. */
    void dropTransactions(bool isDropping);
    /** Transactions that came while they were silenced and write the table. */
    std::size_t droppedWrites(const std::string& table) const;
    /** How long a task works from now on. */
    void setTaskDuration(Duration time);
    /** Drops the history of changes: who asks for them must read anew. */
    void truncateHistory();

    std::size_t startedRuns() const;
    /** Rules that were broken: two runs at once, a start after an acknowledged end, capacity. */
    std::vector<std::string> violations() const;

private:
    struct Executor;
    struct Row {
        std::string value; // base64, as it came
        std::int64_t version = 0;
    };
    using RowName = std::tuple<std::string, std::string, std::string>; // table, partition, key

    void serveStore(const HttpRequest& request, Respond respond);
    HttpResponse transact(const HttpRequest& request);
    HttpResponse readRows(const HttpRequest& request);
    void pollChanges(const HttpRequest& request, const Respond& respond, Instant waitUntil);
    HttpResponse approve(const HttpRequest& request) const;
    void serveExecutor(Executor& executor, const HttpRequest& request, const Respond& respond);
    HttpResponse start(Executor& executor, const boost::json::object& body);
    HttpResponse stop(Executor& executor, const boost::json::object& body);
    void heartbeat(
        Executor& executor, const boost::json::object& body, const Respond& respond, Instant waitUntil);
    void endDueRuns(Executor& executor);
    void putRow(const RowName& name, const std::string& value);
    boost::json::object encodeRow(const RowName& name, const Row& row) const;
    void runAfter(Duration delay, std::function<void()> action);

    mutable std::mutex m_mutex; // of all below; the servers' thread and the test use it
    boost::asio::io_context m_context;
    std::map<RowName, Row> m_rows;
    std::vector<RowName> m_changedRows; // by version, from m_oldestKeptVersion on
    std::int64_t m_oldestKeptVersion = 1;
    std::int64_t m_version = 0;
    bool m_isStoreUnavailable = false;
    bool m_isDroppingTransactions = false; // to transactions
    std::vector<std::pair<std::string, Respond>> m_droppedTransactions; // body; kept open
    Duration m_taskDuration = 50ms;
    std::size_t m_startedRuns = 0;
    std::set<std::string> m_acknowledgedTasks; // whose end was acknowledged
    std::vector<std::string> m_violations;
    std::unique_ptr<HttpServer> m_store;
    std::vector<std::unique_ptr<Executor>> m_executors;
    std::thread m_thread;
};

} // namespace quay::standin
