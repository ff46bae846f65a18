#include "edge/Clock.h"

#include <ctime>
#include <doctest/doctest.h>

using namespace quay;

TEST_CASE("the clock of a node counts the time for which its machine was suspended")
{
    const auto bootTime = [] {
        timespec time {};
        REQUIRE(clock_gettime(CLOCK_BOOTTIME, &time) == 0);
        return Instant(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
    };
    const auto before = bootTime();
    const auto reading = edge::clockNow();
    CHECK(before <= reading);
    CHECK(reading <= bootTime());
}
