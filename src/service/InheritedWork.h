#pragma once

#include "quay/core/QuotaGrants.h"

#include <map>
#include <optional>
#include <vector>

namespace quay {

/**
 * Attributes the job work that former leaders left running to the grants inherited from them. The job ledger
 * knows how many units of a team are running, but not under which grant; each unit counts for one grant.
 */
class InheritedWork {
public:
    /** Requests the count for an inherited grant. takeEvents() returns it once the ledger is recovered. */
    void requestCount(const CountInheritedWork& request);

    /** Sets the running units by team, as found by recovery of the ledger. */
    void setRunningUnits(std::map<TeamId, std::int64_t> running);

    /** Reports that units of a team have ended. */
    void reportEnded(const TeamId& team, std::int64_t units);

    /** Discards the running units on loss of leadership: later grants are counted after the next recovery. */
    void clearRunningUnits();

    /** Returns the pending events in order and clears them. */
    std::vector<QuotaEvent> takeEvents();

private:
    void countFor(const CountInheritedWork& request);

    bool m_isLedgerRecovered = false;
    std::map<TeamId, std::int64_t> m_uncountedUnits; // running, and not yet counted for a grant
    std::map<TeamId, std::map<MemberId, std::int64_t>> m_countedUnits;
    std::vector<CountInheritedWork> m_pendingRequests;
    std::vector<QuotaEvent> m_events;
};

} // namespace quay
