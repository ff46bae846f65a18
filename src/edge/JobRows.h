#pragma once

#include "StoreClient.h"
#include "quay/fleet/WorkRequest.h"

#include <optional>
#include <string>

// Our own rows in the store: accepted jobs, cancellations, the scheduler's records, the leadership.
namespace quay::edge {

constexpr const char* jobTable = "jobs";
constexpr const char* recordTable = "records";
constexpr const char* leadershipTable = "lead";
constexpr const char* cellPartition = "cell-0"; // all rows of a cell: one transaction covers any of them
constexpr const char* leadershipKey = "lead";
constexpr const char* cancellationSuffix = "!";

/** An accepted job as it is stored: the caller's body as it came, and what its path and key meant. */
struct StoredJob {
    std::string id;
    std::string queue;
    std::string team;
    std::string body;

    bool operator==(const StoredJob&) const = default;
};

std::string encode(const StoredJob& job);
std::optional<StoredJob> decodeStoredJob(const std::string& bytes, Reason& reason);

/** What became of handing a job to the leader. */
enum class AcceptOutcome {
    Accepted, // it is durable
    Conflict, // its id is in use for another job
    NotWritten, // surely not written, and never will be
    Unknown,
};

/** The job with its steps decoded. */
std::optional<fleet::WorkRequest> toWorkRequest(const StoredJob& job, Reason& reason);

/** Who schedules the cell. Every commit rewrites the row, so its version is both heartbeat and condition. */
struct LeadershipRecord {
    std::string node; // empty: given up, anybody may take it at once
    std::string address; // for peers
    std::uint64_t incarnation = 0; // of the process
    std::uint64_t sequence = 0; // of the last commit
    double largestShare = 0; // largest processor share among the nodes that could lead

    bool operator==(const LeadershipRecord&) const = default;
};

std::string encode(const LeadershipRecord& leadership);
std::optional<LeadershipRecord> decodeLeadershipRecord(const std::string& bytes, Reason& reason);

} // namespace quay::edge
