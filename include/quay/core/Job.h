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
    Batch, // independent tasks, each runs once
    Gang, // all tasks run at the same time or none does
    Service, // tasks that run until cancelled and are restarted when they end
};

/** What a caller asked for. Immutable once accepted. */
struct JobSpec {
    JobKind kind = JobKind::Batch;
    TeamId team;
    QueueId queue;
    std::string requestId; // the caller's idempotency key, unique within the team
    std::uint32_t taskCount = 1;
    Resources perTask; // declared size of each task
    bool idempotent = false; // may a task be run again after an attempt with unknown outcome?
    std::int64_t declaredRunTimeMs = 0; // 0: not declared
    std::uint32_t maxAttempts = 3; // per task, for idempotent work and for proven failures
    std::string payload; // passed to the worker as it is

    bool operator==(const JobSpec&) const = default;
};

/** Where one task stands. */
enum class TaskState {
    Pending, // not started, or surely ended and to be started again
    Starting, // the start intent is recorded (or being recorded); it may run
    Running, // the worker confirmed the start
    Succeeded,
    Failed, // ended with a failure after the last allowed attempt
    Cancelled,
    OutcomeUnknown, // a non-idempotent attempt whose end can't be known
};

/** True for the states that a task never leaves. */
constexpr bool isFinal(TaskState state) { return state >= TaskState::Succeeded; }

/** The durable part of a task. */
struct TaskRecord {
    TaskState state = TaskState::Pending;
    std::uint32_t attempt = 0; // counts from 1 with the first start intent
    ServerId worker; // of the latest attempt
    std::string result; // output or failure text of the ended attempt

    bool operator==(const TaskRecord&) const = default;
};

/** Where a job as a whole stands. */
enum class JobState {
    Active,
    Succeeded,
    Failed,
    Cancelled,
    OutcomeUnknown,
};

/** One row of the store: a job with all of its tasks. */
struct JobRecord {
    JobId id;
    DomainId domain; // the failure domain whose workers run it
    JobSpec spec;
    JobState state = JobState::Active;
    bool cancelRequested = false;
    std::int64_t submittedAtMs = 0; // wall-clock, for reports only
    std::int64_t endedAtMs = 0;
    std::string note; // why it failed or can never run, in plain words
    std::vector<TaskRecord> tasks;

    bool operator==(const JobRecord&) const = default;
};

/** The id of one task: job id and index, for example "j-7/3". */
TaskId taskId(const JobId& job, std::uint32_t index);

/** The job and index that taskId() put together; false if the text is not a task id. */
bool splitTaskId(const TaskId& task, JobId& job, std::uint32_t& index);

/** The JSON text of a record, as stored. */
std::string toJson(const JobRecord& record);

/** Reads toJson()'s text back; nullopt with MalformedRequest if it is not a record. */
std::optional<JobRecord> parseJobRecord(const std::string& json, Reason& reason);

/**
 * Reads a caller's submission. Unknown fields, wrong types and values out of range are errors.
 * The team and request id come from the key and the header and are left empty.
 */
std::optional<JobSpec> parseJobSpec(const std::string& json, Reason& reason);

std::string_view text(JobKind kind);
std::string_view text(TaskState state);
std::string_view text(JobState state);

} // namespace quay
