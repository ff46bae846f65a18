#include "edge/Clock.h"

#include <ctime>

namespace quay::edge {

Instant clockNow()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time); // can't fail for a clock that the kernel knows
    return Instant(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace quay::edge
