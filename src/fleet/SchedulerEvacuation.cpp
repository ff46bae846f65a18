#include "fleet/SchedulerState.h"

#include <algorithm>
#include <limits>
#include <utility>

// Empties failure domains at an operator's request, and brings them back without a rush of starts.
namespace quay::fleet {

using namespace internal;

namespace {

constexpr auto moveInterval = 250ms;
constexpr int movesPerPass = 16; // bounds the stops of one pass
// Polls are at most 1.4 s apart; later, what is moved might not be started.
constexpr Duration maxViewAgeToMove = 3s;
// A task that ends sooner may end where it is: moving it costs a restore and a start.
constexpr Duration minTimeLeftToMove = 30s;
// After its move, a long-running task counts as away from its step until it has been at work this long.
constexpr Duration settledAfter = 6s;
constexpr auto heldReportInterval = 1s; // bounds the log

const StepRequest& requestOf(const RunKey& key) { return key.job->request.steps[key.step]; }

bool isAway(
    const StepState& step, const TaskState& task, int index, const std::deque<Incarnation>& all, Instant now)
{
    if (task.phase != TaskPhase::Active)
        return task.phase == TaskPhase::Waiting;
    const auto& incarnation = all[task.incarnation];
    const auto run
        = incarnation.runs.find(RunKey { step.job, step.occurrence, step.number, index, task.run });
    return run == incarnation.runs.end() || run->second.phase != RunPhase::Running
        || run->second.isStopRequested || incarnation.isUnresponsive
        || now - run->second.startedAt < settledAfter;
}

// Returns whether so many other tasks of the step are away that one more must not leave.
bool isAwayLimitReached(const StepState& step, int index, const std::deque<Incarnation>& all, Instant now)
{
    const auto& request = step.request();
    if (request.maxConcurrentDisruptions == 0)
        return request.isLongRunning;
    int away = 0;
    for (std::size_t i = 0; i < step.tasks.size(); ++i) {
        const int other = static_cast<int>(i);
        if (other != index && isAway(step, step.tasks[i], other, all, now)
            && ++away >= request.maxConcurrentDisruptions)
            return true;
    }
    return false;
}

} // namespace

bool FleetScheduler::Impl::isEmptied(const Incarnation& incarnation) const
{
    return isEvacuated(evacuations.view, incarnation.entry.zone);
}

// A new leader has not seen the requests that its predecessor knew.
bool FleetScheduler::Impl::mayPlace() const
{
    return bounds.maxEvacuationDelay == Duration::zero() || evacuations.view.readAt != Instant {};
}

// Returns whether a start must wait because a request could have been made that the scheduler has not seen.
bool FleetScheduler::Impl::isStartHeld(const Incarnation& incarnation, Instant now)
{
    if (mayStartIn(evacuations.view, incarnation.entry.zone, bounds.maxEvacuationDelay, now))
        return false;
    if (now >= evacuations.nextHeldReport) {
        evacuations.nextHeldReport = now + heldReportInterval;
        const auto& readAt = evacuations.view.readAt;
        addEvent("starts_held", {},
            "why=evacuations_unread age_ms="
                + (readAt == Instant {} ? std::string("-") : std::to_string(toMilliseconds(now - readAt)))
                + " open_orders=" + std::to_string(openOrders.size()));
    }
    return true;
}

// The start may have been sent before, if it got no answer: then a stop bars it.
void FleetScheduler::Impl::withdrawStart(
    Incarnation& incarnation, const RunKey& key, const std::string& why, Instant now)
{
    const auto it = incarnation.runs.find(key);
    if (it == incarnation.runs.end())
        return; // released with its gang
    addEvent("start_withdrawn", key.job->request.id,
        "task=" + text(taskRefOf(key)) + " run=" + std::to_string(key.run) + " executor="
            + incarnation.entry.id + " why=" + why + " used_cpu=" + std::to_string(incarnation.used.cpuMilli)
            + " cpu=" + std::to_string(incarnation.entry.capacity.cpuMilli));
    if (it->second.unansweredAttempts == 0)
        requeue(incarnation, key, now);
    else
        requestStop(incarnation, key, now);
}

void FleetScheduler::Impl::withdrawStarts(Incarnation& incarnation, Instant now)
{
    std::vector<RunKey> unsent;
    for (const auto& [key, run] : incarnation.runs) {
        if (!run.isOrphan && !run.isStopRequested && !run.isInFlight
            && (run.phase == RunPhase::Recording || run.phase == RunPhase::Starting))
            unsent.push_back(key);
    }
    for (const auto& key : unsent)
        withdrawStart(incarnation, key, "evacuation", now);
}

void FleetScheduler::setEvacuations(const EvacuationView& view, Instant now)
{
    m_impl->setEvacuations(view, now);
}

void FleetScheduler::Impl::setEvacuations(const EvacuationView& view, Instant now)
{
    if (view.readAt < evacuations.view.readAt)
        return; // overtaken by a later one
    const bool isFirst = evacuations.view.readAt == Instant {};
    evacuations.view.readAt = std::min(view.readAt, now);
    if (isFirst)
        isPlacementDue = true;
    if (view.evacuations == evacuations.view.evacuations)
        return;
    const auto before = std::exchange(evacuations.view.evacuations, view.evacuations);
    isPlacementDue = true;
    for (const auto& it : view.evacuations) {
        if (std::find(before.begin(), before.end(), it) != before.end())
            continue;
        const auto since = evacuations.heededSince.emplace(it.domain, now).first->second;
        const auto counted = countEvacuation(it.domain);
        addEvent("domain_evacuated", {},
            "domain=" + it.domain + " version=" + std::to_string(it.version)
                + " executors=" + std::to_string(counted.executors) + " runs=" + std::to_string(counted.runs)
                + " heeded_ms=" + std::to_string(toMilliseconds(now - since)));
    }
    // All pools are up to date before work is withdrawn, because that looks for the rest of a gang.
    for (auto& incarnation : incarnations)
        updatePool(incarnation);
    for (auto& incarnation : incarnations) {
        if (isEmptied(incarnation))
            withdrawStarts(incarnation, now);
    }
    std::erase_if(evacuations.heededSince, [&](const auto& it) {
        if (isEvacuated(evacuations.view, it.first))
            return false;
        const auto counted = countEvacuation(it.first);
        addEvent("domain_returned", {},
            "domain=" + it.first + " executors=" + std::to_string(counted.executors)
                + " runs=" + std::to_string(counted.runs)
                + " heeded_ms=" + std::to_string(toMilliseconds(now - it.second)));
        for (auto& incarnation : incarnations) {
            if (!incarnation.isClosed && incarnation.entry.zone == it.first)
                incarnation.warmUp = warmUpOfReturn(incarnation.warmUp, now);
        }
        return true;
    });
}

EvacuationCounts FleetScheduler::Impl::countEvacuation(const std::string& domain) const
{
    EvacuationCounts counted;
    if (const auto it = evacuations.heededSince.find(domain); it != evacuations.heededSince.end())
        counted.heededSince = it->second;
    for (const auto& incarnation : incarnations) {
        if (incarnation.isClosed || incarnation.entry.zone != domain)
            continue;
        counted.executors += incarnation.isRegistered ? 1 : 0;
        counted.runs += incarnation.runs.size();
    }
    return counted;
}

// How many more tasks may be placed on the executor while it warms up.
std::size_t FleetScheduler::Impl::startsLeft(const Incarnation& incarnation, Instant now) const
{
    const auto limit = startLimit(incarnation.warmUp, now);
    if (!limit)
        return std::numeric_limits<std::size_t>::max();
    const auto placed
        = static_cast<std::size_t>(std::count_if(incarnation.runs.begin(), incarnation.runs.end(),
            [&](const auto& it) { return it.second.placedAt >= incarnation.warmUp.since; }));
    return *limit - std::min(*limit, placed);
}

// Returns a failure domain, as an index of `domains`, by the hash. While some are emptied, those whose own
// domain is not keep it, and the others are spread over the rest.
std::size_t FleetScheduler::Impl::domainOutsideEvacuations(std::size_t hash) const
{
    const auto own = hash % domains.size();
    if (!isEvacuated(evacuations.view, domains[own]))
        return own;
    std::vector<std::size_t> others;
    for (std::size_t i = 0; i < domains.size(); ++i) {
        if (!isEvacuated(evacuations.view, domains[i]))
            others.push_back(i);
    }
    return others.empty() ? own : others[hash / domains.size() % others.size()];
}

// Returns whether a run on an emptied domain is worth a move. None has to be moved: the request forbids
// starts.
bool FleetScheduler::Impl::isWorthMoving(
    const Incarnation& incarnation, const RunKey& key, const Run& run, Instant now) const
{
    const auto& request = requestOf(key);
    if (run.phase != RunPhase::Running || run.isOrphan || run.isStopRequested || request.isGang)
        return false;
    return request.isLongRunning
        || (request.savesCheckpoints && expectedTimeLeft(incarnation, key, run, now) >= minTimeLeftToMove);
}

// Moves long tasks off emptied domains, while others have room for them beside all work that waits.
void FleetScheduler::Impl::moveOffEmptiedDomains(Instant now)
{
    if (evacuations.heededSince.empty() || now < evacuations.nextMove
        || now - evacuations.view.readAt > maxViewAgeToMove)
        return;
    evacuations.nextMove = now + moveInterval;
    std::map<std::string, std::int64_t> claimed; // by service
    std::set<const StepState*> refused; // not searched for again in this pass
    int moves = 0;
    for (auto& incarnation : incarnations) {
        if (incarnation.isClosed || incarnation.isUnresponsive || incarnation.entry.isDraining
            || !isEmptied(incarnation))
            continue;
        std::vector<RunKey> leaving;
        for (const auto& [key, run] : incarnation.runs) {
            if (moves >= movesPerPass)
                break;
            if (!isWorthMoving(incarnation, key, run, now))
                continue;
            const auto& step = *key.job->occurrences[key.occurrence].steps[key.step];
            // One run a step and pass, so that the others are counted with the stop of this one.
            const bool isStepLeaving = std::any_of(
                leaving.begin(), leaving.end(), [&of = key](const RunKey& other) {
                    return other.job == of.job && other.occurrence == of.occurrence && other.step == of.step;
                });
            if (isStepLeaving || refused.count(&step) > 0)
                continue;
            const auto& service = incarnation.entry.service;
            auto it = claimed.find(service);
            if (it == claimed.end())
                it = claimed.emplace(service, cpuAwaitingPlacement(service)).first;
            if (isAwayLimitReached(step, key.index, incarnations, now) || !step.queue
                || !mayFindRoom(step, false) || !hasRoomElsewhere(step, it->second, now)) {
                refused.insert(&step);
                continue;
            }
            leaving.push_back(key);
            it->second += run.demand.cpuMilli;
            ++moves;
        }
        if (!leaving.empty())
            addEvent("executor_evacuated", {},
                "executor=" + incarnation.entry.id + " domain=" + incarnation.entry.zone
                    + " runs=" + std::to_string(leaving.size()));
        for (const auto& key : leaving)
            requestStop(incarnation, key, now);
    }
}

} // namespace quay::fleet
