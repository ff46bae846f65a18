#pragma once

#include "ExecutorClient.h"
#include "StoreClient.h"
#include "edge/ApprovalBroker.h"
#include "edge/DecisionLog.h"
#include "edge/JobRows.h"
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
constexpr Duration longPollSpare = 300ms;

/** What a node's parts share. */
struct EdgeServices {
    boost::asio::io_context& context;
    platform::StoreClient& store;
    platform::ExecutorClient& executors;
    ApprovalBroker& approvals;
    DecisionLog& log;
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
     * `lead` and `version`: the leadership row as we wrote it; the version is our fencing token.
     * `lastForeignCommit`: no earlier leader has committed after this moment. `rowSentAt`: when we sent the
     * row.
     */
    CellLeader(EdgeServices services, const fleet::SchedulerBounds& bounds, LeadRecord lead,
        std::int64_t version, Instant lastForeignCommit, Instant rowSentAt, std::function<void()> deposed);

    void begin(const fleet::FleetConfiguration& configuration);
    void configure(const fleet::FleetConfiguration& configuration);
    using Accepted = std::function<void(AcceptOutcome)>;

    /** Makes a job durable with the next commit. `done` is called exactly once, now or later. */
    void accept(const StoredJob& job, Accepted done);
    /** A job whose row is durable. */
    void submit(const StoredJob& job);
    void cancel(const std::string& id);

    /** False until what is durable was read. */
    bool isLoaded() const { return m_isLoaded; }
    /** False if the store has not taken a commit for some time. */
    bool isUsable(Instant now) const;
    std::optional<fleet::JobPhase> shownPhase(const std::string& id) const
    {
        return m_scheduler.durablePhase(id);
    }
    /** Jobs that have not begun, by queue; at most a tenth of a second old. */
    const std::map<std::string, std::int64_t>& pending();
    fleet::SchedulerCounts counts() const { return m_scheduler.counts(); }
    std::int64_t fence() const { return m_fence; }

    /** What the leadership row says of the nodes' processors from the next commit on. */
    void strongestNode(double share) { m_lead.strongestShare = share; }
    /** Writes that anybody may lead, then calls `done`. Nothing is ordered from now on. */
    void giveUp(std::function<void()> done);
    /** Nothing is ordered or committed from now on. */
    void stop();

private:
    using Rows = std::vector<platform::StoreRow>;

    void readTable(const std::string& table, const std::string& partition, const std::string& from,
        std::shared_ptr<Rows> rows, std::function<void(std::int64_t version)> done,
        std::int64_t firstVersion = 0);
    void load();
    void loaded();
    void restoreSome();
    void restoreJob(const platform::StoreRow& row);
    void takeJobRow(const platform::StoreRow& row);
    void takeExecutorRow(const platform::StoreRow& row);
    void followExecutors();
    void rereadExecutors();
    void followJobs();
    void rereadJobs();
    void after(Duration delay, std::function<void()> action);
    void tick();
    void pumpSoon();
    void pump();
    void carryOut(fleet::SchedulerActions& actions);
    void sendStart(const fleet::StartAction& action);
    void sendStop(const fleet::StopAction& action);
    void sendPace(const fleet::ThrottleAction& action);
    void sendHold(const fleet::HeartbeatAction& action);
    void sendApproval(const fleet::ApprovalAction& action);
    void checkFence(fleet::OrderResult result, const std::string& executor);
    platform::OrderTarget target(const std::string& address, const std::string& executor) const;

    struct Accept {
        StoredJob job;
        std::vector<Accepted> done; // one for each time that the job was handed in

        void answer(AcceptOutcome outcome) const;
    };

    static bool join(std::vector<Accept>& accepts, const StoredJob& job, Accepted& done);

    void beginCommit(fleet::CommitAction action);
    void takeAccepts();
    void settleExisting(const platform::StoreRow& row);
    void dropAccepts();
    void beatIfIdle();
    void sendCommit();
    void commitAnswered(const platform::StoreResult& result, Instant sentAt);
    void commitDone(std::int64_t version, Instant sentAt);
    void depose(std::string_view why);

    EdgeServices m_services;
    fleet::FleetScheduler m_scheduler;
    LeadRecord m_lead;
    std::int64_t m_leadVersion; // of the leadership row as far as we know
    std::int64_t m_fence;
    std::function<void()> m_deposed;
    bool m_isLoaded = false;
    bool m_isStopped = false;
    bool m_pumpPosted = false;

    // What was read and is not yet known to the scheduler.
    std::shared_ptr<Rows> m_loadedRecords = std::make_shared<Rows>();
    std::shared_ptr<Rows> m_loadedJobs = std::make_shared<Rows>();
    std::shared_ptr<Rows> m_loadedExecutors = std::make_shared<Rows>();
    std::map<std::string, fleet::JobRecord> m_recordsToRestore;
    std::size_t m_restored = 0; // of m_loadedJobs
    int m_loading = 0; // tables that are still being read
    std::int64_t m_jobsSeen = 0;
    std::int64_t m_executorsSeen = 0;
    std::set<std::string> m_listed; // executors whose registration we saw
    std::set<std::string> m_earlyCancels; // of jobs that are not known yet

    std::optional<fleet::CommitAction> m_commit; // being made durable; empty records: a heartbeat
    std::optional<fleet::CommitAction> m_nextCommit; // waits for a heartbeat's answer
    std::vector<Accept> m_accepts; // wait for the next commit
    std::vector<Accept> m_committing; // part of the commit in hand
    bool m_isGivingUp = false;
    std::function<void()> m_gaveUp;
    Duration m_commitTimeout {};
    Instant m_lastCommit;
    Duration m_lastCommitTime {};
    std::map<std::string, std::int64_t> m_pending;
    Instant m_pendingAt {};
    int m_commitFailures = 0; // attempts in a row that the store did not carry out
    boost::asio::steady_timer m_tickTimer;
    Counter& m_starts;
    Counter& m_commits;
    DurationHistogram& m_commitTime;
    DurationHistogram& m_startTime;
    DurationHistogram& m_approvalTime;
    DurationHistogram& m_waitForRoom;
    DurationHistogram& m_endToNote;
    DurationHistogram& m_finishToShown;
};

} // namespace quay::edge
