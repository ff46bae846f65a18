#include "JobLedgerParts.h"

#include <algorithm>

namespace quay::ledger {

namespace {

JobEntry* findWrite(JobLedger& ledger, std::uint64_t writeId)
{
    const auto job = ledger.writes.find(writeId);
    if (job == ledger.writes.end())
        return nullptr;
    JobEntry& entry = ledger.jobs.at(job->second);
    ledger.writes.erase(job);
    entry.writeId = 0;
    return &entry;
}

void issueWrite(Turn& turn, JobEntry& entry)
{
    entry.writing = entry.changed;
    entry.writeId = turn.ledger.nextWriteId++;
    turn.ledger.writes.emplace(entry.writeId, entry.record.id);
    turn.actions.emplace_back(WriteRecord { entry.record.id, entry.version, entry.record, entry.writeId });
}

// Moves the acknowledgements whose change is durable into one message a worker.
void flushAcks(Turn& turn, JobEntry& entry)
{
    std::map<ServerId, SendAck> messages;
    const auto isDue = [&](const PendingAck& ack) {
        return ack.sequence <= entry.durable || !turn.ledger.rules.ackAfterDurable;
    };
    for (const PendingAck& ack : entry.acks) {
        if (!isDue(ack))
            continue;
        messages[ack.worker].worker = ack.worker;
        messages[ack.worker].tasks.push_back(ack.attempt);
    }
    std::erase_if(entry.acks, isDue);
    for (auto& [worker, message] : messages)
        turn.actions.emplace_back(std::move(message));
}

void announceEnd(Turn& turn, JobEntry& entry)
{
    if (entry.ended || entry.record.state == JobState::Active || entry.durable < entry.changed)
        return;
    entry.ended = true;
    turn.ledger.finished.push_back(entry.record.id);
    turn.actions.emplace_back(JobEnded { entry.record.id });
}

} // namespace

void onWriteDone(Turn& turn, const WriteDone& event)
{
    JobEntry* entry = findWrite(turn.ledger, event.writeId);
    if (!entry)
        return;
    entry->version = event.version;
    entry->durable = entry->writing;
    if (entry->changed > entry->durable)
        turn.ledger.unwritten.insert(entry->record.id);
    whenDurable(turn, *entry);
}

void onWriteFailed(Turn& turn, const WriteFailed& event)
{
    if (const JobEntry* entry = findWrite(turn.ledger, event.writeId))
        turn.ledger.failedWrites.insert(entry->record.id);
}

// Neither effect nor failure may be assumed: the write stays in flight for a while.
void onWriteUnknown(Turn& turn, const WriteUnknown& event)
{
    if (turn.ledger.writes.contains(event.writeId))
        turn.ledger.unknownWrites.emplace(turn.now + turn.ledger.settings.unknownWriteBound, event.writeId);
}

// Both writes check the same version, so that at most one of them ever takes effect.
void retryUnknownWrites(Turn& turn)
{
    auto& unknown = turn.ledger.unknownWrites;
    while (!unknown.empty() && unknown.begin()->first <= turn.now) {
        const WriteFailed failed { unknown.begin()->second };
        unknown.erase(unknown.begin());
        onWriteFailed(turn, failed);
    }
}

// At most one write a job is in flight; later changes are carried by the next one together.
void issueWrites(Turn& turn)
{
    for (const JobId& job : turn.ledger.unwritten) {
        JobEntry& entry = turn.ledger.jobs.at(job);
        const bool waitsForTick = turn.ledger.failedWrites.contains(job);
        if (entry.writeId == 0 && entry.changed > entry.durable && !waitsForTick)
            issueWrite(turn, entry);
    }
    turn.ledger.unwritten.clear();
}

void whenDurable(Turn& turn, JobEntry& entry)
{
    flushAcks(turn, entry);
    startDurableIntents(turn, entry);
    announceEnd(turn, entry);
}

void acknowledge(Turn& turn, JobEntry& entry, const ServerId& worker, const TaskAttempt& attempt)
{
    const auto same = [&](const PendingAck& ack) { return ack.worker == worker && ack.attempt == attempt; };
    if (std::none_of(entry.acks.begin(), entry.acks.end(), same))
        entry.acks.push_back({ entry.changed, worker, attempt });
    flushAcks(turn, entry);
}

} // namespace quay::ledger
