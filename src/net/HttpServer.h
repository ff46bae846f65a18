#pragma once

#include "net/HttpMessage.h"
#include "net/TlsCertificate.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace quay {

/** Answers one request. May be called from any thread; only the first call counts. */
using Respond = std::function<void(HttpResponse)>;

/** Takes a request on the server's thread; it answers now or later through `respond`. */
using HttpHandler = std::function<void(HttpRequest, Respond respond)>;

/**
 * An HTTP/1.1 server with keep-alive on one io_context.
 *
 * Usage: `HttpServer server(context, "127.0.0.1:0", limits, handler); server.start();`
 */
class HttpServer {
public:
    struct Impl; // defined beside the implementation

    /**
     * Binds at once; throws boost::system::system_error if the address can't be bound.
     * With a certificate every connection begins with a TLS handshake, inside the idle timeout.
     */
    HttpServer(boost::asio::io_context& context, const std::string& address, HttpLimits limits,
        HttpHandler handler, std::shared_ptr<const TlsCertificate> certificate = nullptr);
    ~HttpServer();

    /** Begins to accept. */
    void start();

    /** The bound address as "ip:port", with the port that the kernel chose. */
    std::string address() const;

    /** From now on every answer closes its connection; idle connections are closed. */
    void drain();

    /** Requests taken and not yet answered in full. */
    std::size_t inFlight() const;

private:
    std::shared_ptr<Impl> m_impl;
};

} // namespace quay
