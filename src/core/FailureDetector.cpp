#include "quay/core/FailureDetector.h"

#include <algorithm>

namespace quay {

namespace {

// As in TCP's retransmission timeout (RFC 6298): gains of 1/8 and 1/4, and a timeout of the mean plus four
// deviations.
constexpr int meanGapDivisor = 8;
constexpr int deviationDivisor = 4;
constexpr int deviationsAllowed = 4;
constexpr int missedHeartbeatsAllowed = 2;

PeerHealth newPeer(const FailureDetector& detector, Instant now)
{
    PeerHealth peer;
    peer.lastHeartbeatAt = now;
    peer.meanGap = detector.heartbeatInterval;
    return peer;
}

Duration absoluteDifference(Duration a, Duration b) { return a > b ? a - b : b - a; }

void updateGapStatistics(const FailureDetector& detector, PeerHealth& peer, Duration gap)
{
    // Clamp the gap, so that one network outage doesn't raise the timeout to the length of the outage.
    gap = std::min(gap, missedHeartbeatsAllowed * detector.heartbeatInterval);
    peer.deviation += (absoluteDifference(gap, peer.meanGap) - peer.deviation) / deviationDivisor;
    peer.meanGap += (gap - peer.meanGap) / meanGapDivisor;
}

} // namespace

void recordHeartbeat(FailureDetector& detector, const MemberId& peer, bool leaving, Instant now)
{
    auto [it, isNew] = detector.peers.try_emplace(peer, newPeer(detector, now));
    auto& health = it->second;
    // A gap that spans a pause of this process carries no information about the peer.
    if (!isNew && now >= detector.noSuspicionUntil)
        updateGapStatistics(detector, health, now - health.lastHeartbeatAt);
    health.lastHeartbeatAt = std::max(health.lastHeartbeatAt, now);
    health.leaving = health.leaving || leaving;
}

void markLeaving(FailureDetector& detector, const MemberId& peer)
{
    const auto it = detector.peers.find(peer);
    if (it != detector.peers.end())
        it->second.leaving = true;
}

void removePeer(FailureDetector& detector, const MemberId& peer) { detector.peers.erase(peer); }

void recordTick(FailureDetector& detector, Instant now)
{
    const bool paused
        = detector.lastTick != Instant {} && now - detector.lastTick > detector.ownPauseThreshold;
    // Heartbeats received during the pause may still be queued in the socket, so no peer is suspected until
    // each live one has had time to send new heartbeats.
    if (paused)
        detector.noSuspicionUntil = now + missedHeartbeatsAllowed * detector.heartbeatInterval;
    detector.lastTick = now;
}

Duration suspicionTimeout(const FailureDetector& detector, const PeerHealth& peer)
{
    // Extra heartbeats lower the mean, but a peer need only send the regular ones.
    const auto gap = std::max(peer.meanGap, detector.heartbeatInterval);
    return missedHeartbeatsAllowed * gap + deviationsAllowed * peer.deviation + detector.minimumSlack;
}

bool isSuspected(const FailureDetector& detector, const MemberId& peer, Instant now)
{
    // This check may be the first code to run after a pause, before recordTick() can detect the pause.
    const bool pausedNow = now - detector.lastTick > detector.ownPauseThreshold;
    const auto it = detector.peers.find(peer);
    if (it == detector.peers.end() || pausedNow || now < detector.noSuspicionUntil)
        return false;
    return now - it->second.lastHeartbeatAt > suspicionTimeout(detector, it->second);
}

bool isUsable(const FailureDetector& detector, const MemberId& peer, Instant now)
{
    const auto it = detector.peers.find(peer);
    if (it == detector.peers.end() || it->second.leaving)
        return false;
    return !isSuspected(detector, peer, now);
}

} // namespace quay
