#pragma once

#include "quay/core/Time.h"
#include "quay/fleet/Executor.h"
#include "quay/fleet/FleetConfiguration.h"
#include "quay/fleet/JobRecord.h"
#include "quay/fleet/JobRequest.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace quay::fleet {

/** Bounds that the scheduler keeps. All come from the settings of the installation. */
struct SchedulerBounds {
    Duration longestLease = 6000ms; // an executor shortens longer ones
    Duration stopTime = 900ms; // a stop takes at most this
    Duration maxRenewalWithoutCommit
        = 4000ms; // without the store for this long, leases are prolonged no more
    Duration keepFinished = 120s; // how long a finished job is shown
};

/** One lifetime of an executor, as the scheduler numbers it. */
using IncarnationId = int;

struct StartAction {
    IncarnationId incarnation = 0;
    std::string address;
    std::string executor;
    TaskRef task;
    int run = 0;
    std::string payload;
    std::string checkpoint;
    std::string ticket;
    std::int64_t leaseUntilClockMs = 0;
    int unansweredAttempts = 0; // earlier orders of this start that got no answer
};

struct StopAction {
    IncarnationId incarnation = 0;
    std::string address;
    std::string executor;
    TaskRef task;
    int run = 0;
};

struct ThrottleAction {
    IncarnationId incarnation = 0;
    std::string address;
    std::string executor;
    TaskRef task;
    int run = 0;
    int percent = 100;
};

struct HeartbeatAction {
    IncarnationId incarnation = 0;
    std::string address;
    std::string executor;
    std::int64_t acknowledgedEnd = 0;
    std::int64_t leaseUntilClockMs = 0; // 0: look only
    Duration wait {};
};

struct ApprovalAction {
    std::string step;
    std::vector<std::string> workers;
    double expectedMs = 0; // time that the service takes for the call
};

/** Changes that must be durable before their effects are released. */
struct CommitAction {
    std::uint64_t number = 0;
    std::vector<std::pair<std::string, std::string>> records; // job id and encoded record
    std::vector<std::string> removedJobs; // finished jobs whose rows go
};

/** One decision, for the log. `job` may be empty. */
struct DecisionEvent {
    std::string eventName;
    std::string job;
    std::string detail;
};

/** Durations for histograms, each measured once. */
struct SchedulerTimes {
    std::vector<Duration> placementWait; // of a task, from its step's turn to its place
    std::vector<Duration>
        endToCommit; // of an executor's oldest open end, from hearing of it to its durable note
    std::vector<Duration> finishToVisible; // of a job, from its last end to its final state being shown
};

/** What the caller of the scheduler is to do. */
struct SchedulerActions {
    std::optional<CommitAction> commit;
    std::vector<StartAction> starts;
    std::vector<StopAction> stops;
    std::vector<ThrottleAction> throttles;
    std::vector<HeartbeatAction> heartbeats;
    std::vector<ApprovalAction> approvals;
    std::vector<DecisionEvent> events;
    SchedulerTimes times;
};

/** Counts for metrics. */
struct SchedulerCounts {
    std::size_t jobs = 0;
    std::size_t openJobs = 0;
    std::map<std::string, std::size_t> executors; // by state
    std::map<std::string, std::size_t> runs; // by state
    std::size_t waitingTasks = 0;
    std::map<std::string, Resources> teamUsage; // what counts against each team's upper limit
    std::uint64_t starts = 0;
    std::uint64_t ends = 0;
    std::uint64_t lostRuns = 0;
};

/**
 * Decides what runs where on one cell of executors. Pure: no I/O, no clock, no thread; the same events at the
 * same times give the same actions.
 *
 * Every decision is first put into a commit. Its effects (starts, acknowledged ends, shown states) follow
 * only when committed() says that the commit is durable, so a successor that reads the records knows each
 * executor on which a task may be at work.
 *
 * Usage: feed events, then `scheduler.pump(now, unixMs, actions)` and carry out the actions.
 */
class FleetScheduler {
public:
    struct Impl; // defined beside the implementation

    /**
     * `lastPredecessorCommit`: no earlier scheduler has committed after this moment, so it prolonged no lease
     * later than `maxRenewalWithoutCommit` after it. The present if nothing better is known.
     * `leadershipCommitSentAt`: when the write was sent that made this one the scheduler; its own authority
     * counts from there.
     */
    FleetScheduler(
        const SchedulerBounds& bounds, Instant lastPredecessorCommit, Instant leadershipCommitSentAt);
    ~FleetScheduler();

    void configure(const FleetConfiguration& configuration);

    /** A job with the record that an earlier scheduler left. */
    void restore(const JobRequest& request, const JobRecord& record, Instant now);
    /** A job that is durable; a known one changes nothing. */
    void submit(const JobRequest& request, Instant now);
    /** A durable cancellation; false if the job is not known. */
    bool cancel(const std::string& job, Instant now);

    /** A registration, seen or changed. */
    void executorRegistered(const ExecutorEntry& entry, Instant now);
    /** Its registration was removed. */
    void executorDeregistered(const std::string& id, Instant now);

    void startAnswered(
        IncarnationId incarnation, const TaskRef& task, int run, OrderResult result, Instant now);
    void stopAnswered(
        IncarnationId incarnation, const TaskRef& task, int run, OrderResult result, Instant now);
    void throttleAnswered(IncarnationId incarnation, const TaskRef& task, int run, int percent,
        OrderResult result, Instant now);
    void heartbeatAnswered(IncarnationId incarnation, OrderResult result,
        const std::optional<ExecutorReport>& report, Instant sentAt, Instant now);
    void approvalAnswered(const std::string& step, bool isDecided, const std::vector<std::string>& asked,
        const std::vector<Approval>& approved, Duration ticketLife, Instant now);
    /** How many nodes can ask for approvals, one call at a time each. */
    void setApprovalCallers(int count);
    /** The commit is durable. `sentAt`: when its last attempt was sent. */
    void committed(std::uint64_t number, Instant sentAt, Instant now);

    /** Decides. `unixMs` is the time of day, for scheduled jobs. */
    void pump(Instant now, std::int64_t unixMs, SchedulerActions& actions);

    /** What may be shown of a job: only what is durable. Nothing if the job is not known. */
    std::optional<JobPhase> durablePhase(const std::string& job) const;
    /** Accepted jobs of which no executor has begun a task, as far as known, by queue. Looks at all jobs. */
    std::map<std::string, std::int64_t> pending() const;

    SchedulerCounts counts() const;

private:
    std::unique_ptr<Impl> m_impl;
};

} // namespace quay::fleet
