#pragma once

#include "quay/core/Time.h"

#include <map>
#include <string>

namespace quay::fleet {

/**
 * Which jobs come within their team's share: as many a second as the team's weight, with a second's jobs at
 * once. Jobs beyond it wait behind those of other teams, see StepOrder.h. Not kept across leaders: jobs of an
 * earlier leader count as within the share.
 */
class TeamShares {
public:
    /** Counts a job that is accepted now. Returns whether it is within the share of its team. */
    bool takes(const std::string& team, double weight, Instant now);

    /** A weight that is usable: 1 for those that are zero, negative or no number. */
    static double usableWeight(double weight);

private:
    struct Account {
        double jobs = 0; // that may still come now
        Instant updatedAt;
    };

    std::map<std::string, Account> m_accounts;
};

} // namespace quay::fleet
