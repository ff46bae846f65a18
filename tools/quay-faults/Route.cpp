#include "quay-faults/Route.h"

#include "net/HttpMessage.h"
#include "quay-faults/Session.h"

#include <stdexcept>

namespace quay::faults {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;

namespace {

tcp::endpoint endpointOf(const std::string& address)
{
    std::string host;
    std::uint16_t port = 0;
    if (!splitAddress(address, host, port))
        throw std::invalid_argument("'" + address + "' is not IP:PORT");
    return { asio::ip::make_address(host), port };
}

} // namespace

Route::Route(asio::io_context& context, RouteSpec spec)
    : m_context(context)
    , m_spec(std::move(spec))
    , m_target(endpointOf(m_spec.target))
    , m_acceptor(context, endpointOf(m_spec.listen))
{
}

void Route::start() { accept(); }

void Route::stop()
{
    error_code ec;
    m_acceptor.close(ec);
    resetSessions();
}

std::string Route::address() const
{
    const auto endpoint = m_acceptor.local_endpoint();
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

void Route::accept()
{
    m_acceptor.async_accept([self = shared_from_this()](error_code ec, tcp::socket socket) {
        if (!self->m_acceptor.is_open())
            return;
        if (!ec) {
            ++self->m_counts.connections;
            auto session = std::make_shared<Session>(self, std::move(socket));
            self->m_sessions.insert(session);
            if (self->m_resetsNewConnections) {
                ++self->m_counts.resets;
                session->reset();
            } else {
                session->start();
            }
        }
        self->accept();
    });
}

void Route::resetSessions()
{
    const auto sessions = m_sessions; // a copy, because reset() removes the session from the set
    for (const auto& session : sessions) {
        ++m_counts.resets;
        session->reset();
    }
}

void Route::applyToDirection(DirectionFaults& faults, const FaultCommand& command)
{
    if (command.kind == FaultKind::Clear)
        faults = {};
    else if (command.kind == FaultKind::Cut || command.kind == FaultKind::Release)
        faults.isCut = command.kind == FaultKind::Cut;
    if (command.kind != FaultKind::Delay)
        return;
    faults.delayMs = command.delayMs;
    faults.jitterMs = command.jitterMs;
    faults.random.seed(command.seed);
}

void Route::apply(const FaultCommand& command)
{
    if (command.direction != Direction::Response)
        applyToDirection(faults(Direction::Request), command);
    if (command.direction != Direction::Request)
        applyToDirection(faults(Direction::Response), command);
    if (command.kind == FaultKind::LoseAnswers) {
        faults(Direction::Response).answersToLose = command.answers;
        faults(Direction::Response).bytesToLose = command.bytes;
    }
    if (command.kind == FaultKind::Drop || command.kind == FaultKind::Clear)
        m_resetsNewConnections = command.kind == FaultKind::Drop;
    if (command.kind == FaultKind::Drop || command.kind == FaultKind::Reset)
        resetSessions();
    const auto sessions = m_sessions; // a copy, because a session may end and remove itself in resume()
    for (const auto& session : sessions)
        session->resume();
}

} // namespace quay::faults
