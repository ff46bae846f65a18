#pragma once

#include <cstdint>
#include <cstdlib>
#include <doctest/doctest.h>
#include <random>
#include <string>

namespace quay::test {

/** Source of every random choice of one seeded run. */
class SeededRandom {
public:
    explicit SeededRandom(std::uint64_t seed)
        : m_engine(seed)
    {
    }

    /** A number from 0 to count - 1. */
    std::size_t below(std::size_t count) { return m_engine() % count; }

    /** A number from low to high, both included. */
    std::int64_t between(std::int64_t low, std::int64_t high)
    {
        return low + static_cast<std::int64_t>(m_engine() % static_cast<std::uint64_t>(high - low + 1));
    }

    /** True in about `percent` of a hundred calls. */
    bool percent(unsigned percent) { return m_engine() % 100 < percent; }

private:
    std::mt19937_64 m_engine;
};

/**
 * Runs `run(seed)` for a fixed set of seeds. QUAY_SEED=n replays one seed;
 * QUAY_SEEDS=n runs that many (longer runs outside CI).
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
