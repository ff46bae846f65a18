#pragma once

#include "quay/core/QuotaGrants.h"
#include "quay/core/TeamTokens.h"
#include "quay/kernel/Published.h"
#include "quay/kernel/ServiceThread.h"
#include "service/ConfigurationService.h"
#include "service/InheritedWork.h"
#include "service/MembershipService.h"
#include "tableservice/StoreService.h"

#include <map>

namespace quay {

/** A team's upper limit and grants as known to this process, in units. */
struct TeamQuotaStatus {
    std::int64_t limit = 0; // currently in force
    std::int64_t target = 0; // the configured limit
    std::int64_t granted = 0; // to all members in total
    std::int64_t grantedHere = 0;
    std::int64_t running = 0; // in this process
    std::int64_t inherited = 0; // counted as in use by work of former members

    bool operator==(const TeamQuotaStatus&) const = default;
};

using TeamQuotaStatuses = std::map<TeamId, TeamQuotaStatus>;

/**
 * Acquires and releases the quota grants of this process (quay/core/QuotaGrants.h) in the table service and
 * sets the team tokens to the granted units. Notifies the configuration rollout when lowered limits are in
 * force.
 *
 * Usage: `quota.quotaStatuses().get()` is the latest status of all teams.
 */
class QuotaService : public ServiceThread {
public:
    QuotaService(MembershipService& membership, ConfigurationService& configuration, StoreService& store,
        TeamTokens& tokens);
    ~QuotaService() override { stop(); } // ends the thread before the members are destroyed

    /** The latest status of each team; readable from any thread. */
    const Published<TeamQuotaStatuses>& quotaStatuses() const { return m_quotaStatuses; }

    /**
     * Reports, after recovery of the job ledger, how many units of each team run under tokens that former
     * leaders acquired. Until this call, inherited grants count as used in full. Callable from any thread.
     */
    void inheritedWorkFound(std::map<TeamId, std::int64_t> running);

    /**
     * Reports that `n` units of work started by a former leader have definitely ended. Callable from any
     * thread.
     */
    void inheritedWorkEnded(const TeamId& team, std::int64_t n);

private:
    void tick();
    bool isRoundDue(Instant now) const;
    bool hasPendingLimitDecrease() const;
    void applyEvent(const QuotaEvent& event);
    void perform(const ReadQuotaRows& action);
    void perform(const WriteQuotaRows& action);
    void perform(const SetTeamGrant& action);
    void perform(const ReduceTeamGrants& action);
    void perform(const FenceTokens& action);
    void perform(const CountInheritedWork& action);
    void extendLease(Instant now);
    void updateLeadership(Instant now);
    void updateRoster(const std::vector<QuotaRow>& rows, Instant now);
    void applyConfiguredLimits();
    void applyInheritedWorkEvents();
    void reportLimits();
    void publish();
    void onRowsRead(std::uint64_t requestId, const std::vector<TableRow>& rows);
    void onWriteOutcome(std::uint64_t requestId, bool inherits, const TransactionOutcome& outcome);

    MembershipService& m_membership;
    ConfigurationService& m_configuration;
    StoreService& m_store;
    TeamTokens& m_tokens;
    QuotaState m_state;
    std::map<TeamId, TeamUsage> m_usage; // not yet passed to the core
    Instant m_lastRoundAt {};
    // Grant holders missing from the roster, and when each was first seen missing.
    std::map<MemberId, Instant> m_absentSince;
    InheritedWork m_inherited;
    bool m_wasLeader = false;
    std::uint64_t m_reportedVersion = 0;
    Published<TeamQuotaStatuses> m_quotaStatuses;
};

} // namespace quay
