#pragma once

#include "quay-faults/FaultCommand.h"
#include "quay/core/Time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace quay::faults {

class Session;

/** The faults in effect in one direction of a route. */
struct DirectionFaults {
    int delayMs = 0;
    int jitterMs = 0;
    std::mt19937_64 random { 1 };
    bool isCut = false;
    std::uint32_t answersToLose = 0; // response direction only
    std::uint64_t bytesToLose = 0; // response direction only
};

/** Traffic counters of a route. */
struct RouteCounts {
    std::uint64_t connections = 0;
    std::uint64_t requestBytes = 0; // delivered
    std::uint64_t responseBytes = 0; // delivered
    std::uint64_t lostBytes = 0; // discarded by LoseAnswers
    std::uint64_t resets = 0; // connections reset by a fault
};

/**
 * Forwards the connections of one listening address to its target, with the injected faults. Not thread-safe:
 * used only on the thread that runs the context.
 */
class Route : public std::enable_shared_from_this<Route> {
public:
    /** Binds the listening address; throws boost::system::system_error or std::invalid_argument. */
    Route(boost::asio::io_context& context, RouteSpec spec);

    /** Starts accepting connections. */
    void start();
    /** Stops accepting and resets the open connections. */
    void stop();
    /** Injects or ends a fault on open and later connections. */
    void apply(const FaultCommand& command);

    const RouteSpec& spec() const { return m_spec; }
    /** The bound listening address, "ip:port". */
    std::string address() const;
    std::size_t openConnections() const { return m_sessions.size(); }

    // Used by the sessions of the route.
    boost::asio::io_context& context() { return m_context; }
    const boost::asio::ip::tcp::endpoint& target() const { return m_target; }
    DirectionFaults& faults(Direction direction) { return m_faults[static_cast<std::size_t>(direction)]; }
    RouteCounts& counts() { return m_counts; }
    void removeSession(const std::shared_ptr<Session>& session) { m_sessions.erase(session); }

private:
    void accept();
    void applyToDirection(DirectionFaults& faults, const FaultCommand& command);
    void resetSessions();

    boost::asio::io_context& m_context;
    RouteSpec m_spec;
    boost::asio::ip::tcp::endpoint m_target;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::set<std::shared_ptr<Session>> m_sessions;
    DirectionFaults m_faults[2];
    RouteCounts m_counts;
    bool m_resetsNewConnections = false;
};

} // namespace quay::faults
