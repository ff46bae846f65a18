#include "Worker.h"

#include <boost/json.hpp>
#include <random>

namespace quay::standin {

namespace json = boost::json;

namespace {

constexpr int defaultRunMs = 50;

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

std::string stringAt(const json::object& object, const char* name)
{
    return std::string(object.at(name).as_string());
}

// The wanted behaviour that a payload describes; anything that isn't JSON means the default.
struct PayloadPlan {
    int runMs = defaultRunMs;
    bool fail = false;
    std::string output = "ok";
};

PayloadPlan planOf(const std::string& payload)
{
    PayloadPlan plan;
    boost::system::error_code ec;
    const auto value = json::parse(payload, ec);
    if (ec || !value.is_object())
        return plan;
    const auto& object = value.get_object();
    if (const auto* it = object.if_contains("run_ms"))
        plan.runMs = it->to_number<int>();
    if (const auto* it = object.if_contains("fail"))
        plan.fail = it->as_bool();
    if (const auto* it = object.if_contains("output"))
        plan.output = std::string(it->as_string());
    return plan;
}

json::object entryToJson(const LedgerEntry& entry)
{
    return { { "task", entry.task }, { "attempt", entry.attempt }, { "epoch", entry.epoch },
        { "team", entry.team }, { "cpu_milli", entry.size.cpuMilli }, { "memory_mb", entry.size.memoryMb },
        { "accelerators", entry.size.accelerators }, { "start_us", entry.startUs }, { "end_us", entry.endUs },
        { "succeeded", entry.succeeded }, { "why", entry.why } };
}

} // namespace

Worker::Worker(
    boost::asio::io_context& context, ServerInfo info, const std::string& listen, Duration startGrace)
    : m_context(context)
    , m_info(std::move(info))
    , m_server(context, listen, HttpLimits {},
          [this](HttpRequest request, Respond respond) { respond(handle(request)); })
    , m_incarnation(std::to_string(std::random_device {}()))
    , m_startedAt(std::chrono::steady_clock::now())
    , m_startGrace(startGrace)
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
            return ledger();
        if (path == "/admin/faults")
            return setFaults(request.body);
        return errorResponse(Reason { ErrorKind::NotFound, path });
    } catch (const std::exception& error) {
        return errorResponse(Reason { ErrorKind::MalformedRequest, error.what() });
    }
}

std::string Worker::whyRefused(const Key& key, std::uint64_t epoch, const Resources& size) const
{
    auto closed = m_closed.find(key);
    if (closed != m_closed.end())
        return closed->second;
    if (std::chrono::steady_clock::now() < m_startedAt + m_startGrace)
        return "worker has just started";
    if (epoch < m_epoch)
        return "stale epoch";
    if (m_faults.refuseAll)
        return "worker refuses all starts";
    if (m_ended.count(key))
        return "attempt has ended";
    if (!(m_used + size).fitsIn(m_info.capacity))
        return "no capacity";
    return {};
}

HttpResponse Worker::start(const std::string& body)
{
    const auto value = json::parse(body);
    const auto& object = value.as_object();
    const Key key { stringAt(object, "task"), object.at("attempt").to_number<std::uint32_t>() };
    if (m_running.count(key))
        return ok({ { "accepted", true } });

    LedgerEntry entry;
    entry.task = key.first;
    entry.attempt = key.second;
    entry.epoch = object.at("epoch").to_number<std::uint64_t>();
    entry.team = stringAt(object, "team");
    entry.size = { object.at("cpu_milli").to_number<std::int64_t>(),
        object.at("memory_mb").to_number<std::int64_t>(),
        object.at("accelerators").to_number<std::int64_t>() };
    const auto why = whyRefused(key, entry.epoch, entry.size);
    if (why == "no capacity")
        ++m_capacityViolations; // the scheduler gave more than this worker can hold
    if (!why.empty()) {
        m_closed.emplace(key, why); // the same answer to a repeated start
        return ok({ { "accepted", false }, { "why", why } });
    }
    m_epoch = entry.epoch;
    run(key, std::move(entry), object.at("lease_ms").to_number<int>(), stringAt(object, "payload"));
    return ok({ { "accepted", true } });
}

void Worker::run(const Key& key, LedgerEntry entry, int leaseMs, const std::string& payload)
{
    const auto plan = planOf(payload);
    entry.startUs = nowUs();
    m_used += entry.size;
    auto& running = m_running[key];
    running.ledgerIndex = m_ledger.size();
    running.willFail = plan.fail || m_faults.failAll;
    running.output = plan.output;
    m_ledger.push_back(std::move(entry));
    armLease(key, leaseMs);
    if (!plan.runMs)
        return;
    running.end
        = std::make_unique<boost::asio::steady_timer>(m_context, std::chrono::milliseconds(plan.runMs));
    running.end->async_wait([this, key](auto ec) {
        auto it = m_running.find(key);
        if (ec || it == m_running.end())
            return;
        const bool failed = it->second.willFail;
        finish(key, !failed, failed ? "task failed" : it->second.output, failed ? "failed" : "done");
    });
}

void Worker::armLease(const Key& key, int leaseMs)
{
    auto& running = m_running[key];
    running.lease
        = std::make_unique<boost::asio::steady_timer>(m_context, std::chrono::milliseconds(leaseMs));
    running.lease->async_wait([this, key](auto ec) {
        if (!ec)
            finish(key, false, "lease lapsed", "lease lapsed");
    });
}

void Worker::finish(const Key& key, bool succeeded, std::string result, std::string why)
{
    auto it = m_running.find(key);
    if (it == m_running.end())
        return;
    auto& entry = m_ledger[it->second.ledgerIndex];
    entry.endUs = nowUs();
    entry.succeeded = succeeded;
    entry.why = std::move(why);
    m_used -= entry.size;
    m_running.erase(it);
    m_ended[key] = Ended { succeeded, std::move(result) };
}

HttpResponse Worker::renew(const std::string& body)
{
    const auto value = json::parse(body);
    const auto epoch = value.at("epoch").to_number<std::uint64_t>();
    if (epoch < m_epoch)
        return ok({ { "ok", false }, { "why", "stale epoch" } });
    m_epoch = epoch;
    for (const auto& task : value.at("tasks").as_array()) {
        const Key key { stringAt(task.as_object(), "task"), task.at("attempt").to_number<std::uint32_t>() };
        if (m_running.count(key))
            armLease(key, value.at("lease_ms").to_number<int>());
    }
    return ok({ { "ok", true } });
}

HttpResponse Worker::stop(const std::string& body)
{
    const auto value = json::parse(body);
    const Key key { stringAt(value.as_object(), "task"), value.at("attempt").to_number<std::uint32_t>() };
    finish(key, false, "stopped", "stopped");
    m_closed.emplace(key, "attempt was stopped");
    return ok({ { "ok", true } });
}

HttpResponse Worker::acknowledge(const std::string& body)
{
    const auto value = json::parse(body);
    for (const auto& task : value.at("tasks").as_array()) {
        const Key key { stringAt(task.as_object(), "task"), task.at("attempt").to_number<std::uint32_t>() };
        if (m_ended.erase(key))
            m_closed.emplace(key, "attempt has ended");
    }
    return ok({ { "ok", true } });
}

HttpResponse Worker::report() const
{
    json::array running;
    for (const auto& [key, task] : m_running)
        running.push_back(json::object { { "task", key.first }, { "attempt", key.second },
            { "epoch", m_ledger[task.ledgerIndex].epoch } });
    json::array ended;
    for (const auto& [key, task] : m_ended)
        ended.push_back(json::object { { "task", key.first }, { "attempt", key.second },
            { "ok", task.succeeded }, { "result", task.result } });
    const json::object usage { { "cpu_milli", m_used.cpuMilli }, { "memory_mb", m_used.memoryMb },
        { "accelerators", m_used.accelerators } };
    return ok({ { "incarnation", m_incarnation }, { "epoch", m_epoch }, { "running", running },
        { "ended", ended }, { "usage", usage } });
}

HttpResponse Worker::ledger() const
{
    json::array entries;
    for (const auto& entry : m_ledger)
        entries.push_back(entryToJson(entry));
    return ok({ { "id", m_info.id.text }, { "capacity_violations", m_capacityViolations },
        { "entries", entries } });
}

HttpResponse Worker::setFaults(const std::string& body)
{
    const auto value = json::parse(body);
    const auto& object = value.as_object();
    WorkerFaults faults;
    if (const auto* it = object.if_contains("fail_all"))
        faults.failAll = it->as_bool();
    if (const auto* it = object.if_contains("refuse_all"))
        faults.refuseAll = it->as_bool();
    m_faults = faults;
    return ok({ { "ok", true } });
}

} // namespace quay::standin
