#pragma once

#include "quay/core/Reason.h"
#include "quay/fleet/JobRequest.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace quay::fleet {

/** Durable state of a task that was started at least once and is not done. */
struct TaskRecord {
    int occurrence = 0;
    int step = 0;
    int index = 0;
    int run = 0; // number of the newest run
    int failures = 0;
    bool isAssigned = false; // the run may be active on `executor`
    std::string executor;
    std::int64_t executorStartedUnixMs = 0;
    std::string checkpoint;
    int crashes = 0; // of executors, in a row, that are blamed on the task; releases before stored none

    bool operator==(const TaskRecord&) const = default;
};

/** The tasks of a step that are done. */
struct DoneRecord {
    int occurrence = 0;
    int step = 0;
    std::vector<int> indexes; // ascending

    bool operator==(const DoneRecord&) const = default;
};

/** Everything beside the request that a new leader needs to continue a job. */
struct JobRecord {
    JobPhase phase = JobPhase::Queued;
    std::vector<TaskRecord> tasks;
    std::vector<DoneRecord> done;
    // Occurrences of a scheduled job that are complete, ascending; `tasks` and `done` don't contain them.
    std::vector<int> doneOccurrences;

    bool operator==(const JobRecord&) const = default;
};

/** Serializes the record as the value of a row in the store. */
std::string encode(const JobRecord& record);

/** Parses the output of encode(). Returns nothing and sets `reason` if the bytes are malformed. */
std::optional<JobRecord> decodeJobRecord(const std::string& bytes, Reason& reason);

} // namespace quay::fleet
