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

/** One run of a task as a worker saw it. */
struct TaskRun {
    std::string worker;
    std::string task; // "JOB/INDEX"
    std::uint32_t attempt = 0;
    std::string team;
    Resources size;
    std::int64_t startUs = 0; // of the machine's monotonic clock
    std::int64_t endUs = 0; // 0: still running
    std::string endReason; // it ended: done, failed, stopped, lease lapsed

    bool operator==(const TaskRun&) const = default;
};

/** What one executor counted. */
struct ExecutorCounts {
    std::string id;
    std::uint64_t served = 0;
    std::uint64_t slotViolations = 0;
    std::map<std::string, std::uint64_t> runsByRequest;
    std::map<std::string, std::uint64_t> maxBusyByTeam;

    bool operator==(const ExecutorCounts&) const = default;
};

/** The ledgers of all stand-ins: what really ran, whatever the system believes. */
struct Ledgers {
    std::vector<TaskRun> runs;
    std::map<std::string, std::uint64_t> capacityRefusals; // by worker
    std::vector<ExecutorCounts> executors;
};

/** What the callers were told, for the checks. */
struct CallerRecord {
    std::map<std::string, std::uint64_t> upperLimits; // by team
    std::map<std::string, std::string> refusedRequests; // id -> error kind of those refused with "not run"
    std::set<std::string> nonIdempotentRequests; // non-idempotent request ids
    std::set<std::string> nonIdempotentJobs; // ids of non-idempotent jobs
    std::vector<std::string> mismatchedAnswers; // answers that were not the caller's own
};

/** Adds a worker's GET /admin/ledger; MalformedRequest if it is none. */
bool addWorkerLedger(Ledgers& ledgers, const std::string& json, Reason& reason);

/** Adds an executor's GET /admin/ledger; MalformedRequest if it is none. */
bool addExecutorLedger(Ledgers& ledgers, const std::string& json, Reason& reason);

/** Every rule that the ledgers show broken, one line each. `worker` is the capacity of each worker. */
std::vector<std::string> findViolations(
    const Ledgers& ledgers, const CallerRecord& callers, const Resources& worker);

} // namespace quay::bench
