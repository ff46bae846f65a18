#include "quay/core/Preemption.h"

#include <algorithm>
#include <tuple>
#include <unordered_map>

namespace quay {

namespace {

Resources shortfallOf(const Resources& need, const Resources& room) { return atLeastZero(need - room); }

bool isAllowed(const PreemptionCandidate& task, PreemptionStep step)
{
    if (task.kind == JobKind::Gang)
        return false;
    if (step == PreemptionStep::Throttle)
        return task.throttledCpuMilli < task.size.cpuMilli;
    if (task.kind == JobKind::Service)
        return false;
    return step == PreemptionStep::Checkpoint ? task.canCheckpoint : task.idempotent;
}

PreemptionAction actionFor(const PreemptionCandidate& task, PreemptionStep step)
{
    PreemptionAction action { task.task, task.worker, step, task.size, 0 };
    if (step == PreemptionStep::Throttle)
        action.freed = { task.size.cpuMilli - task.throttledCpuMilli, 0, 0 };
    if (step == PreemptionStep::Stop)
        action.lostWorkMs = task.workSinceCheckpointMs;
    return action;
}

// True if the action frees a resource that is still short.
bool reducesShortfall(const PreemptionAction& action, const Resources& shortfall)
{
    return (shortfall.cpuMilli > 0 && action.freed.cpuMilli > 0)
        || (shortfall.memoryMb > 0 && action.freed.memoryMb > 0)
        || (shortfall.accelerators > 0 && action.freed.accelerators > 0);
}

std::vector<PreemptionAction> candidates(
    const std::vector<const PreemptionCandidate*>& tasks, PreemptionStep mostDisruptive)
{
    std::vector<PreemptionAction> actions;
    for (const auto* task : tasks) {
        // All steps of a task are candidates: a more disruptive one frees more and may replace an earlier
        // one.
        for (int step = 0; step <= static_cast<int>(mostDisruptive); ++step) {
            if (isAllowed(*task, static_cast<PreemptionStep>(step)))
                actions.push_back(actionFor(*task, static_cast<PreemptionStep>(step)));
        }
    }
    std::sort(actions.begin(), actions.end(), [](const auto& a, const auto& b) {
        return std::tie(a.step, a.lostWorkMs, b.freed.cpuMilli, a.task.text)
            < std::tie(b.step, b.lostWorkMs, a.freed.cpuMilli, b.task.text);
    });
    return actions;
}

Resources freedBy(const std::vector<PreemptionAction>& actions)
{
    Resources sum;
    for (const auto& action : actions)
        sum += action.freed;
    return sum;
}

// Removes actions that are unnecessary given the others, the most disruptive first.
void removeRedundantActions(
    std::vector<PreemptionAction>& actions, const Resources& need, const Resources& room)
{
    for (std::size_t i = actions.size(); i-- > 0;) {
        if (need.fitsIn(room + freedBy(actions) - actions[i].freed))
            actions.erase(actions.begin() + static_cast<std::ptrdiff_t>(i));
    }
}

std::optional<PreemptionPlan> planForWorker(const Resources& need, const Resources& room,
    const std::vector<const PreemptionCandidate*>& tasks, PreemptionStep mostDisruptive)
{
    PreemptionPlan plan;
    for (const auto& action : candidates(tasks, mostDisruptive)) {
        if (need.fitsIn(room + freedBy(plan.actions)))
            break;
        const auto sameTask = std::find_if(plan.actions.begin(), plan.actions.end(),
            [&](const auto& chosen) { return chosen.task == action.task; });
        const auto chosenFreed
            = freedBy(plan.actions) - (sameTask == plan.actions.end() ? Resources {} : sameTask->freed);
        if (sameTask != plan.actions.end() && sameTask->freed == action.freed)
            continue; // stopping frees no more than the checkpoint that is already planned
        if (!reducesShortfall(action, shortfallOf(need, room + chosenFreed)))
            continue;
        if (sameTask != plan.actions.end())
            plan.actions.erase(sameTask);
        plan.actions.push_back(action);
    }
    if (!need.fitsIn(room + freedBy(plan.actions)))
        return std::nullopt;
    removeRedundantActions(plan.actions, need, room);
    return plan;
}

std::optional<PreemptionPlan> leastDisruptivePlan(
    const Resources& need, const Resources& room, const std::vector<const PreemptionCandidate*>& tasks)
{
    for (const auto step : { PreemptionStep::Throttle, PreemptionStep::Checkpoint, PreemptionStep::Stop }) {
        if (auto plan = planForWorker(need, room, tasks, step))
            return plan;
    }
    return std::nullopt;
}

bool isLessDisruptive(const PreemptionPlan& a, const PreemptionPlan& b)
{
    return std::tuple(a.mostDisruptiveStep(), a.lostWorkMs(), a.actions.size())
        < std::tuple(b.mostDisruptiveStep(), b.lostWorkMs(), b.actions.size());
}

} // namespace

PreemptionStep PreemptionPlan::mostDisruptiveStep() const
{
    auto mostDisruptive = PreemptionStep::Throttle;
    for (const auto& action : actions)
        mostDisruptive = std::max(mostDisruptive, action.step);
    return mostDisruptive;
}

std::int64_t PreemptionPlan::lostWorkMs() const
{
    std::int64_t sum = 0;
    for (const auto& action : actions)
        sum += action.lostWorkMs;
    return sum;
}

std::optional<PreemptionPlan> choosePreemption(const Resources& need, const std::vector<ServerId>& workers,
    const std::vector<Resources>& freeOf, const std::vector<PreemptionCandidate>& running)
{
    std::unordered_map<ServerId, std::vector<const PreemptionCandidate*>> tasksOf;
    for (const auto& task : running)
        tasksOf[task.worker].push_back(&task);
    std::optional<PreemptionPlan> best;
    for (std::size_t i = 0; i < workers.size(); ++i) {
        auto plan = leastDisruptivePlan(need, freeOf[i], tasksOf[workers[i]]);
        if (plan && (!best || isLessDisruptive(*plan, *best)))
            best = std::move(plan);
    }
    return best;
}

} // namespace quay
