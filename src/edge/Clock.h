#pragma once

#include "quay/core/Time.h"

namespace quay::edge {

/**
 * The current time of a clock that never jumps and that, unlike std::chrono::steady_clock, also runs while
 * the machine is suspended. What a node may do until some time, as to lead or to renew a lease, is measured
 * with it: the steady clock would let a node that was suspended go on with a permission that has run out. Its
 * readings are not comparable with those of the steady clock.
 *
 * Usage: `const auto sentAt = clockNow();`
 */
Instant clockNow();

} // namespace quay::edge
