#include "quay-bench/Histogram.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace quay::bench {

namespace {

constexpr unsigned subBucketBits = 6;
constexpr std::uint64_t subBuckets = 1U << subBucketBits;

// Values below 64 have a bucket each; above, every power of two is divided into 32 buckets of equal width.
// Example: 100 has 7 bits, so the shift is 1 and bucket 64 + (50 - 32) = 82 of width 2 holds 100 and 101.
std::size_t bucketOf(std::uint64_t value)
{
    if (value < subBuckets)
        return value;
    const auto shift = std::bit_width(value) - subBucketBits;
    return subBuckets + (shift - 1) * subBuckets / 2 + ((value >> shift) - subBuckets / 2);
}

std::uint64_t upperBound(std::size_t bucket)
{
    if (bucket < subBuckets)
        return bucket;
    const auto shift = (bucket - subBuckets) / (subBuckets / 2) + 1;
    const auto mantissa = (bucket - subBuckets) % (subBuckets / 2) + subBuckets / 2;
    return ((mantissa + 1) << shift) - 1;
}

} // namespace

void Histogram::add(std::int64_t microseconds)
{
    const auto value = std::max<std::int64_t>(microseconds, 0);
    const auto bucket = bucketOf(static_cast<std::uint64_t>(value));
    if (bucket >= m_buckets.size())
        m_buckets.resize(bucket + 1);
    ++m_buckets[bucket];
    ++m_count;
    m_max = std::max(m_max, value);
}

std::int64_t Histogram::percentile(double percent) const
{
    const auto wanted = static_cast<std::uint64_t>(std::ceil(static_cast<double>(m_count) * percent / 100));
    std::uint64_t seen = 0;
    for (std::size_t i = 0; i < m_buckets.size(); ++i) {
        seen += m_buckets[i];
        if (seen && seen >= wanted)
            return std::min(static_cast<std::int64_t>(upperBound(i)), m_max);
    }
    return m_max;
}

} // namespace quay::bench
