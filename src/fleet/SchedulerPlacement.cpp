#include "fleet/SchedulerState.h"

#include "quay/core/WorkerIndex.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <tuple>
#include <utility>

// Assigns waiting tasks to executors, and throttles tasks that use spare CPU.
namespace quay::fleet {

using namespace internal;

namespace {

constexpr auto placementInterval = 4ms; // combines a burst of events into one pass
// Interval of passes without an event, for steps that wait for a time: the next approval call or the end of
// an executor's backoff.
constexpr auto idlePlacementInterval = 100ms;
constexpr std::size_t stepsPerPass = 200; // bounds the duration of a pass when many steps find no capacity
// Executors that the searches of a pass look at. In a large cell of which few executors can be used, as after
// a takeover, a longer pass would hold up the commits and the heartbeats.
constexpr std::uint64_t maxExecutorsSearched = 300'000;
constexpr std::size_t extraCandidates = 32; // in addition to one per waiting task, because some can't be used
constexpr auto maxHeartbeatAge = 2500ms; // two heartbeats of a second each and their timeout
constexpr auto minTicketValidity = 150ms; // the time for a commit and a start
constexpr double urgentCapacityReserve = 0.06; // share of a service's CPU that only priority 0 may use
// Share of a team's upper limit that only priority 0 and long-running steps may use. Larger, because tasks of
// other priorities run ten times as long.
constexpr double urgentQuotaReserve = 0.12;
// Share of a service's executors, and of those with the same label, that overdue steps may reserve.
constexpr std::size_t reservableDivisor = 8;
// In a service that is under half used, a step is kept from reserved room for this long at most. The rest of
// the three seconds in which it has to start is for its approval, a commit and the start.
constexpr auto maxReservationWait = 1500ms;
constexpr auto roomCheckInterval = 100ms; // a check looks at all executors of a service in the worst case
constexpr auto minReportedHold = 1s; // shorter waits behind a reserve are not reported
constexpr auto holdReportInterval = 1s; // bounds the log

struct RankedStep {
    StepRank rank;
    std::size_t index; // of the step among those that wait
};

bool comesBefore(const RankedStep& a, const RankedStep& b) { return a.rank < b.rank; }

// Replaces the zeros of a limit, which mean "no limit", by values that are never reached.
Resources effectiveLimit(const Resources& limit)
{
    constexpr auto most = std::numeric_limits<std::int64_t>::max() / 2;
    return { limit.cpuMilli ? limit.cpuMilli : most, limit.memoryMb ? limit.memoryMb : most,
        limit.accelerators ? limit.accelerators : most };
}

// What a task takes of an executor's capacity: a task on spare CPU takes no CPU.
Resources executorDemand(const StepRequest& request)
{
    Resources demand = request.perTask;
    if (request.usesSpareCpu)
        demand.cpuMilli = 0;
    return demand;
}

// At least a quarter of the CPU demand of a task on spare CPU must be idle.
bool hasEnoughIdleCpu(const StepRequest& request, const Resources& used, const Resources& capacity)
{
    return !request.usesSpareCpu || used.cpuMilli + request.perTask.cpuMilli / 4 <= capacity.cpuMilli;
}

Resources lesser(const Resources& a, const Resources& b)
{
    return { std::min(a.cpuMilli, b.cpuMilli), std::min(a.memoryMb, b.memoryMb),
        std::min(a.accelerators, b.accelerators) };
}

// Returns whether one more executor of the group may be reserved.
bool isReservable(const ExecutorGroup& group)
{
    return group.reserved < std::max<std::size_t>(1, group.size / reservableDivisor);
}

} // namespace

std::unordered_map<IncarnationId, int> internal::tasksPerIncarnation(const StepState& step)
{
    std::unordered_map<IncarnationId, int> result;
    for (const auto& task : step.tasks) {
        if (task.phase == TaskPhase::Active)
            ++result[task.incarnation];
    }
    return result;
}

Resources FleetScheduler::Impl::demandOf(const StepRequest& request) const { return executorDemand(request); }

// Of a queue that was removed, the jobs keep the policy under which they were accepted, so that it is the
// same under each leader. Jobs of earlier releases have none stored; they keep the last one that this leader
// knows. Null: this leader has never known the queue.
const QueuePolicy* FleetScheduler::Impl::policyOf(const JobRequest& request) const
{
    if (const auto* queue = configuration.queueNamed(request.queue))
        return queue;
    if (request.acceptedPolicy)
        return &*request.acceptedPolicy;
    const auto last = lastPolicies.find(request.queue);
    return last == lastPolicies.end() ? nullptr : &last->second;
}

void FleetScheduler::Impl::lookUpPolicies(StepState& step) const
{
    step.queue = policyOf(step.job->request);
    step.team = configuration.teamNamed(step.job->request.team);
}

void FleetScheduler::Impl::place(Instant now, SchedulerActions& actions)
{
    if (!mayPlace())
        return;
    const bool isIdlePlacementDue = !readySteps.empty() && now >= nextPlacement + idlePlacementInterval;
    if ((!isPlacementDue && !isIdlePlacementDue) || now < nextPlacement)
        return;
    isPlacementDue = false;
    nextPlacement = now + placementInterval;
    std::vector<StepState*> steps;
    std::vector<WaitingStep> waiting;
    steps.reserve(readySteps.size());
    waiting.reserve(readySteps.size());
    for (auto* step : readySteps) {
        if (!step->queue)
            continue; // the queue was never configured
        steps.push_back(step);
        waiting.push_back(waitingStep(*step, now));
    }
    totals.agedSteps = 0;
    for (std::size_t i = 0; i < steps.size(); ++i) {
        if (waiting[i].waited < agedAfter)
            continue;
        ++totals.agedSteps;
        if (!mayFindRoom(*steps[i], true))
            waiting[i].waited = {}; // its turn would be of no use
    }
    const auto inTurn = stepInTurn(turns, waiting);
    std::vector<RankedStep> ranked; // those that may find room
    ranked.reserve(steps.size());
    for (std::size_t i = 0; i < steps.size(); ++i) {
        // A step without room must not use up the pass. During the pass room only becomes less.
        if (waiting[i].isOverdue || mayFindRoom(*steps[i], i == inTurn))
            ranked.push_back({ rankOf(waiting[i], i == inTurn), i });
    }
    const auto last = ranked.begin() + static_cast<std::ptrdiff_t>(std::min(stepsPerPass, ranked.size()));
    std::partial_sort(ranked.begin(), last, ranked.end(), comesBefore);
    const auto searchedUntil = totals.executorsSearched + maxExecutorsSearched;
    for (auto it = ranked.begin(); it != last && totals.executorsSearched < searchedUntil; ++it) {
        auto& step = *steps[it->index];
        const auto& known = waiting[it->index];
        const bool isTurn = it->index == inTurn;
        const int before = step.waiting;
        placeStep(step, known.isOverdue, isTurn, now, actions);
        if (step.waiting < before)
            addStarts(turns, isTurn, known.cpuSeconds * (before - step.waiting) / before);
        if (isTurn && (step.waiting < before || lapses(turns, known, now)))
            step.turnLapsedAt = now;
        if (known.isOverdue && step.waiting > 0)
            reserveExecutors(step, now);
    }
    if (now >= nextHoldReport) {
        nextHoldReport = now + holdReportInterval;
        std::sort(steps.begin(), steps.end(), [](const StepState* a, const StepState* b) {
            return std::tie(a->waitingSince, a->job->number, a->occurrence, a->number)
                < std::tie(b->waitingSince, b->job->number, b->occurrence, b->number);
        });
        const bool isReported = std::any_of(
            steps.begin(), steps.end(), [&](StepState* step) { return reportHold(*step, now); });
        if (!isReported)
            reportShare(steps, now);
    }
    for (IncarnationId number : reservedExecutors) {
        incarnations[number].reservedFor = nullptr;
        for (auto* group : incarnations[number].groups)
            group->reserved = 0;
    }
    reservedExecutors.clear();
}

WaitingStep FleetScheduler::Impl::waitingStep(StepState& step, Instant now) const
{
    const auto& job = *step.job;
    const auto& request = step.request();
    WaitingStep result;
    result.priority = step.queue->priority;
    result.isOverdue = isOverdue(step, now);
    result.isLongRunning = request.isLongRunning;
    result.isBeyondShare = job.isBeyondShare;
    result.objective = job.deadline - job.acceptedAt;
    result.age = now - job.acceptedAt;
    result.waited = now - std::max(step.waitingSince, step.turnLapsedAt);
    result.remaining = std::chrono::milliseconds(step.criticalPathMs);
    result.cpuSeconds = 1e-6 * step.waiting * static_cast<double>(request.perTask.cpuMilli)
        * static_cast<double>(step.criticalPathMs);
    result.number = job.number;
    result.part = static_cast<std::uint64_t>(step.occurrence) * job.request.steps.size()
        + static_cast<std::uint64_t>(step.number);
    return result;
}

// Returns whether a task of the step could start as far as its approvals, its team and its service go.
bool FleetScheduler::Impl::mayFindRoom(const StepState& step, bool isTurn) const
{
    if ((step.isApprovalInFlight && step.approvals.empty()) || !fitsQuota(step))
        return false;
    const auto found = pools.find(step.queue->service);
    return found != pools.end() && found->second.largestFreeCpu() >= demandOf(step.request()).cpuMilli
        && (isTurn || !isKeptForUrgentSteps(step, found->second));
}

// Reports a step that waits although there is room for it, because the room is reserved for other steps.
// Called at the end of a pass, while the reservations of executors stand. Returns whether there was a report.
bool FleetScheduler::Impl::reportHold(StepState& step, Instant now)
{
    const auto waited = now - step.waitingSince;
    if (step.waiting == 0 || waited < minReportedHold)
        return false;
    const auto demand = executorDemand(step.request());
    const auto reserved
        = std::find_if(reservedExecutors.begin(), reservedExecutors.end(), [&](IncarnationId number) {
              const auto& incarnation = incarnations[number];
              return isReservedForOther(step, incarnation) && isUsable(step, incarnation, now)
                  && demand.fitsIn(incarnation.entry.capacity - incarnation.used)
                  && !demand.fitsIn(roomFor(step, incarnation, now));
          });
    std::string why;
    if (!fitsQuota(step)) {
        const auto& charged = step.request().perTask;
        const auto found = teamUsage.find(step.job->request.team);
        const auto used = found == teamUsage.end() ? Resources() : found->second.total;
        if (step.request().isGang || !charged.fitsIn(effectiveLimit(step.team->upperLimit) - used))
            return false; // the limit itself
        why = "why=team_limit_reserve cpu_after=" + std::to_string(used.cpuMilli + charged.cpuMilli)
            + " cpu_limit=" + std::to_string(step.team->upperLimit.cpuMilli);
    } else if (reserved != reservedExecutors.end()) {
        const auto& executor = incarnations[*reserved];
        const auto& holder = *executor.reservedFor;
        why = "why=executor_reserved executor=" + executor.entry.id
            + " for=" + stepText(TaskRef { holder.job->request.id, holder.occurrence, holder.number, 0 })
            + " for_ms=" + std::to_string(toMilliseconds(now - holder.waitingSince));
    } else if (const auto pool = pools.find(step.queue->service); pool != pools.end() && !isOverdue(step, now)
               && demand.cpuMilli <= pool->second.largestFreeCpu()
               && isKeptForUrgentSteps(step, pool->second)) {
        why = "why=service_reserve free_cpu=" + std::to_string(pool->second.freeCpu())
            + " total_cpu=" + std::to_string(pool->second.all.total.cpuMilli);
    } else {
        return false;
    }
    addEvent("step_held", step.job->request.id,
        "step=" + stepText(TaskRef { step.job->request.id, step.occurrence, step.number, 0 })
            + " waited_ms=" + std::to_string(toMilliseconds(waited)) + " " + why);
    return true;
}

// Reports the first step that waits behind others of its priority because its job is beyond its team's share.
void FleetScheduler::Impl::reportShare(const std::vector<StepState*>& steps, Instant now)
{
    std::map<int, int> within; // waiting steps by priority
    for (const auto* step : steps)
        within[step->queue->priority] += step->job->isBeyondShare ? 0 : 1;
    const auto held = std::find_if(steps.begin(), steps.end(), [&](const StepState* step) {
        return step->job->isBeyondShare && now - step->waitingSince >= minReportedHold
            && within[step->queue->priority] > 0;
    });
    if (held == steps.end())
        return;
    const auto& step = **held;
    addEvent("step_held", step.job->request.id,
        "step=" + stepText(TaskRef { step.job->request.id, step.occurrence, step.number, 0 }) + " waited_ms="
            + std::to_string(toMilliseconds(now - step.waitingSince)) + " why=team_share team="
            + step.job->request.team + " ahead=" + std::to_string(within[step.queue->priority]));
}

bool FleetScheduler::Impl::isOverdue(StepState& step, Instant now) const
{
    if (!step.request().isLongRunning || step.waiting == 0 || now - step.waitingSince < overdueAfter)
        return false;
    if (now >= step.nextRoomCheck) {
        step.nextRoomCheck = now + roomCheckInterval;
        step.hasPossibleRoom = canServiceGetRoom(step);
    }
    return step.hasPossibleRoom;
}

// In a full service, shorter tasks of other steps would take each part of an executor that becomes free, so a
// large task of an overdue step would never find room. Until the end of the pass the room for its waiting
// tasks is reserved on the executors that are closest to having it, and other steps get what is left beside
// it. Long-running tasks that are active don't end in the foreseeable future, so where they leave too little
// room, none is reserved.
void FleetScheduler::Impl::reserveExecutors(StepState& step, Instant now)
{
    const auto& request = step.request();
    if (!fitsQuota(step))
        return;
    const auto found = pools.find(step.queue->service);
    if (found == pools.end())
        return;
    const auto& pool = found->second;
    const auto demand = executorDemand(request);
    const auto tasksByIncarnation
        = request.maxPerExecutor > 0 ? tasksPerIncarnation(step) : std::unordered_map<IncarnationId, int>();
    std::int64_t missing = step.waiting;
    for (auto it = pool.byFreeCpu.rbegin();
         it != pool.byFreeCpu.rend() && missing > 0 && isReservable(pool.all); ++it) {
        auto& incarnation = incarnations[it->second];
        const auto here = tasksByIncarnation.find(incarnation.number);
        const int running = here == tasksByIncarnation.end() ? 0 : here->second;
        if ((step.queue->approval && !step.isApproved(incarnation.number)) || !canGetRoom(step, incarnation)
            || !isUsable(step, incarnation, now) || incarnation.reservedFor
            || (request.maxPerExecutor > 0 && running >= request.maxPerExecutor)
            || !std::all_of(incarnation.groups.begin(), incarnation.groups.end(),
                [](const auto* group) { return isReservable(*group); }))
            continue;
        auto unreserved = incarnation.entry.capacity - incarnation.usedByOpenEndedRuns;
        auto places = std::min<std::int64_t>(missing, fitCount(demand, unreserved));
        if (request.maxPerExecutor > 0)
            places = std::min<std::int64_t>(places, request.maxPerExecutor - running);
        missing -= places;
        unreserved -= demand * places;
        // Tasks that were placed beside the reservation may outlast those whose room it waits for.
        for (const auto& [key, run] : incarnation.runs) {
            if (!run.isOpenEnded && run.placedAt >= step.waitingSince + overdueAfter)
                unreserved -= run.demand;
        }
        incarnation.reservedFor = &step;
        incarnation.unreserved = atLeastZero(unreserved);
        reservedExecutors.push_back(incarnation.number);
        for (auto* group : incarnation.groups)
            ++group->reserved;
    }
}

// Returns whether the step will find room once all active tasks have ended that end by themselves: for one of
// its tasks, or for all members of a gang.
bool FleetScheduler::Impl::canServiceGetRoom(const StepState& step) const
{
    const auto pool = step.queue ? pools.find(step.queue->service) : pools.end();
    if (pool == pools.end())
        return false;
    const auto& request = step.request();
    const auto demand = executorDemand(request);
    std::int64_t missing = request.isGang ? request.taskCount : 1;
    const auto& byFreeCpu = pool->second.byFreeCpu;
    for (auto it = byFreeCpu.rbegin(); it != byFreeCpu.rend() && missing > 0; ++it) {
        const auto& incarnation = incarnations[it->second];
        if (!isEligible(step, incarnation) || !canGetRoom(step, incarnation))
            continue;
        const std::int64_t places
            = fitCount(demand, incarnation.entry.capacity - incarnation.usedByOpenEndedRuns);
        missing
            -= request.maxPerExecutor > 0 ? std::min<std::int64_t>(places, request.maxPerExecutor) : places;
    }
    return missing <= 0;
}

// Returns whether the executor would have room for a task of the step once all active tasks have ended that
// end by themselves.
bool FleetScheduler::Impl::canGetRoom(const StepState& step, const Incarnation& incarnation) const
{
    const auto& request = step.request();
    const auto& capacity = incarnation.entry.capacity;
    return executorDemand(request).fitsIn(capacity - incarnation.usedByOpenEndedRuns)
        && hasEnoughIdleCpu(request, incarnation.usedByOpenEndedRuns, capacity);
}

// Returns whether a task of the step, or all members of a gang, may start under the upper limit of its team.
bool FleetScheduler::Impl::fitsQuota(const StepState& step) const
{
    if (!step.team)
        return true;
    const auto& request = step.request();
    const bool mayUseReserve = step.queue->priority == 0 || request.isLongRunning || request.isGang;
    const double count = request.isGang ? request.taskCount : 1;
    // In floating point, because a caller may demand any amount.
    const auto fits = [&](double perTask, double used, double openEnded, double limit) {
        if (limit == 0)
            return true;
        const double demand = count * perTask;
        const double unreserved = (1 - urgentQuotaReserve) * limit;
        // The reserve can't be kept from a task that is too large for the rest of the limit beside the team's
        // long-running tasks: it would never start. Below half of the limit nothing needs the reserve.
        const bool isReserveOpen = mayUseReserve || used <= limit / 2 || openEnded + demand > unreserved;
        return used + demand <= (isReserveOpen ? limit : unreserved);
    };
    const auto found = teamUsage.find(step.team->name);
    const auto& [used, openEnded] = found == teamUsage.end() ? TeamUsage() : found->second;
    const auto& limit = step.team->upperLimit;
    const auto& each = request.perTask;
    const auto amount = [](std::int64_t value) { return static_cast<double>(value); };
    return fits(amount(each.cpuMilli), amount(used.cpuMilli), amount(openEnded.cpuMilli),
               amount(limit.cpuMilli))
        && fits(
            amount(each.memoryMb), amount(used.memoryMb), amount(openEnded.memoryMb), amount(limit.memoryMb))
        && fits(amount(each.accelerators), amount(used.accelerators), amount(openEnded.accelerators),
            amount(limit.accelerators));
}

// Returns whether the CPU that is free for the step is reserved for urgent ones. It can't be kept from a step
// that would find no other room beside long-running tasks, nor on executors with a label that have more free
// than the whole service.
bool FleetScheduler::Impl::isKeptForUrgentSteps(const StepState& step, const ServicePool& pool) const
{
    if (step.queue->priority == 0)
        return false;
    const auto& request = step.request();
    const auto isKept = [&](const ExecutorGroup& group) {
        const auto total = static_cast<double>(group.total.cpuMilli);
        const auto most = (1 - urgentCapacityReserve) * total;
        return static_cast<double>(group.used.cpuMilli) > most
            && static_cast<double>(group.usedByOpenEndedRuns.cpuMilli)
                + static_cast<double>(executorDemand(request).cpuMilli)
            <= most;
    };
    const auto labelled = pool.byLabel.find(request.requiredLabel);
    return isKept(pool.all) && (labelled == pool.byLabel.end() || isKept(labelled->second));
}

bool FleetScheduler::Impl::isReservedForOther(const StepState& step, const Incarnation& incarnation) const
{
    return incarnation.reservedFor && incarnation.reservedFor != &step;
}

// Returns what tasks of the step may take of the executor: what is free and not reserved for another step.
Resources FleetScheduler::Impl::roomFor(
    const StepState& step, const Incarnation& incarnation, Instant now) const
{
    const auto room = incarnation.entry.capacity - incarnation.used;
    const bool ignoresReservation = !isReservedForOther(step, incarnation)
        || (incarnation.pool->isUnderHalfUsed() && now - step.waitingSince >= maxReservationWait);
    return ignoresReservation ? room : lesser(room, incarnation.unreserved);
}

// Returns whether the executor is one of those that the step may use, whatever its present state.
bool FleetScheduler::Impl::isEligible(const StepState& step, const Incarnation& incarnation) const
{
    if (!incarnation.isRegistered || incarnation.entry.isDraining || isEmptied(incarnation)
        || incarnation.entry.service != step.queue->service)
        return false;
    const auto& label = step.request().requiredLabel;
    const auto& labels = incarnation.entry.labels;
    return label.empty() || std::find(labels.begin(), labels.end(), label) != labels.end();
}

// Returns whether tasks of the step may be placed on the executor, apart from its capacity, reservations and
// maxPerExecutor.
bool FleetScheduler::Impl::isUsable(const StepState& step, const Incarnation& incarnation, Instant now) const
{
    return !incarnation.isUnresponsive && isEligible(step, incarnation) && now >= incarnation.backoffUntil
        && now - incarnation.lastAnswer <= maxHeartbeatAge && incarnation.predecessor < 0
        && !incarnation.hasUncountedRuns && now >= incarnation.staleAcknowledgementUntil;
}

// Returns whether a task of the step may be placed on the executor now, apart from maxPerExecutor.
bool FleetScheduler::Impl::isCandidate(
    const StepState& step, const Incarnation& incarnation, const Resources& demand, Instant now) const
{
    return isUsable(step, incarnation, now) && startsLeft(incarnation, now) > 0
        && demand.fitsIn(roomFor(step, incarnation, now))
        && hasEnoughIdleCpu(step.request(), incarnation.used, incarnation.entry.capacity);
}

// Executors of the service with capacity for a task of the step. The search starts with the preferred speed
// and there with the least free CPU, and stops once the step has enough candidates, unless their location
// matters.
std::vector<IncarnationId> FleetScheduler::Impl::candidates(
    const StepState& step, const SpeedPreference& speeds, Instant now) const
{
    const auto& request = step.request();
    const auto pool = pools.find(step.queue->service);
    if (pool == pools.end())
        return {};
    const auto demand = executorDemand(request);
    const bool isPlaceImportant = request.isGang || !request.dataRack.empty();
    const auto enough = static_cast<std::size_t>(step.waiting) + extraCandidates;
    const auto tasksByIncarnation
        = request.maxPerExecutor > 0 ? tasksPerIncarnation(step) : std::unordered_map<IncarnationId, int>();
    std::vector<IncarnationId> result;
    const auto search = [&](const std::set<std::pair<std::int64_t, IncarnationId>>& byFreeCpu) {
        for (auto it = byFreeCpu.lower_bound({ demand.cpuMilli, -1 }); it != byFreeCpu.end(); ++it) {
            if (!isPlaceImportant && result.size() >= enough)
                break;
            const auto& incarnation = incarnations[it->second];
            const auto here = tasksByIncarnation.find(incarnation.number);
            const bool isFull = here != tasksByIncarnation.end() && here->second >= request.maxPerExecutor;
            if (!isFull && isCandidate(step, incarnation, demand, now))
                result.push_back(incarnation.number);
        }
    };
    const auto& bySpeed = pool->second.bySpeed;
    if (speeds.isNeutral || bySpeed.empty()) {
        search(pool->second.byFreeCpu);
    } else {
        for (int speedClass : speeds.order(bySpeed.begin()->first, bySpeed.rbegin()->first)) {
            if (const auto found = bySpeed.find(speedClass); found != bySpeed.end())
                search(found->second);
        }
    }
    std::sort(result.begin(), result.end());
    return result;
}

// Like candidates(), but only executors for which the step has a valid ticket.
std::vector<IncarnationId> FleetScheduler::Impl::approvedCandidates(const StepState& step, Instant now) const
{
    const auto& request = step.request();
    const auto demand = executorDemand(request);
    const auto tasksByIncarnation
        = request.maxPerExecutor > 0 ? tasksPerIncarnation(step) : std::unordered_map<IncarnationId, int>();
    std::vector<IncarnationId> result;
    for (const auto& [number, approval] : step.approvals) {
        const auto here = tasksByIncarnation.find(number);
        const bool isFull = here != tasksByIncarnation.end() && here->second >= request.maxPerExecutor;
        if (approval.isApproved && approval.ticketUntil >= now + minTicketValidity && !isFull
            && isCandidate(step, incarnations[number], demand, now))
            result.push_back(number);
    }
    std::sort(result.begin(), result.end());
    return result;
}

// Returns the best executor for a task, or -1. In descending weight: not where the task failed last, on the
// rack of its data, few other tasks of a long-running step, few recent failures, least CPU left over (best
// fit). Its speed weighs as SpeedPreference says.
// The tasks of a job that ends share a failure domain, so that one that is cut off or lost delays the jobs in
// it and not nearly all. Long-running steps are spread: each of their tasks counts by itself. Gangs and tasks
// with accelerators go where they fit best in the whole service: a gang needs room for all members at the
// same time, large tasks need executors of which nothing is used.
std::optional<std::size_t> FleetScheduler::Impl::preferredDomain(const StepState& step) const
{
    if (step.request().isLongRunning || step.request().isGang || step.request().perTask.accelerators > 0
        || domains.empty())
        return std::nullopt;
    return domainOutsideEvacuations(std::hash<std::string>()(step.job->request.id));
}

int FleetScheduler::Impl::pickExecutor(const StepState& step, const TaskState& task,
    const std::vector<IncarnationId>& from, const std::unordered_map<IncarnationId, int>& perIncarnation,
    const SpeedPreference& speeds, Instant now) const
{
    const auto& request = step.request();
    const auto demand = executorDemand(request);
    const auto preferred = preferredDomain(step);
    int best = -1;
    double bestScore = 0;
    for (IncarnationId number : from) {
        const auto& incarnation = incarnations[number];
        if (startsLeft(incarnation, now) == 0 || !demand.fitsIn(roomFor(step, incarnation, now))
            || isKeptApart(task, incarnation, now))
            continue;
        auto it = perIncarnation.find(number);
        const int tasksOnExecutor = it == perIncarnation.end() ? 0 : it->second;
        if (request.maxPerExecutor > 0 && tasksOnExecutor >= request.maxPerExecutor)
            continue;
        const auto left = incarnation.entry.capacity - incarnation.used - demand;
        double score = static_cast<double>(left.cpuMilli) / 1000.0 + speeds.penalty(incarnation.speedClass);
        if (number == task.lastFailedOn)
            score += 10'000;
        if (!request.dataRack.empty() && incarnation.rack != request.dataRack)
            score += 1'000;
        if (preferred && incarnation.domain != *preferred)
            score += otherDomainPenalty;
        if (request.isLongRunning)
            score
                += 100.0 * tasksOnExecutor; // limits how many tasks of the step the loss of one executor ends
        if (incarnation.consecutiveFailures > 0)
            score += 50.0 * incarnation.consecutiveFailures;
        if (best < 0 || score < bestScore) {
            best = number;
            bestScore = score;
        }
    }
    return best;
}

void FleetScheduler::Impl::assign(
    StepState& step, int index, IncarnationId number, int runNumber, Instant now)
{
    auto& incarnation = incarnations[number];
    auto& task = step.tasks[index];
    Run run;
    run.demand = demandOf(step.request());
    run.charged = step.request().perTask;
    run.isOpenEnded = step.request().isLongRunning;
    run.placedAt = run.nextSend = now;
    if (auto it = step.approvals.find(number); it != step.approvals.end()) {
        run.ticket = it->second.ticket;
        run.ticketUntil = it->second.ticketUntil;
    }
    incarnation.addUsage(run);
    if (isReservedForOther(step, incarnation))
        incarnation.unreserved = atLeastZero(incarnation.unreserved - run.demand);
    updatePool(incarnation);
    teamUsage[step.job->request.team].add(run);
    if (task.run == 0)
        times.placementWait.push_back(now - step.readySince);
    task.run = runNumber;
    task.phase = TaskPhase::Active;
    task.incarnation = number;
    --step.waiting;
    ++step.active;
    incarnation.runs.emplace(RunKey { step.job, step.occurrence, step.number, index, runNumber }, run);
    if (step.waiting == 0)
        readySteps.erase(&step);
    if (step.job->phase == JobPhase::Queued)
        step.job->phase = JobPhase::Running;
    markDirty(*step.job);
}

// Places all members of a gang or none; on one rack if the gang prefers that and a rack has enough capacity.
bool FleetScheduler::Impl::placeGang(StepState& step, const std::vector<IncarnationId>& from, Instant now)
{
    if (step.active > 0 || step.waiting != static_cast<int>(step.tasks.size()) || hasStrayRun(step, 0))
        return false; // a member of a previous run is still active
    const auto& request = step.request();
    const auto demand = executorDemand(request);
    const auto chooseExecutors = [&](const std::string& rack) {
        std::vector<IncarnationId> chosen;
        for (IncarnationId number : from) {
            const auto& incarnation = incarnations[number];
            if (!rack.empty() && incarnation.rack != rack)
                continue;
            auto room = roomFor(step, incarnation, now);
            int here = 0;
            auto starts = startsLeft(incarnation, now);
            while (starts-- > 0 && chosen.size() < step.tasks.size() && demand.fitsIn(room)
                && (request.maxPerExecutor == 0 || here < request.maxPerExecutor)) {
                room -= demand;
                ++here;
                chosen.push_back(number);
            }
        }
        return chosen;
    };
    std::vector<IncarnationId> chosen;
    if (request.prefersSingleRack) {
        std::set<std::string> racks;
        for (IncarnationId number : from)
            racks.insert(incarnations[number].rack);
        for (const auto& rack : racks) {
            chosen = chooseExecutors(rack);
            if (chosen.size() == step.tasks.size())
                break;
        }
    }
    if (chosen.size() < step.tasks.size())
        chosen = chooseExecutors({});
    if (chosen.size() < step.tasks.size())
        return false;
    int run = 0;
    for (const auto& task : step.tasks)
        run = std::max(run, task.run);
    for (std::size_t i = 0; i < step.tasks.size(); ++i)
        assign(step, static_cast<int>(i), chosen[i], run + 1, now);
    return true;
}

void FleetScheduler::Impl::placeStep(
    StepState& step, bool overdue, bool isTurn, Instant now, SchedulerActions& actions)
{
    const auto& request = step.request();
    if (!fitsQuota(step))
        return;
    const auto found = pools.find(step.queue->service);
    if (found == pools.end() || (!overdue && found->second.largestFreeCpu() < demandOf(request).cpuMilli))
        return;
    const auto& pool = found->second;
    if (!overdue && !isTurn && isKeptForUrgentSteps(step, pool))
        return;
    const bool needsApproval = step.queue->approval.has_value();
    const auto speeds = speedPreferenceOf(step, now);
    const auto from = needsApproval ? approvedCandidates(step, now) : candidates(step, speeds, now);
    if (!needsApproval)
        totals.executorsSearched
            += from.size() < static_cast<std::size_t>(step.waiting) ? pool.all.size : from.size();
    if (request.isGang) {
        if (!placeGang(step, from, now) && step.active == 0 && needsApproval)
            requestApproval(step, overdue, speeds, now, actions);
        return;
    }
    std::unordered_map<IncarnationId, int> perIncarnation;
    if (request.maxPerExecutor > 0 || request.isLongRunning)
        perIncarnation = tasksPerIncarnation(step);
    for (std::size_t i = 0; i < step.tasks.size() && step.waiting > 0; ++i) {
        auto& task = step.tasks[i];
        if (task.phase != TaskPhase::Waiting || hasStrayRun(step, static_cast<int>(i)))
            continue;
        if (!fitsQuota(step))
            return;
        const int incarnation = pickExecutor(step, task, from, perIncarnation, speeds, now);
        if (incarnation < 0 && task.crashes > 0)
            continue; // others of the step are not kept apart
        if (incarnation < 0)
            break;
        ++perIncarnation[incarnation];
        assign(step, static_cast<int>(i), incarnation, task.run + 1, now);
    }
    if (step.waiting > 0 && needsApproval)
        requestApproval(step, overdue, speeds, now, actions);
}

// Tasks on spare CPU slow down the tasks that serve requests on the same executor. They are throttled at once
// when a task comes near its tail latency target, and sped up in steps when all are well below it.
void FleetScheduler::Impl::updateThrottling(Incarnation& incarnation, const ExecutorReport& report)
{
    double worstLatencyRatio = 0; // tail latency relative to its target
    bool hasSpareCpuTask = false;
    for (const auto& it : report.running) {
        const auto key = keyOf(it.task, it.run);
        if (!key || incarnation.runs.count(*key) == 0)
            continue;
        const auto& request = key->job->request.steps[key->step];
        if (request.isLongRunning && request.tailLatencyTargetMs > 0)
            worstLatencyRatio = std::max(worstLatencyRatio,
                static_cast<double>(it.recentLoad) / static_cast<double>(request.tailLatencyTargetMs));
        hasSpareCpuTask = hasSpareCpuTask || request.usesSpareCpu;
    }
    if (!hasSpareCpuTask)
        return;
    for (auto& [key, run] : incarnation.runs) {
        if (!key.job->request.steps[key.step].usesSpareCpu || run.phase != RunPhase::Running)
            continue;
        if (worstLatencyRatio > 1.0)
            run.targetPercent = 0;
        else if (worstLatencyRatio > 0.8)
            run.targetPercent = std::min(run.targetPercent, 30);
        else if (worstLatencyRatio < 0.6)
            run.targetPercent = std::min(100, run.targetPercent + 15);
        if (run.targetPercent != run.percent)
            throttlesDue.insert(incarnation.number);
    }
}

void FleetScheduler::Impl::sendThrottles(SchedulerActions& actions)
{
    for (IncarnationId number : std::exchange(throttlesDue, {})) {
        auto& incarnation = incarnations[number];
        if (incarnation.isClosed || incarnation.isUnresponsive)
            continue;
        for (auto& [key, run] : incarnation.runs) {
            if (run.phase != RunPhase::Running || run.isThrottleInFlight || run.percent == run.targetPercent)
                continue;
            run.isThrottleInFlight = true;
            run.throttleEpoch = epochOf(incarnation);
            actions.throttles.push_back({ number, incarnation.entry.address, incarnation.entry.id,
                taskRefOf(key), key.run, run.targetPercent, run.throttleEpoch });
        }
    }
}

} // namespace quay::fleet
