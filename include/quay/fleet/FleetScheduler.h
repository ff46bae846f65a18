#pragma once

#include "quay/core/Time.h"
#include "quay/fleet/DomainEvacuation.h"
#include "quay/fleet/Executor.h"
#include "quay/fleet/FencingToken.h"
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

/** Time limits of the scheduler. They come from the settings of the installation. */
struct SchedulerBounds {
    Duration maxLeaseDuration = 6000ms; // maximum lease of an executor; executors shorten longer ones to this
    Duration maxStopDuration = 900ms; // maximum duration of stopping a task
    // Leases are renewed for at most this long after the last successful commit was sent.
    Duration maxRenewalWithoutCommit = 4000ms;
    Duration finishedJobRetention = 120s; // minimum time for which a finished job stays visible
    Duration maxEvacuationDelay {}; // from the acknowledgement of an evacuation to the last start; zero: none
                                    // is set
};

/** Identifies one incarnation of an executor (its process from start to exit) within this scheduler. */
using IncarnationId = int;

/** Start a run on an executor. */
struct StartAction {
    IncarnationId incarnation = 0;
    std::string address;
    std::string executor;
    TaskRef task;
    int run = 0;
    std::string payload;
    std::string checkpoint;
    std::string ticket;
    std::int64_t leaseUntilClockMs = 0; // on the executor's clock
    int unansweredAttempts = 0; // earlier attempts of this start that got no answer
    std::int64_t epoch = 0; // for fencingToken()
};

/** Stop a run on an executor. */
struct StopAction {
    IncarnationId incarnation = 0;
    std::string address;
    std::string executor;
    TaskRef task;
    int run = 0;
    std::int64_t epoch = 0; // for fencingToken()
};

/** Set the CPU share of a running task. */
struct ThrottleAction {
    IncarnationId incarnation = 0;
    std::string address;
    std::string executor;
    TaskRef task;
    int run = 0;
    int percent = 100; // CPU share, 0 to 100
    std::int64_t epoch = 0; // for fencingToken()
};

/** Poll an executor: renew its lease, acknowledge ends and get its next report. */
struct HeartbeatAction {
    IncarnationId incarnation = 0;
    std::string address;
    std::string executor;
    std::int64_t acknowledgedEnd = 0; // the executor discards its ends up to this number; 0: none
    std::int64_t leaseUntilClockMs = 0; // on the executor's clock; 0: don't renew the lease
    Duration wait {}; // long poll: the executor may wait this long for an end before it answers
    std::int64_t epoch = 0; // for fencingToken()
};

/** Ask the approval service on which of the executors a step may run. */
struct ApprovalAction {
    std::string step; // as from stepText()
    std::vector<std::string> workers; // executor ids
    double expectedMs = 0; // estimated duration of the call
};

/** Changes that must be durable before the scheduler acts on them. */
struct CommitAction {
    std::uint64_t number = 0;
    std::vector<std::pair<std::string, std::string>> records; // job id and encoded record
    std::vector<std::string> removedJobs; // ids of finished jobs whose records are deleted
};

/** A scheduling decision for the log. `job` may be empty. */
struct DecisionEvent {
    std::string eventName;
    std::string job;
    std::string detail;
};

/** Durations for the histograms of the metrics. */
struct SchedulerTimes {
    std::vector<Duration> placementWait; // of a task's first run: from its step being ready to its placement
    // Of the oldest unacknowledged end of an executor: from its report to the commit that makes it durable.
    std::vector<Duration> endToCommit;
    // Of a job: from the end of its last run to the commit that makes its final state visible.
    std::vector<Duration> finishToVisible;
};

/** Output of pump(): the actions that its caller has to carry out. */
struct SchedulerActions {
    std::optional<CommitAction> commit;
    std::vector<StartAction> starts;
    std::vector<StopAction> stops;
    std::vector<ThrottleAction> throttles;
    std::vector<HeartbeatAction> heartbeats;
    std::vector<ApprovalAction> approvals;
    // Finished jobs past their retention. Once their request and cancellation are deleted, call remove().
    std::vector<std::string> expiredJobs;
    std::vector<DecisionEvent> events;
    SchedulerTimes times;
};

/** What is left in a failure domain that is being emptied. */
struct EvacuationCounts {
    std::size_t runs = 0;
    std::size_t executors = 0; // registered
    Instant heededSince; // by this scheduler

    bool operator==(const EvacuationCounts&) const = default;
};

/** Current state and totals, for metrics. */
struct SchedulerCounts {
    std::size_t jobs = 0;
    std::size_t openJobs = 0;
    std::map<std::string, std::size_t> executors; // by state
    std::map<std::string, std::size_t> runs; // by state
    std::size_t slowExecutors = 0; // far slower than others of their kind
    std::size_t waitingTasks = 0;
    std::size_t waitingUrgentTasks = 0; // of queues with the highest priority
    std::size_t waitingTasksBeyondShare = 0; // of jobs beyond their team's share, see TeamPolicy::weight
    std::size_t agedSteps = 0; // that have waited for ten seconds or more
    std::size_t approvalsInFlight = 0;
    // Of the registered executors outside emptied failure domains, and what their runs occupy.
    std::int64_t totalCpuMilli = 0;
    std::int64_t usedCpuMilli = 0;
    std::size_t uncommittedJobs = 0; // whose records wait for a commit
    std::map<std::string, EvacuationCounts> evacuations; // by failure domain
    std::map<std::string, Resources> teamUsage; // demand that counts against the upper limit of each team
    std::uint64_t executorsSearched = 0; // looked at by the searches for room
    std::uint64_t starts = 0;
    std::uint64_t ends = 0;
    std::uint64_t lostRuns = 0;
    std::size_t suspects = 0; // tasks that may have crashed the executors that they ran on
};

/**
 * Places the tasks of all jobs on the executors of one cell. Deterministic: it does no I/O, reads no clock
 * and starts no thread, so the same events at the same times give the same actions. Not thread-safe.
 *
 * Every decision is first written to a commit. Its effects (starts, acknowledged ends, visible job phases)
 * follow only after committed() has confirmed that the commit is durable. A new leader that reads the records
 * therefore knows every executor on which a task may be running.
 *
 * Usage: report events, then call `scheduler.pump(now, unixMs, actions)` and carry out the actions.
 */
class FleetScheduler {
public:
    struct Impl; // defined in src/fleet/SchedulerState.h

    /**
     * `lastPredecessorCommit`: no earlier leader has committed after this time, so none has renewed a lease
     * more than `maxRenewalWithoutCommit` after it. Pass the current time if no earlier time is certain.
     * `leadershipCommitSentAt`: when the write that made this node the leader was sent. Leases may be renewed
     * until `maxRenewalWithoutCommit` after it, or after a later commit.
     */
    FleetScheduler(
        const SchedulerBounds& bounds, Instant lastPredecessorCommit, Instant leadershipCommitSentAt);
    ~FleetScheduler();

    /**
     * Replaces the configuration. Jobs of a queue that it does not have run by JobRequest::acceptedPolicy;
     * without one, by the last policy of the queue that an earlier configuration had.
     */
    void configure(const FleetConfiguration& configuration);

    /** Adds a job of an earlier leader with its durable record. A known job is left unchanged. */
    void restore(const JobRequest& request, const JobRecord& record, Instant now);
    /**
     * Adds a job whose request is durable. A known job is left unchanged. `isFound`: it was accepted under an
     * earlier leader, so it doesn't count towards its team's share now.
     */
    void submit(const JobRequest& request, Instant now, bool isFound = false);
    /** Cancels a job; the cancellation must be durable already. Returns false if the job is not known. */
    bool cancel(const std::string& job, Instant now);

    /**
     * Deletes the record of an expired job with the next commit. The request must be deleted before:
     * a request without a record would be taken for a new job.
     */
    void remove(const std::string& job);

    /** An executor registered or changed its registration. */
    void executorRegistered(const ExecutorEntry& entry, Instant now);
    /** The registration of an executor was removed. */
    void executorDeregistered(const std::string& id, Instant now);

    /**
     * Sets the requests to empty failure domains. Call it after each reading, also if only `readAt` has
     * changed: with `maxEvacuationDelay` set, starts are held while the view is too old, and a new scheduler
     * places nothing before it has a view that was read. A view that is older than the known one is ignored.
     */
    void setEvacuations(const EvacuationView& view, Instant now);

    /**
     * Whether an order of this epoch is older than the newest one to the same executor. An executor that
     * refuses such an order as fenced has seen a newer order of this scheduler, not another leader.
     */
    bool isSuperseded(IncarnationId incarnation, std::int64_t epoch) const;

    // Results of the actions. `sentAt`: when the request was sent.

    void startAnswered(
        IncarnationId incarnation, const TaskRef& task, int run, const StartAnswer& answer, Instant now);
    void stopAnswered(
        IncarnationId incarnation, const TaskRef& task, int run, OrderResult result, Instant now);
    void throttleAnswered(IncarnationId incarnation, const TaskRef& task, int run, int percent,
        OrderResult result, Instant now);
    void heartbeatAnswered(IncarnationId incarnation, OrderResult result,
        const std::optional<ExecutorReport>& report, Instant sentAt, Instant now);
    /**
     * Result of an ApprovalAction about the executors `asked`. `isDecided`: false if the call failed and
     * decided nothing. `ticketValidity`: how long the tickets of `approved` stay valid.
     */
    void approvalAnswered(const std::string& step, bool isDecided, const std::vector<std::string>& asked,
        const std::vector<Approval>& approved, Duration ticketValidity, Instant now);
    /** Sets the number of nodes that call the approval service; each has one call in flight at a time. */
    void setApprovalCallers(int count);
    /** Commit `number` is durable. `sentAt`: the store executed it no earlier than this. */
    void committed(std::uint64_t number, Instant sentAt, Instant now);

    /**
     * Runs one scheduling round: expires leases, places waiting tasks and adds what has to be sent to
     * `actions`. `unixMs`: wall-clock time, used for scheduled jobs only.
     */
    void pump(Instant now, std::int64_t unixMs, SchedulerActions& actions);

    /** Durable phase of a job, which is the one that callers may see. Nothing if the job is not known. */
    std::optional<JobPhase> durablePhase(const std::string& job) const;
    /**
     * Number of accepted jobs by queue of which no executor is known to have started a task. Takes time
     * proportional to the number of jobs.
     */
    std::map<std::string, std::int64_t> pending() const;

    SchedulerCounts counts() const;

private:
    std::unique_ptr<Impl> m_impl;
};

} // namespace quay::fleet
