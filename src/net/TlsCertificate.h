#pragma once

#include "quay/core/Settings.h"

#include <boost/asio/ssl/context.hpp>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace quay {

/** A TLS context that connections share. */
using TlsContext = std::shared_ptr<boost::asio::ssl::context>;

/**
 * The certificate and key of a server, read from two PEM files and reloaded without a restart.
 * Established connections keep the context they started with. Callable from any thread.
 *
 * Usage: `auto certificate = std::make_shared<TlsCertificate>(settings.tls);`
 */
class TlsCertificate {
public:
    /** The result of checking the files for changes. */
    enum class RefreshResult {
        None, // the files have not changed since the last check
        Replaced, // new connections use the new certificate
        Invalid, // the changed files can't be used; the previous certificate stays in use
    };

    /** Reads the files. Throws std::runtime_error if they can't be used. */
    explicit TlsCertificate(TlsSettings files);

    /** The context for a new connection. */
    TlsContext current() const;

    /**
     * Loads the files if their content has changed since the last check. With Invalid, `detail` says why
     * they can't be used; the same invalid content is reported once.
     */
    RefreshResult refresh(std::string& detail);

    /** The expiry time of the certificate in use, in OpenSSL's text format. */
    std::string expiry() const;

private:
    TlsSettings m_files;
    mutable std::mutex m_mutex;
    TlsContext m_context;
    std::uint64_t m_lastReadHash = 0; // hash of the files' content at the last check
};

/**
 * A client context that trusts the CAs in `caFile`, or the system's CAs if `caFile` is empty.
 * Returns nullopt with a `detail` if the CAs can't be loaded.
 */
std::optional<TlsContext> clientTlsContext(const std::string& caFile, std::string& detail);

} // namespace quay
