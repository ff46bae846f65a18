#include "net/HttpServer.h"

#include "net/TlsOptionalStream.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <set>
#include <utility>

namespace quay {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

namespace {

// Delay before the next accept after a connection over the limit was closed or an accept failed.
constexpr auto acceptRetryDelay = std::chrono::milliseconds(20);
// Bounds a lingering close, and the TLS close_notify before a connection is closed.
constexpr auto lingerTimeout = std::chrono::seconds(2);
constexpr std::size_t lingerBufferBytes = 64UL * 1024;

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(
        lower.begin(), lower.end(), lower.begin(), [](unsigned char c) { return std::tolower(c); });
    return lower;
}

class Session;

} // namespace

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl> {
    Impl(asio::io_context& io, const std::string& address, HttpLimits theLimits, HttpHandler theHandler,
        std::shared_ptr<const TlsCertificate> theCertificate);

    void accept();

    asio::io_context& context;
    tcp::acceptor acceptor;
    HttpLimits limits;
    HttpHandler handler;
    std::shared_ptr<const TlsCertificate> certificate; // null: plain HTTP
    std::set<std::shared_ptr<Session>> sessions;
    std::atomic<std::size_t> inFlight = 0;
    bool isDraining = false;
};

namespace {

// One connection. After the TLS handshake, if any, it handles one request at a time: reads it, passes it to
// the handler, writes the response, and reads the next one if the connection is kept alive.
class Session : public std::enable_shared_from_this<Session> {
public:
    Session(tcp::socket socket, std::shared_ptr<HttpServer::Impl> server);

    void begin();
    void closeIfIdle();

private:
    void read();
    void onRead(beast::error_code ec);
    void sendResponse(HttpResponse response);
    void onWritten(beast::error_code ec);
    void close();
    void closeNow();
    void linger();
    HttpRequest takeRequest();
    void rejectUnreadableRequest(beast::error_code ec);

    TlsOptionalStream m_stream;
    std::shared_ptr<HttpServer::Impl> m_server;
    beast::flat_buffer m_buffer;
    std::optional<http::request_parser<http::string_body>> m_parser;
    http::response<http::string_body> m_response;
    std::uint64_t m_requestNumber = 0; // responses to earlier requests of this connection are ignored
    bool m_hasRequestInFlight = false;
    bool m_keepAlive = true;
    bool m_hasUnreadInput = false; // the request was rejected before it was read completely
    std::vector<char> m_discardBuffer;
};

} // namespace

Session::Session(tcp::socket socket, std::shared_ptr<HttpServer::Impl> server)
    : m_stream(std::move(socket), server->certificate ? server->certificate->current() : nullptr)
    , m_server(std::move(server))
    , m_buffer(m_server->limits.maxHeaderBytes + m_server->limits.maxBodyBytes)
{
    beast::error_code ec;
    m_stream.socket().set_option(tcp::no_delay(true), ec);
}

void Session::begin()
{
    m_stream.tcp().expires_after(std::chrono::milliseconds(m_server->limits.idleTimeoutMs));
    m_stream.asyncHandshake(
        asio::ssl::stream_base::server, [self = shared_from_this()](beast::error_code ec) {
            if (ec)
                self->closeNow();
            else
                self->read();
        });
}

void Session::read()
{
    m_parser.emplace();
    m_parser->header_limit(static_cast<std::uint32_t>(m_server->limits.maxHeaderBytes));
    m_parser->body_limit(m_server->limits.maxBodyBytes);
    m_stream.tcp().expires_after(std::chrono::milliseconds(m_server->limits.idleTimeoutMs));
    http::async_read(m_stream, m_buffer, *m_parser,
        [self = shared_from_this()](beast::error_code ec, std::size_t) { self->onRead(ec); });
}

HttpRequest Session::takeRequest()
{
    auto message = m_parser->release();
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto& field : message)
        request.headers.emplace(lowerCase(field.name_string()), std::string(field.value()));
    request.body = std::move(message.body());
    return request;
}

void Session::rejectUnreadableRequest(beast::error_code ec)
{
    m_keepAlive = false;
    m_hasUnreadInput = true;
    m_hasRequestInFlight = true;
    ++m_server->inFlight;
    const bool tooLarge = ec == http::error::body_limit || ec == http::error::header_limit
        || ec == http::error::buffer_overflow;
    const auto kind = tooLarge ? ErrorKind::TooLarge : ErrorKind::MalformedRequest;
    sendResponse(errorResponse(Reason { kind, ec.message() }));
}

void Session::onRead(beast::error_code ec)
{
    if (ec && ec.category() == http::make_error_code(http::error::end_of_stream).category()
        && ec != http::error::end_of_stream && ec != http::error::partial_message) {
        rejectUnreadableRequest(ec);
        return;
    }
    if (ec) {
        close();
        return;
    }
    m_hasRequestInFlight = true;
    ++m_server->inFlight;
    m_keepAlive = m_parser->get().keep_alive();
    m_stream.tcp().expires_never(); // the handler bounds the time until the response
    const auto number = ++m_requestNumber;
    auto respond = [self = shared_from_this(), number](HttpResponse response) {
        auto& context = self->m_server->context;
        asio::post(context, [self, number, response = std::move(response)]() mutable {
            if (self->m_hasRequestInFlight && self->m_requestNumber == number)
                self->sendResponse(std::move(response));
        });
    };
    m_server->handler(takeRequest(), std::move(respond));
}

void Session::sendResponse(HttpResponse response)
{
    ++m_requestNumber; // so that a second response to this request is ignored
    m_keepAlive = m_keepAlive && !m_server->isDraining;
    m_response = {};
    m_response.result(response.status);
    m_response.set(http::field::content_type, response.contentType);
    for (const auto& [name, value] : response.headers)
        m_response.set(name, value);
    m_response.keep_alive(m_keepAlive);
    m_response.body() = std::move(response.body);
    m_response.prepare_payload();
    m_stream.tcp().expires_after(std::chrono::milliseconds(m_server->limits.idleTimeoutMs));
    http::async_write(m_stream, m_response,
        [self = shared_from_this()](beast::error_code ec, std::size_t) { self->onWritten(ec); });
}

void Session::onWritten(beast::error_code ec)
{
    m_hasRequestInFlight = false;
    --m_server->inFlight;
    if (!ec && m_hasUnreadInput) {
        beast::error_code ignored;
        m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
        m_stream.tcp().expires_after(lingerTimeout);
        m_discardBuffer.resize(lingerBufferBytes);
        linger();
        return;
    }
    if (ec || !m_keepAlive || m_server->isDraining) {
        close();
        return;
    }
    read();
}

// Closing a socket with unread input sends a TCP reset, which can make the client discard the response.
// The rest of the request is therefore read and discarded for up to lingerTimeout.
void Session::linger()
{
    m_stream.async_read_some(
        asio::buffer(m_discardBuffer), [self = shared_from_this()](beast::error_code ec, std::size_t) {
            if (ec)
                self->close();
            else
                self->linger();
        });
}

void Session::closeIfIdle()
{
    if (!m_hasRequestInFlight && !m_buffer.size())
        m_stream.tcp().cancel();
}

void Session::close()
{
    if (!m_stream.isSecure()) {
        closeNow();
        return;
    }
    m_stream.tcp().expires_after(lingerTimeout);
    m_stream.asyncCloseNotify([self = shared_from_this()](beast::error_code) { self->closeNow(); });
}

void Session::closeNow()
{
    beast::error_code ec;
    m_stream.socket().shutdown(tcp::socket::shutdown_send, ec);
    m_stream.tcp().close();
    m_server->sessions.erase(shared_from_this());
}

HttpServer::Impl::Impl(asio::io_context& io, const std::string& address, HttpLimits theLimits,
    HttpHandler theHandler, std::shared_ptr<const TlsCertificate> theCertificate)
    : context(io)
    , acceptor(io)
    , limits(theLimits)
    , handler(std::move(theHandler))
    , certificate(std::move(theCertificate))
{
    std::string host;
    std::uint16_t port = 0;
    if (!splitAddress(address, host, port))
        throw std::invalid_argument("listen address '" + address + "' is not IP:PORT");
    const tcp::endpoint endpoint(asio::ip::make_address(host), port);
    acceptor.open(endpoint.protocol());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(endpoint);
    acceptor.listen(asio::socket_base::max_listen_connections);
}

void HttpServer::Impl::accept()
{
    acceptor.async_accept(context, [self = shared_from_this()](beast::error_code ec, tcp::socket socket) {
        if (ec == asio::error::operation_aborted)
            return;
        if (!ec && self->sessions.size() < self->limits.maxConnections) {
            auto session = std::make_shared<Session>(std::move(socket), self);
            self->sessions.insert(session);
            session->begin();
            self->accept();
            return;
        }
        auto timer = std::make_shared<asio::steady_timer>(self->context, acceptRetryDelay);
        timer->async_wait([self, timer](beast::error_code) { self->accept(); });
    });
}

HttpServer::HttpServer(asio::io_context& context, const std::string& address, HttpLimits limits,
    HttpHandler handler, std::shared_ptr<const TlsCertificate> certificate)
    : m_impl(std::make_shared<Impl>(context, address, limits, std::move(handler), std::move(certificate)))
{
}

HttpServer::~HttpServer()
{
    // Sessions and Impl hold shared pointers to each other; emptying the set breaks the cycle.
    const auto sessions = std::exchange(m_impl->sessions, {});
}

void HttpServer::start() { m_impl->accept(); }

std::string HttpServer::address() const
{
    const auto endpoint = m_impl->acceptor.local_endpoint();
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

void HttpServer::drain()
{
    asio::post(m_impl->context, [impl = m_impl] {
        impl->isDraining = true;
        for (const auto& session : impl->sessions)
            session->closeIfIdle();
    });
}

std::size_t HttpServer::inFlight() const { return m_impl->inFlight; }

} // namespace quay
