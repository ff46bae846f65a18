#include "fleet/SchedulerState.h"

#include <algorithm>
#include <utility>

// Approvals: which step is asked for when, about which executors, and what the answers allow.
namespace quay::fleet {

using namespace internal;

namespace {

constexpr std::size_t workersPerApproval = 30; // the objective of a job counts a call of this size
constexpr auto askAgain = 250ms; // a step of which no approved executor had room
// Beyond this a call would make an urgent step behind it miss its objective.
constexpr double longCallMs = 120;
// Room that is promised to open calls against what is free: not all will fit.
constexpr double promiseFactor = 1.5;
// Calls handed out beyond one for each caller: the next in turn is ready.
constexpr double longBacklogMs = 700;
constexpr double shortBacklogMs = 60; // two short calls
constexpr int worthwhileTasks = 4; // a step that has its approvals asks again for this many tasks at once
constexpr auto askAnyway = 1500ms; // ... or after this long

} // namespace

// Whether a call would be served soon. Long calls leave a third of the callers to short ones, as the broker
// does.
bool FleetScheduler::Impl::hasCaller(double expectedMs) const
{
    const int reserved = approvalCallers > 1 ? std::max(1, approvalCallers / 3) : 0;
    if (expectedMs > longCallMs)
        return askingLongMs < (approvalCallers - reserved) * longBacklogMs;
    return askingMs - askingLongMs < approvalCallers * shortBacklogMs;
}

// Asking for more than there is room for wastes the service's time: the tickets lapse unused.
bool FleetScheduler::Impl::hasRoomBesideOpenAsks(const StepState& step) const
{
    const auto& pool = pools.at(step.queue->service);
    return static_cast<double>(pool.promisedCpu + roomOf(step.request()).cpuMilli)
        <= promiseFactor * static_cast<double>(pool.freeCpu());
}

void FleetScheduler::approvalCallers(int count)
{
    if (count > m_impl->approvalCallers)
        m_impl->placementDue = true;
    m_impl->approvalCallers = std::max(1, count);
}

void FleetScheduler::Impl::askApproval(StepState& step, Instant now, SchedulerActions& actions)
{
    const auto& policy = *step.queue->approval;
    if (step.isAsking || now < step.nextAsk || !hasCaller(policy.decisionMs) || !hasRoomBesideOpenAsks(step))
        return; // asked when a call in hand is answered, or room comes free
    const auto room = roomOf(step.request());
    const auto atWork
        = step.request().maxPerExecutor > 0 ? tasksPerLife(step) : std::unordered_map<LifeId, int>();
    const auto isOpen = [&](LifeId number) {
        const auto here = atWork.find(number);
        return (here == atWork.end() || here->second < step.request().maxPerExecutor)
            && isCandidate(step, lives[number], room, now);
    };
    // Approvals stand, only their tickets lapse: the approved come first, then the emptiest.
    std::vector<LifeId> chosen;
    for (const auto& [number, ticket] : step.tickets) {
        if (isOpen(number))
            chosen.push_back(number);
    }
    std::sort(chosen.begin(), chosen.end());
    if (chosen.size() > workersPerApproval)
        chosen.resize(workersPerApproval);
    auto& pool = pools.at(step.queue->service);
    if (chosen.size() < static_cast<std::size_t>(step.waiting)) {
        for (auto it = pool.byFreeCpu.rbegin();
             it != pool.byFreeCpu.rend() && it->first >= room.cpuMilli && chosen.size() < workersPerApproval;
             ++it) {
            if (!step.tickets.count(it->second) && !step.decided.count(it->second) && isOpen(it->second))
                chosen.push_back(it->second);
        }
    }
    if (chosen.empty())
        return; // the next pass is due when room comes free, or after the idle interval
    const double expectedMs = policy.decisionMs + policy.perWorkerMs * static_cast<double>(chosen.size());
    if (!hasCaller(expectedMs))
        return;
    if (!step.decided.empty() && expectedMs > longCallMs && now - step.lastAsk < askAnyway) {
        int places = 0;
        for (LifeId number : chosen) {
            const auto left = lives[number].entry.capacity - lives[number].used;
            const auto each = std::max<std::int64_t>(1, room.cpuMilli);
            places += static_cast<int>(std::max<std::int64_t>(0, left.cpuMilli / each));
        }
        if (places < std::min(step.waiting, worthwhileTasks)) {
            step.nextAsk = now + askAgain;
            return;
        }
    }
    step.lastAsk = now;
    askingMs += expectedMs;
    if (expectedMs > longCallMs)
        askingLongMs += expectedMs;
    ApprovalAction ask;
    ask.step = stepText(TaskRef { step.job->request.id, step.occurrence, step.number, 0 });
    for (LifeId number : chosen)
        ask.workers.push_back(lives[number].entry.id);
    ask.expectedMs = expectedMs;
    step.isAsking = true;
    const std::int64_t promised = room.cpuMilli * step.waiting;
    pool.promisedCpu += promised;
    asking[ask.step] = { expectedMs, &pool, promised };
    actions.approvals.push_back(std::move(ask));
}

void FleetScheduler::approvalAnswered(const std::string& stepName, bool isDecided,
    const std::vector<std::string>& asked, const std::vector<Approval>& approved, Duration ticketLife,
    Instant now)
{
    auto& it = *m_impl;
    it.placementDue = true;
    if (auto call = it.asking.find(stepName); call != it.asking.end()) {
        it.askingMs -= call->second.expectedMs;
        if (call->second.expectedMs > longCallMs)
            it.askingLongMs -= call->second.expectedMs;
        call->second.pool->promisedCpu -= call->second.cpuMilli;
        it.asking.erase(call);
    }
    const auto ref = parseTaskRef(stepName + ".0");
    auto job = ref ? it.jobs.find(ref->job) : it.jobs.end();
    if (job == it.jobs.end())
        return;
    auto occurrence = job->second->occurrences.find(ref->occurrence);
    if (occurrence == job->second->occurrences.end())
        return;
    auto& step = *occurrence->second.steps.at(ref->step);
    step.isAsking = false;
    if (!isDecided) {
        step.nextAsk = now + askAgain;
        return;
    }
    for (const auto& id : asked) {
        if (const auto* life = it.lifeOfId(id))
            step.decided.insert(life->number);
    }
    for (const auto& one : approved) {
        if (const auto* life = it.lifeOfId(one.executor))
            step.tickets[life->number] = { one.ticket, now + ticketLife };
    }
    step.nextAsk = now;
    if (!approved.empty() || step.decided.size() < it.lifeById.size())
        step.nextAsk = now + askAgain / 10;
}

} // namespace quay::fleet
