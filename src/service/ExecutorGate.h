#pragma once

#include "quay/core/Time.h"

#include <cstdint>

namespace quay {

/**
 * How many slots of an executor may be busy with requests that this process doesn't count: those of a
 * former owner, and own ones whose answer was lost. Only the executor's own status can clear them.
 *
 * Invariant: own outstanding requests + `untrackedSlots` >= the executor's busy slots, once `isInitialized`.
 */
struct ExecutorGate {
    bool isInitialized = false; // a status since the takeover is known; before, no slot is used
    std::uint32_t untrackedSlots = 0;
    Instant statusValidFrom {}; // requests sent before the last change have arrived by then, or never will
    Instant lastExactAt {}; // when a status last came while nothing of our own was outstanding

    bool operator==(const ExecutorGate&) const = default;
};

/** What the gate needs to know of a status query. */
struct StatusAnswer {
    std::uint32_t busy = 0;
    Instant askedAt;
    bool wasIdle = false; // nothing of our own was outstanding from the question to the answer

    bool operator==(const StatusAnswer&) const = default;
};

/** A gate for an executor that is owned from now on. */
ExecutorGate gateAfterTakeover(Instant now);

/** A request ended without an answer: it may still hold its slot. */
void recordLostAnswer(ExecutorGate& gate, Instant now);

/** Takes a status answer; one that was asked for too early changes nothing. */
void applyStatus(ExecutorGate& gate, const StatusAnswer& answer);

/** True while a status could free slots. */
bool needsStatus(const ExecutorGate& gate);

/** The slots that may be used. With foreign requests that linger it falls to zero until they are counted. */
std::uint32_t usableSlots(const ExecutorGate& gate, std::uint32_t slots, Instant now);

} // namespace quay
