#include "fleet/StepOrder.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace quay::fleet {

namespace {

constexpr int expiryFactor = 3; // a job has no value after three times its objective
// A step ends with its slowest task, and estimates are rough.
constexpr double remainingMargin = 1.6;
constexpr auto startOverhead = 250ms; // an approval, a commit and the start

double clampWork(double cpuSeconds)
{
    return std::isfinite(cpuSeconds) ? std::clamp(cpuSeconds, 0.0, maxWorkPerTurn) : maxWorkPerTurn;
}

double milliseconds(Duration duration) { return std::chrono::duration<double, std::milli>(duration).count(); }

} // namespace

StepRank rankOf(const WaitingStep& step, bool isTurn)
{
    const double objective = std::max(0.0, milliseconds(step.objective));
    const double age = std::max(0.0, milliseconds(step.age));
    const double left = objective - age;
    const double needed
        = remainingMargin * std::max(0.0, milliseconds(step.remaining)) + milliseconds(startOverhead);
    StepRank rank;
    const bool isExpired = !step.isLongRunning && age > expiryFactor * objective;
    rank.group = step.isOverdue ? 0 : isTurn ? 1 : isExpired ? 3 : 2;
    rank.priority = step.priority;
    rank.isBeyondShare = step.isBeyondShare;
    rank.isLate = !step.isLongRunning && needed > left;
    rank.key = rank.isLate ? clampWork(step.cpuSeconds) : left;
    rank.number = step.number;
    rank.part = step.part;
    return rank;
}

std::size_t stepInTurn(const StepTurns& turns, const std::vector<WaitingStep>& steps)
{
    std::size_t longest = steps.size();
    const auto seniority = [](const WaitingStep& it) { return std::tuple(-it.waited, it.number, it.part); };
    for (std::size_t i = 0; i < steps.size(); ++i) {
        if (steps[i].waited >= agedAfter
            && (longest == steps.size() || seniority(steps[i]) < seniority(steps[longest])))
            longest = i;
    }
    if (longest == steps.size() || turns.othersWork < othersPerTurn * clampWork(steps[longest].cpuSeconds))
        return steps.size();
    return longest;
}

void addStarts(StepTurns& turns, bool isTurn, double cpuSeconds)
{
    if (isTurn)
        turns = {};
    else
        turns.othersWork = std::min(turns.othersWork + clampWork(cpuSeconds), othersPerTurn * maxWorkPerTurn);
}

bool lapses(StepTurns& turns, const WaitingStep& step, Instant now)
{
    if (turns.number != step.number || turns.part != step.part) {
        turns.number = step.number;
        turns.part = step.part;
        turns.turnSince = now;
        return false;
    }
    if (now >= turns.turnSince && now - turns.turnSince < maxTurn)
        return false;
    turns.number = 0;
    return true;
}

} // namespace quay::fleet
