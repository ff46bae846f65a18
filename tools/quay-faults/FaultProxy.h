#pragma once

#include "net/HttpServer.h"
#include "quay-faults/Route.h"

#include <boost/asio/steady_timer.hpp>
#include <list>
#include <map>

namespace quay::faults {

/**
 * All routes of one process, their control over HTTP and their script.
 *
 * Usage: `FaultProxy proxy(context, "127.0.0.1:0"); proxy.addRoute({"store", "127.0.0.1:0", target},
 * reason);`
 */
class FaultProxy {
public:
    FaultProxy(boost::asio::io_context& context, const std::string& controlAddress);
    ~FaultProxy();

    /** The bound control address. */
    std::string address() const { return m_server.address(); }

    /** Adds a route and returns its bound address; MalformedRequest if the name or an address is wrong. */
    std::optional<std::string> addRoute(RouteSpec spec, Reason& reason);

    /** Applies a fault; false with NotFound if there is no such route. */
    bool apply(const FaultCommand& command, Reason& reason);

    /** Adds the script's routes and runs its faults at their times from now. */
    bool run(const FaultScript& script, Reason& reason);

    /** One line a route: name and bound address. */
    std::string routeLines() const;

private:
    HttpResponse handle(const HttpRequest& request);
    HttpResponse listRoutes() const;
    HttpResponse handleAddRoute(const std::string& body);
    HttpResponse handleFault(const std::string& body);

    boost::asio::io_context& m_context;
    HttpServer m_server;
    std::map<std::string, std::shared_ptr<Route>> m_routes;
    std::list<boost::asio::steady_timer> m_scriptTimers;
};

} // namespace quay::faults
