#pragma once

#include "net/HttpServer.h"
#include "quay/core/Fleet.h"

#include <boost/asio/io_context.hpp>
#include <map>
#include <string>

namespace quay::standin {

/** How an executor behaves. */
struct ExecutorBehaviour {
    int serviceTimeMs = 2; // time to answer
    bool failsAllRequests = false; // every request is answered with an error
    bool dropsResponses = false; // requests run, their answers never come
};

/**
 * Stand-in for an executor: answers "echo:" and the body after a service time, on a fixed number of slots.
 * A request beyond the slots is refused and counted as a violation by the scheduler.
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
    std::map<std::string, std::uint64_t>
        m_runCountByRequestId; // by the caller's request id, where there is one
    std::map<std::string, std::uint32_t> m_busySlotsByTeam;
    std::map<std::string, std::uint32_t> m_maxBusySlotsByTeam;
};

} // namespace quay::standin
