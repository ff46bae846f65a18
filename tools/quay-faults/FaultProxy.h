#pragma once

#include "net/HttpServer.h"
#include "quay-faults/Route.h"

#include <boost/asio/steady_timer.hpp>
#include <list>
#include <map>

namespace quay::faults {

/**
 * A set of routes with an HTTP control interface and scripted faults.
 *
 * Usage: `FaultProxy proxy(context, "127.0.0.1:0"); proxy.addRoute({"store", "127.0.0.1:0", target},
 * reason);`
 */
class FaultProxy {
public:
    /** Binds and serves the control address, "ip:port"; the context must run on one thread. */
    FaultProxy(boost::asio::io_context& context, const std::string& controlAddress);
    ~FaultProxy();

    /** The bound control address. */
    std::string address() const { return m_server.address(); }

    /**
     * Adds a route and returns its bound address; nullopt with MalformedRequest if the name is in use, or an
     * address is not valid or can't be bound.
     */
    std::optional<std::string> addRoute(RouteSpec spec, Reason& reason);

    /** Applies a fault command; returns false with NotFound if there is no such route. */
    bool apply(const FaultCommand& command, Reason& reason);

    /**
     * Adds the routes of a script and schedules its faults relative to now. Returns false with the reason if
     * a route can't be added or a fault names an unknown route.
     */
    bool run(const FaultScript& script, Reason& reason);

    /** Returns one line "NAME IP:PORT" for each route. */
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
