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

/** What a process did with one team's grant since the last look. */
struct TeamUsage {
    std::int64_t running = 0; // units in use now
    std::int64_t refused = 0; // units refused since the last look

    bool operator==(const TeamUsage&) const = default;
};

/**
 * The ledger of team tokens of one process, shared by all of its threads.
 * Invariant: a team never has more units running than are granted to this process,
 * and nothing new starts once the process's lease has lapsed.
 *
 * Usage: `if (!tokens.tryAcquire(team, 1, now)) refuse(); ... tokens.release(team, 1);`
 */
class TeamTokens {
public:
    /** Takes n units; false if the grant is in use, lowered, or the lease has lapsed. */
    bool tryAcquire(const TeamId& team, std::int64_t n, Instant now);

    /** Units that may be taken now; another thread may take them first. */
    std::int64_t available(const TeamId& team, Instant now);

    /** Gives n units back after their work has surely ended. */
    void release(const TeamId& team, std::int64_t n);

    /** Sets what the store has confirmed as this process's grant. Never below what is running. */
    void setGranted(const TeamId& team, std::int64_t n);

    /**
     * Lowers the grant towards n at once and lets no work start above n from now on.
     * Returns the grant that remains: n, or what is still running if that is more.
     */
    std::int64_t reduceTo(const TeamId& team, std::int64_t n);

    /** New work may start until this instant, the end of the member's lease. Only ever raised. */
    void extendLease(Instant until);

    /** Refuses all new work for good: another member has inherited the grants. */
    void fence();

    /** Usage by team; counters of refusals start again from zero. */
    std::map<TeamId, TeamUsage> takeUsage();

private:
    struct Counter {
        std::int64_t granted = 0;
        std::int64_t ceiling = 0; // no acquire above it; below `granted` while a lowering waits for releases
        std::int64_t running = 0;
        std::int64_t refused = 0;
    };

    // Teams are spread over shards so that threads serving different teams rarely meet on one mutex.
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
