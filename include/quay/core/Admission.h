#pragma once

#include "quay/core/Ids.h"
#include "quay/core/Reason.h"
#include "quay/core/Time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace quay {

/** An interactive request that waits for a slot. */
struct QueuedRequest {
    std::uint64_t id = 0; // chosen by the caller, unique within the process
    TeamId team;
    Instant deadline; // it must be answered by then

    bool operator==(const QueuedRequest&) const = default;
};

struct AdmissionSettings {
    std::size_t maxQueuedPerTeam = 512;
    Duration minRetryAfterDelay = 10ms;

    bool operator==(const AdmissionSettings&) const = default;
};

/** One team's waiting requests, in order of arrival. */
struct TeamQueue {
    std::uint32_t weight = 1; // share weight
    std::uint32_t remainingCredit = 0; // requests that may still leave in this turn
    std::size_t maxWaiting = 0; // 0: the settings' maxQueuedPerTeam
    std::deque<QueuedRequest> waiting;

    bool operator==(const TeamQueue&) const = default;
};

/** Bounded queues by team with weighted round robin between them. */
struct AdmissionState {
    AdmissionSettings settings;
    std::map<TeamId, TeamQueue> queues;
    std::deque<TeamId> roundRobin; // teams that wait, the next one first
    std::uint64_t activeWeight = 0; // of the teams in `roundRobin`
    std::size_t queued = 0;

    bool operator==(const AdmissionState&) const = default;
};

/** Why a request was not queued. It surely did not run. */
struct AdmissionRefusal {
    ErrorKind kind = ErrorKind::None; // QueueFull or DeadlineExceeded
    std::int64_t retryAfterMs = 0;

    bool operator==(const AdmissionRefusal&) const = default;
};

/** What the slots can do now. */
struct SlotCapacity {
    std::uint32_t slots = 0; // in service
    std::uint32_t free = 0;
    Duration serviceTime = 0ms; // a request's usual time in a slot

    bool operator==(const SlotCapacity&) const = default;
};

/** Sets a team's share weight; at least 1. Takes effect with the team's next turn. */
void setWeight(AdmissionState& state, const TeamId& team, std::uint32_t weight);

/** Bounds the team's own queue; 0 stands for the settings' bound. Requests that wait already stay. */
void setMaxWaiting(AdmissionState& state, const TeamId& team, std::size_t maxWaiting);

/** How long a new request of the team would wait for a slot. Duration::max() if there are no slots. */
Duration estimateWait(const AdmissionState& state, const TeamId& team, const SlotCapacity& capacity);

/** Queues the request, or refuses it at once if the queue is full or its deadline can't be met. */
std::optional<AdmissionRefusal> admit(
    AdmissionState& state, const QueuedRequest& request, const SlotCapacity& capacity, Instant now);

/**
 * The request whose turn it is. Requests whose deadline has passed are moved to `expired`;
 * they did not run and their callers must be told so.
 */
std::optional<QueuedRequest> dequeue(AdmissionState& state, std::vector<QueuedRequest>& expired, Instant now);

/** Removes all requests whose deadline has passed, wherever they stand in their queue. They did not run. */
std::vector<QueuedRequest> removeExpired(AdmissionState& state, Instant now);

} // namespace quay
