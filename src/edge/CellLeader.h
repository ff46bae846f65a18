#pragma once

#include "ExecutorClient.h"
#include "StoreClient.h"
#include "edge/ApprovalBroker.h"
#include "edge/JobRows.h"
#include "edge/NodeLog.h"
#include "quay/fleet/FleetScheduler.h"
#include "quay/telemetry/Metrics.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>

namespace quay::edge {

/** How long a long poll may take beyond the wait that it asks for: thirty round trips across failure domains.
 */
constexpr Duration longPollMargin = 300ms;

/** What a node's parts share. */
struct EdgeServices {
    boost::asio::io_context& context;
    platform::StoreClient& store;
    platform::ExecutorClient& executors;
    ApprovalBroker& approvals;
    NodeLog& log;
    Metrics& metrics;
};

/**
 * The scheduler of the cell while this node leads it: reads what is durable, feeds the scheduler, carries out
 * what it decides. It ends when another node has taken the leadership row.
 *
 * Usage: `auto leader = std::make_shared<CellLeader>(services, bounds, lead, version, deposed);
 * leader->begin(...);`
 */
class CellLeader : public std::enable_shared_from_this<CellLeader> {
public:
    /**
     * `leadership` and `version`: the leadership row as we wrote it; the version is our fencing token.
     * `lastForeignCommit`: no earlier leader has committed after this moment. `rowSentAt`: when we sent the
     * row.
     */
    CellLeader(EdgeServices services, const fleet::SchedulerBounds& bounds, LeadershipRecord leadership,
        std::int64_t version, Instant lastForeignCommit, Instant rowSentAt,
        std::function<void()> onLeadershipLost);

    void begin(const fleet::FleetConfiguration& configuration);
    void configure(const fleet::FleetConfiguration& configuration);
    using AcceptCallback = std::function<void(AcceptOutcome)>;

    /** Makes a job durable with the next commit. `done` is called exactly once, now or later. */
    void accept(const StoredJob& job, AcceptCallback done);
    /** A job whose row is durable. */
    void submit(const StoredJob& job);
    void cancel(const std::string& id);

    /** False until what is durable was read. */
    bool isLoaded() const { return m_isLoaded; }
    /** False if the store has not taken a commit for some time. */
    bool canCommit(Instant now) const;
    std::optional<fleet::JobPhase> shownPhase(const std::string& id) const
    {
        return m_scheduler.shownPhase(id);
    }
    /** Jobs that have not begun, by queue; at most a tenth of a second old. */
    const std::map<std::string, std::int64_t>& pending();
    fleet::SchedulerCounts counts() const { return m_scheduler.counts(); }
    std::int64_t fencingToken() const { return m_fencingToken; }

    /** What the leadership row says of the nodes' processors from the next commit on. */
    void setLargestShare(double share) { m_leadership.largestShare = share; }
    /** Writes that anybody may lead, then calls `done`. Nothing is ordered from now on. */
    void relinquish(std::function<void()> done);
    /** Nothing is ordered or committed from now on. */
    void stop();

private:
    using Rows = std::vector<platform::StoreRow>;

    void readTable(const std::string& table, const std::string& partition, const std::string& from,
        std::shared_ptr<Rows> rows, std::function<void(std::int64_t version)> done,
        std::int64_t firstVersion = 0);
    void loadTables();
    void tablesLoaded();
    void restoreNextBatch();
    void restoreJob(const platform::StoreRow& row);
    void applyJobRow(const platform::StoreRow& row);
    void applyExecutorRow(const platform::StoreRow& row);
    void watchExecutors();
    void rereadExecutors();
    void watchJobs();
    void rereadJobs();
    void runLater(Duration delay, std::function<void()> action);
    void tick();
    void runSchedulerSoon();
    void runScheduler();
    void execute(fleet::SchedulerActions& actions);
    void sendStart(const fleet::StartAction& action);
    void sendStop(const fleet::StopAction& action);
    void sendPace(const fleet::PaceAction& action);
    void sendHold(const fleet::HoldAction& action);
    void sendApproval(const fleet::ApprovalAction& action);
    void checkFenced(fleet::OrderResult result, const std::string& executor);
    platform::OrderTarget target(const std::string& address, const std::string& executor) const;

    struct PendingAccept {
        StoredJob job;
        std::vector<AcceptCallback> done; // one for each time that the job was handed in

        void answer(AcceptOutcome outcome) const;
    };

    static bool shareAnswer(std::vector<PendingAccept>& accepts, const StoredJob& job, AcceptCallback& done);

    void beginCommit(fleet::CommitAction action);
    void addAcceptsToCommit();
    void answerExistingJob(const platform::StoreRow& row);
    void abandonAccepts();
    void sendHeartbeatIfIdle();
    void sendCommit();
    void commitAnswered(const platform::StoreResult& result, Instant sentAt);
    void commitDone(std::int64_t version, Instant sentAt);
    void loseLeadership(std::string_view why);

    EdgeServices m_services;
    fleet::FleetScheduler m_scheduler;
    LeadershipRecord m_leadership;
    std::int64_t m_leadershipVersion; // of the leadership row as far as we know
    std::int64_t m_fencingToken;
    std::function<void()> m_onLeadershipLost;
    bool m_isLoaded = false;
    bool m_isStopped = false;
    bool m_isSchedulerRunPosted = false;

    // What was read and is not yet known to the scheduler.
    std::shared_ptr<Rows> m_loadedRecords = std::make_shared<Rows>();
    std::shared_ptr<Rows> m_loadedJobs = std::make_shared<Rows>();
    std::shared_ptr<Rows> m_loadedExecutors = std::make_shared<Rows>();
    std::map<std::string, fleet::JobRecord> m_recordsToRestore;
    std::size_t m_restoredJobs = 0; // of m_loadedJobs
    int m_tablesLoading = 0; // tables that are still being read
    std::int64_t m_jobsVersionRead = 0;
    std::int64_t m_executorsVersionRead = 0;
    std::set<std::string> m_registeredExecutors; // executors whose registration we saw
    std::set<std::string> m_earlyCancels; // of jobs that are not known yet

    std::optional<fleet::CommitAction> m_commitInFlight; // being made durable; empty records: a heartbeat
    std::optional<fleet::CommitAction> m_queuedCommit; // waits for a heartbeat's answer
    std::vector<PendingAccept> m_waitingAccepts; // wait for the next commit
    std::vector<PendingAccept> m_acceptsInFlight; // part of the commit in hand
    bool m_isRelinquishing = false;
    std::function<void()> m_onRelinquished;
    Duration m_commitTimeout {};
    Instant m_lastCommitAt;
    Duration m_lastCommitLatency {};
    std::map<std::string, std::int64_t> m_pending;
    Instant m_pendingAt {};
    int m_consecutiveCommitFailures = 0; // attempts in a row that the store did not carry out
    boost::asio::steady_timer m_tickTimer;
    Counter& m_starts;
    Counter& m_commits;
    DurationHistogram& m_commitLatency;
    DurationHistogram& m_startLatency;
    DurationHistogram& m_approvalLatency;
    DurationHistogram& m_placementWaitTime;
    DurationHistogram& m_endToRecordTime;
    DurationHistogram& m_finishToShownTime;
};

} // namespace quay::edge
