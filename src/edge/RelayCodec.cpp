#include "edge/RelayCodec.h"

#include "peer.pb.h"

#include <utility>

namespace quay::edge {

using namespace fleet;
using namespace platform;

namespace {

template <typename Message> void encodeTask(const TaskRef& task, int run, Message& message)
{
    message.set_job(task.job);
    message.set_occurrence(task.occurrence);
    message.set_step(task.step);
    message.set_index(task.index);
    message.set_run(run);
}

template <typename Message> TaskRef decodeTask(const Message& message)
{
    return { message.job(), message.occurrence(), message.step(), message.index() };
}

} // namespace

std::string encode(const RelayRequest& request)
{
    wire::RelayRequest message;
    message.set_session(request.session);
    message.set_wait_ms(static_cast<std::uint32_t>(toMilliseconds(request.wait)));
    for (const auto& it : request.calls) {
        auto& call = *message.add_calls();
        call.set_number(it.number);
        call.set_kind(static_cast<std::uint32_t>(it.kind));
        call.set_address(it.target.address);
        call.set_executor(it.target.executorId);
        call.set_fence(it.target.fence);
        call.set_timeout_ms(static_cast<std::uint32_t>(toMilliseconds(it.timeout)));
        encodeTask(it.order.task, it.order.run, call);
        call.set_payload(it.order.payload);
        call.set_checkpoint(it.order.checkpoint);
        call.set_ticket(it.order.ticket);
        call.set_lease_until_clock_ms(it.order.leaseUntilClockMs);
        call.set_percent(it.percent);
        call.set_acknowledged_end(it.acknowledgedEnd);
        call.set_wait_ms(static_cast<std::uint32_t>(toMilliseconds(it.wait)));
        call.set_domain(it.domain);
    }
    return message.SerializeAsString();
}

std::optional<RelayRequest> decodeRelayRequest(const std::string& bytes)
{
    wire::RelayRequest message;
    if (!message.ParseFromString(bytes))
        return std::nullopt;
    RelayRequest request;
    request.session = message.session();
    request.wait = std::chrono::milliseconds(message.wait_ms());
    request.calls.reserve(static_cast<std::size_t>(message.calls_size()));
    for (auto& it : *message.mutable_calls()) {
        if (it.kind() > static_cast<std::uint32_t>(RelayCallKind::Heartbeat))
            return std::nullopt;
        RelayCall call;
        call.number = it.number();
        call.kind = static_cast<RelayCallKind>(it.kind());
        call.target = { it.address(), it.executor(), it.fence() };
        call.timeout = std::chrono::milliseconds(it.timeout_ms());
        call.order = { decodeTask(it), it.run(), std::move(*it.mutable_payload()), it.checkpoint(),
            it.ticket(), it.lease_until_clock_ms() };
        call.percent = it.percent();
        call.acknowledgedEnd = it.acknowledged_end();
        call.wait = std::chrono::milliseconds(it.wait_ms());
        call.domain = it.domain();
        request.calls.push_back(std::move(call));
    }
    return request;
}

std::string encode(const std::vector<RelayResult>& results)
{
    wire::RelayResponse message;
    for (const auto& it : results) {
        auto& result = *message.add_results();
        const auto& order = it.response.order;
        result.set_number(it.number);
        result.set_result(static_cast<std::uint32_t>(order.result));
        result.set_clock_ms(order.clockMs);
        result.set_blind(it.isRelayBlind);
        if (order.result != OrderResult::Ok)
            result.set_detail(order.detail);
        if (!it.response.report)
            continue;
        const auto& report = *it.response.report;
        result.set_has_report(true);
        result.set_started_unix_ms(report.startedUnixMs);
        for (const auto& task : report.running) {
            auto& running = *result.add_running();
            encodeTask(task.task, task.run, running);
            running.set_checkpoint(task.checkpoint);
            running.set_percent(task.percent);
            running.set_load(task.recentLoad);
        }
        for (const auto& task : report.ended) {
            auto& ended = *result.add_ended();
            encodeTask(task.task, task.run, ended);
            ended.set_checkpoint(task.checkpoint);
            ended.set_number(task.number);
            ended.set_outcome(static_cast<std::uint32_t>(task.outcome));
        }
    }
    return message.SerializeAsString();
}

std::optional<std::vector<RelayResult>> decodeRelayResults(const std::string& bytes)
{
    wire::RelayResponse message;
    if (!message.ParseFromString(bytes))
        return std::nullopt;
    std::vector<RelayResult> results;
    results.reserve(static_cast<std::size_t>(message.results_size()));
    for (const auto& it : message.results()) {
        if (it.result() > static_cast<std::uint32_t>(OrderResult::Unreachable))
            return std::nullopt;
        RelayResult result;
        result.number = it.number();
        result.isRelayBlind = it.blind();
        result.response.order = { static_cast<OrderResult>(it.result()), it.clock_ms(), it.detail() };
        if (it.has_report()) {
            ExecutorReport report { it.clock_ms(), it.started_unix_ms(), {}, {} };
            for (const auto& task : it.running())
                report.running.push_back(
                    { decodeTask(task), task.run(), task.checkpoint(), task.percent(), task.load() });
            for (const auto& task : it.ended()) {
                if (task.outcome() > static_cast<std::uint32_t>(RunOutcome::GangIncomplete))
                    return std::nullopt;
                report.ended.push_back({ task.number(), decodeTask(task), task.run(),
                    static_cast<RunOutcome>(task.outcome()), task.checkpoint() });
            }
            result.response.report = std::move(report);
        }
        results.push_back(std::move(result));
    }
    return results;
}

} // namespace quay::edge
