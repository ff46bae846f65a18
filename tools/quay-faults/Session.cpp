#include "quay-faults/Session.h"

#include <algorithm>
#include <boost/asio/write.hpp>

namespace quay::faults {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t readBufferBytes = 16 * 1024;
// Per channel; above it reading stops, so that TCP applies back-pressure to the sender.
constexpr std::size_t maxBufferedBytes = 4 * 1024 * 1024;

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
    , m_requestChannel { Direction::Request, m_caller, m_server, asio::steady_timer(m_route->context()),
        std::vector<char>(readBufferBytes), {}, 0, {}, false, false, false, false }
    , m_responseChannel { Direction::Response, m_server, m_caller, asio::steady_timer(m_route->context()),
        std::vector<char>(readBufferBytes), {}, 0, {}, false, false, false, false }
{
}

void Session::start()
{
    m_server.async_connect(m_route->target(), [self = shared_from_this()](error_code ec) {
        if (self->m_isClosed)
            return;
        if (ec) {
            self->reset();
            return;
        }
        error_code ignored;
        self->m_caller.set_option(tcp::no_delay(true), ignored);
        self->m_server.set_option(tcp::no_delay(true), ignored);
        self->read(self->m_requestChannel);
        self->read(self->m_responseChannel);
    });
}

void Session::reset()
{
    if (m_isClosed)
        return;
    m_isClosed = true;
    resetSocket(m_caller);
    resetSocket(m_server);
    m_requestChannel.timer.cancel();
    m_responseChannel.timer.cancel();
    m_route->removeSession(shared_from_this());
}

void Session::resume()
{
    deliver(m_requestChannel);
    deliver(m_responseChannel);
}

void Session::read(Channel& channel)
{
    if (m_isClosed || channel.isReading || channel.hasSourceEnded
        || channel.bufferedBytes >= maxBufferedBytes)
        return;
    channel.isReading = true;
    channel.source.async_read_some(
        asio::buffer(channel.buffer), [self = shared_from_this(), &channel](error_code ec, std::size_t size) {
            channel.isReading = false;
            if (self->m_isClosed)
                return;
            if (ec && ec != asio::error::eof) {
                self->reset();
                return;
            }
            channel.hasSourceEnded = ec == asio::error::eof;
            self->onRead(channel, size);
        });
}

void Session::onRead(Channel& channel, std::size_t size)
{
    if (channel.direction == Direction::Request && size)
        m_hasAnswerBegun = false;
    if (channel.direction == Direction::Response && size && shouldDiscard(size))
        m_route->counts().lostBytes += size;
    else
        enqueue(
            channel, { channel.buffer.begin(), channel.buffer.begin() + static_cast<std::ptrdiff_t>(size) });
    deliver(channel);
    read(channel);
}

// Returns whether LoseAnswers applies to a response chunk, and counts it. All response bytes between two
// request chunks are one response. Example with answers = 1: request, 3 response chunks (all discarded),
// request, 1 response chunk (delivered).
bool Session::shouldDiscard(std::size_t size)
{
    auto& faults = m_route->faults(Direction::Response);
    if (faults.bytesToLose) {
        faults.bytesToLose -= std::min<std::uint64_t>(faults.bytesToLose, size);
        return true;
    }
    if (!m_hasAnswerBegun) {
        m_hasAnswerBegun = true;
        m_isLosingAnswer = faults.answersToLose > 0;
        if (m_isLosingAnswer)
            --faults.answersToLose;
    }
    return m_isLosingAnswer;
}

// A chunk is never due before its predecessor, so jitter does not reorder bytes.
void Session::enqueue(Channel& channel, std::vector<char> bytes)
{
    auto& faults = m_route->faults(channel.direction);
    auto delay = std::chrono::milliseconds(faults.delayMs);
    if (faults.jitterMs > 0)
        delay
            += std::chrono::milliseconds(faults.random() % (static_cast<std::uint64_t>(faults.jitterMs) + 1));
    channel.lastDue = std::max(channel.lastDue, std::chrono::steady_clock::now() + delay);
    channel.bufferedBytes += bytes.size();
    channel.chunks.push_back({ channel.lastDue, std::move(bytes) });
}

void Session::deliver(Channel& channel)
{
    if (m_isClosed || channel.isWriting || channel.chunks.empty() || m_route->faults(channel.direction).isCut)
        return;
    const auto due = channel.chunks.front().due;
    if (due > std::chrono::steady_clock::now()) {
        channel.timer.expires_at(due);
        channel.timer.async_wait([self = shared_from_this(), &channel](error_code ec) {
            if (!ec)
                self->deliver(channel);
        });
        return;
    }
    if (channel.chunks.front().bytes.empty())
        closeSink(channel);
    else
        write(channel);
}

void Session::write(Channel& channel)
{
    channel.isWriting = true;
    asio::async_write(channel.sink, asio::buffer(channel.chunks.front().bytes),
        [self = shared_from_this(), &channel](error_code ec, std::size_t size) {
            channel.isWriting = false;
            if (self->m_isClosed)
                return;
            if (ec) {
                self->reset();
                return;
            }
            auto& counts = self->m_route->counts();
            (channel.direction == Direction::Request ? counts.requestBytes : counts.responseBytes) += size;
            channel.bufferedBytes -= size;
            channel.chunks.pop_front();
            self->deliver(channel);
            self->read(channel);
        });
}

void Session::closeSink(Channel& channel)
{
    channel.chunks.pop_front();
    channel.hasSinkEnded = true;
    error_code ec;
    channel.sink.shutdown(tcp::socket::shutdown_send, ec);
    if (!m_requestChannel.hasSinkEnded || !m_responseChannel.hasSinkEnded)
        return;
    m_isClosed = true;
    m_caller.close(ec);
    m_server.close(ec);
    m_route->removeSession(shared_from_this());
}

} // namespace quay::faults
