#include "fleet/SchedulerState.h"

#include <algorithm>
#include <utility>

// Decides when to call the approval service for a step and about which executors, and applies its answers.
namespace quay::fleet {

using namespace internal;

namespace {

constexpr std::size_t maxApprovalBatchSize = 30; // a job's latency objective allows for a call of this size
// Applies after a failed call, and to a step whose approved executors have no capacity.
constexpr auto approvalRetryDelay = 250ms;
constexpr int maxTicketRetryDoublings = 5; // of approvalRetryDelay, for tickets that are refused each time
// Longer calls count as long: an urgent step that waits behind one would miss its objective.
constexpr double longCallMs = 120;
// Bounds the CPU demand of the steps with calls in flight, relative to the free CPU. Above 1 because not all
// of their tasks will fit.
constexpr double maxApprovalOvercommit = 1.5;
// Limits of the calls in flight per caller, as the sum of their expected durations. They allow calls to be
// queued, so that a caller always has a next one.
constexpr double longCallBacklogMs = 700;
constexpr double shortCallBacklogMs = 60; // two short calls
// A step that already has decisions makes another long call only if at least minTasksPerRepeatedCall tasks
// could start, or if maxApprovalPostponement has passed since its last call.
constexpr int minTasksPerRepeatedCall = 4;
constexpr auto maxApprovalPostponement = 1500ms;

// Delays the next call for a ticket exponentially while tickets are refused.
void delayRenewal(ExecutorApproval& approval, Instant now)
{
    approval.renewFrom
        = now + approvalRetryDelay * (1 << std::min(approval.ticketRefusals, maxTicketRetryDoublings));
    ++approval.ticketRefusals;
}

} // namespace

// Returns whether a caller has few enough calls queued for another one of this duration. A third of the
// callers is reserved for short calls, as in ApprovalBroker.
bool FleetScheduler::Impl::hasCallerCapacityForApproval(double expectedMs) const
{
    const int reserved = approvalCallerCount > 1 ? std::max(1, approvalCallerCount / 3) : 0;
    if (expectedMs > longCallMs)
        return longApprovalsInFlightMs < (approvalCallerCount - reserved) * longCallBacklogMs;
    return approvalsInFlightMs - longApprovalsInFlightMs < approvalCallerCount * shortCallBacklogMs;
}

// Overdue steps don't wait for a free caller behind the calls of other steps: each caller takes one of them
// on top of its backlog.
bool FleetScheduler::Impl::hasCallerCapacityForOverdueStep() const
{
    return overdueApprovalsInFlight < approvalCallerCount;
}

// Approvals for more tasks than the executors have capacity for would be wasted: their tickets expire unused.
bool FleetScheduler::Impl::hasExecutorCapacityForApproval(const StepState& step) const
{
    const auto& pool = pools.at(step.queue->service);
    return static_cast<double>(pool.awaitingApprovalCpu + demandOf(step.request()).cpuMilli)
        <= maxApprovalOvercommit * static_cast<double>(pool.freeCpu());
}

void FleetScheduler::setApprovalCallers(int count)
{
    if (count > m_impl->approvalCallerCount)
        m_impl->isPlacementDue = true;
    m_impl->approvalCallerCount = std::max(1, count);
}

void FleetScheduler::Impl::requestApproval(
    StepState& step, bool overdue, const SpeedPreference& speeds, Instant now, SchedulerActions& actions)
{
    const auto& policy = *step.queue->approval;
    if (step.isApprovalInFlight || now < step.nextApprovalCall
        || !(overdue
                ? hasCallerCapacityForOverdueStep()
                : hasCallerCapacityForApproval(policy.decisionMs) && hasExecutorCapacityForApproval(step)))
        return; // retried when a call in flight is answered or capacity becomes free
    const auto demand = demandOf(step.request());
    const auto tasksByIncarnation = step.request().maxPerExecutor > 0
        ? tasksPerIncarnation(step)
        : std::unordered_map<IncarnationId, int>();
    const auto isBelowLimit = [&](IncarnationId number) {
        const auto here = tasksByIncarnation.find(number);
        return here == tasksByIncarnation.end() || here->second < step.request().maxPerExecutor;
    };
    const auto hasRoom = [&](IncarnationId number) {
        return isBelowLimit(number) && isCandidate(step, incarnations[number], demand, now);
    };
    // Before an overdue step has room, it asks about the executors on which it could be reserved some.
    const auto mayGetRoom = [&](IncarnationId number) {
        const auto& incarnation = incarnations[number];
        return overdue && isBelowLimit(number) && isUsable(step, incarnation, now)
            && !isReservedForOther(step, incarnation) && canGetRoom(step, incarnation);
    };
    // An approval is final and only its ticket expires, so approved executors come first to have their
    // tickets renewed. Then come undecided ones, by the speed that suits the step and those of the job's
    // failure domain before others, and of each those with the most free CPU first.
    std::vector<IncarnationId> chosen;
    std::vector<IncarnationId> full; // approved, and usable once there is room
    const Duration callDuration(static_cast<Duration::rep>(
        policy.decisionMs + policy.perWorkerMs * static_cast<double>(maxApprovalBatchSize)));
    for (const auto& [number, approval] : step.approvals) {
        if (!approval.isApproved || now < approval.renewFrom)
            continue;
        // The members of a gang need valid tickets at the same time, for which several calls may be
        // necessary. So a ticket that will still be valid after this call and the next is not renewed by it.
        if (approval.ticketUntil >= now + 2 * callDuration)
            continue;
        if (hasRoom(number))
            chosen.push_back(number);
        else if (mayGetRoom(number))
            full.push_back(number);
    }
    const auto hasMoreRoom = [&](IncarnationId a, IncarnationId b) {
        return std::pair(incarnations[a].pooledFreeCpu(), a) > std::pair(incarnations[b].pooledFreeCpu(), b);
    };
    std::sort(chosen.begin(), chosen.end(), hasMoreRoom);
    if (chosen.size() > maxApprovalBatchSize)
        chosen.resize(maxApprovalBatchSize);
    auto& pool = pools.at(step.queue->service);
    if (chosen.size() < static_cast<std::size_t>(step.waiting)) {
        // Room may be reserved on the full ones, but only others may ever have any.
        std::sort(full.begin(), full.end(), hasMoreRoom);
        full.resize(std::min(full.size(), maxApprovalBatchSize / 3));
        const auto preferred = preferredDomain(step);
        const auto isClaimed = [&](std::int64_t freeCpu, const Incarnation& incarnation) {
            return !overdue && freeCpu - incarnation.claimedCpu < demand.cpuMilli;
        };
        using ByFreeCpu = std::set<std::pair<std::int64_t, IncarnationId>>;
        const auto addUndecidedOf = [&](const ByFreeCpu& byFreeCpu, bool inPreferredDomain, bool claimed) {
            for (auto it = byFreeCpu.rbegin();
                 it != byFreeCpu.rend() && (overdue || it->first >= demand.cpuMilli)
                 && chosen.size() + full.size() < maxApprovalBatchSize;
                 ++it) {
                const auto& incarnation = incarnations[it->second];
                ++totals.executorsSearched;
                if (incarnation
                        .isUnresponsive) // tells most of them apart after a takeover, at the least cost
                    continue;
                if ((!preferred || incarnation.domain == *preferred) != inPreferredDomain
                    || isClaimed(it->first, incarnation) != claimed)
                    continue;
                if (!step.approvals.count(it->second) && (hasRoom(it->second) || mayGetRoom(it->second)))
                    chosen.push_back(it->second);
            }
        };
        struct Part {
            double penalty;
            const ByFreeCpu* byFreeCpu;
            bool inPreferredDomain;
        };
        std::vector<Part> parts;
        const auto addParts = [&](double penalty, const ByFreeCpu& byFreeCpu) {
            parts.push_back({ penalty, &byFreeCpu, true });
            if (preferred)
                parts.push_back({ penalty + otherDomainPenalty, &byFreeCpu, false });
        };
        if (speeds.isNeutral) {
            addParts(0, pool.byFreeCpu);
        } else {
            for (const auto& [speedClass, byFreeCpu] : pool.bySpeed)
                addParts(speeds.penalty(speedClass), byFreeCpu);
        }
        std::stable_sort(
            parts.begin(), parts.end(), [](const Part& a, const Part& b) { return a.penalty < b.penalty; });
        for (const auto& it : parts)
            addUndecidedOf(*it.byFreeCpu, it.inPreferredDomain, false);
        // The room of these will probably be taken by the steps that are asking about them already.
        if (chosen.size() < static_cast<std::size_t>(step.waiting)) {
            for (const auto& it : parts)
                addUndecidedOf(*it.byFreeCpu, it.inPreferredDomain, true);
        }
        chosen.insert(chosen.end(), full.begin(), full.end());
    }
    if (chosen.empty())
        return; // the next placement pass is due when capacity becomes free, or after the idle interval
    const double expectedMs = policy.decisionMs + policy.perWorkerMs * static_cast<double>(chosen.size());
    if (!overdue && !hasCallerCapacityForApproval(expectedMs))
        return;
    if (!overdue && !step.approvals.empty() && expectedMs > longCallMs
        && now - step.lastApprovalCall < maxApprovalPostponement) {
        int freePlaces = 0;
        for (IncarnationId number : chosen) {
            const auto left = incarnations[number].entry.capacity - incarnations[number].used;
            const auto each = std::max<std::int64_t>(1, demand.cpuMilli);
            freePlaces += static_cast<int>(std::max<std::int64_t>(0, left.cpuMilli / each));
        }
        if (freePlaces < std::min(step.waiting, minTasksPerRepeatedCall)) {
            step.nextApprovalCall = now + approvalRetryDelay;
            return;
        }
    }
    step.lastApprovalCall = now;
    approvalsInFlightMs += expectedMs;
    if (expectedMs > longCallMs)
        longApprovalsInFlightMs += expectedMs;
    ApprovalAction action;
    action.step = stepText(TaskRef { step.job->request.id, step.occurrence, step.number, 0 });
    for (IncarnationId number : chosen)
        action.workers.push_back(incarnations[number].entry.id);
    action.expectedMs = expectedMs;
    step.isApprovalInFlight = true;
    const std::int64_t callCpu = demand.cpuMilli * step.waiting;
    pool.awaitingApprovalCpu += callCpu;
    overdueApprovalsInFlight += overdue ? 1 : 0;
    // The step's tasks will be spread over the executors that are approved.
    const auto claimEach = std::min<std::int64_t>(
        demand.cpuMilli, callCpu / std::max<std::int64_t>(1, static_cast<std::int64_t>(chosen.size()) / 2));
    for (IncarnationId number : chosen)
        incarnations[number].claimedCpu += claimEach;
    approvalsInFlight[action.step] = { expectedMs, &pool, callCpu, overdue, std::move(chosen), claimEach };
    actions.approvals.push_back(std::move(action));
}

void FleetScheduler::approvalAnswered(const std::string& stepName, bool isDecided,
    const std::vector<std::string>& asked, const std::vector<Approval>& approved, Duration ticketValidity,
    Instant now)
{
    auto& it = *m_impl;
    it.isPlacementDue = true;
    std::vector<IncarnationId> named;
    if (auto call = it.approvalsInFlight.find(stepName); call != it.approvalsInFlight.end()) {
        it.approvalsInFlightMs -= call->second.expectedMs;
        if (call->second.expectedMs > longCallMs)
            it.longApprovalsInFlightMs -= call->second.expectedMs;
        call->second.pool->awaitingApprovalCpu -= call->second.cpuMilli;
        it.overdueApprovalsInFlight -= call->second.isOverdue ? 1 : 0;
        named = std::move(call->second.named);
        for (IncarnationId number : named)
            it.incarnations[number].claimedCpu -= call->second.claimEach;
        it.approvalsInFlight.erase(call);
    }
    const auto ref = parseTaskRef(stepName + ".0");
    auto job = ref ? it.jobs.find(ref->job) : it.jobs.end();
    if (job == it.jobs.end())
        return;
    auto occurrence = job->second->occurrences.find(ref->occurrence);
    if (occurrence == job->second->occurrences.end())
        return;
    auto& step = *occurrence->second.steps.at(ref->step);
    step.isApprovalInFlight = false;
    if (!isDecided) {
        step.nextApprovalCall = now + approvalRetryDelay;
        return;
    }
    // A ticket is valid for one incarnation. One that started after the call has no decision yet.
    const auto approvalOf = [&](const std::string& id) -> ExecutorApproval* {
        const auto* incarnation = it.incarnationOf(id);
        const bool isNamed
            = incarnation && std::find(named.begin(), named.end(), incarnation->number) != named.end();
        return isNamed ? &step.approvals[incarnation->number] : nullptr;
    };
    std::set<std::string> withTicket;
    for (const auto& row : approved) {
        withTicket.insert(row.executor);
        if (auto* approval = approvalOf(row.executor)) {
            approval->isApproved = true;
            approval->ticket = row.ticket;
            approval->ticketUntil = now + ticketValidity;
        }
    }
    for (const auto& id : asked) {
        if (withTicket.count(id))
            continue;
        auto* approval = approvalOf(id);
        if (approval && approval->isApproved) // earlier, so the answer is incomplete
            delayRenewal(*approval, now);
    }
    step.nextApprovalCall = now + approvalRetryDelay / 10;
}

// The executor refused a start with this ticket. It stays approved and needs a new ticket.
void FleetScheduler::Impl::rejectTicket(
    StepState& step, IncarnationId number, const std::string& ticket, Instant now) const
{
    auto it = step.approvals.find(number);
    if (it == step.approvals.end() || it->second.ticket != ticket)
        return; // renewed meanwhile
    it->second.ticketUntil = now;
    delayRenewal(it->second, now);
}

} // namespace quay::fleet
