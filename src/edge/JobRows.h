#pragma once

#include "StoreClient.h"
#include "quay/fleet/JobRequest.h"

#include <optional>
#include <string>
#include <string_view>

// Rows that the nodes keep in the store: accepted jobs, cancellations, the scheduler's records, and the
// leadership.
namespace quay::edge {

constexpr const char* jobTable = "jobs";
constexpr const char* recordTable = "records";
constexpr const char* leadershipTable = "lead";
// The leader's partition: the leadership row, the records, and the jobs of the leader's commits. Apart from
// candidates for the leadership no other node writes to it, so that no load of theirs can delay a commit.
constexpr const char* cellPartition = "cell-0";
// Number of the partitions for jobs that a node writes itself, and for cancellations. A job may have a row
// here, in the leader's partition, or equal rows in both. The count is part of the stored format: a leader
// reads all partitions there are, but other nodes look a job up, and expired jobs are deleted, in the one
// that the count gives. A partition executes 150 transactions a second, and 2.5 while the store is slowed to
// a sixtieth: all together then still take 160 jobs a second.
constexpr int intakePartitionCount = 64;
constexpr const char* leadershipKey = "lead";
// Raised with each change after which an earlier version of the program could not lead any more: it does not
// take the leadership row from a leader that stores a later format.
constexpr int storedFormat = 2;
constexpr const char* cancellationSuffix = "!";

/** An accepted job as stored: the unchanged body, the id and queue from its path, the team of its key. */
struct StoredJob {
    std::string id;
    std::string queue;
    std::string team;
    std::string body;
    std::optional<fleet::QueuePolicy> policy = std::nullopt; // see fleet::JobRequest::acceptedPolicy

    bool operator==(const StoredJob&) const = default;
};

/** Whether two submissions with the same id are the same one, repeated; the policy may differ. */
bool isSameSubmission(const StoredJob& a, const StoredJob& b);

/** The intake partition of a job and its cancellation. */
std::string intakePartitionOf(const std::string& jobId);

std::string encode(const StoredJob& job);
/**
 * Returns nothing and sets `reason` if the row can't be read. If only the policy can't, it returns the job
 * without one and sets `reason`.
 */
std::optional<StoredJob> decodeStoredJob(const std::string& bytes, Reason& reason);

/** Result of submitting a job to the leader. */
enum class AcceptOutcome {
    Accepted, // the job is durable
    Conflict, // another job has the same id
    NotWritten, // the leader has not written it and never will
    Unknown, // it may have been written
    Cancelled, // not written: the job was cancelled before
};

/** The leader's answer to the request to cancel a job. */
enum class CancelAnswer {
    JobKnown, // the job has a row, or may get one: its cancellation has to be stored
    Reserved, // there is no such job, and none is accepted under this id while the cancellation is stored
    Stored, // there is no such job, and its cancellation is stored already
    LimitReached, // there is no such job, and too many such cancellations are stored already
    Unavailable, // there is no leader that knows
};

/** Decodes the steps of a stored job. */
std::optional<fleet::JobRequest> toJobRequest(const StoredJob& job, Reason& reason);

/**
 * The row that names the leader. Every commit rewrites it, so a new version is a heartbeat, and the version
 * is the condition of the leader's writes.
 */
struct LeadershipRecord {
    std::string node; // empty: relinquished, any node may take it immediately
    std::string address; // for peers
    std::uint64_t incarnation = 0; // of the leader's process
    std::uint64_t sequence = 0; // of the last commit
    int format = storedFormat; // of all rows of the cell; 0: a release before it was stored
    double largestShare = 0; // largest processor share of the eligible nodes
    std::size_t candidateCount = 0; // eligible nodes with about that share

    bool operator==(const LeadershipRecord&) const = default;
};

std::string encode(const LeadershipRecord& leadership);
std::optional<LeadershipRecord> decodeLeadershipRecord(const std::string& bytes, Reason& reason);

} // namespace quay::edge
