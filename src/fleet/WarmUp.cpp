#include "fleet/WarmUp.h"

#include <algorithm>

namespace quay::fleet {

namespace {

constexpr Duration returnDuration = 2s; // of the warm-up of a domain that is taken back
// The limit doubles in each stage of the warm-up, beginning with initialLimit.
constexpr std::size_t initialLimit = 2;
constexpr std::int64_t stages = 5;

} // namespace

WarmUp warmUpOfCold(const WarmUp& known, std::int64_t remainingMs, Instant now)
{
    if (remainingMs <= 0)
        return known;
    const std::chrono::milliseconds remaining(
        std::min<std::int64_t>(remainingMs, toMilliseconds(maxWarmUpDuration)));
    return { known.since == Instant {} ? now : known.since, std::max(known.until, now + remaining) };
}

WarmUp warmUpOfReturn(const WarmUp& known, Instant now)
{
    return { now, std::max(known.until, now + returnDuration) };
}

std::optional<std::size_t> startLimit(const WarmUp& warmUp, Instant now)
{
    const auto end = std::min(warmUp.until, warmUp.since + maxWarmUpDuration);
    if (warmUp.since == Instant {} || now >= end)
        return std::nullopt;
    const auto spent = std::max<Duration>(now - warmUp.since, Duration::zero());
    return initialLimit << (spent * stages / (end - warmUp.since));
}

} // namespace quay::fleet
