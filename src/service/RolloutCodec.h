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

/** Parses the accepted and the prepared row; nullopt with `reason` if one is missing or can't be parsed. */
std::optional<RolloutView> viewOfRows(const std::vector<TableRow>& rows, Reason& reason);

/** The transaction for a write: it checks the versions of both rows and puts one. */
Transaction transactionOf(const rollout::Write& write);

/**
 * Converts the answer to a peer query to a message, and back; nullopt with `reason` if a row can't be
 * parsed.
 */
void encode(const rollout::PeerAnswer& answer, wire::ConfigAnswer& message);
std::optional<rollout::PeerAnswer> decode(const wire::ConfigAnswer& message, Reason& reason);

} // namespace quay
