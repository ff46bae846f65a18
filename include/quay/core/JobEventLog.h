#pragma once

#include "quay/core/Job.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace quay {

/** One change of a job, as watchers see it. */
struct JobEvent {
    std::uint64_t cursor = 0; // version of the stored record that shows the change
    JobId job;
    TeamId team;
    QueueId queue;
    JobState state = JobState::Active;
    std::uint32_t finishedTasks = 0;

    bool operator==(const JobEvent&) const = default;
};

/** One page of a watch. */
struct JobEventPage {
    std::vector<JobEvent> events;
    std::uint64_t cursor = 0; // ask for what comes after this one

    bool operator==(const JobEventPage&) const = default;
};

/**
 * The latest change of each job of a failure domain, in the order of their cursors.
 *
 * Cursors are the versions of stored rows, so a new lead rebuilds the log from the rows it loads and a
 * watcher goes on with the cursor it has. Several changes of one job between two pages show as the last one.
 * Rows of ended jobs are removed some time after their end; a cursor from before the newest removal could
 * have missed one, so it is refused and the watcher lists its jobs again.
 */
class JobEventLog {
public:
    /** Records that the row of a job has this version now. Versions rise between calls; equal ones are one
     * commit. */
    void record(const JobRecord& record, std::uint64_t version);

    /** Forgets a job whose row was removed; cursors before `version` are refused from now on. */
    void removeJob(const JobId& job, std::uint64_t version);

    /** Cursors before this version are refused. */
    void trimBefore(std::uint64_t version);
    std::uint64_t trimmedBefore() const { return m_trimmedBefore; }

    /** Drops everything, as when the process stops leading. */
    void clear();

    /**
     * The team's changes after a cursor; 0 starts now, with the current state of all jobs.
     * nullopt if the cursor is too old.
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
