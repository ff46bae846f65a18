#pragma once

#include "quay/core/JobLedger.h"

#include <cstdint>
#include <string>
#include <vector>

// Private to the JobLedger*.cpp files.
namespace quay::ledger {

// The state of one call of step().
struct StepContext {
    JobLedger& ledger;
    Instant now;
    std::vector<LedgerAction> actions;
};

// How an attempt ended.
enum class AttemptOutcome {
    Success,
    Failure, // reported by the worker
    UnknownOutcome, // the attempt is certain not to run any more, but its outcome can't be determined
    NotStarted, // the attempt is certain not to have run
};

// A reference to a task in the ledger; false if there is none.
struct TaskHandle {
    JobEntry* entry = nullptr;
    TaskRef ref;

    explicit operator bool() const { return entry != nullptr; }
    TaskRecord& record() const { return entry->record.tasks[ref.index]; }
    TaskRuntime& runtime() const { return entry->tasks[ref.index]; }
};

TaskHandle find(JobLedger& ledger, const TaskRef& ref);
TaskHandle find(JobLedger& ledger, const TaskId& task);

// Whether a task may be run again after an attempt of unknown outcome.
inline bool mayRerun(const JobSpec& spec) { return spec.idempotent || spec.kind == JobKind::Service; }
inline bool isGang(const JobEntry& entry) { return entry.record.spec.kind == JobKind::Gang; }

// Helpers shared by the files (JobLedgerParts.cpp).
JobEntry& addJob(StepContext& context, const VersionedRecord& row);
void markChanged(StepContext& context, JobEntry& entry);
void explain(StepContext& context, const JobEntry& entry, std::string text);
void setTimer(StepContext& context, const TaskHandle& task, Instant at);
void clearTimer(StepContext& context, const TaskHandle& task);
void makePending(StepContext& context, const TaskHandle& task, Instant notBefore);
void makeFinal(StepContext& context, const TaskHandle& task, TaskState state, std::string result);
void holdCapacity(StepContext& context, const TaskHandle& task, const ServerId& worker);
void releaseCapacity(StepContext& context, const TaskHandle& task);
bool acceptsNewWork(const WorkerEntry& worker);
Resources freeCapacity(const JobLedger& ledger, const WorkerEntry& worker);

// Submission, cancellation and timers (JobLedgerSubmit.cpp).
void onAccepted(StepContext& context, const JobAccepted& event);
void onCancel(StepContext& context, const CancelRequested& event);
void onTimer(StepContext& context, const TaskHandle& task);
void failUnschedulableJobs(StepContext& context);

// Placement, start and lease renewal (JobLedgerStart.cpp).
void onPlacements(StepContext& context, const PlacementsChosen& event);
void onStartAnswer(StepContext& context, const StartAnswer& event);
void startDurableIntents(StepContext& context, JobEntry& entry);
void renewLeases(StepContext& context);
Duration leaseExpiryAfterSend(const JobLedger& ledger);

// End of attempts, gangs and jobs (JobLedgerEnd.cpp).
void finishAttempt(
    StepContext& context, const TaskHandle& task, AttemptOutcome outcome, const std::string& text);
void stopTask(StepContext& context, const TaskHandle& task);
void stopGang(StepContext& context, JobEntry& entry);
void updateJobState(StepContext& context, JobEntry& entry);

// Writes to the store and acknowledgements (JobLedgerStore.cpp).
void onWriteDone(StepContext& context, const WriteDone& event);
void onWriteUnknown(StepContext& context, const WriteUnknown& event);
void retryUnknownWrites(StepContext& context);
void onWriteFailed(StepContext& context, const WriteFailed& event);
void issueWrites(StepContext& context);
void onChangeDurable(StepContext& context, JobEntry& entry);
void acknowledge(StepContext& context, JobEntry& entry, const ServerId& worker, const TaskAttempt& attempt);

// Takeover, worker list and reports (JobLedgerRecovery.cpp).
void recoverJob(StepContext& context, const VersionedRecord& row);
void onBecameLeader(StepContext& context, const BecameLeader& event);
void onLostLeadership(StepContext& context);
void onWorkerList(StepContext& context, const WorkerList& event);
void onReport(StepContext& context, const WorkerReport& event);

} // namespace quay::ledger
