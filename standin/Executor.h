#pragma once

#include "net/HttpServer.h"
#include "quay/core/Fleet.h"

#include <boost/asio/io_context.hpp>
#include <map>
#include <string>

namespace quay::standin {

/** Adjustable behaviour of a simulated executor. */
struct ExecutorBehaviour {
    int serviceTimeMs = 2; // time from a request to its response
    bool failsAllRequests = false; // every request gets a response with status 500
    bool dropsResponses = false; // requests are processed, but no response is sent
};

/**
 * Simulated executor for tests: responds with "echo:" and the request body after a service time, on a fixed
 * number of slots. A request that finds all slots busy is refused, and counted as a violation of the slot
 * limit by the scheduler.
 */
class Executor {
public:
    Executor(boost::asio::io_context& context, ServerInfo info, const std::string& listen,
        ExecutorBehaviour behaviour);

    const ServerInfo& info() const { return m_info; }

private:
    void handle(HttpRequest request, Respond respond);
    void execute(HttpRequest request, Respond respond);
    HttpResponse status() const;
    HttpResponse counters() const;
    HttpResponse setBehaviour(const std::string& body);

    boost::asio::io_context& m_context;
    ServerInfo m_info;
    HttpServer m_server;
    ExecutorBehaviour m_behaviour;
    std::string m_incarnation;
    std::uint32_t m_busySlots = 0;
    std::uint32_t m_maxBusySlots = 0;
    std::uint64_t m_slotViolations = 0;
    std::uint64_t m_servedRequests = 0;
    std::map<std::string, std::uint64_t> m_runCountByRequestId; // only of requests that carry an id
    std::map<std::string, std::uint32_t> m_busySlotsByTeam;
    std::map<std::string, std::uint32_t> m_maxBusySlotsByTeam;
};

} // namespace quay::standin
