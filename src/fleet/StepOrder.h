#pragma once

#include "quay/core/Time.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace quay::fleet {

/** What the order of steps with waiting tasks goes by. */
struct WaitingStep {
    int priority = 0; // of its queue; 0 is the highest
    bool isOverdue = false; // a long-running step that has waited too long
    bool isLongRunning = false; // has no objective that it could miss
    bool isBeyondShare = false; // its job came beyond its team's share
    Duration objective {}; // of the job, from its acceptance
    Duration age {}; // of the job, since its acceptance
    Duration waited {}; // since the step has waiting tasks, or its last turn lapsed; zero: no turn
    Duration remaining {}; // expected until the job is complete if the step starts now
    double cpuSeconds = 0; // expected work from this step to the end of the job
    std::uint64_t number = 0; // of the job: decides between equals
    std::uint64_t part = 0; // of the job: decides between its steps

    bool operator==(const WaitingStep&) const = default;
};

/** Orders steps: lower comes first. */
struct StepRank {
    int group = 0; // whether it is its turn, or its job has no value any more
    int priority = 0;
    bool isBeyondShare = false;
    bool isLate = false;
    double key = 0; // milliseconds until the objective, or the work of a late step
    std::uint64_t number = 0;
    std::uint64_t part = 0;

    auto operator<=>(const StepRank&) const = default;
};

/** Returns the rank of a step. `isTurn`: see StepTurns. */
StepRank rankOf(const WaitingStep& step, bool isTurn);

/**
 * The turns of steps that others go before: those that have waited for `agedAfter` or longer. The one that
 * has waited longest comes first once other steps were given `othersPerTurn` times its work since the last
 * turn. A turn ends when a task of the step starts, or lapses when none has within `maxTurn`; the step then
 * has to wait for `agedAfter` again.
 */
struct StepTurns {
    double othersWork = 0; // CPU seconds that other steps were given since the last turn
    Instant turnSince; // of the step below
    std::uint64_t number = 0; // of the job whose turn it is; 0: none
    std::uint64_t part = 0;

    bool operator==(const StepTurns&) const = default;
};

constexpr auto agedAfter = 10s;
constexpr auto maxTurn = 1s;
constexpr double othersPerTurn = 8;
constexpr double maxWorkPerTurn = 2000; // CPU seconds: bounds what a wrong estimate can delay a turn by

/** The index of the step whose turn it is, or the number of steps if there is none. */
std::size_t stepInTurn(const StepTurns& turns, const std::vector<WaitingStep>& steps);

/** Tasks of the step started, which take `cpuSeconds`. */
void addStarts(StepTurns& turns, bool isTurn, double cpuSeconds);

/** It is the turn of a step of which no task could start. Returns whether the turn has lapsed. */
bool lapses(StepTurns& turns, const WaitingStep& step, Instant now);

} // namespace quay::fleet
