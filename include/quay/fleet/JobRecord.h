#pragma once

#include "quay/core/Reason.h"
#include "quay/fleet/JobRequest.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace quay::fleet {

/** The durable state of one task that has been started at least once and is not done. */
struct TaskRecord {
    int occurrence = 0;
    int step = 0;
    int index = 0;
    int run = 0; // number of the newest run
    int failures = 0;
    bool isAssigned = false; // the run may be at work on the executor named here
    std::string executor;
    std::int64_t executorStartedUnixMs = 0;
    std::string checkpoint;

    bool operator==(const TaskRecord&) const = default;
};

/** Which tasks of a step are done. */
struct DoneRecord {
    int occurrence = 0;
    int step = 0;
    std::vector<int> indexes; // ascending

    bool operator==(const DoneRecord&) const = default;
};

/** All that must survive the scheduler of a job, beside its request. */
struct JobRecord {
    JobPhase phase = JobPhase::Queued;
    std::vector<TaskRecord> tasks;
    std::vector<DoneRecord> done;

    bool operator==(const JobRecord&) const = default;
};

/** The record as bytes of a row. */
std::string encode(const JobRecord& record);

/** Nothing, with the reason, if the bytes are not such a record. */
std::optional<JobRecord> decodeJobRecord(const std::string& bytes, Reason& reason);

} // namespace quay::fleet
