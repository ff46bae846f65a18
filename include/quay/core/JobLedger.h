#pragma once

#include "quay/core/Fleet.h"
#include "quay/core/Job.h"
#include "quay/core/Time.h"
#include "quay/core/WorkerProtocol.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace quay {

/** Time bounds and limits of the job ledger. */
struct LedgerSettings {
    // Sent to the worker, which counts it from receipt. Longer than a renewal interval and the takeover of a
    // killed leader, so that no running task loses its lease (RosterTest).
    Duration taskLease = 14s;
    Duration renewInterval = 2s;
    // A message sent at t arrives by t + messageDelayBound or not at all.
    Duration messageDelayBound = 3s;
    Duration staleLeaderBound = 3s; // a deposed leader sends nothing later than this after the takeover
    Duration taskStopBound = 2s; // longest time from lease expiry until the worker has ended the task
    std::int64_t clockRatePermille = 20; // how much slower a worker's clock may run than the leader's
    // A worker without a report for this time gets no lease renewals.
    Duration unresponsiveAfter = 5s;
    Duration retryBackoff = 1s; // doubled with each failure, up to maxBackoff
    Duration maxBackoff = 60s;
    Duration unschedulableAfter = 60s; // a job fails if for this time no listed worker is large enough for it
    Duration unknownWriteBound = 10s; // delay before a write of unknown outcome is retried
    std::uint32_t maxRefusals = 16; // consecutive refused starts of a task before it fails

    bool operator==(const LedgerSettings&) const = default;
};

/**
 * Safety rules of the ledger. Production code keeps the defaults; tests disable single rules to verify that
 * the invariant checker detects the resulting fault.
 */
struct LedgerRules {
    bool intentBeforeStart = true; // non-idempotent starts wait for the durable intent
    bool boundedLeaseExpiry = true; // message delay, clock and stop bounds are added to the lease
    bool ackAfterDurable = true; // a task's end is acknowledged only after its record is durable
    bool neverRetryUnknown = true; // non-idempotent work of unknown outcome is not run again
    bool refusalNeedsProof = true; // a start without an answer doesn't count as refused
    bool awaitFormerLeader = true; // a takeover waits for the former leader's messages and leases to expire
    bool countHeldCapacity = true; // capacity counts as used from the placement on, not from the report on
    bool closeUnresponsiveWorkers = true; // no new work without a report for unresponsiveAfter
    bool allOrNothingGangs = true; // a gang is started only if every member can be placed

    bool operator==(const LedgerRules&) const = default;
};

/** A record and the version of its row in the store. */
struct VersionedRecord {
    JobRecord record;
    std::uint64_t version = 0;

    bool operator==(const VersionedRecord&) const = default;
};

/** A placement decision: the task and the worker that it is to run on. */
struct TaskPlacement {
    JobId job;
    std::uint32_t index = 0;
    ServerId worker;

    bool operator==(const TaskPlacement&) const = default;
};

// Events.

/** This process has become the leader of the domain; `records` are all rows `job/<domain>/...`. */
struct BecameLeader {
    std::uint64_t epoch = 0;
    std::vector<VersionedRecord> records;
};
/**
 * The roster has a new epoch and this process stayed leader throughout; later messages carry the new epoch.
 */
struct EpochRaised {
    std::uint64_t epoch = 0;
};
/** This process is no longer the leader; all state is dropped. */
struct LostLeadership { };
/** A submitted job whose row is already in the store. */
struct JobAccepted {
    JobRecord record;
    std::uint64_t version = 0;
};
struct CancelRequested {
    JobId job;
};
/** The write was applied. */
struct WriteDone {
    std::uint64_t writeId = 0;
    std::uint64_t version = 0;
};
/**
 * Another process wrote the row, so this process is no longer the leader: `isLeading` is false after the
 * step. Ignored if the write isn't in flight.
 */
struct WriteConflict {
    std::uint64_t writeId = 0;
};
/**
 * The answer to the write was lost. WriteDone, WriteConflict or WriteFailed may follow after a read-back;
 * otherwise the write is retried after LedgerSettings::unknownWriteBound and gets a conflict if the first
 * attempt had been applied.
 */
struct WriteUnknown {
    std::uint64_t writeId = 0;
};
/**
 * The write failed and is assumed not to be applied; it is retried with the next LedgerTick. If the first
 * attempt is applied after all, the retry gets a conflict.
 */
struct WriteFailed {
    std::uint64_t writeId = 0;
};
/** The platform's list of servers. Only the workers of this ledger's domain are used. */
struct WorkerList {
    std::vector<ServerInfo> servers;
};
/** An answer to GET /v1/report. Reports of one worker must be passed in the order of their requests. */
struct WorkerReport {
    ServerId worker;
    std::string incarnation;
    Instant requestedAt; // when the request was sent, by the leader's clock
    std::uint64_t epoch = 0; // highest epoch that the worker has seen
    std::vector<ReportedTask> running;
    std::vector<EndedTask> ended;
    Resources usage;
};
struct StartAnswer {
    ServerId worker;
    TaskAttempt attempt;
    StartOutcome outcome = StartOutcome::Unknown;
    std::string why; // reason of a refusal
};
/**
 * Placements chosen from pendingWork() and workerViews(). The caller holds one team token for each placement;
 * ReleaseTokens returns it, except for jobs that findJob() no longer knows.
 */
struct PlacementsChosen {
    std::vector<TaskPlacement> placements;
};
/** The worker is leaving and gets no new work. */
struct WorkerLeaving {
    ServerId worker;
};
/** A hint that a worker has failed: it gets no new work until it reports. Its tasks may still run. */
struct WorkerSuspected {
    ServerId worker;
};
/** Drives lease renewals, lease expiry and backoff. Must be passed at least every 100 ms. */
struct LedgerTick { };

using LedgerEvent = std::variant<BecameLeader, EpochRaised, LostLeadership, JobAccepted, CancelRequested,
    WriteDone, WriteConflict, WriteUnknown, WriteFailed, WorkerList, WorkerReport, StartAnswer,
    PlacementsChosen, WorkerLeaving, WorkerSuspected, LedgerTick>;

// Actions.

/** Conditional write of one job row. */
struct WriteRecord {
    JobId job;
    std::uint64_t expectedVersion = 0;
    JobRecord record;
    std::uint64_t writeId = 0;

    bool operator==(const WriteRecord&) const = default;
};
struct SendStart {
    ServerId worker;
    TaskAttempt attempt;
    std::uint64_t epoch = 0;
    std::int64_t leaseMs = 0;
    Resources size;
    TeamId team;
    std::string payload;

    bool operator==(const SendStart&) const = default;
};
struct SendRenew {
    ServerId worker;
    std::uint64_t epoch = 0;
    std::int64_t leaseMs = 0;
    std::vector<TaskAttempt> tasks;

    bool operator==(const SendRenew&) const = default;
};
struct SendStop {
    ServerId worker;
    TaskAttempt attempt;

    bool operator==(const SendStop&) const = default;
};
struct SendAck {
    ServerId worker;
    std::vector<TaskAttempt> tasks;

    bool operator==(const SendAck&) const = default;
};
/** The job's final record is durable and can be fetched with takeFinished(). */
struct JobEnded {
    JobId job;

    bool operator==(const JobEnded&) const = default;
};
/** Adds a line to the job's explanation, which operators and callers can read. */
struct Explain {
    JobId job;
    std::string text;

    bool operator==(const Explain&) const = default;
};
/** Returns team tokens that are no longer needed. */
struct ReleaseTokens {
    TeamId team;
    std::uint32_t count = 0;
    bool inherited = false; // the tokens were acquired by a former leader

    bool operator==(const ReleaseTokens&) const = default;
};

using LedgerAction
    = std::variant<WriteRecord, SendStart, SendRenew, SendStop, SendAck, JobEnded, Explain, ReleaseTokens>;

// State.

/** Identifies a task in the ledger. */
struct TaskRef {
    JobId job;
    std::uint32_t index = 0;

    auto operator<=>(const TaskRef&) const = default;
};

/** The leader's in-memory state of a task, in addition to its record. */
struct TaskRuntime {
    bool holdsCapacity = false; // the task may run on its recorded worker; it uses capacity and a token
    bool startSent = false; // by this leader
    bool awaitsIntent = false; // the start is sent once its intent is durable
    bool isConfirmed = false; // the worker confirmed that it runs the task
    bool isRecovering = false; // taken over, and no worker has reported the task yet
    bool inherited = false; // the token was acquired by a former leader
    bool isStopping = false;
    bool hasSucceeded = false; // a gang member that succeeded; recorded when all members have
    std::uint64_t intentSequence = 0; // the start is sent once this change of the record is durable
    std::uint64_t attemptSequence = 0; // the change that holds the latest attempt's number
    std::string incarnation; // of the worker, as known when the start was sent
    Instant startDeliveryDeadline; // a start of this attempt arrives by then or not at all
    Instant leaseExpiresAt; // the worker is certain to have ended the task by then
    Instant notBefore; // end of the backoff while the task is Pending
    bool hasTimer = false;
    Instant timerAt;
    std::uint32_t failures = 0;
    std::uint32_t refusals = 0;

    bool operator==(const TaskRuntime&) const = default;
};

/** An ended attempt that is acknowledged to the worker once the change `sequence` is durable. */
struct PendingAck {
    std::uint64_t sequence = 0;
    ServerId worker;
    TaskAttempt attempt;

    bool operator==(const PendingAck&) const = default;
};

/** One job in the ledger. */
struct JobEntry {
    JobRecord record; // with all changes so far, durable or not
    std::uint64_t version = 0; // latest known version of the row
    std::uint64_t latestChange = 0; // sequence number of the latest change to the record
    std::uint64_t changeInFlight = 0; // latest change contained in the write in flight
    std::uint64_t durableChange = 0; // latest change known to be in the store
    std::uint64_t writeId = 0; // of the write in flight; 0: none
    std::vector<TaskRuntime> tasks;
    std::uint32_t capacityHolders = 0; // tasks that hold capacity
    std::uint32_t unfinishedTasks = 0; // tasks in no final state
    std::vector<std::uint32_t> awaitingIntent; // tasks to start once their intent is durable
    std::vector<PendingAck> acks;
    bool isStoppingGang = false; // the gang's members are being stopped
    bool hasMemberFailed = false; // a gang member ran and failed, rather than being refused its start
    std::optional<Instant> recoveryEndsAt; // after a takeover, attempts may run unrecorded until then
    bool ended = false; // JobEnded was emitted
    std::optional<Instant> unschedulableSince;

    bool operator==(const JobEntry&) const = default;
};

/** One worker in the ledger. */
struct WorkerEntry {
    ServerInfo info;
    bool listed = false;
    bool leaving = false;
    // A report was requested late enough after the takeover to show all tasks that former leaders started.
    bool hasCompleteReport = false;
    bool isSuspected = false;
    std::string incarnation;
    Resources heldResources; // of tasks that may run on the worker
    Resources reportedUsage;
    // The worker runs tasks that this ledger doesn't know; it gets no new work until they are stopped.
    bool hasUnknownTasks = false;
    Instant lastReportRequestedAt; // request time of the latest report
    std::set<TaskRef> tasks; // that may run on the worker
    Instant renewAt;
    std::uint64_t startFailures = 0; // refused or unanswered starts and failed tasks since it was listed
    std::uint64_t starts = 0;

    bool operator==(const WorkerEntry&) const = default;
};

/**
 * The state of all jobs of one failure domain, kept by the domain's leader: a deterministic state machine
 * that takes events and returns actions, with no clock and no I/O of its own.
 *
 * Usage: `for (auto& action : step(ledger, event, now)) perform(action);`
 */
struct JobLedger {
    DomainId domain;
    LedgerSettings settings;
    LedgerRules rules;
    bool isLeading = false;
    std::uint64_t epoch = 0;
    Instant takenOverAt;
    std::uint64_t nextWriteId = 1;
    Instant nextSchedulableCheckAt;
    std::map<JobId, JobEntry> jobs;
    std::map<ServerId, WorkerEntry> workers;
    std::set<std::pair<Instant, TaskRef>> timers; // lease expiry or end of backoff, one per task
    std::set<TaskRef> readyTasks; // Pending tasks whose backoff has ended
    std::set<JobId> jobsToWrite; // jobs changed in this step, written at its end
    std::map<std::uint64_t, JobId> writesInFlight; // jobs of the writes in flight, by write id
    std::set<std::pair<Instant, std::uint64_t>> unknownWrites; // writes of unknown outcome by retry time
    std::set<JobId> failedWrites; // jobs to write again with the next tick
    std::vector<JobId> endedJobs; // final record durable, not yet returned by takeFinished()
};

/** Applies one event and returns the actions to perform, in order. */
std::vector<LedgerAction> step(JobLedger& ledger, const LedgerEvent& event, Instant now);

/** A task that can be placed now. The tasks of a gang are listed together and must be placed together. */
struct PendingTask {
    JobId job;
    std::uint32_t index = 0;
    JobKind kind = JobKind::Batch;
    TeamId team;
    QueueId queue;
    Resources size;
    std::uint32_t gangSize = 1;
    std::int64_t submittedAtMs = 0;
    std::int64_t declaredRunTimeMs = 0;

    bool operator==(const PendingTask&) const = default;
};

/** Placeable tasks, about `limit` at most: the last gang is listed whole even if it exceeds the limit. */
std::vector<PendingTask> pendingWork(const JobLedger& ledger, std::size_t limit);

/** A worker as the placement policy sees it. */
struct LedgerWorker {
    ServerId id;
    std::string rack;
    Resources capacity;
    Resources free;
    bool isOpen = false; // accepts new work
    std::uint64_t starts = 0;
    std::uint64_t startFailures = 0; // for outlier ejection
    std::vector<TaskRef> tasks;

    bool operator==(const LedgerWorker&) const = default;
};

std::vector<LedgerWorker> workerViews(const JobLedger& ledger);

/** The job's record with all changes so far, durable or not; nullptr if the ledger doesn't hold the job. */
const JobRecord* findJob(const JobLedger& ledger, const JobId& job);

/** The number of the latest change to the job's record; 0 if the ledger doesn't hold the job. */
std::uint64_t latestChange(const JobLedger& ledger, const JobId& job);

/**
 * Whether a change of the job's record is in the store. Only a leader's ledger can tell; it holds each job
 * until its last change is.
 */
bool isChangeDurable(const JobLedger& ledger, const JobId& job, std::uint64_t change);

/** Returns ended jobs with their durable versions and removes them from the ledger. */
std::vector<VersionedRecord> takeFinished(JobLedger& ledger);

/**
 * Time after sending a start or renewal until the task is certain to have ended if its lease isn't renewed.
 */
Duration leaseExpiryBound(const LedgerSettings& settings);

} // namespace quay
