#include "service/BackendLink.h"

#include <boost/json.hpp>

namespace quay {

namespace json = boost::json;

namespace {

constexpr std::size_t ringCapacity = 64 * 1024;
constexpr std::size_t connectionsPerExecutor = 60;
constexpr std::size_t connectionsPerWorker = 4;
constexpr std::size_t maxAnswerBytes = 16UL * 1024 * 1024;
constexpr auto workerTimeout = std::chrono::seconds(2);

json::object toObject(const TaskAttempt& attempt)
{
    return { { "task", attempt.task.text }, { "attempt", attempt.attempt } };
}

json::array toArray(const std::vector<TaskAttempt>& attempts)
{
    json::array items;
    for (const auto& attempt : attempts)
        items.push_back(toObject(attempt));
    return items;
}

std::string startBody(const SendStart& message)
{
    auto object = toObject(message.attempt);
    object["epoch"] = message.epoch;
    object["lease_ms"] = message.leaseMs;
    object["cpu_milli"] = message.size.cpuMilli;
    object["memory_mb"] = message.size.memoryMb;
    object["accelerators"] = message.size.accelerators;
    object["team"] = message.team.text;
    object["payload"] = message.payload;
    return json::serialize(object);
}

StartAnswer startAnswer(const SendStart& message, const HttpResult& result)
{
    StartAnswer answer { message.worker, message.attempt, StartOutcome::Unknown, {} };
    if (!result.response) {
        if (!result.mayHaveArrived) {
            answer.outcome = StartOutcome::Refused;
            answer.why = result.reason.detail;
        }
        return answer;
    }
    boost::system::error_code ec;
    const auto value = json::parse(result.response->body, ec);
    if (ec || result.response->status != 200 || !value.is_object())
        return answer;
    const auto* accepted = value.get_object().if_contains("accepted");
    if (!accepted || !accepted->is_bool())
        return answer;
    answer.outcome = accepted->as_bool() ? StartOutcome::Accepted : StartOutcome::Refused;
    if (const auto* why = value.get_object().if_contains("why"); why && why->is_string())
        answer.why = std::string(why->as_string());
    return answer;
}

std::optional<std::uint32_t> parseBusySlots(const HttpResult& result)
{
    if (!result.response || result.response->status != 200)
        return std::nullopt;
    boost::system::error_code ec;
    const auto value = json::parse(result.response->body, ec);
    const auto* object = ec ? nullptr : value.if_object();
    const auto* busy = object ? object->if_contains("busy") : nullptr;
    if (!busy || !(busy->is_int64() || busy->is_uint64()))
        return std::nullopt;
    return busy->to_number<std::uint32_t>(ec);
}

TaskAttempt parseAttempt(const json::object& object)
{
    return { TaskId { std::string(object.at("task").as_string()) },
        object.at("attempt").to_number<std::uint32_t>() };
}

WorkerReport parseReport(const std::string& body)
{
    const auto value = json::parse(body);
    WorkerReport report;
    report.incarnation = std::string(value.at("incarnation").as_string());
    report.epoch = value.at("epoch").to_number<std::uint64_t>();
    for (const auto& item : value.at("running").as_array())
        report.running.push_back(
            { parseAttempt(item.as_object()), item.at("epoch").to_number<std::uint64_t>() });
    for (const auto& item : value.at("ended").as_array()) {
        report.ended.push_back({ parseAttempt(item.as_object()), item.at("ok").as_bool(),
            std::string(item.at("result").as_string()) });
    }
    const auto& usage = value.at("usage");
    report.usage = { usage.at("cpu_milli").to_number<std::int64_t>(),
        usage.at("memory_mb").to_number<std::int64_t>(), usage.at("accelerators").to_number<std::int64_t>() };
    return report;
}

} // namespace

BackendLink::BackendLink()
    : ServiceThread("backend", ringCapacity)
    , m_executors(context(), connectionsPerExecutor, maxAnswerBytes)
    , m_workers(context(), connectionsPerWorker, maxAnswerBytes)
{
}

void BackendLink::execute(
    const std::string& address, ExecuteRequest request, Duration timeout, ExecuteDone done)
{
    HttpRequest message;
    message.method = "POST";
    message.target = "/v1/execute";
    message.headers["Quay-Team"] = request.team.text;
    if (!request.requestId.empty())
        message.headers["Request-Id"] = request.requestId;
    if (!request.traceparent.empty())
        message.headers["Traceparent"] = request.traceparent;
    message.body = std::move(request.body);
    const bool queued = post([this, address, message = std::move(message), timeout, done]() mutable {
        m_executors.send(address, std::move(message), timeout, std::move(done));
    });
    if (!queued)
        done(HttpResult { std::nullopt, false,
            Reason { ErrorKind::Overloaded, "too many requests to backend servers are queued" } });
}

void BackendLink::queryBusySlots(const std::string& address, BusyDone done)
{
    HttpRequest request;
    request.target = "/v1/status";
    const bool queued = post([this, address, request, done] {
        m_workers.send(
            address, request, workerTimeout, [done](HttpResult result) { done(parseBusySlots(result)); });
    });
    if (!queued)
        done(std::nullopt);
}

void BackendLink::startTask(const std::string& address, SendStart message, StartDone done)
{
    const bool queued = post([this, address, message, done] {
        m_workers.send(address, jsonPost("/v1/tasks", startBody(message)), workerTimeout,
            [message, done](HttpResult result) { done(startAnswer(message, result)); });
    });
    if (!queued)
        done(StartAnswer { message.worker, message.attempt, StartOutcome::Refused,
            "too many requests to backend servers are queued" });
}

void BackendLink::sendWithoutReply(const std::string& address, std::string target, std::string body)
{
    // The ledger repeats these messages, so a refusal by a full task queue and the answer can both be
    // ignored.
    (void)post([this, address, request = jsonPost(std::move(target), std::move(body))] {
        m_workers.send(address, request, workerTimeout, [](HttpResult) {});
    });
}

void BackendLink::renew(const std::string& address, const SendRenew& message)
{
    const json::object body { { "epoch", message.epoch }, { "lease_ms", message.leaseMs },
        { "tasks", toArray(message.tasks) } };
    sendWithoutReply(address, "/v1/renew", json::serialize(body));
}

void BackendLink::stopTask(const std::string& address, const SendStop& message)
{
    sendWithoutReply(address, "/v1/stop", json::serialize(toObject(message.attempt)));
}

void BackendLink::acknowledge(const std::string& address, const SendAck& message)
{
    sendWithoutReply(
        address, "/v1/ack", json::serialize(json::object { { "tasks", toArray(message.tasks) } }));
}

void BackendLink::report(const std::string& address, const ServerId& worker, ReportDone done)
{
    HttpRequest request;
    request.target = "/v1/report";
    const auto requestedAt = std::chrono::steady_clock::now();
    const bool queued = post([this, address, request, worker, requestedAt, done] {
        m_workers.send(address, request, workerTimeout, [worker, requestedAt, done](HttpResult result) {
            if (!result.response || result.response->status != 200) {
                done(std::nullopt);
                return;
            }
            try {
                auto report = parseReport(result.response->body);
                report.worker = worker;
                report.requestedAt = requestedAt;
                done(std::move(report));
            } catch (const std::exception&) {
                done(std::nullopt);
            }
        });
    });
    if (!queued)
        done(std::nullopt);
}

} // namespace quay
