#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/ssl/ssl_stream.hpp>
#include <memory>
#include <optional>

namespace quay {

// A TCP connection with optional TLS, so that HTTP code is the same for both.
// Timeouts are set on the TCP stream and also bound the TLS handshake.
class TlsOptionalStream {
public:
    using executor_type = boost::beast::tcp_stream::executor_type;
    using Context = std::shared_ptr<boost::asio::ssl::context>;
    using HandshakeType = boost::asio::ssl::stream_base::handshake_type;

    // A null context means plain TCP.
    template <typename SocketOrContext>
    TlsOptionalStream(SocketOrContext&& lowerLayer, Context context)
        : m_tcp(std::forward<SocketOrContext>(lowerLayer))
        , m_context(std::move(context))
    {
        if (m_context)
            m_tls.emplace(m_tcp, *m_context);
    }

    TlsOptionalStream(const TlsOptionalStream&) = delete;
    TlsOptionalStream& operator=(const TlsOptionalStream&) = delete;

    boost::beast::tcp_stream& tcp() { return m_tcp; }
    boost::asio::ip::tcp::socket& socket() { return m_tcp.socket(); }
    bool isSecure() const { return m_tls.has_value(); }

    // Sets an additional check of the peer's certificate, such as of its host name. Requires TLS.
    template <typename Verification> void setVerifyCallback(Verification verification)
    {
        m_tls->set_verify_callback(std::move(verification));
    }

    // Plain TCP has no handshake; the handler is called immediately.
    template <typename Handler> void asyncHandshake(HandshakeType type, Handler&& handler)
    {
        if (m_tls)
            m_tls->async_handshake(type, std::forward<Handler>(handler));
        else
            handler(boost::beast::error_code());
    }

    // Sends the TLS close_notify alert. Plain TCP has no equivalent; the handler is called immediately.
    template <typename Handler> void asyncCloseNotify(Handler&& handler)
    {
        if (m_tls)
            m_tls->async_shutdown(std::forward<Handler>(handler));
        else
            handler(boost::beast::error_code());
    }

    // These names are required by the Asio stream concepts.
    // NOLINTBEGIN(readability-identifier-naming)
    executor_type get_executor() { return m_tcp.get_executor(); }

    template <typename Buffers, typename Handler>
    void async_read_some(const Buffers& buffers, Handler&& handler)
    {
        if (m_tls)
            m_tls->async_read_some(buffers, std::forward<Handler>(handler));
        else
            m_tcp.async_read_some(buffers, std::forward<Handler>(handler));
    }

    template <typename Buffers, typename Handler>
    void async_write_some(const Buffers& buffers, Handler&& handler)
    {
        if (m_tls)
            m_tls->async_write_some(buffers, std::forward<Handler>(handler));
        else
            m_tcp.async_write_some(buffers, std::forward<Handler>(handler));
    }
    // NOLINTEND(readability-identifier-naming)

private:
    boost::beast::tcp_stream m_tcp;
    Context m_context; // owned, because the server replaces its own context with a new certificate
    std::optional<boost::beast::ssl_stream<boost::beast::tcp_stream&>> m_tls;
};

} // namespace quay
