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
struct RunRecord {
    std::string task;
    std::uint32_t attempt = 0;
    std::uint64_t epoch = 0;
    std::string team;
    Resources size;
    std::int64_t startUs = 0; // of the machine's monotonic clock, comparable between processes
    std::int64_t endUs = 0; // 0 while it runs
    bool succeeded = false;
    std::string reason; // "done", "failed", "stopped", "lease lapsed"
};

/** How a worker misbehaves. */
struct WorkerFaults {
    bool failsAllTasks = false; // every task fails at once
    bool refusesAllStarts = false; // every start is refused
};

/**
 * Stand-in for a worker: runs "tasks" (timers) under leases and keeps its own ledger.
 * A task's payload may be JSON: {"run_ms": 50, "fail": true, "output": "text"}; a task without run_ms ends
 * after 50 ms, one with run_ms 0 runs until it is stopped.
 */
class Worker {
public:
    Worker(boost::asio::io_context& context, ServerInfo info, const std::string& listen,
        Duration startGracePeriod = 3s);

    const ServerInfo& info() const { return m_info; }

private:
    using AttemptKey = std::pair<std::string, std::uint32_t>; // task and attempt

    struct RunningAttempt {
        std::size_t recordIndex = 0;
        std::unique_ptr<boost::asio::steady_timer> endTimer;
        std::unique_ptr<boost::asio::steady_timer> leaseTimer;
        bool willFail = false;
        std::string output;
    };
    struct EndedAttempt {
        bool succeeded = false;
        std::string result;
    };

    HttpResponse handle(const HttpRequest& request);
    HttpResponse start(const std::string& body);
    HttpResponse renew(const std::string& body);
    HttpResponse stop(const std::string& body);
    HttpResponse acknowledge(const std::string& body);
    HttpResponse report() const;
    HttpResponse runRecords() const;
    HttpResponse setFaults(const std::string& body);
    std::string refusalReason(const AttemptKey& key, std::uint64_t epoch, const Resources& size) const;
    void run(const AttemptKey& key, RunRecord record, int leaseMs, const std::string& payload);
    void startLeaseTimer(const AttemptKey& key, int leaseMs);
    void finish(const AttemptKey& key, bool succeeded, std::string result, std::string reason);

    boost::asio::io_context& m_context;
    ServerInfo m_info;
    HttpServer m_server;
    std::string m_incarnation;
    Instant m_startedAt;
    Duration
        m_startGracePeriod; // starts sent to a former incarnation may arrive this long after our own start
    std::uint64_t m_highestEpoch = 0; // highest seen
    Resources m_usedResources;
    std::uint64_t m_capacityViolations = 0;
    std::map<AttemptKey, RunningAttempt> m_runningAttempts;
    std::map<AttemptKey, EndedAttempt> m_endedAttempts; // until acknowledged
    std::map<AttemptKey, std::string>
        m_closedAttempts; // refused, stopped or acknowledged attempts, and why they can't start
    std::vector<RunRecord> m_runRecords;
    WorkerFaults m_faults;
};

} // namespace quay::standin
