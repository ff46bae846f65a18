#include "quay/core/InteractiveRouter.h"

#include <algorithm>
#include <set>

namespace quay {

namespace {

constexpr int movingAverageDivisor = 8; // a new sample has a weight of 1/8

Duration movingAverage(Duration average, Duration sample)
{
    return average == Duration::zero() ? sample : average + (sample - average) / movingAverageDivisor;
}

bool isInService(const RouterRules& rules, const Executor& executor)
{
    const bool isOut = (rules.skipLeavingExecutors && executor.info.leaving)
        || (rules.skipEjectedExecutors && executor.ejected);
    return executor.owned && !isOut;
}

std::uint32_t freeSlotsOf(const RouterRules& rules, const Executor& executor)
{
    const std::uint32_t slots = executor.info.slots + (rules.enforceSlotLimit ? 0 : 1);
    if (!isInService(rules, executor) || executor.outstanding >= slots)
        return 0;
    return slots - executor.outstanding;
}

void addAvailable(RouterState& state, std::size_t position)
{
    state.executors[position].availableIndex = static_cast<std::ptrdiff_t>(state.available.size());
    state.available.push_back(position);
}

// Moves the last element into the gap, so that removal takes constant time.
void removeAvailable(RouterState& state, std::size_t position)
{
    Executor& executor = state.executors[position];
    const auto index = static_cast<std::size_t>(executor.availableIndex);
    const std::size_t last = state.available.back();
    state.available[index] = last;
    state.executors[last].availableIndex = static_cast<std::ptrdiff_t>(index);
    state.available.pop_back();
    executor.availableIndex = -1;
}

void updateAvailable(RouterState& state, std::size_t position)
{
    const bool isInAvailable = state.executors[position].availableIndex >= 0;
    const bool hasFreeSlot = freeSlotsOf(state.settings.rules, state.executors[position]) > 0;
    if (hasFreeSlot && !isInAvailable)
        addAvailable(state, position);
    if (!hasFreeSlot && isInAvailable)
        removeAvailable(state, position);
}

// Recomputes all sums and indexes. Only called after changes of executors or their health, which are rare.
void rebuildIndexes(RouterState& state)
{
    state.available.clear();
    state.executorIndices.clear();
    state.slots = 0;
    state.freeSlots = 0;
    for (std::size_t i = 0; i < state.executors.size(); ++i) {
        Executor& executor = state.executors[i];
        executor.availableIndex = -1;
        state.executorIndices[executor.info.id] = i;
        state.slots += isInService(state.settings.rules, executor) ? executor.info.slots : 0;
        state.freeSlots += freeSlotsOf(state.settings.rules, executor);
        updateAvailable(state, i);
    }
}

void setOutstanding(RouterState& state, std::size_t position, std::uint32_t outstanding)
{
    Executor& executor = state.executors[position];
    state.freeSlots -= freeSlotsOf(state.settings.rules, executor);
    executor.outstanding = outstanding;
    state.freeSlots += freeSlotsOf(state.settings.rules, executor);
    updateAvailable(state, position);
}

void eraseIfDrained(RouterState& state, std::size_t position)
{
    const Executor& executor = state.executors[position];
    if (executor.owned || executor.outstanding > 0)
        return;
    state.executors.erase(state.executors.begin() + static_cast<std::ptrdiff_t>(position));
    rebuildIndexes(state);
}

// Expected response time: the average latency, multiplied by 1 plus the fraction of the slots that would be
// in use with this request. An executor without measurements is scored with the average of all executors.
double loadScore(const RouterState& state, const Executor& executor)
{
    const Duration latency = executor.latency == Duration::zero() ? state.serviceTime : executor.latency;
    const double used = static_cast<double>(executor.outstanding + 1) / executor.info.slots;
    return static_cast<double>(latency.count()) * (1 + used);
}

std::size_t randomAvailable(const RouterState& state, std::mt19937_64& rng)
{
    return state.available[rng() % state.available.size()];
}

std::size_t chooseOfTwo(const RouterState& state, std::mt19937_64& rng)
{
    const std::size_t a = randomAvailable(state, rng);
    const std::size_t b = randomAvailable(state, rng);
    return loadScore(state, state.executors[b]) < loadScore(state, state.executors[a]) ? b : a;
}

std::size_t chooseExecutor(const RouterState& state, std::mt19937_64& rng)
{
    switch (state.settings.policy) {
    case RoutingPolicy::Random:
        return randomAvailable(state, rng);
    case RoutingPolicy::FirstFit:
        return *std::ranges::min_element(state.available);
    case RoutingPolicy::TwoChoices:
        break;
    }
    return chooseOfTwo(state, rng);
}

Executor executorWithHistory(const RouterState& state, const ExecutorInfo& info)
{
    const auto known = state.executorIndices.find(info.id);
    Executor executor = known == state.executorIndices.end() ? Executor {} : state.executors[known->second];
    executor.info = info;
    executor.owned = true;
    return executor;
}

// Outlier statistics restart when an executor is owned again, so the flag is derived from them every time.
void updateEjectedFlags(RouterState& state)
{
    for (Executor& executor : state.executors) {
        const auto health = state.outliers.servers.find(executor.info.id);
        executor.ejected
            = health != state.outliers.servers.end() && health->second.state == HealthState::Ejected;
    }
}

Duration forwardingCost(const ForwardPeer& peer) { return peer.roundTrip + peer.linkCost; }

bool isPreferred(const ForwardPeer& a, const ForwardPeer& b)
{
    if (a.sameDomain != b.sameDomain)
        return a.sameDomain;
    return forwardingCost(a) < forwardingCost(b)
        || (forwardingCost(a) == forwardingCost(b) && a.freeSlots > b.freeSlots);
}

} // namespace

RouterState makeRouter(const RouterSettings& settings)
{
    RouterState state;
    state.admission.settings = settings.admission;
    state.outliers.settings = settings.outliers;
    state.serviceTime = settings.initialServiceTime;
    state.settings = settings;
    return state;
}

void setExecutors(RouterState& state, const std::vector<ExecutorInfo>& executors)
{
    std::vector<Executor> next;
    std::vector<ServerId> ids;
    std::set<ServerId> owned;
    for (const ExecutorInfo& info : executors) {
        if (!owned.insert(info.id).second)
            continue;
        next.push_back(executorWithHistory(state, info));
        ids.push_back(info.id);
    }
    for (Executor& executor : state.executors) {
        if (owned.contains(executor.info.id) || executor.outstanding == 0)
            continue;
        executor.owned = false;
        next.push_back(executor);
    }
    state.executors = std::move(next);
    setTrackedServers(state.outliers, ids);
    updateEjectedFlags(state);
    rebuildIndexes(state);
}

SlotCapacity slotCapacity(const RouterState& state)
{
    return { state.slots, state.freeSlots, state.serviceTime };
}

std::optional<AdmissionRefusal> enqueueRequest(RouterState& state, const QueuedRequest& request, Instant now)
{
    return admit(state.admission, request, slotCapacity(state), now);
}

DispatchResult dispatch(RouterState& state, Instant now, std::mt19937_64& rng)
{
    DispatchResult result;
    while (!state.available.empty()) {
        auto request = dequeue(state.admission, result.expired, now);
        if (!request)
            break;
        const std::size_t chosen = chooseExecutor(state, rng);
        setOutstanding(state, chosen, state.executors[chosen].outstanding + 1);
        result.dispatches.push_back({ std::move(*request), state.executors[chosen].info.id });
    }
    return result;
}

void onAnswer(RouterState& state, const ServerId& executor, bool succeeded, Duration latency)
{
    const auto found = state.executorIndices.find(executor);
    if (found == state.executorIndices.end() || state.executors[found->second].outstanding == 0)
        return;
    const std::size_t position = found->second;
    Executor& answered = state.executors[position];
    setOutstanding(state, position, answered.outstanding - 1);
    recordOutcome(state.outliers, executor, succeeded);
    // Failures are often fast; counting their latency would attract more requests to a broken executor.
    if (succeeded) {
        answered.latency = movingAverage(answered.latency, latency);
        state.serviceTime = movingAverage(state.serviceTime, latency);
    }
    eraseIfDrained(state, position);
}

void onSendAborted(RouterState& state, const ServerId& executor)
{
    const auto found = state.executorIndices.find(executor);
    if (found == state.executorIndices.end() || state.executors[found->second].outstanding == 0)
        return;
    const std::size_t position = found->second;
    setOutstanding(state, position, state.executors[position].outstanding - 1);
    eraseIfDrained(state, position);
}

std::vector<HealthChange> updateEjections(RouterState& state, Instant now)
{
    std::vector<HealthChange> changes = checkOutliers(state.outliers, now);
    if (changes.empty())
        return changes;
    updateEjectedFlags(state);
    rebuildIndexes(state);
    return changes;
}

std::optional<MemberId> chooseForwardPeer(
    const std::vector<ForwardPeer>& peers, Duration wait, Duration serviceTime, Duration left)
{
    const ForwardPeer* best = nullptr;
    for (const ForwardPeer& peer : peers) {
        const bool isInTime = peer.roundTrip + serviceTime < left;
        if (peer.freeSlots == 0 || !isInTime || forwardingCost(peer) >= wait)
            continue;
        if (!best || isPreferred(peer, *best))
            best = &peer;
    }
    return best ? std::optional(best->member) : std::nullopt;
}

} // namespace quay
