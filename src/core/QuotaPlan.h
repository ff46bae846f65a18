#pragma once

#include "quay/core/QuotaGrants.h"

namespace quay::internal {

/** Planned change of one member's grant of one team. */
struct QuotaPlan {
    std::int64_t take = 0; // ungranted units to add to the grant
    std::int64_t reduceTo = 0; // equal to TeamQuota::spendable if no units are returned
    std::int64_t demand = 0; // new QuotaEntry::demand, a hint for the other members
    bool demandChanged = false; // differs enough from the row to be written

    bool operator==(const QuotaPlan&) const = default;
};

/** Plans the change from the row as read and the usage since the last round. */
QuotaPlan planQuota(const QuotaSettings& settings, const TeamQuota& team, const QuotaRecord& record);

} // namespace quay::internal
