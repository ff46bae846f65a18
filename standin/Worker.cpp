#include "Worker.h"

#include <boost/json.hpp>
#include <random>

namespace quay::standin {

namespace json = boost::json;

namespace {

constexpr int defaultRunTimeMs = 50;

std::int64_t nowUs()
{
    const auto sinceBoot = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(sinceBoot).count();
}

HttpResponse ok(const json::object& object)
{
    HttpResponse response;
    response.body = json::serialize(object);
    return response;
}

std::string stringField(const json::object& object, const char* name)
{
    return std::string(object.at(name).as_string());
}

// The behaviour that a payload requests. A payload that is not a JSON object requests the defaults.
struct TaskBehaviour {
    int runTimeMs = defaultRunTimeMs;
    bool shouldFail = false;
    std::string output = "ok";
};

TaskBehaviour parsePayload(const std::string& payload)
{
    TaskBehaviour behaviour;
    boost::system::error_code ec;
    const auto value = json::parse(payload, ec);
    if (ec || !value.is_object())
        return behaviour;
    const auto& object = value.get_object();
    if (const auto* it = object.if_contains("run_ms"))
        behaviour.runTimeMs = it->to_number<int>();
    if (const auto* it = object.if_contains("fail"))
        behaviour.shouldFail = it->as_bool();
    if (const auto* it = object.if_contains("output"))
        behaviour.output = std::string(it->as_string());
    return behaviour;
}

json::object encodeRunRecord(const RunRecord& record)
{
    return { { "task", record.task }, { "attempt", record.attempt }, { "epoch", record.epoch },
        { "team", record.team }, { "cpu_milli", record.size.cpuMilli }, { "memory_mb", record.size.memoryMb },
        { "accelerators", record.size.accelerators }, { "start_us", record.startUs },
        { "end_us", record.endUs }, { "succeeded", record.succeeded }, { "why", record.reason } };
}

} // namespace

Worker::Worker(
    boost::asio::io_context& context, ServerInfo info, const std::string& listen, Duration startGracePeriod)
    : m_context(context)
    , m_info(std::move(info))
    , m_server(context, listen, HttpLimits {},
          [this](HttpRequest request, Respond respond) { respond(handle(request)); })
    , m_incarnation(std::to_string(std::random_device {}()))
    , m_startedAt(std::chrono::steady_clock::now())
    , m_startGracePeriod(startGracePeriod)
{
    m_info.address = m_server.address();
    m_server.start();
}

HttpResponse Worker::handle(const HttpRequest& request)
{
    try {
        const auto path = request.path();
        if (path == "/v1/tasks")
            return start(request.body);
        if (path == "/v1/renew")
            return renew(request.body);
        if (path == "/v1/stop")
            return stop(request.body);
        if (path == "/v1/ack")
            return acknowledge(request.body);
        if (path == "/v1/report")
            return report();
        if (path == "/v1/throttle" || path == "/v1/checkpoint")
            return ok({ { "ok", true } });
        if (path == "/admin/ledger")
            return runRecords();
        if (path == "/admin/faults")
            return setFaults(request.body);
        return errorResponse(Reason { ErrorKind::NotFound, path });
    } catch (const std::exception& error) {
        return errorResponse(Reason { ErrorKind::MalformedRequest, error.what() });
    }
}

std::string Worker::refusalReason(const AttemptKey& key, std::uint64_t epoch, const Resources& size) const
{
    auto closed = m_closedAttempts.find(key);
    if (closed != m_closedAttempts.end())
        return closed->second;
    if (std::chrono::steady_clock::now() < m_startedAt + m_startGracePeriod)
        return "worker has just started";
    if (epoch < m_highestEpoch)
        return "stale epoch";
    if (m_faults.refusesAllStarts)
        return "worker refuses all starts";
    if (m_endedAttempts.count(key))
        return "attempt has ended";
    if (!(m_usedResources + size).fitsIn(m_info.capacity))
        return "no capacity";
    return {};
}

HttpResponse Worker::start(const std::string& body)
{
    const auto value = json::parse(body);
    const auto& object = value.as_object();
    const AttemptKey key { stringField(object, "task"), object.at("attempt").to_number<std::uint32_t>() };
    if (m_runningAttempts.count(key))
        return ok({ { "accepted", true } });

    RunRecord record;
    record.task = key.first;
    record.attempt = key.second;
    record.epoch = object.at("epoch").to_number<std::uint64_t>();
    record.team = stringField(object, "team");
    record.size = { object.at("cpu_milli").to_number<std::int64_t>(),
        object.at("memory_mb").to_number<std::int64_t>(),
        object.at("accelerators").to_number<std::int64_t>() };
    const auto reason = refusalReason(key, record.epoch, record.size);
    if (reason == "no capacity")
        ++m_capacityViolations; // the scheduler exceeded this worker's capacity
    if (!reason.empty()) {
        m_closedAttempts.emplace(key, reason); // so that a repeated start gets the same response
        return ok({ { "accepted", false }, { "why", reason } });
    }
    m_highestEpoch = record.epoch;
    run(key, std::move(record), object.at("lease_ms").to_number<int>(), stringField(object, "payload"));
    return ok({ { "accepted", true } });
}

void Worker::run(const AttemptKey& key, RunRecord record, int leaseMs, const std::string& payload)
{
    const auto behaviour = parsePayload(payload);
    record.startUs = nowUs();
    m_usedResources += record.size;
    auto& running = m_runningAttempts[key];
    running.recordIndex = m_runRecords.size();
    running.willFail = behaviour.shouldFail || m_faults.failsAllTasks;
    running.output = behaviour.output;
    m_runRecords.push_back(std::move(record));
    startLeaseTimer(key, leaseMs);
    if (!behaviour.runTimeMs)
        return;
    running.endTimer = std::make_unique<boost::asio::steady_timer>(
        m_context, std::chrono::milliseconds(behaviour.runTimeMs));
    running.endTimer->async_wait([this, key](auto ec) {
        auto it = m_runningAttempts.find(key);
        if (ec || it == m_runningAttempts.end())
            return;
        const bool failed = it->second.willFail;
        finish(key, !failed, failed ? "task failed" : it->second.output, failed ? "failed" : "done");
    });
}

void Worker::startLeaseTimer(const AttemptKey& key, int leaseMs)
{
    auto& running = m_runningAttempts[key];
    running.leaseTimer
        = std::make_unique<boost::asio::steady_timer>(m_context, std::chrono::milliseconds(leaseMs));
    running.leaseTimer->async_wait([this, key](auto ec) {
        if (!ec)
            finish(key, false, "lease lapsed", "lease lapsed");
    });
}

void Worker::finish(const AttemptKey& key, bool succeeded, std::string result, std::string reason)
{
    auto it = m_runningAttempts.find(key);
    if (it == m_runningAttempts.end())
        return;
    auto& record = m_runRecords[it->second.recordIndex];
    record.endUs = nowUs();
    record.succeeded = succeeded;
    record.reason = std::move(reason);
    m_usedResources -= record.size;
    m_runningAttempts.erase(it);
    m_endedAttempts[key] = EndedAttempt { succeeded, std::move(result) };
}

HttpResponse Worker::renew(const std::string& body)
{
    const auto value = json::parse(body);
    const auto epoch = value.at("epoch").to_number<std::uint64_t>();
    if (epoch < m_highestEpoch)
        return ok({ { "ok", false }, { "why", "stale epoch" } });
    m_highestEpoch = epoch;
    for (const auto& task : value.at("tasks").as_array()) {
        const AttemptKey key { stringField(task.as_object(), "task"),
            task.at("attempt").to_number<std::uint32_t>() };
        if (m_runningAttempts.count(key))
            startLeaseTimer(key, value.at("lease_ms").to_number<int>());
    }
    return ok({ { "ok", true } });
}

HttpResponse Worker::stop(const std::string& body)
{
    const auto value = json::parse(body);
    const AttemptKey key { stringField(value.as_object(), "task"),
        value.at("attempt").to_number<std::uint32_t>() };
    finish(key, false, "stopped", "stopped");
    m_closedAttempts.emplace(key, "attempt was stopped");
    return ok({ { "ok", true } });
}

HttpResponse Worker::acknowledge(const std::string& body)
{
    const auto value = json::parse(body);
    for (const auto& task : value.at("tasks").as_array()) {
        const AttemptKey key { stringField(task.as_object(), "task"),
            task.at("attempt").to_number<std::uint32_t>() };
        if (m_endedAttempts.erase(key))
            m_closedAttempts.emplace(key, "attempt has ended");
    }
    return ok({ { "ok", true } });
}

HttpResponse Worker::report() const
{
    json::array running;
    for (const auto& [key, task] : m_runningAttempts)
        running.push_back(json::object { { "task", key.first }, { "attempt", key.second },
            { "epoch", m_runRecords[task.recordIndex].epoch } });
    json::array ended;
    for (const auto& [key, task] : m_endedAttempts)
        ended.push_back(json::object { { "task", key.first }, { "attempt", key.second },
            { "ok", task.succeeded }, { "result", task.result } });
    const json::object usage { { "cpu_milli", m_usedResources.cpuMilli },
        { "memory_mb", m_usedResources.memoryMb }, { "accelerators", m_usedResources.accelerators } };
    return ok({ { "incarnation", m_incarnation }, { "epoch", m_highestEpoch }, { "running", running },
        { "ended", ended }, { "usage", usage } });
}

HttpResponse Worker::runRecords() const
{
    json::array records;
    for (const auto& record : m_runRecords)
        records.push_back(encodeRunRecord(record));
    return ok({ { "id", m_info.id.text }, { "capacity_violations", m_capacityViolations },
        { "entries", records } });
}

HttpResponse Worker::setFaults(const std::string& body)
{
    const auto value = json::parse(body);
    const auto& object = value.as_object();
    WorkerFaults faults;
    if (const auto* it = object.if_contains("fail_all"))
        faults.failsAllTasks = it->as_bool();
    if (const auto* it = object.if_contains("refuse_all"))
        faults.refusesAllStarts = it->as_bool();
    m_faults = faults;
    return ok({ { "ok", true } });
}

} // namespace quay::standin
