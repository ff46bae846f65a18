#pragma once

#include "net/PeerLink.h"
#include "quay/core/TeamTokens.h"
#include "quay/kernel/Duty.h"
#include "service/BackendLink.h"
#include "service/MembershipService.h"

#include <deque>
#include <functional>
#include <map>
#include <string>

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
    std::uint32_t attempt = 1;
    bool forwarded = false; // came from a peer, which holds the team's token
};

/** The answer to an AskCall. */
struct AskReply {
    Reason reason; // kind None: `body` is the executor's answer
    std::string body;
    int retryAfterMs = 0;
};

/** Routes interactive requests to executor slots that this process owns, or to a peer that owns some. */
class InteractiveService : public Duty {
public:
    using Done = std::function<void(AskReply)>;

    InteractiveService(
        MembershipService& membership, BackendLink& backend, PeerLink& peers, TeamTokens& tokens);

    /** Takes a request from any thread; `done` is called exactly once, on any thread. */
    void ask(AskCall call, Done done);

    /** Requests taken and not yet answered. */
    std::size_t inFlight() const { return m_inFlight; }

private:
    struct Waiting {
        AskCall call;
        Done done;
    };
    struct Executor {
        std::string address;
        std::uint32_t slots = 0;
        std::uint32_t outstanding = 0;
        bool open = false; // owned, and not leaving
    };

    void admit(AskCall call, Done done);
    void refreshExecutors();
    void dispatch();
    void expire();
    Executor* pick(ServerId& id);
    void send(const ServerId& id, Executor& executor, Waiting waiting);
    void onExecuted(const ServerId& id, const AskCall& call, const Done& done, HttpResult result);
    bool forward(Waiting& waiting);
    void onForward(const wire::Envelope& envelope);

    MembershipService& m_membership;
    BackendLink& m_backend;
    PeerLink& m_peers;
    TeamTokens& m_tokens;
    std::map<ServerId, Executor> m_executors;
    std::deque<Waiting> m_queue;
    std::atomic<std::size_t> m_inFlight = 0;
    std::size_t m_nextPeer = 0;
};

} // namespace quay
