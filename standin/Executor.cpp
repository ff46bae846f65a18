#include "Executor.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <memory>
#include <random>

namespace quay::standin {

namespace json = boost::json;

namespace {

HttpResponse ok(const json::object& object)
{
    HttpResponse response;
    response.body = json::serialize(object);
    return response;
}

} // namespace

Executor::Executor(
    boost::asio::io_context& context, ServerInfo info, const std::string& listen, ExecutorBehaviour behaviour)
    : m_context(context)
    , m_info(std::move(info))
    , m_server(context, listen, HttpLimits {},
          [this](HttpRequest request, Respond respond) { handle(std::move(request), std::move(respond)); })
    , m_behaviour(behaviour)
    , m_incarnation(std::to_string(std::random_device {}()))
{
    m_info.address = m_server.address();
    m_server.start();
}

void Executor::handle(HttpRequest request, Respond respond)
{
    const auto path = request.path();
    if (path == "/v1/execute")
        execute(std::move(request), std::move(respond));
    else if (path == "/v1/status")
        respond(status());
    else if (path == "/admin/ledger")
        respond(counters());
    else if (path == "/admin/behaviour")
        respond(setBehaviour(request.body));
    else
        respond(errorResponse(Reason { ErrorKind::NotFound, path }));
}

void Executor::execute(HttpRequest request, Respond respond)
{
    if (m_busySlots >= m_info.slots) {
        ++m_slotViolations;
        respond(errorResponse(Reason { ErrorKind::NoCapacity, "all slots are busy" }));
        return;
    }
    ++m_busySlots;
    m_maxBusySlots = std::max(m_maxBusySlots, m_busySlots);
    const auto team = request.header("quay-team");
    auto& teamBusySlots = ++m_busySlotsByTeam[team];
    m_maxBusySlotsByTeam[team] = std::max(m_maxBusySlotsByTeam[team], teamBusySlots);
    const auto requestId = request.header("request-id");
    if (!requestId.empty())
        ++m_runCountByRequestId[requestId];
    auto timer = std::make_shared<boost::asio::steady_timer>(
        m_context, std::chrono::milliseconds(m_behaviour.serviceTimeMs));
    timer->async_wait([this, timer, team, request = std::move(request), respond = std::move(respond)](auto) {
        --m_busySlots;
        --m_busySlotsByTeam[team];
        ++m_servedRequests;
        if (m_behaviour.dropsResponses)
            return;
        HttpResponse response;
        response.contentType = "text/plain";
        response.status = m_behaviour.failsAllRequests ? 500 : 200;
        response.body = m_behaviour.failsAllRequests ? "executor failed" : "echo:" + request.body;
        respond(std::move(response));
    });
}

HttpResponse Executor::status() const
{
    return ok({ { "incarnation", m_incarnation }, { "slots", m_info.slots }, { "busy", m_busySlots } });
}

HttpResponse Executor::counters() const
{
    json::object runs;
    for (const auto& [request, count] : m_runCountByRequestId)
        runs[request] = count;
    json::object teams;
    for (const auto& [team, count] : m_maxBusySlotsByTeam)
        teams[team] = count;
    return ok({ { "id", m_info.id.text }, { "served", m_servedRequests }, { "max_busy", m_maxBusySlots },
        { "slot_violations", m_slotViolations }, { "runs_by_request", runs },
        { "max_busy_by_team", teams } });
}

HttpResponse Executor::setBehaviour(const std::string& body)
{
    boost::system::error_code ec;
    const auto value = json::parse(body, ec);
    if (ec || !value.is_object())
        return errorResponse(Reason { ErrorKind::MalformedRequest, ec.message() });
    const auto& object = value.get_object();
    if (const auto* it = object.if_contains("service_ms"))
        m_behaviour.serviceTimeMs = it->to_number<int>();
    if (const auto* it = object.if_contains("fail_all"))
        m_behaviour.failsAllRequests = it->as_bool();
    if (const auto* it = object.if_contains("drop_answers"))
        m_behaviour.dropsResponses = it->as_bool();
    return ok({ { "ok", true } });
}

} // namespace quay::standin
