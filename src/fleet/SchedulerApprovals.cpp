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
bool FleetScheduler::Impl::hasRoomBesideOpenAsks(const StepState& step, const std::string& service) const
{
    std::int64_t free = 0;
    for (const auto& [id, number] : lifeById) {
        const auto& life = lives[number];
        if (life.isListed && life.entry.service == service)
            free += std::max<std::int64_t>(0, life.entry.capacity.cpuMilli - life.used.cpuMilli);
    }
    std::int64_t promised = 0;
    for (const auto& [name, ask] : asking) {
        if (ask.service == service)
            promised += ask.cpuMilli;
    }
    return static_cast<double>(promised) + static_cast<double>(roomOf(step.request()).cpuMilli)
        <= promiseFactor * static_cast<double>(free);
}

void FleetScheduler::approvalCallers(int count)
{
    if (count > m_impl->approvalCallers)
        m_impl->placementDue = true;
    m_impl->approvalCallers = std::max(1, count);
}

void FleetScheduler::Impl::askApproval(
    StepState& step, const QueuePolicy& queue, Instant now, SchedulerActions& actions)
{
    if (step.isAsking || now < step.nextAsk)
        return;
    auto possible = candidates(step, queue.service, now);
    std::vector<LifeId> approved;
    std::vector<LifeId> open;
    for (LifeId number : possible) {
        if (step.tickets.count(number))
            approved.push_back(number);
        else if (!step.decided.count(number))
            open.push_back(number);
    }
    // Approvals stand, only their tickets lapse: the approved come first, then the fullest that still has
    // room.
    std::sort(open.begin(), open.end(), [&](LifeId a, LifeId b) {
        const auto leftOf
            = [&](LifeId n) { return lives[n].entry.capacity.cpuMilli - lives[n].used.cpuMilli; };
        return std::make_pair(-leftOf(a), a) < std::make_pair(-leftOf(b), b);
    });
    std::vector<LifeId> chosen = approved;
    const auto enough = static_cast<std::size_t>(step.waiting);
    if (approved.size() < enough) {
        for (LifeId number : open) {
            if (chosen.size() >= workersPerApproval)
                break;
            chosen.push_back(number);
        }
    }
    if (chosen.size() > workersPerApproval)
        chosen.resize(workersPerApproval);
    if (chosen.empty()) {
        placementDue = true;
        return;
    }
    const double expectedMs
        = queue.approval->decisionMs + queue.approval->perWorkerMs * static_cast<double>(chosen.size());
    if (!hasCaller(expectedMs) || !hasRoomBesideOpenAsks(step, queue.service))
        return; // asked when a call in hand is answered
    if (!step.decided.empty() && expectedMs > longCallMs && now - step.lastAsk < askAnyway) {
        int room = 0;
        for (LifeId number : chosen) {
            const auto left = lives[number].entry.capacity - lives[number].used;
            const auto each = std::max<std::int64_t>(1, roomOf(step.request()).cpuMilli);
            room += static_cast<int>(std::max<std::int64_t>(0, left.cpuMilli / each));
        }
        if (room < std::min(step.waiting, worthwhileTasks)) {
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
    asking[ask.step] = { expectedMs, queue.service, roomOf(step.request()).cpuMilli * step.waiting };
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
