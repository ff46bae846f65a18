#pragma once

#include "net/HttpServer.h"
#include "quay/core/Fleet.h"
#include "quay/core/Time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace quay::standin {

/** One start of a task as this worker saw it: the worker's own ledger, which tests judge by. */
struct LedgerEntry {
    std::string task;
    std::uint32_t attempt = 0;
    std::uint64_t epoch = 0;
    std::string team;
    Resources size;
    std::int64_t startUs = 0; // of the machine's monotonic clock, comparable between processes
    std::int64_t endUs = 0; // 0 while it runs
    bool succeeded = false;
    std::string why; // "done", "failed", "stopped", "lease lapsed"
};

/** How a worker misbehaves. */
struct WorkerFaults {
    bool failAll = false; // every task fails at once
    bool refuseAll = false; // every start is refused
};

/**
 * Stand-in for a worker: runs "tasks" (timers) under leases and keeps its own ledger.
 * A task's payload may be JSON: {"run_ms": 50, "fail": true, "output": "text"}; a task without run_ms ends
 * after 50 ms, one with run_ms 0 runs until it is stopped.
 */
class Worker {
public:
    Worker(boost::asio::io_context& context, ServerInfo info, const std::string& listen,
        Duration startGrace = 3s);

    const ServerInfo& info() const { return m_info; }

private:
    using Key = std::pair<std::string, std::uint32_t>; // task and attempt

    struct Running {
        std::size_t ledgerIndex = 0;
        std::unique_ptr<boost::asio::steady_timer> end;
        std::unique_ptr<boost::asio::steady_timer> lease;
        bool willFail = false;
        std::string output;
    };
    struct Ended {
        bool succeeded = false;
        std::string result;
    };

    HttpResponse handle(const HttpRequest& request);
    HttpResponse start(const std::string& body);
    HttpResponse renew(const std::string& body);
    HttpResponse stop(const std::string& body);
    HttpResponse acknowledge(const std::string& body);
    HttpResponse report() const;
    HttpResponse ledger() const;
    HttpResponse setFaults(const std::string& body);
    std::string whyRefused(const Key& key, std::uint64_t epoch, const Resources& size) const;
    void run(const Key& key, LedgerEntry entry, int leaseMs, const std::string& payload);
    void armLease(const Key& key, int leaseMs);
    void finish(const Key& key, bool succeeded, std::string result, std::string why);

    boost::asio::io_context& m_context;
    ServerInfo m_info;
    HttpServer m_server;
    std::string m_incarnation;
    Instant m_startedAt;
    Duration m_startGrace; // starts sent to a former incarnation may arrive this long after our own start
    std::uint64_t m_epoch = 0; // highest seen
    Resources m_used;
    std::uint64_t m_capacityViolations = 0;
    std::map<Key, Running> m_running;
    std::map<Key, Ended> m_ended; // until acknowledged
    std::map<Key, std::string>
        m_closed; // refused, stopped or acknowledged attempts, and why they can't start
    std::vector<LedgerEntry> m_ledger;
    WorkerFaults m_faults;
};

} // namespace quay::standin
