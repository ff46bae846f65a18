#pragma once

#include <cstdint>
#include <vector>

namespace quay::bench {

/**
 * Log-linear histogram of durations in microseconds. Values below 64 are counted exactly; above, a bucket is
 * at most 1/32 of its lower bound wide.
 *
 * Usage: `histogram.add(1500); histogram.percentile(99.9);`
 */
class Histogram {
public:
    /** Counts a value; negative values count as 0. */
    void add(std::int64_t microseconds);
    std::uint64_t count() const { return m_count; }
    /**
     * Returns the upper bound of the bucket that holds the given percentile (0 to 100), at most max().
     * Returns 0 without values.
     */
    std::int64_t percentile(double percent) const;
    std::int64_t max() const { return m_max; }

private:
    std::vector<std::uint64_t> m_buckets;
    std::uint64_t m_count = 0;
    std::int64_t m_max = 0;
};

} // namespace quay::bench
