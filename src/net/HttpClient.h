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
 * An HTTP/1.1 client that keeps connections alive and pools them by address.
 * It never retries: what may be sent again is decided by its user.
 * With a TLS context it speaks HTTPS only, and refuses a server whose certificate is not of a trusted CA
 * or not for the address it calls.
 *
 * Usage: `client.send("127.0.0.1:80", request, 2s, [](HttpResult result) { ... });`
 */
class HttpClient {
public:
    struct Impl; // defined beside the implementation

    using Done = std::function<void(HttpResult)>;

    HttpClient(boost::asio::io_context& context, std::size_t maxConnectionsPerAddress,
        std::size_t maxResponseBytes, TlsContext tls = nullptr);
    ~HttpClient();

    /** From now on at most so many idle connections are kept, of all addresses together. */
    void setMaxIdleConnections(std::size_t maxConnections);

    /**
     * Sends one request; call on the context's thread. `done` runs on that thread, exactly once.
     * With all connections of the address busy the request waits its turn inside the timeout.
     */
    void send(const std::string& address, HttpRequest request, Duration timeout, Done done);

private:
    std::shared_ptr<Impl> m_impl;
};

} // namespace quay
