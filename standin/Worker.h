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

/** One run of a task as this worker executed it. Tests check the scheduler against these records. */
struct RunRecord {
    std::string task;
    std::uint32_t attempt = 0;
    std::uint64_t epoch = 0;
    std::string team;
    Resources size;
    std::int64_t startUs = 0; // on the machine's monotonic clock, comparable between processes
    std::int64_t endUs = 0; // 0 while the task runs
    bool succeeded = false;
    std::string reason; // why the run ended: "done", "failed", "stopped" or "lease lapsed"
};

/** Faults that a simulated worker injects. */
struct WorkerFaults {
    bool failsAllTasks = false; // every task fails at once
    bool refusesAllStarts = false; // every start is refused
};

/**
 * Simulated worker for tests: a task is a timer that runs under a lease, and every run is recorded.
 * A task's payload may be JSON, such as {"run_ms": 50, "fail": true, "output": "text"}. A task without run_ms
 * ends after 50 ms, and one with run_ms 0 runs until it is stopped.
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
    // Starts that were sent to the previous incarnation of this worker may still arrive within this time
    // after the start of this one, so all starts are refused until it has passed.
    Duration m_startGracePeriod;
    std::uint64_t m_highestEpoch = 0; // of all accepted starts and renewals; lower ones are refused as stale
    Resources m_usedResources;
    std::uint64_t m_capacityViolations = 0;
    std::map<AttemptKey, RunningAttempt> m_runningAttempts;
    std::map<AttemptKey, EndedAttempt> m_endedAttempts; // until acknowledged
    // Refused, stopped and acknowledged attempts, which can't start any more, each with the reason.
    std::map<AttemptKey, std::string> m_closedAttempts;
    std::vector<RunRecord> m_runRecords;
    WorkerFaults m_faults;
};

} // namespace quay::standin
