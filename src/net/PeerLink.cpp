#include "net/PeerLink.h"

#include "peer.pb.h"

#include <mutex>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>
#include <stdexcept>

namespace quay {

namespace {

constexpr std::size_t taskQueueCapacity = 64 * 1024;
constexpr int maxQueuedMessagesPerPeer = 4096;
constexpr int receiveTimeoutMs = 100; // bounds the delay until the receive loop sees m_isClosing
constexpr int reconnectMinMs = 50;
constexpr int reconnectMaxMs = 1000;
constexpr std::size_t maxMessageBytes = 4 * 1024 * 1024;

void throwOnError(int rv, const std::string& what)
{
    if (rv)
        throw std::runtime_error(what + ": " + nng_strerror(rv));
}

} // namespace

struct PeerLink::Sockets {
    nng_socket pull {};
    std::mutex mutex;
    std::map<std::string, nng_socket> pushByAddress; // guarded by mutex

    // The push socket for an address. Opened at first use; nng connects it in the background.
    std::optional<nng_socket> pushSocket(const std::string& address);
};

std::optional<nng_socket> PeerLink::Sockets::pushSocket(const std::string& address)
{
    std::lock_guard lock(mutex);
    auto it = pushByAddress.find(address);
    if (it != pushByAddress.end())
        return it->second;
    nng_socket socket;
    if (nng_push0_open(&socket))
        return std::nullopt;
    nng_socket_set_int(socket, NNG_OPT_SENDBUF, maxQueuedMessagesPerPeer);
    nng_socket_set_ms(socket, NNG_OPT_RECONNMINT, reconnectMinMs);
    nng_socket_set_ms(socket, NNG_OPT_RECONNMAXT, reconnectMaxMs);
    const std::string url = "tcp://" + address;
    if (nng_dial(socket, url.c_str(), nullptr, NNG_FLAG_NONBLOCK)) {
        nng_close(socket);
        return std::nullopt;
    }
    pushByAddress.emplace(address, socket);
    return socket;
}

PeerLink::PeerLink(MemberId self, DomainId domain, const std::string& listenAddress)
    : ServiceThread("peers", taskQueueCapacity)
    , m_self(std::move(self))
    , m_domain(std::move(domain))
    , m_sockets(std::make_unique<Sockets>())
{
    throwOnError(nng_pull0_open(&m_sockets->pull), "peer socket");
    nng_socket_set_size(m_sockets->pull, NNG_OPT_RECVMAXSZ, maxMessageBytes);
    nng_socket_set_ms(m_sockets->pull, NNG_OPT_RECVTIMEO, receiveTimeoutMs);
    nng_listener listener;
    throwOnError(nng_listen(m_sockets->pull, ("tcp://" + listenAddress).c_str(), &listener, 0),
        "peer address " + listenAddress);
    nng_sockaddr bound;
    throwOnError(nng_listener_get_addr(listener, NNG_OPT_LOCADDR, &bound), "peer address");
    const auto port = static_cast<unsigned>(ntohs(bound.s_in.sa_port));
    m_address = listenAddress.substr(0, listenAddress.rfind(':') + 1) + std::to_string(port);
}

PeerLink::~PeerLink()
{
    close();
    stop();
}

void PeerLink::onMessage(int payloadCase, MessageHandler handler)
{
    m_handlers[payloadCase] = std::move(handler);
}

void PeerLink::startReceiving()
{
    m_receiver = std::thread([this] { receiveLoop(); });
}

void PeerLink::close()
{
    if (m_isClosing.exchange(true))
        return;
    if (m_receiver.joinable())
        m_receiver.join();
    nng_close(m_sockets->pull);
    std::lock_guard lock(m_sockets->mutex);
    for (auto& [address, socket] : m_sockets->pushByAddress)
        nng_close(socket);
}

void PeerLink::receiveLoop()
{
    while (!m_isClosing) {
        nng_msg* message = nullptr;
        if (nng_recvmsg(m_sockets->pull, &message, 0))
            continue;
        const auto size = nng_msg_len(message);
        ++m_counters.receivedMessages;
        m_counters.receivedBytes += size;
        auto envelope = std::make_shared<wire::Envelope>();
        const bool parsed = envelope->ParseFromArray(nng_msg_body(message), static_cast<int>(size));
        nng_msg_free(message);
        if (!parsed) {
            ++m_counters.malformedMessages;
            continue;
        }
        const bool queued
            = post([this, envelope] { onEnvelope(std::make_unique<wire::Envelope>(std::move(*envelope))); });
        if (!queued)
            ++m_counters.droppedMessages;
    }
}

void PeerLink::onEnvelope(std::unique_ptr<wire::Envelope> envelope)
{
    if (envelope->is_answer()) {
        auto it = m_pendingRequests.find(envelope->correlation());
        if (envelope->addressee() != m_self.text || it == m_pendingRequests.end()) {
            ++m_counters.unmatchedAnswers;
            return;
        }
        auto done = std::move(it->second);
        m_pendingRequests.erase(it);
        done(std::move(envelope));
        return;
    }
    auto handler = m_handlers.find(envelope->payload_case());
    if (handler != m_handlers.end())
        handler->second(*envelope);
}

bool PeerLink::transmit(const std::string& address, const wire::Envelope& envelope)
{
    const auto socket = m_isClosing ? std::nullopt : m_sockets->pushSocket(address);
    if (!socket) {
        ++m_counters.droppedMessages;
        return false;
    }
    const auto size = envelope.ByteSizeLong();
    nng_msg* message = nullptr;
    if (nng_msg_alloc(&message, size))
        return false;
    envelope.SerializeToArray(nng_msg_body(message), static_cast<int>(size));
    if (nng_sendmsg(*socket, message, NNG_FLAG_NONBLOCK)) {
        nng_msg_free(message);
        ++m_counters.droppedMessages;
        return false;
    }
    ++m_counters.sentMessages;
    m_counters.sentBytes += size;
    return true;
}

bool PeerLink::send(const std::string& address, wire::Envelope envelope)
{
    envelope.set_sender(m_self.text);
    envelope.set_domain(m_domain.text);
    envelope.set_reply_to(m_address);
    return transmit(address, envelope);
}

bool PeerLink::request(
    const std::string& address, wire::Envelope envelope, Duration timeout, AnswerHandler done)
{
    const auto correlation = m_nextCorrelation++;
    envelope.set_correlation(correlation);
    // The request is registered as pending before it is sent, so that its answer always finds it: both
    // steps, and the handling of answers, run on this link's thread.
    return post([this, address, envelope = std::move(envelope), timeout, correlation,
                    done = std::move(done)]() mutable {
        m_pendingRequests.emplace(correlation, std::move(done));
        if (!send(address, std::move(envelope)))
            timeout = Duration::zero();
        after(timeout, [this, correlation] {
            auto it = m_pendingRequests.find(correlation);
            if (it == m_pendingRequests.end())
                return;
            auto handler = std::move(it->second);
            m_pendingRequests.erase(it);
            handler(nullptr);
        });
    });
}

bool PeerLink::answer(const std::string& address, const wire::Envelope& request, wire::Envelope envelope)
{
    envelope.set_correlation(request.correlation());
    envelope.set_is_answer(true);
    envelope.set_addressee(request.sender());
    return send(address, std::move(envelope));
}

} // namespace quay
