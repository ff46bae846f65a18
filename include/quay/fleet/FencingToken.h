#pragma once

#include <algorithm>
#include <cstdint>

namespace quay::fleet {

/** Bits of a fencing token that hold the epoch; the term of the leader stands above them. */
constexpr int epochBits = 20;
constexpr std::int64_t maxEpoch = (std::int64_t { 1 } << epochBits) - 1;

/**
 * Returns the fencing token of an order: it rises with the term of the leader and, within a term, with the
 * epoch of the executor. An executor refuses an order with a lower token than it has seen, so an answered
 * order bars all earlier ones that got no answer. `term`: below 2^43. `epoch`: from 0; beyond maxEpoch it
 * counts as maxEpoch.
 *
 * Usage: `order.fence = fencingToken(term, action.epoch);`
 */
constexpr std::int64_t fencingToken(std::int64_t term, std::int64_t epoch)
{
    return (term << epochBits) + std::min(epoch, maxEpoch);
}

} // namespace quay::fleet
