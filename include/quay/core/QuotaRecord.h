#pragma once

#include "quay/core/Ids.h"
#include "quay/core/Reason.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace quay {

/** One member's part of a team's quota. Only the member itself changes it, or the leader that inherits it. */
struct QuotaEntry {
    DomainId domain; // failure domain of the member; its leader inherits the grant
    std::uint64_t joinEpoch = 0; // roster epoch in which the member joined
    std::int64_t granted = 0; // units that the member may have running at a time
    std::int64_t demand = 0; // units that the member needs beyond its grant
    std::uint64_t sequence = 0; // unique for each write of the member; shows which write took effect

    bool operator==(const QuotaEntry&) const = default;
};

/**
 * The store row of one team: its upper limit and the grants that divide it among the members.
 * Invariant: the sum of the grants never exceeds `limit`.
 */
struct QuotaRecord {
    std::int64_t limit = 0; // the effective limit
    std::int64_t target = 0; // as configured; below `limit` while a reduction is pending
    std::uint64_t configVersion = 0; // version of the configuration that set the target; never decreases
    std::map<MemberId, QuotaEntry> entries;

    bool operator==(const QuotaRecord&) const = default;
};

/** The sum of all grants. */
std::int64_t totalGranted(const QuotaRecord& record);

/** Units below both limit and target that no member holds. Never negative. */
std::int64_t ungrantedUnits(const QuotaRecord& record);

/** True if the configured limit is the effective one. */
bool isTargetEffective(const QuotaRecord& record);

/** Raises the limit to its target, or lowers it towards the target as far as the grants allow. */
void applyTargetLimit(QuotaRecord& record);

/** Key of a team's row in the store. */
std::string quotaKey(const TeamId& team);

/** Team of a key returned by quotaKey(); nullopt for other keys. */
std::optional<TeamId> teamOfQuotaKey(const std::string& key);

/** Serializes a record to the JSON text that is stored. */
std::string toJson(const QuotaRecord& record);

/** Parses the text of toJson(); nullopt with MalformedRequest if it is malformed or breaks the invariant. */
std::optional<QuotaRecord> parseQuotaRecord(const std::string& text, Reason& reason);

} // namespace quay
