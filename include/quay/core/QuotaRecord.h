#pragma once

#include "quay/core/Ids.h"
#include "quay/core/Reason.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace quay {

/** One member's quota grant of one team. Only the member itself, or its inheritor, changes it. */
struct QuotaEntry {
    DomainId domain; // whose lead inherits the grant
    std::uint64_t joinEpoch = 0; // roster epoch in which the member was first live
    std::int64_t granted = 0; // units that the member may have running
    std::int64_t demand = 0; // units that it would use beyond its grant
    std::uint64_t sequence = 0; // counts the member's writes; decides a read-back

    bool operator==(const QuotaEntry&) const = default;
};

/**
 * The store row of one team: its upper limit and the grants into which it is split.
 * Invariant: the sum of the grants never exceeds `limit`.
 */
struct QuotaRecord {
    std::int64_t limit = 0; // in force now
    std::int64_t target = 0; // as configured; below `limit` while a lowering is pending
    std::uint64_t configVersion = 0; // configuration that set the target; only rises
    std::map<MemberId, QuotaEntry> entries;

    bool operator==(const QuotaRecord&) const = default;
};

/** The sum of all grants. */
std::int64_t totalGranted(const QuotaRecord& record);

/** Units that nobody holds and that may be granted. Never negative. */
std::int64_t ungrantedUnits(const QuotaRecord& record);

/** True once a configured limit is in force. */
bool isTargetInForce(const QuotaRecord& record);

/** Raises the limit to its target at once, or lowers it as far as the grants allow. */
void applyTargetLimit(QuotaRecord& record);

/** The key of a team's row in the table service. */
std::string quotaKey(const TeamId& team);

/** The team of a key made by quotaKey(); nullopt for other keys. */
std::optional<TeamId> teamOfQuotaKey(const std::string& key);

/** The JSON text of a record, as stored. */
std::string toJson(const QuotaRecord& record);

/** Reads toJson()'s text back; nullopt with MalformedRequest if it is no record or breaks its invariant. */
std::optional<QuotaRecord> parseQuotaRecord(const std::string& text, Reason& reason);

} // namespace quay
