#pragma once

#include "fleet/SpeedModel.h"

#include <array>
#include <vector>

// On which executors a step should run, by their speed.
namespace quay::fleet {

/** What is known of a step when one of its tasks is placed. */
struct SpeedChoice {
    bool isUrgent = false; // every millisecond counts, whatever its objective
    double taskMs = 0; // expected run time of one of its tasks on an executor whose factor is 1
    double restMs = 0; // expected time from the end of the step to that of the job
    double timeLeftMs = 0; // until the job's objective; negative: missed
    bool isRoomScarce = false; // fast executors have to be left to those who need them
    int fastest = 0; // class of the fastest and the slowest executors of the service
    int slowest = 0;
};

/**
 * What it costs to place a task on an executor, by its speed class: in the units of the other penalties of
 * placement. All 0 if the speed doesn't matter.
 */
struct SpeedPreference {
    std::array<double, 2 * maxSpeedClass + 1> penalties {};
    bool isNeutral = true;

    double penalty(int speedClass) const { return penalties[speedClass + maxSpeedClass]; }
    /** The classes from `fastest` to `slowest`, best first. */
    std::vector<int> order(int fastest, int slowest) const;
    bool operator==(const SpeedPreference&) const = default;
};

/**
 * Urgent steps, and those that would miss their objective on slower executors, prefer fast ones. While room
 * is scarce, a step that can afford it prefers the slowest on which it meets its objective. A step that
 * misses it everywhere has no preference.
 */
SpeedPreference speedPreference(const SpeedChoice& choice);

} // namespace quay::fleet
