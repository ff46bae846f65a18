#pragma once

#include "quay/core/QuotaGrants.h"

#include <map>
#include <optional>
#include <vector>

namespace quay {

/**
 * Splits the job work that former leads left running among the grants inherited from them. The job ledger
 * knows how many units of a team run, but not under whose grant; each unit is counted for one grant.
 */
class InheritedWork {
public:
    /** An inherited grant wants its count; it is among the next events once the ledger has told. */
    void requestCount(const CountInheritedWork& request);

    /** What the recovered ledger found running, by team. */
    void setRunningUnits(std::map<TeamId, std::int64_t> running);

    /** Units of a team have ended. */
    void reportEnded(const TeamId& team, std::int64_t units);

    /** The lead is lost: counts for later grants need a new recovery of the ledger. */
    void clearRunningUnits();

    /** Events for the grants, in order; empties the list. */
    std::vector<QuotaEvent> takeEvents();

private:
    void countFor(const CountInheritedWork& request);

    bool m_isLedgerRecovered = false;
    std::map<TeamId, std::int64_t> m_uncountedUnits; // found, and not yet counted for a grant
    std::map<TeamId, std::map<MemberId, std::int64_t>> m_countedUnits;
    std::vector<CountInheritedWork> m_pendingRequests;
    std::vector<QuotaEvent> m_events;
};

} // namespace quay
