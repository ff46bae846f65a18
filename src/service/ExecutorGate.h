#pragma once

#include "quay/core/Time.h"

#include <cstdint>

namespace quay {

/**
 * Upper bound of the slots of an executor that are busy with requests this process does not track: requests
 * of a former owner, and own requests whose answer was lost. Only a status of the executor can lower it.
 *
 * Invariant: own outstanding requests + `untrackedSlots` >= the executor's busy slots, once `isInitialized`.
 *
 * Usage: `gate = gateAfterTakeover(now); applyStatus(gate, answer); usableSlots(gate, slots, now);`
 */
struct ExecutorGate {
    bool isInitialized = false; // an exact status arrived since the takeover; until then no slot is used
    std::uint32_t untrackedSlots = 0;
    // A status queried before this time could miss untracked requests and is ignored; by this time each of
    // them has arrived at the executor or never will.
    Instant statusValidFrom {};
    // Time of the last exact status, the takeover, or the first lost answer after all slots were accounted
    // for, whichever is latest. The time limit on untracked slots counts from here.
    Instant lastExactAt {};

    bool operator==(const ExecutorGate&) const = default;
};

/** The result of a status query. */
struct StatusAnswer {
    std::uint32_t busySlots = 0; // busy slots as counted by the executor
    Instant askedAt;
    bool wasIdle = false; // no own request was outstanding between query and answer

    bool operator==(const StatusAnswer&) const = default;
};

/** The state for an executor that this process owns from `now` on. */
ExecutorGate gateAfterTakeover(Instant now);

/**
 * Counts one more untracked slot: a request ended without an answer and may still hold its slot, or the
 * executor refused it because all slots were busy.
 */
void recordLostAnswer(ExecutorGate& gate, Instant now);

/** Applies a status answer; an answer to a query before `statusValidFrom` is ignored. */
void applyStatus(ExecutorGate& gate, const StatusAnswer& answer);

/** True while a status could make more slots usable. */
bool needsStatus(const ExecutorGate& gate);

/**
 * The number of slots this process may use, out of `slots`. If untracked slots persist for too long the
 * result is zero, so that own requests drain and the next status is exact.
 */
std::uint32_t usableSlots(const ExecutorGate& gate, std::uint32_t slots, Instant now);

} // namespace quay
