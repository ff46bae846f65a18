#pragma once

#include "net/PeerLink.h"
#include "quay/core/InteractiveRouter.h"
#include "quay/core/RetryBudget.h"
#include "quay/core/TeamTokens.h"
#include "quay/kernel/ServiceThread.h"
#include "service/BackendLink.h"
#include "service/ConfigurationService.h"
#include "service/ExecutorGate.h"
#include "service/MembershipService.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace quay {

/** An interactive request to be routed to an executor. */
struct AskCall {
    TeamId team;
    QueueId queue;
    std::string requestId; // set by the caller; may be empty
    std::string traceparent;
    std::string body;
    bool idempotent = false;
    Instant deadline {};
    Instant tokenWaitUntil {}; // set by the service if it has to wait for a team token
    std::uint32_t attempt = 1;
    // Above 0: forwarded by a peer, which holds the caller's connection and the team token.
    std::uint32_t hops = 0;
};

/** The response to an AskCall. */
struct AskReply {
    Reason reason; // kind None: success, `body` is the executor's answer
    std::string body;
    int retryAfterMs = 0;
};

/** Counters of the interactive requests; readable from any thread. */
struct InteractiveCounters {
    std::atomic<std::uint64_t> accepted = 0; // requests of callers that got a team token
    std::atomic<std::uint64_t> sent = 0; // attempts sent to executors
    std::atomic<std::uint64_t> retries = 0;
    std::atomic<std::uint64_t> retriesOverBudget = 0; // retries that the retry budget refused
    std::atomic<std::uint64_t> forwarded = 0; // requests forwarded to peers
    std::atomic<std::uint64_t> forwardsRefused = 0; // forwards that the peer refused without running them
    std::atomic<std::uint64_t> discardedAnswers = 0; // late or duplicate answers
    std::atomic<std::uint64_t> ejections = 0;
};

/**
 * Routes interactive requests to executor slots owned by this process, or forwards them, once at most, to a
 * peer with free slots. The process that received the request from the caller decides on retries.
 *
 * Usage: `interactive.ask(call, [](AskReply reply) { ... });`
 */
class InteractiveService : public ServiceThread {
public:
    using Done = std::function<void(AskReply)>;

    InteractiveService(MembershipService& membership, ConfigurationService& configuration,
        BackendLink& backend, PeerLink& peers, TeamTokens& tokens);
    ~InteractiveService() override { stop(); } // ends the thread before the members are destroyed

    /**
     * Starts a request. Callable from any thread.
     *
     * @param done called exactly once, on any thread, possibly before this method returns; a refusal is a
     * reply
     */
    void ask(AskCall call, Done done);

    /** Number of requests in flight: accepted by ask() and not answered yet. */
    std::size_t inFlight() const { return m_inFlight; }

    const InteractiveCounters& counters() const { return m_counters; }

private:
    /** A request in flight. */
    struct Request {
        AskCall call;
        Done done;
        Reason lastFailure; // of the previous attempt
        bool mayHaveRun = false; // an attempt ended with an unknown outcome
        bool mustStayLocal = false; // a peer refused it for lack of capacity; it isn't forwarded again
    };
    /**
     * Identifies one attempt of a request. Answers to an attempt that is not the current one are discarded.
     */
    struct AttemptKey {
        std::uint64_t id = 0;
        std::uint32_t attempt = 0;
    };
    /** State of an executor beyond what the router keeps. */
    struct Backend {
        ServerInfo info;
        ExecutorGate gate;
        std::uint64_t sends = 0;
        bool isOwned = false;
        bool isStatusPending = false;
    };
    /** The last advertisement of a peer and the round trip to it. */
    struct PeerState {
        std::uint32_t freeSlots = 0;
        std::uint32_t slotsInService = 0;
        Instant advertisedAt {};
        Duration roundTrip = Duration::zero(); // exponential moving average; zero: not measured yet
    };

    // Stages of a request.
    void admit(AskCall call, Done done);
    void retryAfterTokenWait(AskCall call, Done done);
    void route(std::uint64_t id);
    void dispatchWaiting();
    bool send(const Dispatch& dispatch);
    void onExecuted(
        const AttemptKey& key, const ServerId& executor, Instant sentAt, const HttpResult& result);
    bool recordResult(const ServerId& executor, Instant sentAt, const HttpResult& result);
    void onFailure(std::uint64_t id, Reason failure, int retryAfterMs);
    void finish(std::uint64_t id, AskReply reply);
    Request* find(const AttemptKey& key);
    void expireRequests();

    // Executors.
    void refresh();
    void refreshConfiguration();
    void refreshOwnership();
    void applyExecutors();
    void queryStatus(const ServerId& id, Backend& backend);
    void onStatus(
        const ServerId& id, Instant askedAt, std::uint64_t sends, std::optional<std::uint32_t> busy);
    std::uint32_t outstandingOf(const ServerId& executor) const;
    void updateOutlierEjection();

    // Peers.
    bool forward(std::uint64_t id, Duration wait);
    std::optional<MemberId> peerWithSlots(const std::vector<ForwardPeer>& peers, Duration timeLeft);
    void recordAdvert(const MemberId& member, std::uint32_t freeSlots, std::uint32_t inService, Instant now);
    std::vector<ForwardPeer> forwardPeers(const Topology& topology) const;
    void onForwardAnswer(const AttemptKey& key, const MemberId& peer, std::shared_ptr<wire::Envelope> answer);
    void onForward(const wire::Envelope& envelope);
    void advertise();
    void advertiseTo(const TopologyMember& member);
    void onFreeSlots(const wire::Envelope& envelope);

    MembershipService& m_membership;
    ConfigurationService& m_configuration;
    BackendLink& m_backend;
    PeerLink& m_peers;
    TeamTokens& m_tokens;
    RouterState m_router;
    RetryBudgetSettings m_retrySettings;
    std::map<TeamId, RetryBudget> m_retryBudgets;
    std::unordered_map<std::uint64_t, Request> m_requests;
    std::map<ServerId, Backend> m_backends;
    std::map<MemberId, PeerState> m_peerStates;
    std::uint64_t m_nextId = 1;
    std::uint64_t m_advertRound = 0;
    std::uint64_t m_configurationVersion = 0;
    std::mt19937_64 m_random;
    std::size_t m_waitingForToken = 0;
    std::atomic<std::size_t> m_inFlight = 0;
    std::atomic<std::uint32_t> m_freeSlots = 0; // advertised to peers
    std::atomic<std::uint32_t> m_slotsInService = 0; // advertised to peers
    InteractiveCounters m_counters;
};

} // namespace quay
