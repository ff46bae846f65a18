#pragma once

#include <cstdint>
#include <vector>

namespace quay::bench {

/**
 * Counts durations in buckets of at most 1/64 relative width; values are in microseconds.
 *
 * Usage: `histogram.add(1500); histogram.percentile(99.9);`
 */
class Histogram {
public:
    void add(std::int64_t microseconds);
    std::uint64_t count() const { return m_count; }
    /** The upper edge of the bucket that holds the given part of the values; 0 without values. */
    std::int64_t percentile(double percent) const;
    std::int64_t max() const { return m_max; }

private:
    std::vector<std::uint64_t> m_buckets;
    std::uint64_t m_count = 0;
    std::int64_t m_max = 0;
};

} // namespace quay::bench
