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
    Duration taskLease = 10s; // told to the worker; counted by it from receipt
    Duration renewInterval = 2s;
    Duration messageDelayBound
        = 3s; // a message sent at t has arrived by t + messageDelayBound, or never will
    Duration staleLeaderBound = 3s; // a deposed lead sends nothing later than this after the takeover
    Duration taskStopBound = 2s; // a worker ends a task this long after its lease lapsed, at the latest
    std::int64_t clockRatePermille = 20; // how much slower a worker's clock may run than ours
    Duration unresponsiveAfter
        = 5s; // the leases of a worker that has not reported for so long are not renewed
    Duration retryBackoff = 1s; // doubled with each failure, up to maxBackoff
    Duration maxBackoff = 60s;
    Duration unschedulableAfter = 60s; // a job that no listed worker could hold for so long fails
    Duration unknownWriteBound = 10s; // a write of unknown outcome is tried again after it
    std::uint32_t maxRefusals = 16; // refused starts of a task before the job fails

    bool operator==(const LedgerSettings&) const = default;
};

/** Safety rules that a test may break to show that its checker finds the fault. Defaults are correct. */
struct LedgerRules {
    bool intentBeforeStart = true; // non-idempotent starts wait for the durable intent
    bool boundedLeaseExpiry = true; // flight, clock and stop bounds are added to the lease
    bool ackAfterDurable = true; // ends are acknowledged only once recorded
    bool neverRetryUnknown = true; // non-idempotent work of unknown outcome is not run again
    bool refusalNeedsProof = true; // a start without an answer doesn't count as refused
    bool awaitFormerLeader = true; // after a takeover, a former lead's messages and leases are waited for
    bool countHeldCapacity = true; // capacity is held from the decision on, not only once reported as used
    bool closeUnresponsiveWorkers
        = true; // a worker that has not reported for the silence bound gets no new work
    bool allOrNothingGangs = true; // a gang whose placements don't all fit is taken back

    bool operator==(const LedgerRules&) const = default;
};

/** A record as read from the store. */
struct VersionedRecord {
    JobRecord record;
    std::uint64_t version = 0;

    bool operator==(const VersionedRecord&) const = default;
};

/** Where the placement policy wants a task to run. */
struct TaskPlacement {
    JobId job;
    std::uint32_t index = 0;
    ServerId worker;

    bool operator==(const TaskPlacement&) const = default;
};

// Events.

/** This process leads the domain from now on; `records` are all rows `job/<domain>/...`. */
struct BecameLeader {
    std::uint64_t epoch = 0;
    std::vector<VersionedRecord> records;
};
/** The roster has another epoch and this process has led without a gap; starts carry the new one from now on.
 */
struct EpochRaised {
    std::uint64_t epoch = 0;
};
/** This process leads no more; all state is dropped. */
struct LostLeadership { };
/** A job whose row is already in the store. */
struct JobAccepted {
    JobRecord record;
    std::uint64_t version = 0;
};
struct CancelRequested {
    JobId job;
};
/** The write took effect. */
struct WriteDone {
    std::uint64_t writeId = 0;
    std::uint64_t version = 0;
};
/** Someone else wrote the row: this process is no longer lead; `isLeading` is false after the step. Ignored
 * if the write isn't in flight. */
struct WriteConflict {
    std::uint64_t writeId = 0;
};
/** The answer was lost. WriteDone, WriteConflict or WriteFailed may follow after a read-back; without them
 * the write is tried again after LedgerSettings::unknownWriteBound, and meets a conflict if it had taken
 * effect. */
struct WriteUnknown {
    std::uint64_t writeId = 0;
};
/** The write had no effect as far as is known; it is issued again with the next Tick. If the first one takes
 * effect after all, the second one meets a conflict. */
struct WriteFailed {
    std::uint64_t writeId = 0;
};
/** The platform's list; only workers of this domain count. */
struct WorkerList {
    std::vector<ServerInfo> servers;
};
/** One answer of GET /v1/report. Reports of one worker are passed in the order of their requests. */
struct WorkerReport {
    ServerId worker;
    std::string incarnation;
    Instant requestedAt; // when the request was sent, by our clock
    std::uint64_t epoch = 0; // highest that the worker has seen
    std::vector<ReportedTask> running;
    std::vector<EndedTask> ended;
    Resources usage;
};
struct StartAnswer {
    ServerId worker;
    TaskAttempt attempt;
    StartOutcome outcome = StartOutcome::Unknown;
    std::string why; // of a refusal
};
/** Placements picked from pendingWork() and workerViews(). One team token a placement is held by the caller;
 * ReleaseTokens gives it back, but for jobs that findJob() no longer knows. */
struct PlacementsChosen {
    std::vector<TaskPlacement> placements;
};
/** No new work goes to this worker. */
struct WorkerLeaving {
    ServerId worker;
};
/** A hint that a worker is gone: no new work until it reports; proves nothing about its tasks. */
struct WorkerSuspected {
    ServerId worker;
};
/** Passed at least every 100 ms: renewals, lapsed leases, backoff. */
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
/** The job's final record is durable; see takeFinished(). */
struct JobEnded {
    JobId job;

    bool operator==(const JobEnded&) const = default;
};
/** A line for the job's explanation. */
struct Explain {
    JobId job;
    std::string text;

    bool operator==(const Explain&) const = default;
};
/** Team tokens that are free again. */
struct ReleaseTokens {
    TeamId team;
    std::uint32_t count = 0;
    bool inherited = false; // the tokens were taken by a former lead

    bool operator==(const ReleaseTokens&) const = default;
};

using LedgerAction
    = std::variant<WriteRecord, SendStart, SendRenew, SendStop, SendAck, JobEnded, Explain, ReleaseTokens>;

// State.

/** Names a task inside the ledger. */
struct TaskRef {
    JobId job;
    std::uint32_t index = 0;

    auto operator<=>(const TaskRef&) const = default;
};

/** What the lead knows of a task beyond its record. */
struct TaskRuntime {
    bool holdsCapacity = false; // holds capacity and a token: it may run at record.worker
    bool startSent = false; // by this lead
    bool awaitsIntent = false; // the start waits for the durable intent
    bool isConfirmed = false; // the worker said that it runs it
    bool isRecovering = false; // taken over, no worker has told of it yet
    bool inherited = false; // the token was taken by a former lead
    bool isStopping = false;
    bool hasSucceeded = false; // a gang member that waits for the others; recorded with them
    std::uint64_t intentSequence = 0; // the start waits for this change of the record to be durable
    std::uint64_t attemptSequence = 0; // the change that holds the latest attempt's number
    std::string incarnation; // the worker's, as known when the start was sent
    Instant startDeliveryDeadline; // a start of this attempt has arrived by then, or never will
    Instant leaseExpiresAt; // the worker has surely ended it by then
    Instant notBefore; // Pending: not started earlier
    bool hasTimer = false;
    Instant timerAt;
    std::uint32_t failures = 0;
    std::uint32_t refusals = 0;

    bool operator==(const TaskRuntime&) const = default;
};

/** An end to be acknowledged once the change `sequence` is durable. */
struct PendingAck {
    std::uint64_t sequence = 0;
    ServerId worker;
    TaskAttempt attempt;

    bool operator==(const PendingAck&) const = default;
};

/** One job in the ledger. */
struct JobEntry {
    JobRecord record; // with all changes so far
    std::uint64_t version = 0; // of the row as last known
    std::uint64_t latestChange = 0; // number of the latest change
    std::uint64_t changeInFlight = 0; // change held by the write in flight
    std::uint64_t durableChange = 0; // change known to be in the store
    std::uint64_t writeId = 0; // in flight; 0: none
    std::vector<TaskRuntime> tasks;
    std::uint32_t capacityHolders = 0; // tasks that hold capacity
    std::uint32_t unfinishedTasks = 0; // tasks in no final state
    std::vector<std::uint32_t> awaitingIntent; // tasks to be started once the intent is durable
    std::vector<PendingAck> acks;
    bool isStoppingGang = false; // a gang whose members are being stopped
    bool hasMemberFailed = false; // a member ran and failed, as against a refused start
    std::optional<Instant> recoveryEndsAt; // taken over: tasks may run unrecorded until then
    bool ended = false; // JobEnded was emitted
    std::optional<Instant> unschedulableSince;

    bool operator==(const JobEntry&) const = default;
};

/** One worker in the ledger. */
struct WorkerEntry {
    ServerInfo info;
    bool listed = false;
    bool leaving = false;
    bool hasCompleteReport
        = false; // reported late enough after the takeover to show all tasks of former leads
    bool isSuspected = false;
    std::string incarnation;
    Resources heldResources; // by tasks that may run there
    Resources reportedUsage;
    bool hasUnknownTasks
        = false; // it runs tasks that this ledger doesn't know; closed until they are stopped
    Instant lastReportRequestedAt; // request time of the latest report
    std::set<TaskRef> tasks; // that may run there
    Instant renewAt;
    std::uint64_t startFailures = 0; // refused, unknown or failed, since listed
    std::uint64_t starts = 0;

    bool operator==(const WorkerEntry&) const = default;
};

/**
 * The jobs of one failure domain, held by its lead.
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
    std::set<std::pair<Instant, TaskRef>> timers; // lease lapses and backoff ends, one a task
    std::set<TaskRef> readyTasks; // Pending, backoff over
    std::set<JobId> jobsToWrite; // changed, to be written at the end of the step
    std::map<std::uint64_t, JobId> writes; // in flight
    std::set<std::pair<Instant, std::uint64_t>> unknownWrites; // in flight, to be tried again then
    std::set<JobId> failedWrites; // to be written again with the next tick
    std::vector<JobId> finished; // final record durable, not taken yet
};

/** Takes one event and gives the actions to perform, in this order. */
std::vector<LedgerAction> step(JobLedger& ledger, const LedgerEvent& event, Instant now);

/** A task that may be placed now. All tasks of a gang are listed together and must be placed together. */
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

/** At most about `limit` placeable tasks, gangs whole. */
std::vector<PendingTask> pendingWork(const JobLedger& ledger, std::size_t limit);

/** A worker as the placement policy sees it. */
struct LedgerWorker {
    ServerId id;
    std::string rack;
    Resources capacity;
    Resources free;
    bool isOpen = false; // takes new work
    std::uint64_t starts = 0;
    std::uint64_t startFailures = 0; // for outlier ejection
    std::vector<TaskRef> tasks;

    bool operator==(const LedgerWorker&) const = default;
};

std::vector<LedgerWorker> workerViews(const JobLedger& ledger);

/** The record with all changes so far; nullptr if the ledger doesn't hold the job. */
const JobRecord* findJob(const JobLedger& ledger, const JobId& job);

/** Ended jobs with their durable versions; each is handed out once and forgotten. */
std::vector<VersionedRecord> takeFinished(JobLedger& ledger);

/** How long after its last send a task lease has surely lapsed at the worker. */
Duration leaseExpiryBound(const LedgerSettings& settings);

} // namespace quay
