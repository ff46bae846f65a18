#include "JobLedgerParts.h"

#include <algorithm>

namespace quay::ledger {

namespace {

JobEntry* takeWriteInFlight(JobLedger& ledger, std::uint64_t writeId)
{
    const auto job = ledger.writesInFlight.find(writeId);
    if (job == ledger.writesInFlight.end())
        return nullptr;
    JobEntry& entry = ledger.jobs.at(job->second);
    ledger.writesInFlight.erase(job);
    entry.writeId = 0;
    return &entry;
}

void issueWrite(StepContext& context, JobEntry& entry)
{
    entry.changeInFlight = entry.latestChange;
    entry.writeId = context.ledger.nextWriteId++;
    context.ledger.writesInFlight.emplace(entry.writeId, entry.record.id);
    context.actions.emplace_back(WriteRecord { entry.record.id, entry.version, entry.record, entry.writeId });
}

// Sends the acknowledgements whose change is durable, in one message for each worker.
void flushAcks(StepContext& context, JobEntry& entry)
{
    std::map<ServerId, SendAck> messages;
    const auto isDue = [&](const PendingAck& ack) {
        return ack.sequence <= entry.durableChange || !context.ledger.rules.ackAfterDurable;
    };
    for (const PendingAck& ack : entry.acks) {
        if (!isDue(ack))
            continue;
        messages[ack.worker].worker = ack.worker;
        messages[ack.worker].tasks.push_back(ack.attempt);
    }
    std::erase_if(entry.acks, isDue);
    for (auto& [worker, message] : messages)
        context.actions.emplace_back(std::move(message));
}

void reportJobEnd(StepContext& context, JobEntry& entry)
{
    if (entry.ended || entry.record.state == JobState::Active || entry.durableChange < entry.latestChange)
        return;
    entry.ended = true;
    context.ledger.endedJobs.push_back(entry.record.id);
    context.actions.emplace_back(JobEnded { entry.record.id });
}

} // namespace

void onWriteDone(StepContext& context, const WriteDone& event)
{
    JobEntry* entry = takeWriteInFlight(context.ledger, event.writeId);
    if (!entry)
        return;
    entry->version = event.version;
    entry->durableChange = entry->changeInFlight;
    if (entry->latestChange > entry->durableChange)
        context.ledger.jobsToWrite.insert(entry->record.id);
    onChangeDurable(context, *entry);
}

void onWriteFailed(StepContext& context, const WriteFailed& event)
{
    if (const JobEntry* entry = takeWriteInFlight(context.ledger, event.writeId))
        context.ledger.failedWrites.insert(entry->record.id);
}

// The write may or may not have been applied, so it counts as in flight until unknownWriteBound has passed.
void onWriteUnknown(StepContext& context, const WriteUnknown& event)
{
    if (context.ledger.writesInFlight.contains(event.writeId))
        context.ledger.unknownWrites.emplace(
            context.now + context.ledger.settings.unknownWriteBound, event.writeId);
}

// The retry expects the same row version as the first write, so at most one of them is ever applied.
void retryUnknownWrites(StepContext& context)
{
    auto& unknown = context.ledger.unknownWrites;
    while (!unknown.empty() && unknown.begin()->first <= context.now) {
        const WriteFailed failed { unknown.begin()->second };
        unknown.erase(unknown.begin());
        onWriteFailed(context, failed);
    }
}

// At most one write for each job is in flight; changes made meanwhile are combined into the next one.
void issueWrites(StepContext& context)
{
    for (const JobId& job : context.ledger.jobsToWrite) {
        JobEntry& entry = context.ledger.jobs.at(job);
        const bool waitsForTick = context.ledger.failedWrites.contains(job);
        if (entry.writeId == 0 && entry.latestChange > entry.durableChange && !waitsForTick)
            issueWrite(context, entry);
    }
    context.ledger.jobsToWrite.clear();
}

void onChangeDurable(StepContext& context, JobEntry& entry)
{
    flushAcks(context, entry);
    startDurableIntents(context, entry);
    reportJobEnd(context, entry);
}

void acknowledge(StepContext& context, JobEntry& entry, const ServerId& worker, const TaskAttempt& attempt)
{
    const auto same = [&](const PendingAck& ack) { return ack.worker == worker && ack.attempt == attempt; };
    if (std::none_of(entry.acks.begin(), entry.acks.end(), same))
        entry.acks.push_back({ entry.latestChange, worker, attempt });
    flushAcks(context, entry);
}

} // namespace quay::ledger
