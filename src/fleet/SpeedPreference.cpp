#include "fleet/SpeedPreference.h"

#include <algorithm>
#include <cmath>

namespace quay::fleet {

namespace {

// Two classes, a factor of 1.5 in the run time, weigh as much as the step's failure domain.
constexpr double penaltyPerSlowerClass = 250;
// Below the penalty of a failure domain over the whole range, and above best fit from the next class on.
constexpr double penaltyPerFasterClass = 24;
constexpr double safetyFactor = 1.3; // on the run time that an objective has to allow for

} // namespace

std::vector<int> SpeedPreference::order(int fastest, int slowest) const
{
    std::vector<int> classes;
    for (int it = std::max(fastest, -maxSpeedClass); it <= std::min(slowest, maxSpeedClass); ++it)
        classes.push_back(it);
    std::stable_sort(classes.begin(), classes.end(), [&](int a, int b) { return penalty(a) < penalty(b); });
    return classes;
}

SpeedPreference speedPreference(const SpeedChoice& choice)
{
    SpeedPreference result;
    const int fastest = std::clamp(choice.fastest, -maxSpeedClass, maxSpeedClass);
    const int slowest = std::clamp(choice.slowest, fastest, maxSpeedClass);
    const auto isMissedOn = [&](int speedClass) {
        // This far or further: it may stand still. While room is not scarce best fit decides, as elsewhere.
        if (choice.isRoomScarce && speedClass >= maxSpeedClass && fastest < speedClass)
            return true;
        const double factor = std::exp(speedClass * speedClassWidth);
        return !(choice.taskMs * factor * safetyFactor + choice.restMs <= choice.timeLeftMs);
    };
    const bool isHopeless = !choice.isUrgent && isMissedOn(fastest);
    const bool isFine = !choice.isUrgent && !isMissedOn(slowest);
    if (fastest == slowest || isHopeless || (isFine && !choice.isRoomScarce))
        return result;
    result.isNeutral = false;
    // Any class on which a batch step meets its objective comes before those on which it doesn't.
    const double missedPenalty
        = choice.isUrgent || !choice.isRoomScarce ? 0 : penaltyPerFasterClass * (slowest - fastest);
    for (int it = fastest; it <= slowest; ++it) {
        auto& penalty = result.penalties[it + maxSpeedClass];
        if (choice.isUrgent || isMissedOn(it))
            penalty = penaltyPerSlowerClass * (it - fastest) + missedPenalty;
        else if (choice.isRoomScarce)
            penalty = penaltyPerFasterClass * (slowest - it);
    }
    return result;
}

} // namespace quay::fleet
