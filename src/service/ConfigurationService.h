#pragma once

#include "net/PeerLink.h"
#include "quay/core/ConfigRollout.h"
#include "quay/kernel/Published.h"
#include "quay/kernel/ServiceThread.h"
#include "service/AckRows.h"
#include "service/Topology.h"
#include "tableservice/StoreService.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace quay {

/** The configuration in force on this process, and until when it counts as fresh. */
struct ActiveConfiguration {
    Configuration configuration; // the accepted version minus what a prepared version removes
    bool isKnown = false; // the rows were read since the process started
    Instant freshUntil {}; // staleness bound: authenticated work is refused from then on

    bool operator==(const ActiveConfiguration&) const = default;
    bool canServeAuthenticatedWork(Instant now) const { return isKnown && now < freshUntil; }
};

/** Progress of one process in a configuration rollout. */
struct MemberRolloutStatus {
    MemberId id;
    DomainId domain;
    bool hasAnswered = false; // the fields below are valid only if true
    std::uint64_t seen = 0; // newest known version, accepted or prepared
    std::uint64_t inForce = 0; // newest accepted version it knows
    bool isFresh = false; // serves authenticated work

    bool operator==(const MemberRolloutStatus&) const = default;
};

/**
 * Runs the configuration rollout (quay/core/ConfigRollout.h) of this process with the table service and the
 * peers: tracks the accepted configuration, confirms and accepts prepared ones, and proposes changes.
 *
 * Usage: `auto active = configuration.active().get(); if (active->canServeAuthenticatedWork(now)) ...`
 */
class ConfigurationService : public ServiceThread {
public:
    /**
     * Receives the version now in force, or the reason why the change was refused or its outcome is unknown.
     */
    using ApplyDone = std::function<void(std::optional<std::uint64_t>, Reason)>;
    using StatusDone = std::function<void(std::vector<MemberRolloutStatus>)>;

    ConfigurationService(
        MemberId self, StoreService& store, PeerLink& peers, const Published<Topology>& topology);
    ~ConfigurationService() override { stop(); } // ends the thread before the members are destroyed

    /** The configuration in force on this process; readable from any thread. */
    const Published<ActiveConfiguration>& active() const { return m_active; }

    /** The accepted and the prepared row as last read. */
    const Published<RolloutView>& view() const { return m_view; }

    /**
     * Proposes a configuration based on `baseVersion`, the newest version (accepted or prepared) that the
     * operator has seen, and calls `done` once it is in force. Callable from any thread.
     *
     * Errors: VersionConflict if another change came first, StoreUnavailable if it was definitely not
     * proposed, OutcomeUnknown if it may still come into force, Overloaded if the service's task queue is
     * full.
     */
    void apply(std::uint64_t baseVersion, Configuration next, ApplyDone done);

    /** Reports that all teams are within the upper limits of this version. Callable from any thread. */
    void limitsSatisfied(std::uint64_t version);

    /**
     * Queries the rollout progress of every member. Callable from any thread. If the service's task queue is
     * full, `done` gets an empty list.
     */
    void status(StatusDone done);

private:
    struct Change {
        ApplyDone done;
        Instant deadline;
        bool prepared = false;
        std::uint64_t version = 0; // valid once prepared
    };
    struct StatusRound;

    void onStart() override;
    void tick();
    void applyEvent(const RolloutEvent& event);
    void perform(const rollout::Read& action);
    void perform(const rollout::Scan& action);
    void perform(const rollout::Confirm& action);
    void perform(const rollout::Write& action);
    void perform(const rollout::QueryPeers& action);
    void perform(const rollout::Reply& action);
    void perform(const rollout::ApplyDone& action);
    void publish();
    Instant freshUntil(Instant now) const;

    void proposeChange(ApplyRequest request, ApplyDone done);
    void completeDecidedChanges();
    bool completeIfDecided(const std::string& token, const Change& change);
    void timeOutChange(const std::string& token, const Change& change);
    std::string currentVersions() const;

    void renewAckRow();
    void removeAbandonedAcks();
    void replaceMissingVoters();
    std::set<std::string> desiredVoters() const;

    void onConfigQuery(const wire::Envelope& envelope);
    void queryStatus(const std::shared_ptr<StatusRound>& round, const TopologyMember& member);
    MemberRolloutStatus ownStatus() const;

    MemberId m_self;
    std::string m_vm;
    StoreService& m_store;
    PeerLink& m_peers;
    const Published<Topology>& m_topology;
    RolloutState m_state;
    bool m_rowsRead = false; // since the process started
    Published<ActiveConfiguration> m_active;
    Published<RolloutView> m_view;
    std::map<std::string, Change> m_changes; // by token
    std::uint64_t m_nextToken = 1;
    const wire::Envelope* m_currentQuery = nullptr; // the peer query being answered, or nullptr
    std::uint64_t m_confirmed = 0; // highest version written to this VM's row
    Instant m_ackSentAt {}; // when the last successful write of the row was sent
    Instant m_ackAttemptedAt {};
    AckTimes m_ackTimes;
    AckObservations m_ackObservations;
    std::map<std::string, Instant> m_voterSeenAt; // last seen in the topology
};

} // namespace quay
