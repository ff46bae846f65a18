#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>

namespace quay {

/** A resource vector: the capacity, the usage or the demand of a worker or task. */
struct Resources {
    std::int64_t cpuMilli = 0; // thousandths of a core
    std::int64_t memoryMb = 0; // mebibytes
    std::int64_t accelerators = 0; // whole devices

    bool operator==(const Resources&) const = default;

    /** True if this amount is at most `room` in every dimension. */
    bool fitsIn(const Resources& room) const
    {
        return cpuMilli <= room.cpuMilli && memoryMb <= room.memoryMb && accelerators <= room.accelerators;
    }

    Resources& operator+=(const Resources& other)
    {
        cpuMilli += other.cpuMilli;
        memoryMb += other.memoryMb;
        accelerators += other.accelerators;
        return *this;
    }

    Resources& operator-=(const Resources& other)
    {
        cpuMilli -= other.cpuMilli;
        memoryMb -= other.memoryMb;
        accelerators -= other.accelerators;
        return *this;
    }
};

inline Resources operator+(Resources a, const Resources& b) { return a += b; }
inline Resources operator-(Resources a, const Resources& b) { return a -= b; }
inline Resources operator*(const Resources& each, std::int64_t count)
{
    return { each.cpuMilli * count, each.memoryMb * count, each.accelerators * count };
}

/** Clamps every dimension to at least zero. */
inline Resources atLeastZero(Resources amount)
{
    amount.cpuMilli = std::max<std::int64_t>(amount.cpuMilli, 0);
    amount.memoryMb = std::max<std::int64_t>(amount.memoryMb, 0);
    amount.accelerators = std::max<std::int64_t>(amount.accelerators, 0);
    return amount;
}

} // namespace quay
