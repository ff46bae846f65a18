#pragma once

#include "quay/core/Ids.h"
#include "quay/core/Time.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <unordered_map>

namespace quay {

/** One team's use of the grant of this process. */
struct TeamUsage {
    std::int64_t running = 0; // units in use now
    std::int64_t refused = 0; // units refused since the last takeUsage()

    bool operator==(const TeamUsage&) const = default;
};

/**
 * Counts the units that each team has running in this process against its quota grant. Thread-safe.
 * Invariant: a team never has more units running than are granted to this process,
 * and no units are acquired after the process's lease has expired.
 *
 * Usage: `if (!tokens.tryAcquire(team, 1, now)) refuse(); ... tokens.release(team, 1);`
 */
class TeamTokens {
public:
    /** Acquires n units; false if fewer are left, the lease has expired or the tokens are fenced. */
    bool tryAcquire(const TeamId& team, std::int64_t n, Instant now);

    /** Units that can be acquired now; a hint only, as another thread may acquire them first. */
    std::int64_t available(const TeamId& team, Instant now);

    /** Releases n units. Only to be called once their work is known to have ended. */
    void release(const TeamId& team, std::int64_t n);

    /**
     * Sets the grant confirmed by the store, but not below the number of running units. Ends a pending
     * reduction: units can be acquired up to n again.
     */
    void setGranted(const TeamId& team, std::int64_t n);

    /**
     * Reduces the grant to n, or to the number of running units if that is higher, and lets no new work start
     * above n. To be repeated until n is reached.
     * @return the grant that remains
     */
    std::int64_t reduceTo(const TeamId& team, std::int64_t n);

    /** Sets the end of the member's lease, from which on no work may start. Only later ends take effect. */
    void extendLease(Instant until);

    /** Refuses all new work permanently, because another member has inherited the grants. */
    void fence();

    /** Returns the usage by team and resets the counts of refused units. */
    std::map<TeamId, TeamUsage> takeUsage();

private:
    struct Counter {
        std::int64_t granted = 0;
        std::int64_t ceiling = 0; // limit for acquiring; below `granted` while a reduction waits for releases
        std::int64_t running = 0;
        std::int64_t refused = 0;
    };

    // Teams are hashed to shards to reduce contention between threads that serve different teams.
    struct Shard {
        std::mutex mutex;
        std::unordered_map<TeamId, Counter> counters;
    };

    static constexpr std::size_t shardCount = 16;

    Shard& shardOf(const TeamId& team);
    bool mayAcquire(Instant now) const;

    std::array<Shard, shardCount> m_shards;
    std::atomic<Duration::rep> m_leaseUntil { Duration::min().count() };
    std::atomic<bool> m_fenced { false };
};

} // namespace quay
