#include "quay/core/FailureDetector.h"

#include "SeededRandom.h"

using namespace quay;
using namespace quay::test;

namespace {

const MemberId peer { "b#1" };
constexpr auto tickInterval = 100ms;
constexpr auto start = Instant {} + 1000s;

// Runs `ticks` ticks with a heartbeat every 500 ms and jitter; returns the end time.
Instant runHealthy(FailureDetector& detector, std::uint64_t seed, int ticks)
{
    SeededRandom choices(seed);
    Instant now = start;
    for (int i = 0; i < ticks; ++i, now += tickInterval) {
        recordTick(detector, now);
        CHECK_FALSE(isSuspected(detector, peer, now));
        if (i % 5 == 0)
            recordHeartbeat(detector, peer, false, now + std::chrono::milliseconds(choices.between(0, 20)));
    }
    return now;
}

Instant tickFor(FailureDetector& detector, Instant now, Duration span)
{
    const Instant end = now + span;
    for (; now <= end; now += tickInterval)
        recordTick(detector, now);
    return now - tickInterval;
}

} // namespace

TEST_CASE("a peer is suspected after missing heartbeats, but not for jitter")
{
    forEachSeed(20, [](std::uint64_t seed) {
        FailureDetector detector;
        auto now = runHealthy(detector, seed, 300);
        CHECK(isUsable(detector, peer, now));
        now = tickFor(detector, now, 3s);
        CHECK(isSuspected(detector, peer, now));
        CHECK_FALSE(isUsable(detector, peer, now));
        recordHeartbeat(detector, peer, false, now);
        CHECK(isUsable(detector, peer, now));
    });
}

TEST_CASE("a process that was paused suspects no peer until new heartbeats had time to arrive")
{
    FailureDetector detector;
    auto now = runHealthy(detector, 1, 100) + 10s;
    CHECK_FALSE(isSuspected(detector, peer, now)); // even before its first tick
    recordTick(detector, now);
    CHECK_FALSE(isSuspected(detector, peer, now));
    now = tickFor(detector, now, 900ms);
    CHECK_FALSE(isSuspected(detector, peer, now));
    now = tickFor(detector, now, 500ms);
    CHECK(isSuspected(detector, peer, now));
}

TEST_CASE("a leaving flag takes effect at once and is never reset")
{
    for (const bool byHeartbeat : { true, false }) {
        FailureDetector detector;
        const auto now = runHealthy(detector, 1, 20);
        if (byHeartbeat)
            recordHeartbeat(detector, peer, true, now);
        else
            markLeaving(detector, peer);
        CHECK_FALSE(isUsable(detector, peer, now));
        recordHeartbeat(detector, peer, false, now); // an older message that arrives late
        CHECK_FALSE(isUsable(detector, peer, now));
    }
}

TEST_CASE("unknown peers are neither suspected nor usable")
{
    FailureDetector detector;
    recordTick(detector, start);
    markLeaving(detector, peer);
    CHECK_FALSE(isSuspected(detector, peer, start));
    CHECK_FALSE(isUsable(detector, peer, start));
}
