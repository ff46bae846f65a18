#pragma once

#include "quay/core/Admission.h"
#include "quay/core/OutlierEjection.h"

#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace quay {

/** How an executor is chosen. All but TwoChoices are baselines for measurements. */
enum class RoutingPolicy {
    TwoChoices, // the less loaded of two random executors with a free slot
    Random, // any executor with a free slot
    FirstFit, // the first executor, in order of the list, with a free slot
};

/**
 * Rules of routing. The default is right; every other value breaks one rule and exists to show
 * that the checks of the tests notice.
 */
struct RouterRules {
    bool enforceSlotLimit = true;
    bool skipLeavingExecutors = true;
    bool skipEjectedExecutors = true;

    bool operator==(const RouterRules&) const = default;
};

struct RouterSettings {
    RoutingPolicy policy = RoutingPolicy::TwoChoices;
    AdmissionSettings admission;
    OutlierSettings outliers;
    Duration initialServiceTime = 20ms; // until answers were measured
    RouterRules rules;

    bool operator==(const RouterSettings&) const = default;
};

/** An executor whose slots are owned by this member. */
struct ExecutorInfo {
    ServerId id;
    std::uint32_t slots = 0;
    bool leaving = false;

    bool operator==(const ExecutorInfo&) const = default;
};

/** An executor and the load that this member has put on it. */
struct Executor {
    ExecutorInfo info;
    std::uint32_t outstanding = 0; // may exceed the slots after they were reduced; then none is given
    Duration latency = Duration::zero(); // moving average; zero: not measured yet
    bool ejected = false;
    bool owned = true; // false: kept only until its outstanding requests are answered
    std::ptrdiff_t availableIndex = -1; // position in RouterState::available, or -1

    bool operator==(const Executor&) const = default;
};

/** Executors, waiting requests and health of one member. */
struct RouterState {
    RouterSettings settings;
    AdmissionState admission;
    OutlierState outliers;
    Duration serviceTime = Duration::zero(); // moving average over all answers
    std::vector<Executor> executors;
    std::unordered_map<ServerId, std::size_t> executorIndices;
    std::vector<std::size_t> available; // executors that may take a request now, in no order
    std::uint32_t slots = 0; // of executors in service
    std::uint32_t freeSlots = 0;

    bool operator==(const RouterState&) const = default;
};

/** A request that is to be sent to an executor. */
struct Dispatch {
    QueuedRequest request;
    ServerId executor;

    bool operator==(const Dispatch&) const = default;
};

/** What a call of dispatch() decided. */
struct DispatchResult {
    std::vector<Dispatch> dispatches;
    std::vector<QueuedRequest> expired; // did not run; to be refused with DeadlineExceeded

    bool operator==(const DispatchResult&) const = default;
};

/** Another member as a place to forward a request to. */
struct ForwardPeer {
    MemberId member;
    bool sameDomain = false;
    std::uint32_t freeSlots = 0; // as last advertised
    Duration roundTrip = 0ms;
    Duration linkCost = 0ms; // waiting time that one use of the link is worth

    bool operator==(const ForwardPeer&) const = default;
};

/** A router without executors. */
RouterState makeRouter(const RouterSettings& settings);

/**
 * Sets the executors that this member owns. Load and latency of known ones are kept; one that is no longer
 * owned gets nothing new and is forgotten with its last answer.
 */
void setExecutors(RouterState& state, const std::vector<ExecutorInfo>& executors);

/** Queues a request, or says why not. A refused request did not run. */
std::optional<AdmissionRefusal> enqueueRequest(RouterState& state, const QueuedRequest& request, Instant now);

/**
 * Gives waiting requests to free slots until either runs out.
 * An executor never has more requests outstanding than slots.
 *
 * Usage: `for (auto& next : dispatch(router, now, rng).dispatches) send(next.executor, next.request);`
 */
DispatchResult dispatch(RouterState& state, Instant now, std::mt19937_64& rng);

/** Frees the slot of an answered (or surely ended) request and learns from it. */
void onAnswer(RouterState& state, const ServerId& executor, bool succeeded, Duration latency);

/** Frees the slot of a request that was not sent after all; nothing is learned from it. */
void onSendAborted(RouterState& state, const ServerId& executor);

/** Ejects and readmits executors by their failure rates; to be called about once a second. */
std::vector<HealthChange> updateEjections(RouterState& state, Instant now);

/** The capacity that admission reckons with. */
SlotCapacity slotCapacity(const RouterState& state);

/**
 * Where to forward a request that would wait here for `wait`: a peer with a free slot whose round trip and
 * link price cost less than the wait, those of the own domain first. Nullopt: keep it.
 * @param left time until the deadline; a peer that can't answer within it is not chosen
 */
std::optional<MemberId> chooseForwardPeer(
    const std::vector<ForwardPeer>& peers, Duration wait, Duration serviceTime, Duration left);

} // namespace quay
