#pragma once

#include "StoreClient.h"
#include "edge/ApprovalBroker.h"
#include "edge/CancelTombstones.h"
#include "edge/CommitAttempts.h"
#include "edge/JobRows.h"
#include "edge/NodeLog.h"
#include "edge/OrderDispatcher.h"
#include "quay/fleet/FleetScheduler.h"
#include "quay/telemetry/Metrics.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>

namespace quay::edge {

/** Added to a long poll's requested wait to get its timeout: thirty round trips across failure domains. */
constexpr Duration longPollMargin = 300ms;

/** Clients, log and metrics shared by the components of a node. */
struct EdgeServices {
    boost::asio::io_context& context;
    platform::StoreClient& store;
    OrderDispatcher& orders;
    ApprovalBroker& approvals;
    NodeLog& log;
    Metrics& metrics;
};

/**
 * Runs the scheduler of the cell while this node is the leader: restores the scheduler from the store, passes
 * it new jobs and executor reports, commits its records and executes its actions. It stops when another node
 * has taken over the leadership row.
 *
 * Usage: `auto leader = std::make_shared<CellLeader>(services, bounds, leadership, version,
 * lastPredecessorCommit, rowSentAt, onLeadershipLost); leader->begin(configuration);`
 */
class CellLeader : public std::enable_shared_from_this<CellLeader> {
public:
    /**
     * `leadership` and `version`: the leadership row as this node wrote it; the version is the fencing token
     * of all orders. `lastPredecessorCommit`: no earlier leader has committed after this time. `rowSentAt`:
     * when this node sent the write of the row. `onLeadershipLost` is posted once if the row names
     * another leader or was deleted.
     */
    CellLeader(EdgeServices services, const fleet::SchedulerBounds& bounds, LeadershipRecord leadership,
        std::int64_t version, Instant lastPredecessorCommit, Instant rowSentAt,
        std::function<void()> onLeadershipLost);

    /** Starts reading the tables; scheduling starts once they are loaded. */
    void begin(const fleet::FleetConfiguration& configuration, const fleet::EvacuationView& evacuations);
    void configure(const fleet::FleetConfiguration& configuration);
    /** The operator's requests to empty failure domains, also if only their age is new. */
    void setEvacuations(const fleet::EvacuationView& evacuations);
    using AcceptCallback = std::function<void(AcceptOutcome)>;

    /** `callback` gets the version of the row when the store refuses commits, and again while it does. */
    void onCommitsRefused(std::function<void(std::int64_t version)> callback)
    {
        m_onCommitsRefused = std::move(callback);
    }
    /** The node that was asked to has taken the leadership row: orders nothing any more. */
    void replaced() { loseLeadership("the node that it asked to has taken over"); }
    /** Makes a job durable with the next commit. Calls `done` exactly once, possibly before it returns. */
    void accept(const StoredJob& job, AcceptCallback done);
    /** Adds a job whose row is already durable; ignored until the tables are loaded. */
    void submit(const StoredJob& job);
    /** Tells whether there is such a job. If not, no submission of it is accepted from now on. */
    CancelAnswer requestCancel(const std::string& id, const std::string& team);
    /**
     * Cancels a job whose cancellation is durable. If the job is not known, no submission of it is accepted,
     * and if it turns out to be stored it is cancelled then. `rowVersion`: of the cancellation, if known.
     */
    void cancel(const std::string& id, std::int64_t rowVersion = 0);
    /** The number of cancellations of jobs that are not known. */
    std::size_t tombstones() const { return m_tombstones.size(); }

    /** True once the durable state has been read and restored. */
    bool isLoaded() const { return m_isLoaded; }
    /** False if no commit has succeeded recently. */
    bool canCommit(Instant now) const;
    std::optional<fleet::JobPhase> durablePhase(const std::string& id) const
    {
        return m_scheduler.durablePhase(id);
    }
    /** Number of jobs that have not started, by queue; at most 100 ms old. */
    const std::map<std::string, std::int64_t>& pending();
    fleet::SchedulerCounts counts() const { return m_scheduler.counts(); }
    std::int64_t term() const { return m_term; }

    /** Sets what the row tells of the other nodes; written with the next commit. */
    void setCandidates(double largestShare, std::size_t candidateCount)
    {
        m_leadership.largestShare = largestShare;
        m_leadership.candidateCount = candidateCount;
    }
    /** Stops scheduling, commits a leadership row without a leader, then calls `done`. */
    void relinquish(std::function<void()> done);
    /** Stops scheduling and committing. Answers the pending accept() calls with NotWritten or Unknown. */
    void stop();

private:
    using Rows = std::vector<platform::StoreRow>;

    using VersionCallback = std::function<void(std::int64_t version)>;

    void readRange(const std::string& table, const std::string& partition, const std::string& from,
        const std::string& to, std::shared_ptr<Rows> rows, VersionCallback done,
        std::int64_t firstVersion = 0);
    void readJobRanges(const std::string& table, const std::string& partition, std::shared_ptr<Rows> rows,
        VersionCallback done);
    void readJobs(std::shared_ptr<Rows> rows, VersionCallback done);
    using PartitionsCallback
        = std::function<void(const std::vector<std::string>& partitions, std::int64_t version)>;
    void listJobPartitions(
        std::vector<std::string> found, PartitionsCallback done, std::int64_t firstVersion = 0);
    void loadTables();
    void tablesLoaded();
    void holdBack(const std::string& id, const Reason& reason);
    void restoreNextBatch();
    void restoreJob(const platform::StoreRow& row);
    void addJob(const fleet::JobRequest& request, bool isFound);
    void deleteExpiredTombstones(Instant now);
    void deleteTombstone(const CancelTombstones::Expired& tombstone);
    void applyJobRow(const platform::StoreRow& row, bool isFound = false);
    std::optional<fleet::JobRequest> readJob(const platform::StoreRow& row); // logs what it can't read
    void applyExecutorRow(const platform::StoreRow& row);
    void executorDeregistered(const std::string& id);
    void watchExecutors();
    void rereadExecutors();
    void watchJobs();
    void rereadJobs();
    void runLater(Duration delay, std::function<void()> action);
    void tick();
    void logLoad(Instant now);
    void runSchedulerSoon();
    void runScheduler();
    void execute(fleet::SchedulerActions& actions);
    void sendStart(const fleet::StartAction& action);
    void sendStop(const fleet::StopAction& action);
    void sendThrottle(const fleet::ThrottleAction& action);
    void sendExecutorHeartbeat(const fleet::HeartbeatAction& action);
    void sendApproval(const fleet::ApprovalAction& action);
    void checkFenced(fleet::OrderResult result, fleet::IncarnationId incarnation, const std::string& executor,
        std::int64_t epoch);
    platform::OrderTarget target(
        const std::string& address, const std::string& executor, std::int64_t epoch) const;

    struct PendingAccept {
        StoredJob job;
        std::vector<AcceptCallback> done; // one for each submission of the job

        void answer(AcceptOutcome outcome) const;
    };

    bool isStoredUnread(const std::string& id) const;
    bool isBeingAccepted(const std::string& id) const;
    void refuseWaitingAccept(const std::string& id);
    static bool joinPendingAccept(
        std::vector<PendingAccept>& accepts, const StoredJob& job, AcceptCallback& done);

    void beginCommit(fleet::CommitAction action);
    void addAcceptsToCommit();
    void answerExistingJob(const platform::StoreRow& row);
    void abandonAccepts();
    void deleteIntakeRows(const std::string& id);
    void commitHeartbeatIfIdle();
    void sendCommit();
    void commitAnswered(const platform::StoreResult& result);
    void commitDone(std::int64_t version, Instant executedAfter);
    void loseLeadership(std::string_view why);

    static constexpr int maxConsecutiveCommitFailures = 3;

    EdgeServices m_services;
    fleet::FleetScheduler m_scheduler;
    LeadershipRecord m_leadership;
    std::int64_t m_leadershipVersion; // last known version of the leadership row
    std::int64_t m_term; // version of the leadership row that this leader wrote first
    std::function<void()> m_onLeadershipLost;
    std::function<void(std::int64_t)> m_onCommitsRefused;
    bool m_isLoaded = false;
    bool m_isStopped = false;
    bool m_isSchedulerRunPosted = false;
    Instant m_lastSchedulerRun {};
    Duration m_schedulerInterval {}; // least time between two rounds
    // Since the last line of leader_load.
    struct Load {
        Instant since;
        int rounds = 0;
        Duration longestRound {};
        int commits = 0;
        int commitRecords = 0;
        Duration commitTime {}; // sum
    };
    Load m_load;

    // Rows that were read and not yet passed to the scheduler.
    std::shared_ptr<Rows> m_loadedRecords = std::make_shared<Rows>();
    std::shared_ptr<Rows> m_loadedJobs = std::make_shared<Rows>();
    std::shared_ptr<Rows> m_loadedExecutors = std::make_shared<Rows>();
    std::map<std::string, fleet::JobRecord> m_recordsToRestore;
    std::size_t m_restoredJobs = 0; // number of rows of m_loadedJobs that were restored
    Instant m_loadingSince;
    Instant m_tablesReadAt;
    int m_tablesLoading = 0; // number of tables that are still being read
    std::int64_t m_jobsVersionRead = 0;
    std::int64_t m_executorsVersionRead = 0;
    std::set<std::string> m_registeredExecutors; // with a valid registration row
    std::set<std::string> m_heldJobs; // whose records could not be read; they are not run
    std::set<std::string> m_unreadableJobs; // with a row that could not be read
    CancelTombstones m_tombstones;
    Instant m_tombstonesCheckedAt {};

    std::optional<fleet::CommitAction> m_commitInFlight; // without records: a heartbeat or accepted jobs
    std::optional<fleet::CommitAction> m_queuedCommit; // sent once the commit in flight is durable
    std::vector<PendingAccept> m_waitingAccepts; // for the next commit
    std::vector<PendingAccept> m_acceptsInFlight; // part of the commit in flight
    bool m_isRelinquishing = false;
    std::function<void()> m_onRelinquished;
    CommitAttempts m_commitAttempts; // of the commit in flight
    Duration m_commitTimeout {};
    Instant m_lastCommitAt;
    Duration m_lastCommitLatency {};
    std::map<std::string, std::int64_t> m_pending;
    Instant m_pendingAt {};
    int m_consecutiveCommitFailures = 0; // commit attempts that the store did not apply
    boost::asio::steady_timer m_tickTimer;
    Counter& m_starts;
    Counter& m_commits;
    DurationHistogram& m_commitLatency;
    DurationHistogram& m_startLatency;
    DurationHistogram& m_approvalLatency;
    DurationHistogram& m_placementWaitTime;
    DurationHistogram& m_endToCommitTime;
    DurationHistogram& m_finishToVisibleTime;
};

} // namespace quay::edge
