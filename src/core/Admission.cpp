#include "quay/core/Admission.h"

#include <algorithm>
#include <iterator>

namespace quay {

namespace {

std::int64_t retryAfterMs(const AdmissionState& state, Duration wait)
{
    constexpr Duration maxRetryAfter = 60s;
    return toMilliseconds(std::clamp(wait, state.settings.minRetryAfterDelay, maxRetryAfter));
}

void joinRoundRobin(AdmissionState& state, const TeamId& team, TeamQueue& queue)
{
    queue.remainingCredit = queue.weight;
    state.roundRobin.push_back(team);
    state.activeWeight += queue.weight;
}

// Invariant: activeWeight is the sum of the weights of the teams in `roundRobin`. Also kept by setWeight().
void leaveRoundRobin(AdmissionState& state, TeamQueue& queue)
{
    state.roundRobin.pop_front();
    state.activeWeight -= queue.weight;
}

void moveToBack(AdmissionState& state, TeamQueue& queue)
{
    queue.remainingCredit = queue.weight;
    state.roundRobin.push_back(state.roundRobin.front());
    state.roundRobin.pop_front();
}

void removeExpiredFront(
    AdmissionState& state, TeamQueue& queue, std::vector<QueuedRequest>& expired, Instant now)
{
    while (!queue.waiting.empty() && queue.waiting.front().deadline <= now) {
        expired.push_back(queue.waiting.front());
        queue.waiting.pop_front();
        --state.queued;
    }
}

} // namespace

void setWeight(AdmissionState& state, const TeamId& team, std::uint32_t weight)
{
    TeamQueue& queue = state.queues[team];
    const std::uint32_t newWeight = std::max<std::uint32_t>(1, weight);
    if (!queue.waiting.empty())
        state.activeWeight += newWeight - std::uint64_t { queue.weight };
    queue.weight = newWeight;
}

void setMaxWaiting(AdmissionState& state, const TeamId& team, std::size_t maxWaiting)
{
    state.queues[team].maxWaiting = maxWaiting;
}

// Example: 8 slots with a service time of 20 ms serve 400 requests a second. A team with a quarter of the
// active weight is served 100 of them, so a new request behind 9 of its team waits for about 100 ms.
Duration estimateWait(const AdmissionState& state, const TeamId& team, const SlotCapacity& capacity)
{
    if (capacity.slots == 0)
        return Duration::max();
    if (capacity.free > state.queued)
        return Duration::zero();
    const auto found = state.queues.find(team);
    const bool isNew = found == state.queues.end();
    const std::uint64_t weight = isNew ? 1 : found->second.weight;
    const std::uint64_t position = isNew ? 1 : found->second.waiting.size() + 1;
    const bool isWaiting = position > 1;
    const std::uint64_t allWeight = state.activeWeight + (isWaiting ? 0 : weight);
    // The number of queued requests bounds the position, however small the team's share is.
    const std::uint64_t ahead = std::min<std::uint64_t>(position * allWeight / weight, state.queued + 1);
    return capacity.serviceTime * static_cast<Duration::rep>(ahead)
        / static_cast<Duration::rep>(capacity.slots);
}

std::optional<AdmissionRefusal> admit(
    AdmissionState& state, const QueuedRequest& request, const SlotCapacity& capacity, Instant now)
{
    const Duration wait = estimateWait(state, request.team, capacity);
    TeamQueue& queue = state.queues[request.team];
    const std::size_t maxWaiting = queue.maxWaiting ? queue.maxWaiting : state.settings.maxQueuedPerTeam;
    if (queue.waiting.size() >= maxWaiting)
        return AdmissionRefusal { ErrorKind::QueueFull, retryAfterMs(state, wait) };
    const Duration left = request.deadline - now;
    if (left <= capacity.serviceTime || wait > left - capacity.serviceTime)
        return AdmissionRefusal { ErrorKind::DeadlineExceeded, retryAfterMs(state, wait) };
    if (queue.waiting.empty())
        joinRoundRobin(state, request.team, queue);
    queue.waiting.push_back(request);
    ++state.queued;
    return std::nullopt;
}

std::optional<QueuedRequest> dequeue(AdmissionState& state, std::vector<QueuedRequest>& expired, Instant now)
{
    while (!state.roundRobin.empty()) {
        TeamQueue& queue = state.queues[state.roundRobin.front()];
        removeExpiredFront(state, queue, expired, now);
        if (queue.waiting.empty()) {
            leaveRoundRobin(state, queue);
            continue;
        }
        if (queue.remainingCredit == 0) {
            moveToBack(state, queue);
            continue;
        }
        QueuedRequest next = queue.waiting.front();
        queue.waiting.pop_front();
        --queue.remainingCredit;
        --state.queued;
        if (queue.waiting.empty())
            leaveRoundRobin(state, queue);
        return next;
    }
    return std::nullopt;
}

std::vector<QueuedRequest> removeExpired(AdmissionState& state, Instant now)
{
    std::vector<QueuedRequest> expired;
    for (auto& [team, queue] : state.queues) {
        if (queue.waiting.empty())
            continue;
        const std::size_t before = queue.waiting.size();
        const auto isExpired = [now](const QueuedRequest& request) { return request.deadline <= now; };
        std::copy_if(queue.waiting.begin(), queue.waiting.end(), std::back_inserter(expired), isExpired);
        std::erase_if(queue.waiting, isExpired);
        state.queued -= before - queue.waiting.size();
        if (!queue.waiting.empty())
            continue;
        std::erase(state.roundRobin, team);
        state.activeWeight -= queue.weight;
    }
    return expired;
}

} // namespace quay
