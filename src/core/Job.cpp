#include "quay/core/Job.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <charconv>
#include <limits>

namespace quay {

namespace json = boost::json;

namespace {

constexpr std::uint32_t maxTasksPerJob = 1000;
constexpr std::uint32_t maxAttemptsAllowed = 20;
constexpr std::size_t maxPayloadBytes = 64 * 1024;

constexpr std::array<std::string_view, 3> kindNames { "batch", "gang", "service" };
constexpr std::array<std::string_view, 7> taskStateNames { "pending", "starting", "running", "succeeded",
    "failed", "cancelled", "outcome_unknown" };
constexpr std::array<std::string_view, 5> jobStateNames { "active", "succeeded", "failed", "cancelled",
    "outcome_unknown" };

template <typename Enum, std::size_t Count>
std::optional<Enum> parseName(const std::array<std::string_view, Count>& names, std::string_view name)
{
    for (std::size_t i = 0; i < Count; ++i) {
        if (names[i] == name)
            return static_cast<Enum>(i);
    }
    return std::nullopt;
}

json::object resourcesToJson(const Resources& resources)
{
    return { { "cpu_milli", resources.cpuMilli }, { "memory_mb", resources.memoryMb },
        { "accelerators", resources.accelerators } };
}

Resources resourcesFromJson(const json::object& object)
{
    return { object.at("cpu_milli").to_number<std::int64_t>(),
        object.at("memory_mb").to_number<std::int64_t>(),
        object.at("accelerators").to_number<std::int64_t>() };
}

json::object specToJson(const JobSpec& spec)
{
    return { { "kind", text(spec.kind) }, { "team", spec.team.text }, { "queue", spec.queue.text },
        { "request_id", spec.requestId }, { "tasks", spec.taskCount },
        { "per_task", resourcesToJson(spec.perTask) }, { "idempotent", spec.idempotent },
        { "run_time_ms", spec.declaredRunTimeMs }, { "max_attempts", spec.maxAttempts },
        { "payload", spec.payload } };
}

std::string stringAt(const json::object& object, const char* name)
{
    return std::string(object.at(name).as_string());
}

JobSpec specFromJson(const json::object& object)
{
    JobSpec spec;
    spec.kind = parseName<JobKind>(kindNames, stringAt(object, "kind")).value();
    spec.team = TeamId { stringAt(object, "team") };
    spec.queue = QueueId { stringAt(object, "queue") };
    spec.requestId = stringAt(object, "request_id");
    spec.taskCount = object.at("tasks").to_number<std::uint32_t>();
    spec.perTask = resourcesFromJson(object.at("per_task").as_object());
    spec.idempotent = object.at("idempotent").as_bool();
    spec.declaredRunTimeMs = object.at("run_time_ms").to_number<std::int64_t>();
    spec.maxAttempts = object.at("max_attempts").to_number<std::uint32_t>();
    spec.payload = stringAt(object, "payload");
    return spec;
}

json::array tasksToJson(const std::vector<TaskRecord>& tasks)
{
    json::array rows;
    rows.reserve(tasks.size());
    for (const auto& task : tasks)
        rows.push_back({ text(task.state), task.attempt, task.worker.text, task.result });
    return rows;
}

std::vector<TaskRecord> tasksFromJson(const json::array& rows)
{
    std::vector<TaskRecord> tasks;
    tasks.reserve(rows.size());
    for (const auto& row : rows) {
        const auto& cells = row.as_array();
        TaskRecord task;
        task.state = parseName<TaskState>(taskStateNames, cells.at(0).as_string()).value();
        task.attempt = cells.at(1).to_number<std::uint32_t>();
        task.worker = ServerId { std::string(cells.at(2).as_string()) };
        task.result = std::string(cells.at(3).as_string());
        tasks.push_back(std::move(task));
    }
    return tasks;
}

// Reads the fields of a submission one by one and keeps the first error.
class SpecReader {
public:
    SpecReader(const json::object& object, Reason& reason)
        : m_object(object)
        , m_reason(reason)
    {
    }

    void integer(const char* name, std::int64_t low, std::int64_t high, auto& target)
    {
        const auto* value = m_object.if_contains(name);
        if (!value || m_failed)
            return;
        if (!value->is_int64() || value->as_int64() < low || value->as_int64() > high) {
            reject(std::string(name) + " must be a whole number from " + std::to_string(low) + " to "
                + std::to_string(high));
            return;
        }
        target = static_cast<std::remove_reference_t<decltype(target)>>(value->as_int64());
    }

    void string(const char* name, std::size_t maxBytes, std::string& target)
    {
        const auto* value = m_object.if_contains(name);
        if (!value || m_failed)
            return;
        if (!value->is_string() || value->as_string().size() > maxBytes) {
            reject(std::string(name) + " must be a string of at most " + std::to_string(maxBytes) + " bytes");
            return;
        }
        target = std::string(value->as_string());
    }

    void boolean(const char* name, bool& target)
    {
        const auto* value = m_object.if_contains(name);
        if (!value || m_failed)
            return;
        if (!value->is_bool()) {
            reject(std::string(name) + " must be true or false");
            return;
        }
        target = value->as_bool();
    }

    void reject(std::string detail, ErrorKind kind = ErrorKind::MalformedRequest)
    {
        if (m_failed)
            return;
        m_failed = true;
        m_reason = Reason { kind, std::move(detail) };
    }

    bool failed() const { return m_failed; }

private:
    const json::object& m_object;
    Reason& m_reason;
    bool m_failed = false;
};

constexpr std::array<std::string_view, 10> knownSpecFields { "kind", "queue", "tasks", "cpu_milli",
    "memory_mb", "accelerators", "idempotent", "run_time_ms", "max_attempts", "payload" };

void checkFieldNames(const json::object& object, SpecReader& reader)
{
    for (const auto& field : object) {
        const std::string_view name(field.key().data(), field.key().size());
        if (std::find(knownSpecFields.begin(), knownSpecFields.end(), name) == knownSpecFields.end())
            reader.reject(std::string(name), ErrorKind::UnknownField);
    }
}

} // namespace

std::string_view text(JobKind kind) { return kindNames[static_cast<std::size_t>(kind)]; }
std::string_view text(TaskState state) { return taskStateNames[static_cast<std::size_t>(state)]; }
std::string_view text(JobState state) { return jobStateNames[static_cast<std::size_t>(state)]; }

TaskId taskId(const JobId& job, std::uint32_t index)
{
    return TaskId { job.text + "/" + std::to_string(index) };
}

bool splitTaskId(const TaskId& task, JobId& job, std::uint32_t& index)
{
    const auto slash = task.text.rfind('/');
    if (slash == std::string::npos || !slash)
        return false;
    const auto* end = task.text.data() + task.text.size();
    const auto [rest, ec] = std::from_chars(task.text.data() + slash + 1, end, index);
    if (ec != std::errc() || rest != end)
        return false;
    job = JobId { task.text.substr(0, slash) };
    return true;
}

std::string toJson(const JobRecord& record)
{
    json::object object { { "id", record.id.text }, { "domain", record.domain.text },
        { "spec", specToJson(record.spec) }, { "state", text(record.state) },
        { "cancel_requested", record.cancelRequested }, { "submitted_at_ms", record.submittedAtMs },
        { "ended_at_ms", record.endedAtMs }, { "note", record.note },
        { "tasks", tasksToJson(record.tasks) } };
    return json::serialize(object);
}

std::optional<JobRecord> parseJobRecord(const std::string& text, Reason& reason)
{
    try {
        const auto value = json::parse(text);
        const auto& object = value.as_object();
        JobRecord record;
        record.id = JobId { stringAt(object, "id") };
        record.domain = DomainId { stringAt(object, "domain") };
        record.spec = specFromJson(object.at("spec").as_object());
        record.state = parseName<JobState>(jobStateNames, stringAt(object, "state")).value();
        record.cancelRequested = object.at("cancel_requested").as_bool();
        record.submittedAtMs = object.at("submitted_at_ms").to_number<std::int64_t>();
        record.endedAtMs = object.at("ended_at_ms").to_number<std::int64_t>();
        record.note = stringAt(object, "note");
        record.tasks = tasksFromJson(object.at("tasks").as_array());
        return record;
    } catch (const std::exception& error) {
        return fail(reason, ErrorKind::MalformedRequest, std::string("job record: ") + error.what());
    }
}

std::optional<JobSpec> parseJobSpec(const std::string& text, Reason& reason)
{
    boost::system::error_code ec;
    const auto value = json::parse(text, ec);
    if (ec || !value.is_object())
        return fail(
            reason, ErrorKind::MalformedRequest, ec ? "body: " + ec.message() : "body: not a JSON object");
    const auto& object = value.get_object();

    JobSpec spec;
    std::string kindName = "batch";
    SpecReader reader(object, reason);
    checkFieldNames(object, reader);
    reader.string("kind", 16, kindName);
    reader.string("queue", 128, spec.queue.text);
    reader.integer("tasks", 1, maxTasksPerJob, spec.taskCount);
    reader.integer("cpu_milli", 0, std::numeric_limits<std::int32_t>::max(), spec.perTask.cpuMilli);
    reader.integer("memory_mb", 0, std::numeric_limits<std::int32_t>::max(), spec.perTask.memoryMb);
    reader.integer("accelerators", 0, 1024, spec.perTask.accelerators);
    reader.boolean("idempotent", spec.idempotent);
    reader.integer("run_time_ms", 0, std::numeric_limits<std::int32_t>::max(), spec.declaredRunTimeMs);
    reader.integer("max_attempts", 1, maxAttemptsAllowed, spec.maxAttempts);
    reader.string("payload", maxPayloadBytes, spec.payload);
    if (reader.failed())
        return std::nullopt;
    const auto kind = parseName<JobKind>(kindNames, kindName);
    if (!kind)
        return fail(reason, ErrorKind::MalformedRequest, "kind must be batch, gang or service");
    if (spec.queue.empty())
        return fail(reason, ErrorKind::MalformedRequest, "queue is missing");
    spec.kind = *kind;
    return spec;
}

} // namespace quay
