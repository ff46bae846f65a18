#pragma once

#include "quay/core/Job.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace quay {

/** A change of a job, as reported to watchers. */
struct JobEvent {
    std::uint64_t cursor = 0; // store version of the record that contains the change
    JobId job;
    TeamId team;
    QueueId queue;
    JobState state = JobState::Active;
    std::uint32_t finishedTasks = 0;

    bool operator==(const JobEvent&) const = default;
};

/** One page of events for a watcher. */
struct JobEventPage {
    std::vector<JobEvent> events;
    std::uint64_t cursor = 0; // pass this one to get the next page

    bool operator==(const JobEventPage&) const = default;
};

/**
 * The latest change of each job of a failure domain, ordered by cursor.
 *
 * Cursors are versions of stored rows, so a new leader rebuilds the log from the rows that it loads, and
 * watchers keep their cursors. Several changes of a job between two pages are reported as the last one.
 * Rows of ended jobs are removed some time after their end. A watcher with a cursor from before the newest
 * removal could have missed that job's end, so its cursor is refused and it has to list its jobs again.
 *
 * Usage: `log.record(record, version); auto page = log.eventsAfter(team, cursor, limit);`
 */
class JobEventLog {
public:
    /**
     * Records the current row of a job and its version. Versions must not decrease between calls; equal
     * versions belong to one commit.
     */
    void record(const JobRecord& record, std::uint64_t version);

    /** Removes a job whose row was removed; cursors before `version` are refused from now on. */
    void removeJob(const JobId& job, std::uint64_t version);

    /** Refuses cursors before this version from now on. */
    void trimBefore(std::uint64_t version);
    std::uint64_t trimmedBefore() const { return m_trimmedBefore; }

    /** Removes all events, for example when the process is no longer the leader. */
    void clear();

    /**
     * The team's changes after a cursor; cursor 0 returns the current state of all jobs.
     * Returns about `limit` events, without splitting a commit; nullopt if the cursor is too old.
     */
    std::optional<JobEventPage> eventsAfter(
        const TeamId& team, std::uint64_t cursor, std::size_t limit) const;

private:
    std::map<std::pair<std::uint64_t, JobId>, JobEvent> m_events;
    std::map<JobId, std::uint64_t> m_versionOf;
    std::uint64_t m_latest = 0;
    std::uint64_t m_trimmedBefore = 0;
};

} // namespace quay
