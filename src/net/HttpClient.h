#pragma once

#include "net/HttpMessage.h"
#include "net/TlsCertificate.h"
#include "quay/core/Time.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

namespace quay {

/**
 * How long a request may take. Of a slow link only a stalled response counts as lost: one that keeps arriving
 * would not arrive sooner if it were requested again.
 *
 * Usage: `RequestTimeout { 800ms, 1s, 10s }`, or a Duration for the whole request.
 */
struct RequestTimeout {
    template <typename Count, typename Period>
    RequestTimeout(std::chrono::duration<Count, Period> whole)
        : start(whole)
    {
    }
    RequestTimeout(Duration untilStart, Duration untilNextByte, Duration longest)
        : start(untilStart)
        , stall(untilNextByte)
        , total(longest)
    {
    }
    /** For a response that may be megabytes long: its start is bounded, the rest only by a very slow link. */
    static RequestTimeout forLargeResponse(Duration untilStart);

    Duration start; // until the first byte of the response, or until its last one if `stall` is zero
    Duration stall {}; // between bytes of a response that has begun before `start` has passed
    Duration total {}; // until the last byte; used only with `stall`
};

/**
 * An asynchronous HTTP/1.1 client with keep-alive and one connection pool per address.
 * It never retries; the caller decides which requests are safe to send again.
 * With a TLS context it uses HTTPS only, and rejects a server whose certificate is not signed by a trusted CA
 * or is not valid for the address that it connects to.
 *
 * Usage: `client.send("127.0.0.1:80", request, 2s, [](HttpResult result) { ... });`
 */
class HttpClient {
public:
    struct Impl; // defined in HttpClient.cpp

    using ResponseHandler = std::function<void(HttpResult)>;

    /**
     * Requests beyond `maxConnectionsPerAddress` wait for a free connection. A response whose body exceeds
     * `maxResponseBytes` fails. A null `tls` means plain HTTP.
     */
    HttpClient(boost::asio::io_context& context, std::size_t maxConnectionsPerAddress,
        std::size_t maxResponseBytes, TlsContext tls = nullptr);
    ~HttpClient();

    /** Limits the idle connections that are kept open, over all addresses together. Unlimited by default. */
    void setMaxIdleConnections(std::size_t maxConnections);

    /**
     * Sends one request. Call on the context's thread; `done` runs on that thread exactly once, possibly
     * before send() returns. `timeout` covers the wait for a free connection of the address, connecting, and
     * the response.
     */
    void send(
        const std::string& address, HttpRequest request, const RequestTimeout& timeout, ResponseHandler done);

private:
    std::shared_ptr<Impl> m_impl;
};

} // namespace quay
