#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/ssl/ssl_stream.hpp>
#include <memory>
#include <optional>

namespace quay {

// A TCP connection with TLS over it, or without, so that its users have one logic for both.
// Time limits are those of the TCP stream below; they bound the handshake too.
class TlsOptionalStream {
public:
    using executor_type = boost::beast::tcp_stream::executor_type;
    using Context = std::shared_ptr<boost::asio::ssl::context>;
    using HandshakeType = boost::asio::ssl::stream_base::handshake_type;

    // With a null context the stream is plain TCP.
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

    // Only with TLS: how the other side's certificate is checked, beyond its chain.
    template <typename Verification> void setVerifyCallback(Verification verification)
    {
        m_tls->set_verify_callback(std::move(verification));
    }

    // Plain TCP has no handshake: the handler is then called at once.
    template <typename Handler> void asyncHandshake(HandshakeType type, Handler&& handler)
    {
        if (m_tls)
            m_tls->async_handshake(type, std::forward<Handler>(handler));
        else
            handler(boost::beast::error_code());
    }

    // Tells the other side that nothing follows. Plain TCP has no such message: the handler is called at
    // once.
    template <typename Handler> void asyncCloseNotify(Handler&& handler)
    {
        if (m_tls)
            m_tls->async_shutdown(std::forward<Handler>(handler));
        else
            handler(boost::beast::error_code());
    }

    // The names that the Asio stream concepts want.
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
    Context m_context; // kept as long as the connection, also when a new certificate is in use
    std::optional<boost::beast::ssl_stream<boost::beast::tcp_stream&>> m_tls;
};

} // namespace quay
