#pragma once

#include "quay/core/Reason.h"
#include "quay/core/Resources.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace quay::bench {

/** One run of a task as recorded by its worker. */
struct TaskRun {
    std::string worker;
    std::string task; // "JOB/INDEX"
    std::uint32_t attempt = 0;
    std::string team;
    Resources size;
    std::int64_t startUs = 0; // on the monotonic clock of the machine
    std::int64_t endUs = 0; // 0: still running
    std::string endReason; // done, failed, stopped or lease lapsed

    bool operator==(const TaskRun&) const = default;
};

/** Counters of one executor. */
struct ExecutorCounts {
    std::string id;
    std::uint64_t served = 0;
    std::uint64_t slotViolations = 0; // requests received beyond its slots
    std::map<std::string, std::uint64_t> runsByRequest; // by request id
    std::map<std::string, std::uint64_t> maxBusyByTeam; // highest number of busy slots

    bool operator==(const ExecutorCounts&) const = default;
};

/** The ledgers of all stand-ins. They record what ran, independently of the state kept by the scheduler. */
struct Ledgers {
    std::vector<TaskRun> runs;
    std::map<std::string, std::uint64_t> capacityRefusals; // start orders refused for lack of room, by worker
    std::vector<ExecutorCounts> executors;
};

/** Requests and responses as seen by the callers, input of the checks. */
struct CallerRecord {
    std::map<std::string, std::uint64_t> upperLimits; // by team
    // Request id -> error kind, for the disposition "not run".
    std::map<std::string, std::string> refusedRequests;
    std::set<std::string> nonIdempotentRequests; // request ids
    std::set<std::string> nonIdempotentJobs; // job ids
    // Responses to interactive requests with another body than expected.
    std::vector<std::string> mismatchedAnswers;
};

/** Adds the body of a worker's GET /admin/ledger; false with MalformedRequest if it is not valid. */
bool addWorkerLedger(Ledgers& ledgers, const std::string& json, Reason& reason);

/** Adds the body of an executor's GET /admin/ledger; false with MalformedRequest if it is not valid. */
bool addExecutorLedger(Ledgers& ledgers, const std::string& json, Reason& reason);

/** Checks the invariants and returns a line for each violation. `worker` is the capacity of each worker. */
std::vector<std::string> findViolations(
    const Ledgers& ledgers, const CallerRecord& callers, const Resources& worker);

} // namespace quay::bench
