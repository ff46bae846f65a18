#pragma once

#include "quay/core/ConfigRollout.h"
#include "tableservice/Transaction.h"

#include <optional>
#include <string>
#include <vector>

namespace quay::wire {
class ConfigAnswer;
}

namespace quay {

constexpr auto acceptedKey = "config/accepted";
constexpr auto preparedKey = "config/prepared";

/** The view that the two rows show; nullopt if a row is missing in the answer or can't be read. */
std::optional<RolloutView> viewOfRows(const std::vector<TableRow>& rows, Reason& reason);

/** The transaction of a write: both rows are checked, one is put. */
Transaction transactionOf(const rollout::Write& write);

/** A peer's answer as a message, and back; nullopt if a row can't be read. */
void encode(const rollout::PeerAnswer& answer, wire::ConfigAnswer& message);
std::optional<rollout::PeerAnswer> decode(const wire::ConfigAnswer& message, Reason& reason);

} // namespace quay
