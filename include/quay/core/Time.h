#pragma once

#include <chrono>

namespace quay {

/**
 * A point in time of the process's monotonic clock. Code in core/ never reads a clock: `now` is a parameter.
 */
using Instant = std::chrono::steady_clock::time_point;

/** A span of monotonic time. */
using Duration = std::chrono::steady_clock::duration;

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""us;

/** Whole milliseconds of a duration, rounded down. */
inline long long toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace quay
