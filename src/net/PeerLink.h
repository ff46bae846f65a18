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

/** Counters of a PeerLink, readable from any thread. */
struct PeerCounters {
    std::atomic<std::uint64_t> sentMessages = 0;
    std::atomic<std::uint64_t> sentBytes = 0;
    std::atomic<std::uint64_t> receivedMessages = 0;
    std::atomic<std::uint64_t> receivedBytes = 0;
    std::atomic<std::uint64_t> droppedMessages = 0; // no connection, or a full send or task queue
    std::atomic<std::uint64_t> malformedMessages = 0;
    std::atomic<std::uint64_t> unmatchedAnswers = 0; // late or duplicate answers without a pending request
};

/**
 * Sends and receives messages between entry VMs over nng. Delivery is at most once and may fail silently.
 * A request completes with its answer, or without one after its timeout.
 *
 * Usage: `link.request(address, envelope, 500ms, [](std::unique_ptr<wire::Envelope> answer) { ... });`
 */
class PeerLink : public ServiceThread {
public:
    /** Runs on the link's thread for every received message that is not an answer. */
    using MessageHandler = std::function<void(const wire::Envelope&)>;
    /** Receives the answer, or null after the timeout. Runs on the link's thread. */
    using AnswerHandler = std::function<void(std::unique_ptr<wire::Envelope>)>;

    /** Binds and listens. Throws std::runtime_error if the address can't be bound. */
    PeerLink(MemberId self, DomainId domain, const std::string& listenAddress);
    ~PeerLink() override;

    /** The bound address as "ip:port". */
    const std::string& address() const { return m_address; }

    /** Sets the handler of one payload kind (a wire::Envelope::PayloadCase). Call before startReceiving(). */
    void onMessage(int payloadCase, MessageHandler handler);

    /** Starts the thread that receives messages. */
    void startReceiving();

    /** Stops receiving and closes all sockets. Idempotent. */
    void close();

    /** Queues a message for sending. Returns false if it was certainly not sent. Callable from any thread. */
    bool send(const std::string& address, wire::Envelope envelope);

    /**
     * Sends a request; `done` receives the answer, or null after `timeout` or if sending failed. Callable
     * from any thread. Returns false if the link's task queue is full; nothing is sent and `done` is not
     * called.
     */
    bool request(const std::string& address, wire::Envelope envelope, Duration timeout, AnswerHandler done);

    /** Sends the answer to a received request. Returns false if it was certainly not sent. */
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
    std::map<int, MessageHandler> m_handlers;
    // By correlation number. Used by the link's thread only.
    std::map<std::uint64_t, AnswerHandler> m_pendingRequests;
    std::atomic<std::uint64_t> m_nextCorrelation = 1;
    std::atomic<bool> m_isClosing = false;
    std::thread m_receiver;
    PeerCounters m_counters;
};

} // namespace quay
