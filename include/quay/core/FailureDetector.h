#pragma once

#include "quay/core/Ids.h"
#include "quay/core/Time.h"

#include <map>
#include <vector>

namespace quay {

/** What the detector knows of one peer. */
struct PeerHealth {
    Instant lastHeartbeatAt {};
    Duration meanGap {}; // smoothed time between heartbeats
    Duration deviation {}; // smoothed distance from the mean
    bool leaving = false;

    bool operator==(const PeerHealth&) const = default;
};

/**
 * Suspicion of peers by an adaptive timeout over heartbeat gaps. Suspicion is
 * a hint for routing; it never moves ownership, which only leases do.
 */
struct FailureDetector {
    Duration heartbeatInterval = 500ms;
    Duration minimumSlack = 250ms; // added to the timeout, well above the links' jitter
    Duration ownPauseThreshold = 300ms; // a longer gap between ticks means this process was paused
    std::map<MemberId, PeerHealth> peers;
    Instant lastTick {};
    Instant noSuspicionUntil {}; // nobody is suspected before this time

    bool operator==(const FailureDetector&) const = default;
};

/** Notes a heartbeat. A `leaving` flag takes effect at once and is never taken back. */
void recordHeartbeat(FailureDetector& detector, const MemberId& peer, bool leaving, Instant now);

/** Notes the platform list's word that a peer leaves. Being missing from the list means nothing: it lags. */
void markLeaving(FailureDetector& detector, const MemberId& peer);

/** Forgets a peer that is no longer a member. */
void removePeer(FailureDetector& detector, const MemberId& peer);

/** To be called at least every `ownPauseThreshold`; a longer gap is taken as a pause of this process. */
void recordTick(FailureDetector& detector, Instant now);

/** How long a peer may be silent before it is suspected. */
Duration suspicionTimeout(const FailureDetector& detector, const PeerHealth& peer);

/** True if the peer has been silent for too long. Unknown peers are not suspected. */
bool isSuspected(const FailureDetector& detector, const MemberId& peer, Instant now);

/** True if new work may be routed to the peer: heard from, not leaving, not suspected. */
bool isUsable(const FailureDetector& detector, const MemberId& peer, Instant now);

} // namespace quay
