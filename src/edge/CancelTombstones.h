#pragma once

#include "edge/TokenBucket.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace quay::edge {

/** Limits of the tombstones that callers can add by cancelling jobs that do not exist. */
struct TombstoneLimits {
    Duration lifetime {}; // at least the longest time that a submission may be on its way
    std::size_t maxCount = 8192;
    double teamPerSecond = 20; // of one team
    double teamBurst = 100;
};

/**
 * Cancellations of jobs that the leader does not know. While the tombstone of a job exists, the leader
 * accepts no submission of it, and a job that is found in the store nevertheless is cancelled at once.
 *
 * A tombstone is reserved before its row is written, so that no submission can be accepted in between, and is
 * durable once the row is. Each team can hold as many reserved tombstones as are still free, so one team
 * can take half of them at most, two teams a third each.
 *
 * Usage: `if (tombstones.reserve(id, team, now) == Reservation::Reserved) writeRow(id, [&] {
 * tombstones.add(id, 0, now); });`
 */
class CancelTombstones {
public:
    explicit CancelTombstones(const TombstoneLimits& limits)
        : m_limits(limits)
    {
    }

    enum class Reservation {
        Reserved, // the caller writes the row
        Durable, // an earlier cancellation has written it; prolonged
        Refused, // the team has reached a limit, or the row is being deleted
    };

    /** Adds a tombstone whose row is to be written. */
    Reservation reserve(const std::string& job, const std::string& team, Instant now);

    /**
     * Adds a tombstone whose row is durable, or prolongs the one there is. Has no limit: the cancellation may
     * have been acknowledged. `rowVersion`: of the row; 0 if it is not known.
     */
    void add(const std::string& job, std::int64_t rowVersion, Instant now);

    bool contains(const std::string& job) const { return m_entries.count(job) > 0; }

    /**
     * Removes the tombstone of a job that has become known. Returns true if its cancellation is durable, so
     * that the caller has to cancel the job; from then on the cancellation is stored as long as the job is.
     */
    bool resolve(const std::string& job);

    /** A tombstone past its lifetime, with the version of its row. */
    struct Expired {
        std::string job;
        std::int64_t rowVersion = 0;

        bool operator==(const Expired&) const = default;
    };

    /**
     * At most `maxCount` durable tombstones past their lifetime, each of which the caller has to pass to
     * remove(), add() or retryLater() once it knows whether its row is deleted. Until then they are not
     * returned again and can't be reserved. Drops those that have no known row.
     */
    std::vector<Expired> takeExpired(std::size_t maxCount, Instant now);

    /** The row of an expired tombstone is deleted. One that was added again meanwhile stays. */
    void remove(const std::string& job);

    /** The row of an expired tombstone could not be deleted: returns it again after the delay. */
    void retryLater(const std::string& job, Duration delay, Instant now);

    std::size_t size() const { return m_entries.size(); }

private:
    struct Entry {
        Instant expiresAt;
        std::int64_t rowVersion = 0; // 0: unknown
        bool isDurable = false;
        bool isBeingRemoved = false;
        std::optional<std::string> team; // that has reserved it
    };
    using Entries = std::unordered_map<std::string, Entry>;

    struct Team {
        std::size_t count = 0; // of its tombstones
        TokenBucket bucket;
    };

    bool tryTake(const std::string& team, Instant now);
    Entries::iterator erase(Entries::iterator it);

    TombstoneLimits m_limits;
    Entries m_entries;
    std::map<std::string, Team> m_teams;
};

} // namespace quay::edge
