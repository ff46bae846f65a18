#pragma once

#include "quay/core/QuotaGrants.h"
#include "quay/core/TeamTokens.h"
#include "quay/kernel/Duty.h"
#include "quay/kernel/Published.h"
#include "service/ConfigurationService.h"
#include "service/InheritedWork.h"
#include "service/MembershipService.h"
#include "tableservice/StoreService.h"

#include <map>

namespace quay {

/** One team's upper limit as this process knows it. */
struct TeamQuotaStatus {
    std::int64_t limit = 0; // in force
    std::int64_t target = 0; // as configured
    std::int64_t granted = 0; // to all members together
    std::int64_t grantedHere = 0;
    std::int64_t running = 0; // in this process
    std::int64_t inherited = 0; // counted as used for work of dead members

    bool operator==(const TeamQuotaStatus&) const = default;
};

using TeamQuotaStatuses = std::map<TeamId, TeamQuotaStatus>;

/**
 * Runs the quota grants (quay/core/QuotaGrants.h) of this process against the table service, and keeps the
 * team tokens at what is granted. Tells the configuration rollout when lowered limits are true.
 */
class QuotaService : public Duty {
public:
    QuotaService(MembershipService& membership, ConfigurationService& configuration, StoreService& store,
        TeamTokens& tokens);
    ~QuotaService() override { stop(); } // its thread ends before its members go

    const Published<TeamQuotaStatuses>& quotaStatuses() const { return m_quotaStatuses; }

    /**
     * The job ledger was recovered: this many units by team run under tokens that former leads took.
     * Until this is told, inherited grants count as used. Callable from any thread.
     */
    void inheritedWorkFound(std::map<TeamId, std::int64_t> running);

    /** Work of a former lead has surely ended. Callable from any thread. */
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
    void followLeadership(Instant now);
    void updateRoster(const std::vector<QuotaRow>& rows, Instant now);
    void applyConfiguredLimits();
    void applyInheritedWorkEvents();
    void reportLimits();
    void publish();
    void onRows(std::uint64_t requestId, const std::vector<TableRow>& rows);
    void onOutcome(std::uint64_t requestId, bool inherits, const TransactionOutcome& outcome);

    MembershipService& m_membership;
    ConfigurationService& m_configuration;
    StoreService& m_store;
    TeamTokens& m_tokens;
    QuotaState m_state;
    std::map<TeamId, TeamUsage> m_usage; // not yet told to the core
    Instant m_lastRoundAt {};
    std::map<MemberId, Instant> m_absentSince; // holders of grants that the roster does not show
    InheritedWork m_inherited;
    bool m_wasLeader = false;
    std::uint64_t m_reportedVersion = 0;
    Published<TeamQuotaStatuses> m_quotaStatuses;
};

} // namespace quay
