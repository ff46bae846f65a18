#pragma once

#include "net/HttpMessage.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <limits>
#include <string>
#include <thread>

namespace quay::test {

/** How a response reaches the client. */
struct Pace {
    std::size_t chunkBytes = std::numeric_limits<std::size_t>::max();
    Duration pause {}; // after each chunk
    std::size_t sentChunks = std::numeric_limits<std::size_t>::max(); // the connection is silent after them
};

/** An HTTP server whose responses arrive in chunks with pauses, as over a thin link. */
class PacedServer {
public:
    using Body = std::function<std::string(const std::string& target, Pace& pace)>;

    explicit PacedServer(Body body)
        : m_body(std::move(body))
    {
        boost::asio::co_spawn(m_context, acceptAll(), boost::asio::detached);
        m_thread = std::thread([this] { m_context.run(); });
    }
    ~PacedServer()
    {
        m_context.stop();
        m_thread.join();
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()); }

private:
    using tcp = boost::asio::ip::tcp;

    boost::asio::awaitable<void> acceptAll()
    {
        for (;;)
            boost::asio::co_spawn(m_context,
                serve(co_await m_acceptor.async_accept(boost::asio::use_awaitable)), boost::asio::detached);
    }

    boost::asio::awaitable<void> serve(tcp::socket socket)
    {
        namespace http = boost::beast::http;
        boost::beast::flat_buffer buffer;
        boost::asio::steady_timer timer(m_context);
        try {
            for (;;) {
                http::request<http::string_body> request;
                co_await http::async_read(socket, buffer, request, boost::asio::use_awaitable);
                Pace pace;
                const auto body = m_body(std::string(request.target()), pace);
                const auto text
                    = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
                std::size_t chunks = 0;
                for (std::size_t at = 0; at < text.size(); at += pace.chunkBytes) {
                    if (chunks++ == pace.sentChunks)
                        timer.expires_at(Instant::max());
                    else
                        timer.expires_after(pace.pause);
                    if (at > 0 || chunks > pace.sentChunks)
                        co_await timer.async_wait(boost::asio::use_awaitable);
                    const auto bytes = std::min(pace.chunkBytes, text.size() - at);
                    co_await boost::asio::async_write(
                        socket, boost::asio::buffer(text.data() + at, bytes), boost::asio::use_awaitable);
                    if (bytes < pace.chunkBytes)
                        break;
                }
            }
        } catch (const boost::system::system_error&) {
            co_return; // the client has closed the connection
        }
    }

    Body m_body;
    boost::asio::io_context m_context { 1 };
    tcp::acceptor m_acceptor { m_context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0) };
    std::thread m_thread;
};

} // namespace quay::test
