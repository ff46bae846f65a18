#pragma once

#include "quay/core/Reason.h"
#include "quay/core/Resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace quay::fleet {

/** Tasks of one kind inside a job. */
struct StepRequest {
    int taskCount = 0;
    Resources perTask;
    std::int64_t estimateMs = 0; // rough length of a task, declared by the caller
    std::vector<int> dependsOn; // earlier steps, all of whose tasks end first
    bool savesCheckpoints = false;
    bool isGang = false; // the tasks run only together
    bool prefersSingleRack = false; // slower when the gang spans racks
    bool allowsConcurrentRuns = false; // several runs of a task may overlap
    bool isLongRunning = false; // runs until its job is cancelled
    bool usesSpareCpu = false; // its processor share is not counted against an executor
    std::string requiredLabel;
    std::string dataRack; // slower on any other rack
    int maxPerExecutor = 0; // 0: no bound
    std::string image;
    std::int64_t tailLatencyTargetMs = 0; // bound of a serving task's tail latency; 0: none
    int maxConcurrentDisruptions = 0; // tasks of a lasting step that orders of ours may disrupt at once

    bool operator==(const StepRequest&) const = default;
};

/** A job as its caller handed it in, with the team and queue that its key and path named. */
struct JobRequest {
    std::string id;
    std::string queue;
    std::string team; // empty on a public queue
    std::string payload; // handed to every task as it is
    std::vector<StepRequest> steps;
    int occurrences = 0; // 0: once, at once
    std::int64_t firstDueUnixMs = 0;
    std::int64_t intervalMs = 0;

    bool operator==(const JobRequest&) const = default;
};

/** Limits of one job; larger ones are refused. */
constexpr std::size_t maxPayloadBytes = 4000; // the published bound
constexpr int maxStepsPerJob = 64;
constexpr int maxTasksPerJob = 900; // a record has some 70 bytes a task, a row of the store 64 KB
constexpr std::size_t jobIdDigits = 16;

/** True for 16 hexadecimal digits. */
bool isJobId(const std::string& id);

/** False, with the field and the remedy in `reason`, if no fleet could ever run the job. */
bool validate(const JobRequest& request, Reason& reason);

/** What a caller is shown of a job. */
enum class JobPhase {
    Queued,
    Running,
    Completed,
    Failed,
    Cancelled,
};

inline bool isFinal(JobPhase phase) { return phase >= JobPhase::Completed; }

} // namespace quay::fleet
