#pragma once

#include "net/HttpServer.h"
#include "quay/core/Time.h"

#include <atomic>
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
 * Simulation of the users' platform for tests, on a thread of its own: a store with rows, transactions and
 * changes, an approval service that approves all workers, and executors with fencing tokens, leases and
 * acknowledged ends. It refuses the requests that the platform's published documentation says are refused.
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

    /** The address for nodes that the store may refuse while it serves the others. */
    std::string otherStoreAddress() const { return m_otherStore->address(); }
    /** While true, store calls to otherStoreAddress() get a response with status 503. */
    void refuseOtherAddress(bool isRefusing) { m_isRefusingOtherAddress = isRefusing; }

    /** Writes the operator's configuration. */
    void configure(const std::string& configuration);
    /** Writes a row of any table. */
    void writeRow(const std::string& table, const std::string& partition, const std::string& key,
        const std::string& value);
    /** Removes a row; the change feed has it as removed. */
    void removeRow(const std::string& table, const std::string& partition, const std::string& key);
    /** Writes a row with a value that is not encoded, so that it may be invalid base64. */
    void writeEncodedRow(const std::string& table, const std::string& partition, const std::string& key,
        const std::string& base64);
    /** The registration row that the executor wrote when it started. */
    std::string registration(std::size_t executor) const;
    /** While true, all store calls get a response with status 503. */
    void setStoreUnavailable(bool isUnavailable);
    /** From now on, transactions on the partition get a response with status 429; empty: on none. */
    void setBusyPartition(const std::string& partition);
    /** From now on, transactions on the partition wait; with an empty name those that wait are executed. */
    void holdPartition(const std::string& partition);
    /** From now on, reads of the table at otherStoreAddress() wait; with an empty name, they are answered. */
    void holdOtherReads(const std::string& table);
    /** While true, transactions are neither applied nor answered. Reads are served as usual. */
    void dropTransactions(bool isDropping);
    /** The number of dropped transactions so far that name the table. */
    std::size_t droppedWrites(const std::string& table) const;
    /** Sets how long runs take that start from now on. */
    void setTaskDuration(Duration time);
    /** Removes the history of changes, so that requests for earlier changes get status 410. */
    void truncateHistory();

    /** The number of runs that executors have started so far. */
    std::size_t startedRuns() const;
    /** The scheduler's violations so far: concurrent runs of a task, and starts after an acknowledged end. */
    std::vector<std::string> violations() const;

private:
    struct Executor;
    struct Row {
        std::string value; // base64, as received
        std::int64_t version = 0;
    };
    using RowName = std::tuple<std::string, std::string, std::string>; // table, partition, key
    struct Change {
        std::int64_t version = 0;
        RowName row;
    };
    using HeldCall = std::pair<HttpRequest, Respond>;

    void serveOtherStore(const HttpRequest& request, Respond respond);
    void serveStore(const HttpRequest& request, Respond respond);
    void answerHeld(std::vector<HeldCall>& calls, HttpResponse (FleetPlatform::*call)(const HttpRequest&));
    HttpResponse transact(const HttpRequest& request);
    HttpResponse readRows(const HttpRequest& request);
    HttpResponse listPartitions(const HttpRequest& request);
    void pollChanges(const HttpRequest& request, const Respond& respond, Instant waitUntil);
    HttpResponse approve(const HttpRequest& request) const;
    void serveExecutor(Executor& executor, const HttpRequest& request, const Respond& respond);
    HttpResponse start(Executor& executor, const boost::json::object& body);
    HttpResponse stop(Executor& executor, const boost::json::object& body);
    void heartbeat(
        Executor& executor, const boost::json::object& body, const Respond& respond, Instant waitUntil);
    void endDueRuns(Executor& executor); // whose lease or duration has passed
    void dropRow(const RowName& name);
    void putRow(const RowName& name, const std::string& value);
    boost::json::object encodeRow(const RowName& name, const Row& row) const;
    void runAfter(Duration delay, std::function<void()> action);

    // Guards the members below that change after construction: the servers' thread and the test use them.
    mutable std::mutex m_mutex;
    boost::asio::io_context m_context;
    std::map<RowName, Row> m_rows;
    std::map<RowName, std::int64_t> m_removedRows; // with the versions of their removals
    std::vector<Change> m_changes; // in the order of their versions, from m_oldestKeptVersion on
    std::int64_t m_oldestKeptVersion = 1;
    std::int64_t m_version = 0;
    bool m_isStoreUnavailable = false;
    std::string m_busyPartition;
    std::string m_heldPartition;
    std::vector<HeldCall> m_heldTransactions;
    std::string m_tableWithHeldReads;
    std::vector<HeldCall> m_heldReads;
    bool m_isDroppingTransactions = false;
    // The bodies, each with the callback that keeps its connection open.
    std::vector<std::pair<std::string, Respond>> m_droppedTransactions;
    Duration m_taskDuration = 50ms;
    std::size_t m_startedRuns = 0;
    std::set<std::string> m_acknowledgedTasks; // tasks whose end as done was acknowledged
    std::vector<std::string> m_violations;
    std::unique_ptr<HttpServer> m_store;
    std::unique_ptr<HttpServer> m_otherStore;
    std::atomic<bool> m_isRefusingOtherAddress = false;
    std::vector<std::unique_ptr<Executor>> m_executors;
    std::thread m_thread;
};

} // namespace quay::standin
