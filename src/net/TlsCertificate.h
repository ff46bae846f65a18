#pragma once

#include "quay/core/Settings.h"

#include <boost/asio/ssl/context.hpp>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace quay {

/** A TLS context that several connections share. */
using TlsContext = std::shared_ptr<boost::asio::ssl::context>;

/**
 * The certificate and key of a server, read from two PEM files and replaced while connections go on:
 * a connection keeps the context with which it began. Callable from any thread.
 *
 * Usage: `auto certificate = std::make_shared<TlsCertificate>(settings.tls);`
 */
class TlsCertificate {
public:
    /** What a look at the files gave. */
    enum class RefreshResult {
        None, // the files hold what was read last
        Replaced, // new connections use the new certificate
        Invalid, // the new files can't be used; the certificate before stays in use
    };

    /** Reads the files; throws std::runtime_error if they can't be used. */
    explicit TlsCertificate(TlsSettings files);

    /** The context for a new connection. */
    TlsContext current() const;

    /** Looks whether the files' content changed since the last look, and if so reads it. Broken: `detail`
     * says why. */
    RefreshResult refresh(std::string& detail);

    /** The end of the validity of the certificate in use, as OpenSSL prints it. */
    std::string expiry() const;

private:
    TlsSettings m_files;
    mutable std::mutex m_mutex;
    TlsContext m_context;
    std::uint64_t m_lastReadHash = 0; // hash of the files' content at the last look
};

/** The context of a client: it trusts the CAs of `caFile`, or with an empty name those of the system. */
std::optional<TlsContext> clientTlsContext(const std::string& caFile, std::string& detail);

} // namespace quay
