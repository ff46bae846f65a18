#pragma once

#include "net/HttpServer.h"
#include "quay/core/Fleet.h"
#include "tableservice/Transaction.h"

#include <boost/asio/io_context.hpp>
#include <map>
#include <random>
#include <string>

namespace quay::standin {

/** Faults that the simulated platform injects. */
struct PlatformFaults {
    bool isDown = false; // requests have no effect and get no response
    unsigned lostResponsePercent = 0; // share of transactions that are applied but get no response
    int responseDelayMs = 0; // delay of every response
};

/** In-memory simulation of the table service, the object store and the VM list, for tests. */
class Platform {
public:
    Platform(boost::asio::io_context& context, const std::string& listen);

    std::string address() const { return m_server.address(); }

private:
    void handle(HttpRequest request, Respond respond);
    HttpResponse dispatch(const HttpRequest& request);
    HttpResponse commit(const std::string& body);
    HttpResponse get(const std::string& body);
    HttpResponse scan(const std::string& body);
    HttpResponse serveObject(const HttpRequest& request);
    HttpResponse serveServerList(const HttpRequest& request);
    HttpResponse setFaults(const std::string& body);
    HttpResponse stats() const;
    void respondAfterDelay(HttpResponse response, Respond respond);

    boost::asio::io_context& m_context;
    HttpServer m_server;
    std::map<std::string, TableRow> m_rows;
    std::map<std::string, std::string> m_objects;
    std::map<std::string, ServerInfo> m_servers;
    std::uint64_t m_lastVersion = 0;
    std::uint64_t m_transactionCount = 0;
    std::uint64_t m_rowsWritten = 0;
    std::uint64_t m_readCount = 0;
    PlatformFaults m_faults;
    std::mt19937_64 m_random { 1 };
};

} // namespace quay::standin
