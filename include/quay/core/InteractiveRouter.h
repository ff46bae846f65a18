#pragma once

#include "quay/core/Admission.h"
#include "quay/core/OutlierEjection.h"

#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace quay {

/** How an executor is chosen. Random and FirstFit are baselines for benchmarks. */
enum class RoutingPolicy {
    TwoChoices, // power of two choices: the less loaded of two random executors with a free slot
    Random, // a random executor with a free slot
    FirstFit, // the first executor with a free slot, in the order of setExecutors()
};

/**
 * Rules of routing, each of which can be switched off by mutation tests to show that the checks detect the
 * fault. Production code uses the default, with all rules on.
 */
struct RouterRules {
    bool enforceSlotLimit = true; // no more outstanding requests than slots
    bool skipLeavingExecutors = true; // no new requests to a draining executor
    bool skipEjectedExecutors = true; // no new requests to an ejected executor

    bool operator==(const RouterRules&) const = default;
};

/** Settings of the router. */
struct RouterSettings {
    RoutingPolicy policy = RoutingPolicy::TwoChoices;
    AdmissionSettings admission;
    OutlierSettings outliers;
    Duration initialServiceTime = 20ms; // estimate before the first answer
    RouterRules rules;

    bool operator==(const RouterSettings&) const = default;
};

/** An executor whose slots are owned by this member. */
struct ExecutorInfo {
    ServerId id;
    std::uint32_t slots = 0;
    bool leaving = false; // draining: takes no new requests

    bool operator==(const ExecutorInfo&) const = default;
};

/** An executor with the requests that this member has outstanding there. */
struct Executor {
    ExecutorInfo info;
    std::uint32_t outstanding = 0; // may exceed the slots after they were reduced; then none is added
    Duration latency = Duration::zero(); // moving average of successful requests; zero: not measured yet
    bool ejected = false; // by outlier ejection
    bool owned = true; // false: kept until its outstanding requests are answered
    std::ptrdiff_t availableIndex = -1; // index in RouterState::available, or -1

    bool operator==(const Executor&) const = default;
};

/** One member's executors, queued requests and outlier statistics. */
struct RouterState {
    RouterSettings settings;
    AdmissionState admission;
    OutlierState outliers;
    Duration serviceTime = Duration::zero(); // moving average of successful requests on all executors
    std::vector<Executor> executors;
    std::unordered_map<ServerId, std::size_t> executorIndices; // into `executors`
    std::vector<std::size_t> available; // indices of the executors that may take a request now, unordered
    std::uint32_t slots = 0; // of executors in service
    std::uint32_t freeSlots = 0;

    bool operator==(const RouterState&) const = default;
};

/** A request and the executor to which it must be sent. */
struct Dispatch {
    QueuedRequest request;
    ServerId executor;

    bool operator==(const Dispatch&) const = default;
};

/** Result of dispatch(). */
struct DispatchResult {
    std::vector<Dispatch> dispatches;
    std::vector<QueuedRequest> expired; // have not run; the caller refuses them with DeadlineExceeded

    bool operator==(const DispatchResult&) const = default;
};

/** Another member as a candidate for forwarding a request. */
struct ForwardPeer {
    MemberId member;
    bool sameDomain = false;
    std::uint32_t freeSlots = 0; // as last advertised by the peer
    Duration roundTrip = 0ms;
    Duration linkCost = 0ms; // queueing time that forwarding must save beyond the round trip

    bool operator==(const ForwardPeer&) const = default;
};

/** Creates a router without executors. */
RouterState makeRouter(const RouterSettings& settings);

/**
 * Sets the executors whose slots this member owns. Known executors keep their outstanding requests and
 * latency. An executor that is no longer owned gets no new requests and is removed after its last answer.
 */
void setExecutors(RouterState& state, const std::vector<ExecutorInfo>& executors);

/** Queues a request; returns the refusal if it was not admitted. A refused request has not run. */
std::optional<AdmissionRefusal> enqueueRequest(RouterState& state, const QueuedRequest& request, Instant now);

/**
 * Assigns queued requests to free slots until no request or no slot is left.
 * Never assigns a request to an executor that has as many requests outstanding as slots.
 *
 * Usage: `for (auto& next : dispatch(router, now, rng).dispatches) send(next.executor, next.request);`
 */
DispatchResult dispatch(RouterState& state, Instant now, std::mt19937_64& rng);

/** Frees the slot of a request that was answered or is certain to have ended; records outcome and latency. */
void onAnswer(RouterState& state, const ServerId& executor, bool succeeded, Duration latency);

/** Frees the slot of a dispatched request that was not sent; no outcome or latency is recorded. */
void onSendAborted(RouterState& state, const ServerId& executor);

/** Ejects and readmits executors by their failures; see checkOutliers(). To be called about once a second. */
std::vector<HealthChange> updateEjections(RouterState& state, Instant now);

/** The slot capacity on which admit() bases its estimate. */
SlotCapacity slotCapacity(const RouterState& state);

/**
 * Chooses the peer to which to forward a request that would be queued for `wait` on this member. The peer
 * must have a free slot, and its round trip and link cost together must be below `wait`. Peers of the same
 * failure domain are preferred.
 * @param left time until the deadline; a peer that can't answer within it is not chosen
 * @return nullopt if the request should stay here
 */
std::optional<MemberId> chooseForwardPeer(
    const std::vector<ForwardPeer>& peers, Duration wait, Duration serviceTime, Duration left);

} // namespace quay
