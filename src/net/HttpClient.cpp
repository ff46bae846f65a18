#include "net/HttpClient.h"

#include "net/Endpoint.h"
#include "net/TlsOptionalStream.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/ssl/host_name_verification.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <limits>
#include <map>
#include <vector>

namespace quay {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

namespace {

// What a read takes once a response is known to be longer than the first one. The default, half a kilobyte,
// costs a turn of the event loop each: on a busy one a large response would take seconds.
constexpr std::size_t largeReadBytes = 64 * 1024;
constexpr Duration maxResponseStall = 1000ms;
constexpr Duration maxLargeResponseDuration = 20s; // of 2 MB over a link of 1 Mbit/s

// One request, from the call of send() until its callback has run.
struct Exchange {
    std::string address;
    HttpRequest request;
    Instant deadline; // put off while the response arrives, see RequestTimeout
    Duration stall {};
    Instant lastDeadline; // never put off beyond it
    HttpClient::ResponseHandler done;
};

using ExchangePointer = std::unique_ptr<Exchange>;

class Connection;

// The pool of connections to one address, and the requests that wait for a free connection.
struct ConnectionPool {
    std::vector<std::shared_ptr<Connection>> idle;
    std::deque<ExchangePointer> pending;
    std::size_t open = 0; // idle connections and those with a request in flight
};

} // namespace

RequestTimeout RequestTimeout::forLargeResponse(Duration untilStart)
{
    return { untilStart, maxResponseStall, maxLargeResponseDuration };
}

struct HttpClient::Impl : std::enable_shared_from_this<HttpClient::Impl> {
    Impl(asio::io_context& io, std::size_t connections, std::size_t responseBytes, TlsContext tlsContext)
        : context(io)
        , maxConnections(connections)
        , maxResponseBytes(responseBytes)
        , tls(std::move(tlsContext))
    {
    }

    void dispatch(const std::string& address);

    asio::io_context& context;
    std::size_t maxConnections;
    std::size_t maxResponseBytes;
    TlsContext tls; // null: plain HTTP
    std::size_t maxIdleConnections = std::numeric_limits<std::size_t>::max();
    std::size_t idle = 0; // idle connections of all pools
    bool isClosed = false; // if true, connections are closed after their request instead of kept idle
    std::map<std::string, ConnectionPool> pools;
};

namespace {

HttpResult failedResult(bool mayHaveArrived, std::string detail)
{
    HttpResult result;
    result.mayHaveArrived = mayHaveArrived;
    result.reason = Reason { mayHaveArrived ? ErrorKind::OutcomeUnknown : ErrorKind::OwnerUnreachable,
        std::move(detail) };
    return result;
}

// One connection. Carries one request at a time, without pipelining.
class Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(std::shared_ptr<HttpClient::Impl> client, std::string address)
        : m_client(std::move(client))
        , m_address(std::move(address))
        , m_stream(m_client->context, m_client->tls)
    {
    }

    void run(ExchangePointer exchange);

    // False if the server has closed the connection or has sent bytes without a request.
    bool isReusable();

private:
    void connect();
    void handshake(const std::string& host);
    void write();
    void read();
    void readMore();
    void putOffDeadline();
    void finish(HttpResult result, bool isKeepAlive);
    HttpResult takeResponse();

    std::shared_ptr<HttpClient::Impl> m_client;
    std::string m_address;
    TlsOptionalStream m_stream;
    beast::flat_buffer m_buffer;
    ExchangePointer m_exchange;
    http::request<http::string_body> m_message;
    std::optional<http::response_parser<http::string_body>> m_parser;
    bool m_isConnected = false;
};

void Connection::run(ExchangePointer exchange)
{
    m_exchange = std::move(exchange);
    if (m_isConnected)
        write();
    else
        connect();
}

bool Connection::isReusable()
{
    beast::error_code ec;
    auto& socket = m_stream.socket();
    socket.non_blocking(true, ec);
    char byte = 0;
    socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, ec);
    return ec == asio::error::would_block;
}

void Connection::connect()
{
    const auto endpoint = parseEndpoint(m_address);
    if (!endpoint) {
        finish(failedResult(false, "'" + m_address + "' is not IP:PORT"), false);
        return;
    }
    const auto host = m_address.substr(0, m_address.rfind(':')); // as the certificate names it
    m_stream.tcp().expires_at(m_exchange->deadline);
    m_stream.tcp().async_connect(*endpoint, [self = shared_from_this(), host](beast::error_code error) {
        if (error) {
            self->finish(failedResult(false, self->m_address + ": " + error.message()), false);
            return;
        }
        beast::error_code ignored;
        self->m_stream.socket().set_option(tcp::no_delay(true), ignored);
        self->handshake(host);
    });
}

// The request is written only after the server's certificate is verified, so a failed handshake means that
// no byte of the request was sent.
void Connection::handshake(const std::string& host)
{
    if (m_stream.isSecure())
        m_stream.setVerifyCallback(asio::ssl::host_name_verification(host));
    m_stream.asyncHandshake(
        asio::ssl::stream_base::client, [self = shared_from_this()](beast::error_code ec) {
            if (ec) {
                self->finish(failedResult(false, self->m_address + ": TLS: " + ec.message()), false);
                return;
            }
            self->m_isConnected = true;
            // A process that was stopped meanwhile may find the connection before it finds the time-out.
            if (self->m_exchange->deadline <= std::chrono::steady_clock::now())
                self->finish(failedResult(false, self->m_address + ": timed out while connecting"), false);
            else
                self->write();
        });
}

void Connection::write()
{
    const auto& request = m_exchange->request;
    m_message = {};
    m_message.method_string(request.method);
    m_message.target(request.target);
    m_message.version(11);
    m_message.set(http::field::host, m_address);
    for (const auto& [name, value] : request.headers)
        m_message.set(name, value);
    m_message.body() = std::move(m_exchange->request.body);
    m_message.prepare_payload();
    m_stream.tcp().expires_at(m_exchange->deadline);
    http::async_write(m_stream, m_message, [self = shared_from_this()](beast::error_code ec, std::size_t) {
        if (ec)
            self->finish(failedResult(true, self->m_address + ": " + ec.message()), false);
        else
            self->read();
    });
}

void Connection::read()
{
    m_parser.emplace();
    m_parser->body_limit(m_client->maxResponseBytes);
    m_parser->eager(true);
    readMore();
}

void Connection::readMore()
{
    http::async_read_some(
        m_stream, m_buffer, *m_parser, [self = shared_from_this()](beast::error_code ec, std::size_t) {
            if (ec) {
                self->finish(failedResult(true, self->m_address + ": " + ec.message()), false);
                return;
            }
            if (!self->m_parser->is_done()) {
                self->m_buffer.reserve(largeReadBytes);
                self->putOffDeadline();
                self->readMore();
                return;
            }
            const bool isKeepAlive = self->m_parser->get().keep_alive();
            self->finish(self->takeResponse(), isKeepAlive);
        });
}

void Connection::putOffDeadline()
{
    auto& exchange = *m_exchange;
    if (exchange.stall == Duration::zero())
        return;
    exchange.deadline = std::min(std::chrono::steady_clock::now() + exchange.stall, exchange.lastDeadline);
    m_stream.tcp().expires_at(exchange.deadline);
}

HttpResult Connection::takeResponse()
{
    auto message = m_parser->release();
    HttpResult result;
    auto& response = result.response.emplace();
    response.status = message.result_int();
    response.contentType = std::string(message[http::field::content_type]);
    for (const auto& field : message) {
        std::string name(field.name_string());
        std::transform(
            name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
        response.headers.emplace(std::move(name), std::string(field.value()));
    }
    response.body = std::move(message.body());
    return result;
}

void Connection::finish(HttpResult result, bool isKeepAlive)
{
    auto exchange = std::move(m_exchange);
    if (m_buffer.capacity() >= largeReadBytes)
        m_buffer.shrink_to_fit(); // idle connections are many
    auto& pool = m_client->pools[m_address];
    // The limit on idle connections doesn't apply while requests are pending: dispatch() reuses the
    // connection immediately.
    const bool mayKeepIdle = m_client->idle < m_client->maxIdleConnections || !pool.pending.empty();
    if (isKeepAlive && !m_client->isClosed && mayKeepIdle) {
        m_stream.tcp().expires_never();
        pool.idle.push_back(shared_from_this());
        ++m_client->idle;
    } else {
        m_stream.tcp().close();
        --pool.open;
    }
    m_client->dispatch(m_address);
    exchange->done(std::move(result));
}

} // namespace

void HttpClient::Impl::dispatch(const std::string& address)
{
    // Dropping a connection below may release the last other reference to this object.
    const auto self = shared_from_this();
    auto& pool = pools[address];
    while (!pool.pending.empty()) {
        std::shared_ptr<Connection> connection;
        if (!pool.idle.empty()) {
            connection = std::move(pool.idle.back());
            pool.idle.pop_back();
            --idle;
            if (!connection->isReusable()) {
                --pool.open;
                continue;
            }
        } else if (pool.open < maxConnections) {
            connection = std::make_shared<Connection>(shared_from_this(), address);
            ++pool.open;
        } else {
            return;
        }
        auto exchange = std::move(pool.pending.front());
        pool.pending.pop_front();
        if (exchange->deadline <= std::chrono::steady_clock::now()) {
            // The deadline passed while the request waited for a connection; nothing was sent.
            pool.idle.push_back(std::move(connection));
            ++idle;
            asio::post(context, [done = std::move(exchange->done), address] {
                done(failedResult(false, address + ": timed out waiting for a free connection"));
            });
            continue;
        }
        connection->run(std::move(exchange));
    }
}

HttpClient::HttpClient(asio::io_context& context, std::size_t maxConnectionsPerAddress,
    std::size_t maxResponseBytes, TlsContext tls)
    : m_impl(std::make_shared<Impl>(context, maxConnectionsPerAddress, maxResponseBytes, std::move(tls)))
{
}

HttpClient::~HttpClient()
{
    // Idle connections and Impl hold shared pointers to each other; clearing the pools breaks the cycle.
    m_impl->isClosed = true;
    for (auto& [address, pool] : m_impl->pools)
        pool.idle.clear();
}

void HttpClient::setMaxIdleConnections(std::size_t most) { m_impl->maxIdleConnections = most; }

void HttpClient::send(
    const std::string& address, HttpRequest request, const RequestTimeout& timeout, ResponseHandler done)
{
    auto exchange = std::make_unique<Exchange>();
    exchange->address = address;
    exchange->request = std::move(request);
    const auto now = std::chrono::steady_clock::now();
    exchange->deadline = now + timeout.start;
    exchange->stall = timeout.stall;
    exchange->lastDeadline = now + timeout.total;
    exchange->done = std::move(done);
    m_impl->pools[address].pending.push_back(std::move(exchange));
    m_impl->dispatch(address);
}

} // namespace quay
