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

/** One team's upper limit as this process knows it. */
struct TeamStanding {
    std::int64_t limit = 0; // in force
    std::int64_t target = 0; // as configured
    std::int64_t granted = 0; // to all members together
    std::int64_t grantedHere = 0;
    std::int64_t running = 0; // in this process
    std::int64_t inherited = 0; // counted as used for work of dead members

    bool operator==(const TeamStanding&) const = default;
};

using TeamStandings = std::map<TeamId, TeamStanding>;

/**
 * Runs the quota grants (quay/core/QuotaGrants.h) of this process against the table service, and keeps the
 * team tokens at what is granted. Tells the configuration rollout when lowered limits are true.
 */
class QuotaService : public ServiceThread {
public:
    QuotaService(MembershipService& membership, ConfigurationService& configuration, StoreService& store,
        TeamTokens& tokens);
    ~QuotaService() override { stop(); } // its thread ends before its members go

    const Published<TeamStandings>& standings() const { return m_standings; }

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
    bool isLowering() const;
    void feed(const QuotaEvent& event);
    void perform(const ReadQuotaRows& action);
    void perform(const WriteQuotaRows& action);
    void perform(const SetTeamGrant& action);
    void perform(const ReduceTeamGrants& action);
    void perform(const FenceTokens& action);
    void perform(const CountInheritedWork& action);
    void extendLease(Instant now);
    void followLead(Instant now);
    void feedRoster(const std::vector<QuotaRow>& rows, Instant now);
    void feedLimits();
    void feedInherited();
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
    Instant m_lastRound {};
    std::map<MemberId, Instant> m_absentSince; // holders of grants that the roster does not show
    InheritedWork m_inherited;
    bool m_led = false;
    std::uint64_t m_reportedVersion = 0;
    Published<TeamStandings> m_standings;
};

} // namespace quay
