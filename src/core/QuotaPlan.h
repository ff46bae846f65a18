#pragma once

#include "quay/core/QuotaGrants.h"

namespace quay::internal {

/** What a member wishes to do about one team's grant. */
struct QuotaPlan {
    std::int64_t take = 0; // units to take from the free ones
    std::int64_t reduceTo = 0; // equal to what is spendable if nothing is surrendered
    std::int64_t demand = 0; // hint for the other members
    bool demandChanged = false; // enough to be worth a write

    bool operator==(const QuotaPlan&) const = default;
};

/** Decides from the row as read and the usage since the last round. */
QuotaPlan planQuota(const QuotaSettings& settings, const TeamQuota& team, const QuotaRecord& record);

} // namespace quay::internal
