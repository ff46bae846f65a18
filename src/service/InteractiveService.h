#pragma once

#include "net/PeerLink.h"
#include "quay/core/InteractiveRouter.h"
#include "quay/core/RetryBudget.h"
#include "quay/core/TeamTokens.h"
#include "quay/kernel/Duty.h"
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

/** One interactive request on its way to an executor. */
struct AskCall {
    TeamId team;
    QueueId queue;
    std::string requestId; // of the caller; empty if it gave none
    std::string traceparent;
    std::string body;
    bool idempotent = false;
    Instant deadline {};
    Instant tokenWaitUntil {}; // set by the service when the team's grant here is in use
    std::uint32_t attempt = 1;
    std::uint32_t hops = 0; // over 0: came from a peer, which holds the caller and the team's token
};

/** The answer to an AskCall. */
struct AskReply {
    Reason reason; // kind None: `body` is the executor's answer
    std::string body;
    int retryAfterMs = 0;
};

/** Counts of the interactive path, readable from any thread. */
struct InteractiveCounters {
    std::atomic<std::uint64_t> accepted = 0; // of callers
    std::atomic<std::uint64_t> sent = 0; // to executors
    std::atomic<std::uint64_t> retries = 0;
    std::atomic<std::uint64_t> retriesOverBudget = 0; // that the retry budget refused
    std::atomic<std::uint64_t> forwarded = 0; // to peers
    std::atomic<std::uint64_t> forwardsRefused = 0; // by peers, as surely not run
    std::atomic<std::uint64_t> discardedAnswers = 0; // late or doubled
    std::atomic<std::uint64_t> ejections = 0;
};

/**
 * Routes interactive requests to the executor slots that this process owns, or one hop to a peer with
 * free slots. The process that holds the caller decides on retries.
 */
class InteractiveService : public Duty {
public:
    using Done = std::function<void(AskReply)>;

    InteractiveService(MembershipService& membership, ConfigurationService& configuration,
        BackendLink& backend, PeerLink& peers, TeamTokens& tokens);
    ~InteractiveService() override { stop(); } // its thread ends before its members go

    /** Takes a request from any thread; `done` is called exactly once, on any thread. */
    void ask(AskCall call, Done done);

    /** Requests taken and not yet answered. */
    std::size_t inFlight() const { return m_inFlight; }

    const InteractiveCounters& counters() const { return m_counters; }

private:
    /** A request that is not answered yet. */
    struct Request {
        AskCall call;
        Done done;
        Reason lastFailure; // of the attempt before
        bool mayHaveRun = false; // some attempt ended with an unknown outcome
        bool mustStayLocal = false; // a peer had no room for it after all; it isn't forwarded again
    };
    /** One attempt of a request; answers of any other attempt belong to nobody. */
    struct AttemptKey {
        std::uint64_t id = 0;
        std::uint32_t attempt = 0;
    };
    /** An executor beside what the router keeps of it. */
    struct Backend {
        ServerInfo info;
        ExecutorGate gate;
        std::uint64_t sends = 0;
        bool isOwned = false;
        bool isStatusPending = false;
    };
    /** What a peer told of itself. */
    struct PeerState {
        std::uint32_t freeSlots = 0;
        std::uint32_t slotsInService = 0;
        Instant advertisedAt {};
        Duration roundTrip = Duration::zero(); // zero: not measured yet
    };

    // The way of a request.
    void admit(AskCall call, Done done);
    void awaitToken(AskCall call, Done done);
    void route(std::uint64_t id);
    void dispatchWaiting();
    bool send(const Dispatch& dispatch);
    void onExecuted(
        const AttemptKey& key, const ServerId& executor, Instant sentAt, const HttpResult& result);
    bool recordResult(const ServerId& executor, Instant sentAt, const HttpResult& result);
    void onFailure(std::uint64_t id, Reason failure, int retryAfterMs);
    void finish(std::uint64_t id, AskReply reply);
    Request* find(const AttemptKey& key);
    void expire();

    // Executors.
    void refresh();
    void followConfiguration();
    void followOwnership();
    void applyExecutors();
    void queryStatus(const ServerId& id, Backend& backend);
    void onStatus(
        const ServerId& id, Instant askedAt, std::uint64_t sends, std::optional<std::uint32_t> busy);
    std::uint32_t outstandingOf(const ServerId& executor) const;
    void checkHealth();

    // Peers.
    bool forward(std::uint64_t id, Duration wait);
    std::optional<MemberId> peerWithSlots(const std::vector<ForwardPeer>& peers, Duration left);
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
    std::size_t m_awaitingToken = 0;
    std::atomic<std::size_t> m_inFlight = 0;
    std::atomic<std::uint32_t> m_freeSlots = 0; // as advertised
    std::atomic<std::uint32_t> m_slotsInService = 0; // as advertised
    InteractiveCounters m_counters;
};

} // namespace quay
