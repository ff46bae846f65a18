#pragma once

#include <cstdint>
#include <cstdlib>
#include <doctest/doctest.h>
#include <random>
#include <string>

namespace quay::test {

/** Random number generator for all random decisions of one seeded run. */
class SeededRandom {
public:
    explicit SeededRandom(std::uint64_t seed)
        : m_engine(seed)
    {
    }

    /** A number in [0, count). */
    std::size_t below(std::size_t count) { return m_engine() % count; }

    /** A number in [low, high]. */
    std::int64_t between(std::int64_t low, std::int64_t high)
    {
        return low + static_cast<std::int64_t>(m_engine() % static_cast<std::uint64_t>(high - low + 1));
    }

    /** True with a probability of `percent` in 100. */
    bool percent(unsigned percent) { return m_engine() % 100 < percent; }

private:
    std::mt19937_64 m_engine;
};

/**
 * Calls `run(seed)` for the seeds 1 to `count`. The environment variable QUAY_SEED=n replays one seed,
 * QUAY_SEEDS=n replaces `count` (for longer runs outside CI).
 */
template <typename Run> void forEachSeed(std::uint64_t count, Run run)
{
    if (const char* one = std::getenv("QUAY_SEED")) {
        run(std::stoull(one));
        return;
    }
    if (const char* many = std::getenv("QUAY_SEEDS"))
        count = std::stoull(many);
    for (std::uint64_t seed = 1; seed <= count; ++seed) {
        INFO("replay with QUAY_SEED=" << seed);
        run(seed);
    }
}

} // namespace quay::test
