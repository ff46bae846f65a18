#include "quay/core/FailureDetector.h"

#include "Seeded.h"

using namespace quay;
using namespace quay::test;

namespace {

const MemberId peer { "b#1" };
constexpr auto tickInterval = 100ms;
constexpr auto start = Instant {} + 1000s;

// Ticks all the time, heartbeats every 500 ms with jitter; returns the end.
Instant runHealthy(FailureDetector& detector, std::uint64_t seed, int ticks)
{
    SeededRandom choices(seed);
    Instant now = start;
    for (int i = 0; i < ticks; ++i, now += tickInterval) {
        noteTick(detector, now);
        CHECK_FALSE(isSuspected(detector, peer, now));
        if (i % 5 == 0)
            noteHeartbeat(detector, peer, false, now + std::chrono::milliseconds(choices.between(0, 20)));
    }
    return now;
}

Instant tickFor(FailureDetector& detector, Instant now, Duration span)
{
    const Instant end = now + span;
    for (; now <= end; now += tickInterval)
        noteTick(detector, now);
    return now - tickInterval;
}

} // namespace

TEST_CASE("jitter raises no suspicion, silence does")
{
    forEachSeed(20, [](std::uint64_t seed) {
        FailureDetector detector;
        auto now = runHealthy(detector, seed, 300);
        CHECK(isUsable(detector, peer, now));
        now = tickFor(detector, now, 3s);
        CHECK(isSuspected(detector, peer, now));
        CHECK_FALSE(isUsable(detector, peer, now));
        noteHeartbeat(detector, peer, false, now);
        CHECK(isUsable(detector, peer, now));
    });
}

TEST_CASE("a process that was paused suspects nobody until fresh heartbeats had time to come")
{
    FailureDetector detector;
    auto now = runHealthy(detector, 1, 100) + 10s;
    CHECK_FALSE(isSuspected(detector, peer, now)); // even before its first tick
    noteTick(detector, now);
    CHECK_FALSE(isSuspected(detector, peer, now));
    now = tickFor(detector, now, 900ms);
    CHECK_FALSE(isSuspected(detector, peer, now));
    now = tickFor(detector, now, 500ms);
    CHECK(isSuspected(detector, peer, now));
}

TEST_CASE("a leaving flag takes effect at once and stays")
{
    for (const bool byHeartbeat : { true, false }) {
        FailureDetector detector;
        const auto now = runHealthy(detector, 1, 20);
        if (byHeartbeat)
            noteHeartbeat(detector, peer, true, now);
        else
            noteLeaving(detector, peer);
        CHECK_FALSE(isUsable(detector, peer, now));
        noteHeartbeat(detector, peer, false, now); // an older message, reordered
        CHECK_FALSE(isUsable(detector, peer, now));
    }
}

TEST_CASE("unknown peers are neither suspected nor usable")
{
    FailureDetector detector;
    noteTick(detector, start);
    noteLeaving(detector, peer);
    CHECK_FALSE(isSuspected(detector, peer, start));
    CHECK_FALSE(isUsable(detector, peer, start));
}
