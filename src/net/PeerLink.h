#pragma once

#include "quay/core/Ids.h"
#include "quay/core/Reason.h"
#include "quay/kernel/ServiceThread.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>

namespace quay::wire {
class Envelope;
}

namespace quay {

/** Counts of the peer link, readable from any thread. */
struct PeerCounters {
    std::atomic<std::uint64_t> sentMessages = 0;
    std::atomic<std::uint64_t> sentBytes = 0;
    std::atomic<std::uint64_t> receivedMessages = 0;
    std::atomic<std::uint64_t> receivedBytes = 0;
    std::atomic<std::uint64_t> droppedMessages = 0; // not connected, or the link's queue was full
    std::atomic<std::uint64_t> malformedMessages = 0;
    std::atomic<std::uint64_t> unmatchedAnswers = 0; // late or doubled answers that nobody waits for
};

/**
 * Messages between entry VMs over nng. Delivery is at most once and may fail silently;
 * a request gets its answer or, after its timeout, none.
 *
 * Usage: `link.request(address, envelope, 500ms, [](std::unique_ptr<wire::Envelope> answer) { ... });`
 */
class PeerLink : public ServiceThread {
public:
    /** Runs on the link's thread for every message that isn't an answer somebody waits for. */
    using Handler = std::function<void(const wire::Envelope&)>;
    /** Gets the answer, or null when none came in time. Runs on the link's thread. */
    using AnswerHandler = std::function<void(std::unique_ptr<wire::Envelope>)>;

    /** Listens at once; throws std::runtime_error if the address can't be bound. */
    PeerLink(MemberId self, DomainId domain, const std::string& listenAddress);
    ~PeerLink() override;

    /** The bound address as "ip:port". */
    const std::string& address() const { return m_address; }

    /** Sets the handler of one payload kind (a wire::Envelope::PayloadCase). Call before listen(). */
    void onMessage(int payloadCase, Handler handler);

    /** Starts to receive. */
    void startReceiving();

    /** Stops to receive; safe to call twice. */
    void close();

    /** Sends a message; false if it surely was not sent. Callable from any thread. */
    bool send(const std::string& address, wire::Envelope envelope);

    /**
     * Sends a request and waits for its answer. Callable from any thread.
     * Returns false if it surely was not sent; `done` is then not called.
     */
    bool request(const std::string& address, wire::Envelope envelope, Duration timeout, AnswerHandler done);

    /** Sends the answer to a received request. */
    bool answer(const std::string& address, const wire::Envelope& request, wire::Envelope envelope);

    const PeerCounters& counters() const { return m_counters; }

private:
    struct Sockets;

    void receiveLoop();
    void onEnvelope(std::unique_ptr<wire::Envelope> envelope);
    bool transmit(const std::string& address, const wire::Envelope& envelope);

    MemberId m_self;
    DomainId m_domain;
    std::string m_address;
    std::unique_ptr<Sockets> m_sockets;
    std::map<int, Handler> m_handlers;
    std::map<std::uint64_t, AnswerHandler> m_pendingRequests; // by correlation, on the link's thread
    std::atomic<std::uint64_t> m_nextCorrelation = 1;
    std::atomic<bool> m_isClosing = false;
    std::thread m_receiver;
    PeerCounters m_counters;
};

} // namespace quay
