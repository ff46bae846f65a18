#include "quay-faults/FaultProxy.h"

#include <boost/json.hpp>

namespace quay::faults {

namespace json = boost::json;

namespace {

HttpResponse okResponse(const json::object& object)
{
    HttpResponse response;
    response.body = json::serialize(object);
    return response;
}

} // namespace

FaultProxy::FaultProxy(boost::asio::io_context& context, const std::string& controlAddress)
    : m_context(context)
    , m_server(context, controlAddress, HttpLimits {},
          [this](const HttpRequest& request, const Respond& respond) { respond(handle(request)); })
{
    m_server.start();
}

FaultProxy::~FaultProxy()
{
    for (const auto& [name, route] : m_routes)
        route->stop();
}

std::optional<std::string> FaultProxy::addRoute(RouteSpec spec, Reason& reason)
{
    if (m_routes.count(spec.name))
        return fail(reason, ErrorKind::MalformedRequest, "route '" + spec.name + "' already exists");
    try {
        auto route = std::make_shared<Route>(m_context, spec);
        route->start();
        const auto address = route->address();
        m_routes[spec.name] = std::move(route);
        return address;
    } catch (const std::exception& error) {
        return fail(reason, ErrorKind::MalformedRequest, error.what());
    }
}

bool FaultProxy::apply(const FaultCommand& command, Reason& reason)
{
    const auto it = m_routes.find(command.route);
    if (it == m_routes.end()) {
        reason = Reason { ErrorKind::NotFound, "no route '" + command.route + "'" };
        return false;
    }
    it->second->apply(command);
    return true;
}

bool FaultProxy::run(const FaultScript& script, Reason& reason)
{
    for (const auto& spec : script.routes) {
        if (!addRoute(spec, reason))
            return false;
    }
    const auto start = std::chrono::steady_clock::now();
    for (const auto& command : script.faults) {
        if (!m_routes.count(command.route)) {
            reason = Reason { ErrorKind::NotFound, "no route '" + command.route + "'" };
            return false;
        }
        auto& timer = m_scriptTimers.emplace_back(m_context, start + std::chrono::milliseconds(command.atMs));
        timer.async_wait([this, command](auto ec) {
            Reason ignored; // can't fail: the route was checked above and routes are never removed
            if (!ec)
                apply(command, ignored);
        });
    }
    return true;
}

std::string FaultProxy::routeLines() const
{
    std::string lines;
    for (const auto& [name, route] : m_routes)
        lines.append(name).append(" ").append(route->address()).append("\n");
    return lines;
}

HttpResponse FaultProxy::handle(const HttpRequest& request)
{
    const auto path = request.path();
    if (path == "/v1/routes" && request.method == "POST")
        return handleAddRoute(request.body);
    if (path == "/v1/routes")
        return listRoutes();
    if (path == "/v1/faults" && request.method == "POST")
        return handleFault(request.body);
    return errorResponse(Reason { ErrorKind::NotFound, request.method + " " + path });
}

HttpResponse FaultProxy::listRoutes() const
{
    json::array routes;
    for (const auto& [name, route] : m_routes) {
        const auto& counts = route->counts();
        routes.push_back(json::object { { "name", name }, { "address", route->address() },
            { "target", route->spec().target }, { "open_connections", route->openConnections() },
            { "connections", counts.connections }, { "request_bytes", counts.requestBytes },
            { "response_bytes", counts.responseBytes }, { "lost_bytes", counts.lostBytes },
            { "resets", counts.resets } });
    }
    return okResponse({ { "routes", routes } });
}

HttpResponse FaultProxy::handleAddRoute(const std::string& body)
{
    Reason reason;
    const auto spec = parseRoute(body, reason);
    const auto address = spec ? addRoute(*spec, reason) : std::nullopt;
    return address ? okResponse({ { "name", spec->name }, { "address", *address } }) : errorResponse(reason);
}

HttpResponse FaultProxy::handleFault(const std::string& body)
{
    Reason reason;
    const auto command = parseFault(body, reason);
    if (!command || !apply(*command, reason))
        return errorResponse(reason);
    return okResponse({ { "ok", true } });
}

} // namespace quay::faults
