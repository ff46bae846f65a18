#pragma once

#include "quay/core/JobLedger.h"

#include <cstdint>
#include <string>
#include <vector>

// Private to the JobLedger*.cpp files.
namespace quay::ledger {

// One call of step().
struct Turn {
    JobLedger& ledger;
    Instant now;
    std::vector<LedgerAction> actions;
};

// How an attempt came to its end.
enum class AttemptEnd {
    Well,
    Badly, // confirmed failure
    Lost, // it surely runs no more, its outcome can't be known
    NotStarted, // proven
};

// A task found in the ledger.
struct Found {
    JobEntry* entry = nullptr;
    TaskRef ref;

    explicit operator bool() const { return entry != nullptr; }
    TaskRecord& record() const { return entry->record.tasks[ref.index]; }
    TaskLive& live() const { return entry->tasks[ref.index]; }
};

Found find(JobLedger& ledger, const TaskRef& ref);
Found find(JobLedger& ledger, const TaskId& task);

// May an attempt of unknown outcome be run again?
inline bool mayRerun(const JobSpec& spec) { return spec.idempotent || spec.kind == JobKind::Service; }
inline bool isGang(const JobEntry& entry) { return entry.record.spec.kind == JobKind::Gang; }

// Shared (JobLedgerParts.cpp).
JobEntry& addJob(Turn& turn, const VersionedRecord& row);
void touch(Turn& turn, JobEntry& entry);
void explain(Turn& turn, const JobEntry& entry, std::string text);
void setTimer(Turn& turn, const Found& task, Instant at);
void clearTimer(Turn& turn, const Found& task);
void makePending(Turn& turn, const Found& task, Instant notBefore);
void makeFinal(Turn& turn, const Found& task, TaskState state, std::string result);
void occupy(Turn& turn, const Found& task, const ServerId& worker);
void vacate(Turn& turn, const Found& task);
bool takesWork(const WorkerEntry& worker);
Resources freeRoom(const JobLedger& ledger, const WorkerEntry& worker);

// Submit (JobLedgerSubmit.cpp).
void onAccepted(Turn& turn, const JobAccepted& event);
void onCancel(Turn& turn, const CancelRequested& event);
void onTimer(Turn& turn, const Found& task);
void failUnrunnable(Turn& turn);

// Start (JobLedgerStart.cpp).
void onPlacements(Turn& turn, const PlacementsChosen& event);
void onStartAnswer(Turn& turn, const StartAnswer& event);
void startDurableIntents(Turn& turn, JobEntry& entry);
void renewLeases(Turn& turn);
Duration lapseAfterSend(const JobLedger& ledger);

// End (JobLedgerEnd.cpp).
void settle(Turn& turn, const Found& task, AttemptEnd end, const std::string& text);
void stopTask(Turn& turn, const Found& task);
void stopMembers(Turn& turn, JobEntry& entry);
void afterChange(Turn& turn, JobEntry& entry);

// Store (JobLedgerStore.cpp).
void onWriteDone(Turn& turn, const WriteDone& event);
void onWriteUnknown(Turn& turn, const WriteUnknown& event);
void retryUnknownWrites(Turn& turn);
void onWriteFailed(Turn& turn, const WriteFailed& event);
void issueWrites(Turn& turn);
void whenDurable(Turn& turn, JobEntry& entry);
void acknowledge(Turn& turn, JobEntry& entry, const ServerId& worker, const TaskAttempt& attempt);

// Recovery and workers (JobLedgerRecovery.cpp).
void recoverJob(Turn& turn, const VersionedRecord& row);
void onBecameLead(Turn& turn, const BecameLead& event);
void onLostLead(Turn& turn);
void onWorkerList(Turn& turn, const WorkerList& event);
void onReport(Turn& turn, const WorkerReport& event);

} // namespace quay::ledger
