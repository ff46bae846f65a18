#pragma once

#include "quay/core/Ids.h"
#include "quay/core/Reason.h"
#include "quay/core/Resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace quay {

/** The kinds of durable work. Interactive requests are not jobs. */
enum class JobKind {
    Batch, // independent tasks, each run to its end once
    Gang, // all tasks run at the same time or none does
    Service, // tasks that run until cancelled and are restarted when they end
};

/** A caller's job submission. Immutable once accepted. */
struct JobSpec {
    JobKind kind = JobKind::Batch;
    TeamId team;
    QueueId queue;
    std::string requestId; // the caller's idempotency key, unique within the team
    std::uint32_t taskCount = 1;
    Resources perTask; // declared size of each task
    bool idempotent = false; // a task may be run again after an attempt of unknown outcome
    std::int64_t declaredRunTimeMs = 0; // 0: not declared
    // Per task. Services have no limit; other non-idempotent tasks are not retried once they ran.
    std::uint32_t maxAttempts = 3;
    std::string payload; // passed to the worker unchanged

    bool operator==(const JobSpec&) const = default;
};

/** The state of a task. */
enum class TaskState {
    Pending, // not started, or certain to have ended and to be started again
    Starting, // the start intent is recorded or being recorded; the task may run
    Running, // the worker confirmed the start
    Succeeded,
    Failed, // failed and is not run again
    Cancelled,
    OutcomeUnknown, // a non-idempotent attempt may have run, and its outcome can't be determined
};

/** True for the terminal states. */
constexpr bool isFinal(TaskState state) { return state >= TaskState::Succeeded; }

/** The state of a task as stored in the job's row. */
struct TaskRecord {
    TaskState state = TaskState::Pending;
    std::uint32_t attempt = 0; // counts from 1 with the first start intent
    ServerId worker; // of the latest attempt
    std::string result; // output or failure text of the attempt that ended

    bool operator==(const TaskRecord&) const = default;
};

/** The state of a job as a whole. */
enum class JobState {
    Active,
    Succeeded,
    Failed,
    Cancelled,
    OutcomeUnknown,
};

/** A job with all of its tasks, stored as one row. */
struct JobRecord {
    JobId id;
    DomainId domain; // the failure domain whose workers run it
    JobSpec spec;
    JobState state = JobState::Active;
    bool cancelRequested = false;
    std::int64_t submittedAtMs = 0; // wall-clock time, for display only
    std::int64_t endedAtMs = 0;
    std::string note; // why the job failed or can't be scheduled, for people to read
    std::vector<TaskRecord> tasks;

    bool operator==(const JobRecord&) const = default;
};

/** The id of one task: job id and index, for example "j-7/3". */
TaskId taskId(const JobId& job, std::uint32_t index);

/** Splits a task id made by taskId() into job and index; false if the text is not a task id. */
bool splitTaskId(const TaskId& task, JobId& job, std::uint32_t& index);

/** Serializes a record to the JSON text that is stored. */
std::string toJson(const JobRecord& record);

/** Parses the text of toJson(); nullopt and MalformedRequest if it is not a job record. */
std::optional<JobRecord> parseJobRecord(const std::string& json, Reason& reason);

/**
 * Parses a caller's submission; nullopt and a reason on error. Unknown fields, wrong types and values out of
 * range are errors. Team and request id are left empty: they come from the key and the request header.
 */
std::optional<JobSpec> parseJobSpec(const std::string& json, Reason& reason);

std::string_view text(JobKind kind);
std::string_view text(TaskState state);
std::string_view text(JobState state);

} // namespace quay
