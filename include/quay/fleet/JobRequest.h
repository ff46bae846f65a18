#pragma once

#include "quay/core/Reason.h"
#include "quay/core/Resources.h"
#include "quay/fleet/FleetConfiguration.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace quay::fleet {

/** A set of identical tasks within a job. */
struct StepRequest {
    int taskCount = 0;
    Resources perTask;
    std::int64_t estimateMs = 0; // the caller's estimate of the run time of one task
    std::vector<int> dependsOn; // earlier steps that must be complete before this one starts
    bool savesCheckpoints = false;
    bool isGang = false; // the tasks start together and end together
    bool prefersSingleRack = false; // the gang is slower if it spans racks
    // Runs of the same task may overlap. FleetScheduler makes no use of it.
    bool allowsConcurrentRuns = false;
    bool isLongRunning = false; // the tasks run until the job is cancelled
    // Uses only idle CPU: its CPU demand doesn't count against an executor's capacity.
    bool usesSpareCpu = false;
    std::string requiredLabel; // only executors with this label qualify; empty: all
    std::string dataRack; // the tasks are slower on any other rack; empty: no preference
    int maxPerExecutor = 0; // 0: no limit
    std::string image;
    std::int64_t tailLatencyTargetMs = 0; // of tasks that serve requests; 0: none
    // How many tasks of a long-running step the scheduler may stop at the same time. FleetScheduler does not
    // enforce it.
    int maxConcurrentDisruptions = 0;

    bool operator==(const StepRequest&) const = default;
};

/** A job as submitted, with the team and the queue that follow from the key and the path of the request. */
struct JobRequest {
    std::string id;
    std::string queue;
    std::string team; // empty on a public queue
    std::string payload; // passed unchanged to every task
    std::vector<StepRequest> steps;
    int occurrences = 0; // number of runs of a scheduled job; 0: the job isn't scheduled and runs once, now
    std::int64_t firstDueUnixMs = 0; // when occurrence 0 is due
    std::int64_t intervalMs = 0; // between due times
    // executionPolicy() of its queue when the job was accepted; in force once the queue is removed. Nothing:
    // an earlier release accepted the job.
    std::optional<QueuePolicy> acceptedPolicy;

    bool operator==(const JobRequest&) const = default;
};

/** Limits of one job; a request that exceeds them is refused. */
constexpr std::size_t maxPayloadBytes = 4000; // published to callers
constexpr int maxStepsPerJob = 64;
// A record takes about 70 bytes per task, and a row of the store holds 64 KB.
constexpr int maxTasksPerJob = 900;
constexpr int maxOccurrencesPerJob = 10'000; // each takes about a kilobyte of a leader's memory
constexpr std::int64_t maxUnixMs = 4'102'444'800'000; // the year 2100
constexpr std::size_t jobIdDigits = 16;

/** True for 16 hexadecimal digits. */
bool isJobId(const std::string& id);

/** Returns false and sets `reason` to the invalid field and its remedy if the request is invalid. */
bool validate(const JobRequest& request, Reason& reason);

/** State of a job as callers see it. */
enum class JobPhase {
    Queued,
    Running,
    Completed,
    Failed,
    Cancelled,
};

inline bool isFinal(JobPhase phase) { return phase >= JobPhase::Completed; }

} // namespace quay::fleet
