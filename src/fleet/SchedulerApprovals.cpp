#include "fleet/SchedulerState.h"

#include <algorithm>
#include <utility>

// Approvals: which step is asked for when, about which executors, and what the answers allow.
namespace quay::fleet {

using namespace internal;

namespace {

constexpr std::size_t maxWorkersPerApproval = 30; // the objective of a job counts a call of this size
constexpr auto approvalRetryDelay = 250ms; // a step of which no approved executor had room
// Beyond this a call would make an urgent step behind it miss its objective.
constexpr double longCallMs = 120;
// Room that is promised to open calls against what is free: not all will fit.
constexpr double maxApprovalOvercommit = 1.5;
// Calls handed out beyond one for each caller: the next in turn is ready.
constexpr double longCallBacklogMs = 700;
constexpr double shortCallBacklogMs = 60; // two short calls
constexpr int minTasksPerRepeatedCall
    = 4; // a step that has its approvals asks again for this many tasks at once
constexpr auto maxApprovalPostponement = 1500ms; // ... or after this long

} // namespace

// Whether a call would be served soon. Long calls leave a third of the callers to short ones, as the broker
// does.
bool FleetScheduler::Impl::hasApprovalCapacity(double expectedMs) const
{
    const int reserved = approvalCallerCount > 1 ? std::max(1, approvalCallerCount / 3) : 0;
    if (expectedMs > longCallMs)
        return longApprovalsInFlightMs < (approvalCallerCount - reserved) * longCallBacklogMs;
    return approvalsInFlightMs - longApprovalsInFlightMs < approvalCallerCount * shortCallBacklogMs;
}

// Asking for more than there is room for wastes the service's time: the tickets lapse unused.
bool FleetScheduler::Impl::hasRoomForApproval(const StepState& step) const
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

void FleetScheduler::Impl::requestApproval(StepState& step, Instant now, SchedulerActions& actions)
{
    const auto& policy = *step.queue->approval;
    if (step.isApprovalInFlight || now < step.nextApprovalCall || !hasApprovalCapacity(policy.decisionMs)
        || !hasRoomForApproval(step))
        return; // asked when a call in hand is answered, or room comes free
    const auto demand = demandOf(step.request());
    const auto tasksByIncarnation = step.request().maxPerExecutor > 0
        ? tasksPerIncarnation(step)
        : std::unordered_map<IncarnationId, int>();
    const auto isEligible = [&](IncarnationId number) {
        const auto here = tasksByIncarnation.find(number);
        return (here == tasksByIncarnation.end() || here->second < step.request().maxPerExecutor)
            && isCandidate(step, incarnations[number], demand, now);
    };
    // Approvals stand, only their tickets lapse: the approved come first, then the emptiest.
    std::vector<IncarnationId> chosen;
    for (const auto& [number, ticket] : step.tickets) {
        if (isEligible(number))
            chosen.push_back(number);
    }
    std::sort(chosen.begin(), chosen.end());
    if (chosen.size() > maxWorkersPerApproval)
        chosen.resize(maxWorkersPerApproval);
    auto& pool = pools.at(step.queue->service);
    if (chosen.size() < static_cast<std::size_t>(step.waiting)) {
        for (auto it = pool.byFreeCpu.rbegin(); it != pool.byFreeCpu.rend() && it->first >= demand.cpuMilli
             && chosen.size() < maxWorkersPerApproval;
             ++it) {
            if (!step.tickets.count(it->second) && !step.decidedExecutors.count(it->second)
                && isEligible(it->second))
                chosen.push_back(it->second);
        }
    }
    if (chosen.empty())
        return; // the next pass is due when room comes free, or after the idle interval
    const double expectedMs = policy.decisionMs + policy.perWorkerMs * static_cast<double>(chosen.size());
    if (!hasApprovalCapacity(expectedMs))
        return;
    if (!step.decidedExecutors.empty() && expectedMs > longCallMs
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
    const std::int64_t awaitingCpu = demand.cpuMilli * step.waiting;
    pool.awaitingApprovalCpu += awaitingCpu;
    approvalsInFlight[action.step] = { expectedMs, &pool, awaitingCpu };
    actions.approvals.push_back(std::move(action));
}

void FleetScheduler::approvalAnswered(const std::string& stepName, bool isDecided,
    const std::vector<std::string>& asked, const std::vector<Approval>& approved, Duration ticketLife,
    Instant now)
{
    auto& it = *m_impl;
    it.isPlacementDue = true;
    if (auto call = it.approvalsInFlight.find(stepName); call != it.approvalsInFlight.end()) {
        it.approvalsInFlightMs -= call->second.expectedMs;
        if (call->second.expectedMs > longCallMs)
            it.longApprovalsInFlightMs -= call->second.expectedMs;
        call->second.pool->awaitingApprovalCpu -= call->second.cpuMilli;
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
    for (const auto& id : asked) {
        if (const auto* incarnation = it.incarnationOf(id))
            step.decidedExecutors.insert(incarnation->number);
    }
    for (const auto& approval : approved) {
        if (const auto* incarnation = it.incarnationOf(approval.executor))
            step.tickets[incarnation->number] = { approval.ticket, now + ticketLife };
    }
    step.nextApprovalCall = now;
    if (!approved.empty() || step.decidedExecutors.size() < it.currentIncarnations.size())
        step.nextApprovalCall = now + approvalRetryDelay / 10;
}

} // namespace quay::fleet
