#include "quay-faults/Session.h"

#include <algorithm>
#include <boost/asio/write.hpp>

namespace quay::faults {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t readBytes = 16 * 1024;
constexpr std::size_t maxHeldBytes = 4 * 1024 * 1024; // beyond it the sender feels back pressure

void resetSocket(tcp::socket& socket)
{
    error_code ec;
    socket.set_option(asio::socket_base::linger(true, 0), ec);
    socket.close(ec);
}

} // namespace

Session::Session(std::shared_ptr<Route> route, tcp::socket caller)
    : m_route(std::move(route))
    , m_caller(std::move(caller))
    , m_server(m_route->context())
    , m_request { Direction::Request, m_caller, m_server, asio::steady_timer(m_route->context()),
        std::vector<char>(readBytes), {}, 0, {}, false, false, false, false }
    , m_response { Direction::Response, m_server, m_caller, asio::steady_timer(m_route->context()),
        std::vector<char>(readBytes), {}, 0, {}, false, false, false, false }
{
}

void Session::start()
{
    m_server.async_connect(m_route->target(), [self = shared_from_this()](error_code ec) {
        if (self->m_closed)
            return;
        if (ec) {
            self->reset();
            return;
        }
        error_code ignored;
        self->m_caller.set_option(tcp::no_delay(true), ignored);
        self->m_server.set_option(tcp::no_delay(true), ignored);
        self->read(self->m_request);
        self->read(self->m_response);
    });
}

void Session::reset()
{
    if (m_closed)
        return;
    m_closed = true;
    resetSocket(m_caller);
    resetSocket(m_server);
    m_request.timer.cancel();
    m_response.timer.cancel();
    m_route->forget(shared_from_this());
}

void Session::resume()
{
    deliver(m_request);
    deliver(m_response);
}

void Session::read(Pump& pump)
{
    if (m_closed || pump.reading || pump.sourceEnded || pump.heldBytes >= maxHeldBytes)
        return;
    pump.reading = true;
    pump.source.async_read_some(
        asio::buffer(pump.buffer), [self = shared_from_this(), &pump](error_code ec, std::size_t size) {
            pump.reading = false;
            if (self->m_closed)
                return;
            if (ec && ec != asio::error::eof) {
                self->reset();
                return;
            }
            pump.sourceEnded = ec == asio::error::eof;
            self->onRead(pump, size);
        });
}

void Session::onRead(Pump& pump, std::size_t size)
{
    if (pump.direction == Direction::Request && size)
        m_answerBegun = false;
    if (pump.direction == Direction::Response && size && losesAnswer(size))
        m_route->counts().lostBytes += size;
    else
        enqueue(pump, { pump.buffer.begin(), pump.buffer.begin() + static_cast<std::ptrdiff_t>(size) });
    deliver(pump);
    read(pump);
}

// An answer is all the bytes that come after bytes of a request. With "lose the next 1 answer": request,
// 3 chunks of answer (all lost), request, 1 chunk of answer (delivered).
bool Session::losesAnswer(std::size_t size)
{
    auto& faults = m_route->faults(Direction::Response);
    if (faults.bytesToLose) {
        faults.bytesToLose -= std::min<std::uint64_t>(faults.bytesToLose, size);
        return true;
    }
    if (!m_answerBegun) {
        m_answerBegun = true;
        m_losingAnswer = faults.answersToLose > 0;
        if (m_losingAnswer)
            --faults.answersToLose;
    }
    return m_losingAnswer;
}

// Order is kept: a chunk is never due before the one in front of it, however the jitter falls.
void Session::enqueue(Pump& pump, std::vector<char> bytes)
{
    auto& faults = m_route->faults(pump.direction);
    auto delay = std::chrono::milliseconds(faults.delayMs);
    if (faults.jitterMs > 0)
        delay
            += std::chrono::milliseconds(faults.random() % (static_cast<std::uint64_t>(faults.jitterMs) + 1));
    pump.lastDue = std::max(pump.lastDue, std::chrono::steady_clock::now() + delay);
    pump.heldBytes += bytes.size();
    pump.chunks.push_back({ pump.lastDue, std::move(bytes) });
}

void Session::deliver(Pump& pump)
{
    if (m_closed || pump.writing || pump.chunks.empty() || m_route->faults(pump.direction).cut)
        return;
    const auto due = pump.chunks.front().due;
    if (due > std::chrono::steady_clock::now()) {
        pump.timer.expires_at(due);
        pump.timer.async_wait([self = shared_from_this(), &pump](error_code ec) {
            if (!ec)
                self->deliver(pump);
        });
        return;
    }
    if (pump.chunks.front().bytes.empty())
        endSink(pump);
    else
        write(pump);
}

void Session::write(Pump& pump)
{
    pump.writing = true;
    asio::async_write(pump.sink, asio::buffer(pump.chunks.front().bytes),
        [self = shared_from_this(), &pump](error_code ec, std::size_t size) {
            pump.writing = false;
            if (self->m_closed)
                return;
            if (ec) {
                self->reset();
                return;
            }
            auto& counts = self->m_route->counts();
            (pump.direction == Direction::Request ? counts.requestBytes : counts.responseBytes) += size;
            pump.heldBytes -= size;
            pump.chunks.pop_front();
            self->deliver(pump);
            self->read(pump);
        });
}

void Session::endSink(Pump& pump)
{
    pump.chunks.pop_front();
    pump.sinkEnded = true;
    error_code ec;
    pump.sink.shutdown(tcp::socket::shutdown_send, ec);
    if (!m_request.sinkEnded || !m_response.sinkEnded)
        return;
    m_closed = true;
    m_caller.close(ec);
    m_server.close(ec);
    m_route->forget(shared_from_this());
}

} // namespace quay::faults
