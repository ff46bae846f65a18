#pragma once

#include "quay/core/Time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace quay::fleet {

/** The time in which an executor that is slow after its start, or that got no work for long, gets few starts.
 */
struct WarmUp {
    Instant since {}; // zero: never
    Instant until {}; // or maxWarmUpDuration after `since`, whichever is earlier

    auto operator<=>(const WarmUp&) const = default;
};

/** A warm-up ends at most this long after it began, whatever the executor says. */
constexpr Duration maxWarmUpDuration = 8s;

/**
 * The warm-up after a process of an executor has said that it stays slow for `remainingMs` from now on. It
 * begins with the first such reading of the process, so that a figure which never falls does not prolong it
 * for ever.
 */
WarmUp warmUpOfCold(const WarmUp& known, std::int64_t remainingMs, Instant now);

/** The warm-up of an executor whose failure domain was emptied and is taken back now. */
WarmUp warmUpOfReturn(const WarmUp& known, Instant now);

/** How many of the tasks that were placed since `since` may be on the executor at a time; nothing: any
 * number. */
std::optional<std::size_t> startLimit(const WarmUp& warmUp, Instant now);

} // namespace quay::fleet
