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

/** An interactive request that is queued for a slot. */
struct QueuedRequest {
    std::uint64_t id = 0; // chosen by the caller, unique within the process
    TeamId team;
    Instant deadline; // of the answer

    bool operator==(const QueuedRequest&) const = default;
};

/** Limits of admission control. */
struct AdmissionSettings {
    std::size_t maxQueuedPerTeam = 512;
    Duration minRetryAfterDelay = 10ms;

    bool operator==(const AdmissionSettings&) const = default;
};

/** One team's queue, first in, first out, and its state in the weighted round robin. */
struct TeamQueue {
    std::uint32_t weight = 1; // requests served per round
    std::uint32_t remainingCredit = 0; // requests that may still be dequeued in this round
    std::size_t maxWaiting = 0; // 0: AdmissionSettings::maxQueuedPerTeam applies
    std::deque<QueuedRequest> waiting;

    bool operator==(const TeamQueue&) const = default;
};

/**
 * Admission control: one bounded queue per team, served by weighted round robin.
 *
 * Usage: `if (auto refusal = admit(state, request, capacity, now)) answer(*refusal);
 * while (auto next = dequeue(state, expired, now)) run(*next);`
 */
struct AdmissionState {
    AdmissionSettings settings;
    std::map<TeamId, TeamQueue> queues;
    std::deque<TeamId> roundRobin; // teams with queued requests, the next one to serve first
    std::uint64_t activeWeight = 0; // sum of the weights of the teams in `roundRobin`
    std::size_t queued = 0; // requests in all queues

    bool operator==(const AdmissionState&) const = default;
};

/** Why a request was not queued. A refused request has not run. */
struct AdmissionRefusal {
    ErrorKind kind = ErrorKind::None; // QueueFull or DeadlineExceeded
    std::int64_t retryAfterMs = 0;

    bool operator==(const AdmissionRefusal&) const = default;
};

/** The executors' slots as seen by the wait estimate. */
struct SlotCapacity {
    std::uint32_t slots = 0; // of executors in service, free or busy
    std::uint32_t free = 0;
    Duration serviceTime = 0ms; // average time that a request occupies a slot

    bool operator==(const SlotCapacity&) const = default;
};

/** Sets a team's weight; 0 is raised to 1. Takes effect in the team's next round. */
void setWeight(AdmissionState& state, const TeamId& team, std::uint32_t weight);

/**
 * Sets the length limit of the team's queue; 0 selects AdmissionSettings::maxQueuedPerTeam.
 * Requests that are already queued stay.
 */
void setMaxWaiting(AdmissionState& state, const TeamId& team, std::size_t maxWaiting);

/** Estimates the time that a new request of the team waits for a slot; Duration::max() without slots. */
Duration estimateWait(const AdmissionState& state, const TeamId& team, const SlotCapacity& capacity);

/**
 * Queues the request, or refuses it if the queue is full or its deadline can't be met.
 * @return nullopt if the request was queued
 */
std::optional<AdmissionRefusal> admit(
    AdmissionState& state, const QueuedRequest& request, const SlotCapacity& capacity, Instant now);

/**
 * Removes and returns the next request in weighted round-robin order; nullopt if there is none.
 * Requests found with a passed deadline are moved to `expired`. They did not run, and the caller refuses
 * them.
 */
std::optional<QueuedRequest> dequeue(AdmissionState& state, std::vector<QueuedRequest>& expired, Instant now);

/** Removes and returns all queued requests whose deadline has passed. They did not run. */
std::vector<QueuedRequest> removeExpired(AdmissionState& state, Instant now);

} // namespace quay
