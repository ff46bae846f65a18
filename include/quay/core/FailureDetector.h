#pragma once

#include "quay/core/Ids.h"
#include "quay/core/Time.h"

#include <map>
#include <vector>

namespace quay {

/** Heartbeat statistics of one peer. */
struct PeerHealth {
    Instant lastHeartbeatAt {};
    Duration meanGap {}; // moving average of the time between heartbeats
    Duration deviation {}; // moving average of the absolute deviation from meanGap
    bool leaving = false;

    bool operator==(const PeerHealth&) const = default;
};

/**
 * Failure detector with an adaptive timeout per peer, derived from the gaps between its heartbeats.
 * Suspicion is a hint for routing; ownership changes only by leases.
 *
 * Usage: `recordHeartbeat(detector, peer, false, now); if (isUsable(detector, peer, now)) ...`
 */
struct FailureDetector {
    Duration heartbeatInterval = 500ms;
    Duration minimumSlack = 250ms; // added to the timeout; well above the jitter of the network
    Duration ownPauseThreshold = 300ms; // a longer gap between ticks means that this process was paused
    std::map<MemberId, PeerHealth> peers;
    Instant lastTick {};
    Instant noSuspicionUntil {}; // no peer is suspected before this time

    bool operator==(const FailureDetector&) const = default;
};

/** Records a heartbeat. A `leaving` flag takes effect at once and is never reset. */
void recordHeartbeat(FailureDetector& detector, const MemberId& peer, bool leaving, Instant now);

/** Marks a peer as leaving by the platform's list. The list lags, so absence from it has no meaning. */
void markLeaving(FailureDetector& detector, const MemberId& peer);

/** Removes a peer that is no longer a member. */
void removePeer(FailureDetector& detector, const MemberId& peer);

/** Must be called at least every `ownPauseThreshold`: a longer gap is taken for a pause of this process. */
void recordTick(FailureDetector& detector, Instant now);

/** The time without a heartbeat after which the peer is suspected. */
Duration suspicionTimeout(const FailureDetector& detector, const PeerHealth& peer);

/** True if the peer's latest heartbeat is older than suspicionTimeout(). Unknown peers are not suspected. */
bool isSuspected(const FailureDetector& detector, const MemberId& peer, Instant now);

/** True if new work may be routed to the peer: known, not leaving and not suspected. */
bool isUsable(const FailureDetector& detector, const MemberId& peer, Instant now);

} // namespace quay
