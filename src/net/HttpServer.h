#pragma once

#include "net/HttpMessage.h"
#include "net/TlsCertificate.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace quay {

/** Sends the response to one request. Callable from any thread; calls after the first are ignored. */
using Respond = std::function<void(HttpResponse)>;

/** Handles a request on the server's thread. Calls `respond` before it returns, or later. */
using HttpHandler = std::function<void(HttpRequest, Respond respond)>;

/**
 * An HTTP/1.1 server with keep-alive on one io_context.
 *
 * Usage: `HttpServer server(context, "127.0.0.1:0", limits, handler); server.start();`
 */
class HttpServer {
public:
    struct Impl; // defined in HttpServer.cpp

    /**
     * Binds and listens. Throws boost::system::system_error if the address can't be bound, and
     * std::invalid_argument if it is not of the form IP:PORT.
     * With a certificate every connection starts with a TLS handshake, which is bounded by the idle timeout.
     */
    HttpServer(boost::asio::io_context& context, const std::string& address, HttpLimits limits,
        HttpHandler handler, std::shared_ptr<const TlsCertificate> certificate = nullptr);
    ~HttpServer();

    /** Starts to accept connections. */
    void start();

    /** The bound address as "ip:port", with the port that the kernel assigned if port 0 was requested. */
    std::string address() const;

    /** Starts a graceful shutdown: idle connections are closed, others after the response in flight. */
    void drain();

    /** The number of requests that were read and whose response is not yet written completely. */
    std::size_t inFlight() const;

private:
    std::shared_ptr<Impl> m_impl;
};

} // namespace quay
