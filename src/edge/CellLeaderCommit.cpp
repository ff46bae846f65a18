#include "edge/CellLeader.h"

#include "Wire.h"
#include "edge/Clock.h"

#include <algorithm>
#include <boost/asio/post.hpp>

// Commits of the scheduler's records, and acceptance of jobs as part of these commits.
namespace quay::edge {

using namespace fleet;
using namespace platform;

namespace {

constexpr auto heartbeatInterval = 200ms; // less than half of leaderCommitTimeout in Election.cpp
constexpr auto initialCommitTimeout = 500ms;
constexpr auto maxCommitTimeout = 1600ms;
constexpr int commitTimeoutFactor = 4; // multiplies the last commit's latency
constexpr std::size_t maxTransactionEntries = 100; // limit of the store
// Job bodies in one commit. A transaction holds 1 MB, bodies are encoded as base64, and records need space
// too.
constexpr std::size_t maxAcceptBytes = 300'000;
// Jobs that wait for a commit: what two or three commits take beside the scheduler's records. With more, a
// slow store would keep callers waiting; their nodes write the jobs themselves.
constexpr std::size_t maxWaitingAccepts = 40;
// Five times the usual: jobs would take entries of the few commits from the records that starts wait for,
// while their nodes can write them in partitions of their own.
constexpr Duration slowCommitLatency = 150ms;
constexpr auto commitRetryDelay = 60ms;
constexpr auto removalRetryDelay = 2000ms; // nobody waits for it

} // namespace

void CellLeader::beginCommit(CommitAction action)
{
    if (m_commitInFlight) { // not the scheduler's, which has at most one in flight
        m_queuedCommit = std::move(action);
        return;
    }
    m_commitInFlight = std::move(action);
    ++m_leadership.sequence;
    m_commitAttempts = {};
    m_commitTimeout = std::clamp<Duration>(
        m_lastCommitLatency * commitTimeoutFactor, initialCommitTimeout, maxCommitTimeout);
    addAcceptsToCommit();
    sendCommit();
}

// Adds waiting jobs to the commit while they fit beside the scheduler's records: up to maxTransactionEntries
// in the whole transaction, and about maxAcceptBytes of job bodies.
void CellLeader::addAcceptsToCommit()
{
    const auto used = 2 + m_commitInFlight->records.size()
        + 2 * m_commitInFlight->removedJobs.size(); // 2: condition and put of the leadership row
    std::size_t bytes = 0;
    while (!m_waitingAccepts.empty() && !m_isRelinquishing
        && used + 2 * (m_acceptsInFlight.size() + 1) <= maxTransactionEntries && bytes < maxAcceptBytes) {
        bytes += m_waitingAccepts.front().job.body.size();
        m_acceptsInFlight.push_back(std::move(m_waitingAccepts.front()));
        m_waitingAccepts.erase(m_waitingAccepts.begin());
    }
}

void CellLeader::accept(const StoredJob& job, AcceptCallback done)
{
    if (!m_isStopped && m_tombstones.contains(job.id) && !isStoredUnread(job.id)
        && !m_scheduler.durablePhase(job.id)) {
        done(AcceptOutcome::Cancelled);
        return;
    }
    if (!m_isLoaded || m_isStopped || m_isRelinquishing || !canCommit(clockNow())
        || m_waitingAccepts.size() >= maxWaitingAccepts || m_lastCommitLatency >= slowCommitLatency) {
        done(AcceptOutcome::NotWritten);
        return;
    }
    if (m_scheduler.durablePhase(job.id)) { // the caller's node compares the job with the stored row
        done(AcceptOutcome::NotWritten);
        return;
    }
    if (joinPendingAccept(m_waitingAccepts, job, done) || joinPendingAccept(m_acceptsInFlight, job, done))
        return;
    m_waitingAccepts.push_back({ job, { std::move(done) } });
    if (!m_commitInFlight)
        beginCommit({});
}

void CellLeader::PendingAccept::answer(AcceptOutcome outcome) const
{
    for (const auto& it : done)
        it(outcome);
}

bool CellLeader::isBeingAccepted(const std::string& id) const
{
    const auto isSame = [&](const PendingAccept& accept) { return accept.job.id == id; };
    return std::any_of(m_waitingAccepts.begin(), m_waitingAccepts.end(), isSame)
        || std::any_of(m_acceptsInFlight.begin(), m_acceptsInFlight.end(), isSame);
}

// A job of the commit in flight is cancelled once it is durable; one that waits for a commit need not become
// so.
void CellLeader::refuseWaitingAccept(const std::string& id)
{
    const auto it = std::find_if(m_waitingAccepts.begin(), m_waitingAccepts.end(),
        [&](const PendingAccept& accept) { return accept.job.id == id; });
    if (it == m_waitingAccepts.end())
        return;
    const auto accept = std::move(*it);
    m_waitingAccepts.erase(it);
    accept.answer(AcceptOutcome::Cancelled);
}

// Adds a repeated submission to the pending one of the same job, so that both get the same answer. A
// different job with the same id is answered as not written; the caller's node then compares it with the
// stored row.
bool CellLeader::joinPendingAccept(
    std::vector<PendingAccept>& accepts, const StoredJob& job, AcceptCallback& done)
{
    auto it = std::find_if(
        accepts.begin(), accepts.end(), [&](const PendingAccept& other) { return other.job.id == job.id; });
    if (it == accepts.end())
        return false;
    if (isSameSubmission(it->job, job))
        it->done.push_back(std::move(done));
    else
        done(AcceptOutcome::NotWritten);
    return true;
}

// A job of the commit in flight already has a row: a node wrote it directly, or an earlier attempt did.
void CellLeader::answerExistingJob(const StoreRow& row)
{
    auto it = std::find_if(m_acceptsInFlight.begin(), m_acceptsInFlight.end(),
        [&](const PendingAccept& accept) { return accept.job.id == row.key; });
    if (it == m_acceptsInFlight.end())
        return;
    auto accept = std::move(*it);
    m_acceptsInFlight.erase(it);
    Reason reason;
    const auto stored = decodeStoredJob(row.value, reason);
    const bool isSame = stored && isSameSubmission(*stored, accept.job);
    applyJobRow(row);
    accept.answer(isSame ? AcceptOutcome::Accepted : AcceptOutcome::Conflict);
}

void CellLeader::abandonAccepts()
{
    for (auto& it : std::exchange(m_waitingAccepts, {}))
        it.answer(AcceptOutcome::NotWritten);
    for (auto& it : std::exchange(m_acceptsInFlight, {}))
        it.answer(AcceptOutcome::Unknown);
}

void CellLeader::commitHeartbeatIfIdle()
{
    if (m_commitInFlight || m_isStopped || clockNow() - m_lastCommitAt < heartbeatInterval)
        return;
    beginCommit({}); // commit number 0: no records of the scheduler
}

// Deletes the rows of an expired job in its intake partition. Its record and its row in the leader's
// partition are deleted afterwards, in one commit: without them a row that is left would be run again. If
// this leader is lost in between, a record without a job is left, which is never used.
void CellLeader::deleteIntakeRows(const std::string& id)
{
    StoreTransaction transaction;
    const auto partition = intakePartitionOf(id);
    transaction.deletes.push_back({ jobTable, partition, id, {}, 0, false });
    transaction.deletes.push_back({ jobTable, partition, id + cancellationSuffix, {}, 0, false });
    m_services.store.transact(
        transaction, maxCommitTimeout, [self = shared_from_this(), id](const StoreResult& result) {
            if (self->m_isStopped)
                return;
            if (result.outcome == StoreOutcome::Ok) {
                self->m_scheduler.remove(id);
                return;
            }
            self->m_services.log.write("job_removal_delayed", id, { { "reason", result.detail } });
            self->runLater(removalRetryDelay, [self, id] { self->deleteIntakeRows(id); });
        });
}

// All attempts with one sequence number are conditional on the same version of the leadership row, so the
// store executes at most one of them, even if a delayed one arrives later.
void CellLeader::sendCommit()
{
    StoreTransaction transaction;
    transaction.conditions.push_back(
        { leadershipTable, cellPartition, leadershipKey, {}, m_leadershipVersion, false });
    transaction.puts.push_back(
        { leadershipTable, cellPartition, leadershipKey, encode(m_leadership), 0, false });
    for (const auto& [id, record] : m_commitInFlight->records)
        transaction.puts.push_back({ recordTable, cellPartition, id, record, 0, false });
    for (const auto& id : m_commitInFlight->removedJobs) {
        transaction.deletes.push_back({ recordTable, cellPartition, id, {}, 0, false });
        transaction.deletes.push_back({ jobTable, cellPartition, id, {}, 0, false });
    }
    for (const auto& it : m_acceptsInFlight) {
        transaction.conditions.push_back({ jobTable, cellPartition, it.job.id, {}, 0, false });
        transaction.puts.push_back({ jobTable, cellPartition, it.job.id, encode(it.job), 0, false });
    }
    m_commitAttempts.send(clockNow());
    m_services.store.transact(transaction, m_commitTimeout, [self = shared_from_this()](StoreResult result) {
        if (!self->m_isStopped)
            self->commitAnswered(result);
    });
}

void CellLeader::commitAnswered(const StoreResult& result)
{
    if (result.outcome == StoreOutcome::Ok) {
        commitDone(result.version, m_commitAttempts.executedAfter(true));
        return;
    }
    if (result.outcome == StoreOutcome::ConditionFailed) {
        Reason reason;
        std::optional<LeadershipRecord> leadership;
        std::int64_t leadershipVersion = 0;
        for (const auto& row : result.rows) {
            if (row.table == leadershipTable) {
                leadership = decodeLeadershipRecord(row.value, reason);
                leadershipVersion = row.version;
            }
        }
        if (!leadership || leadership->incarnation != m_leadership.incarnation) {
            loseLeadership(leadership ? "node " + leadership->node + " has taken over the leadership row"
                                      : "the leadership row was deleted");
            return;
        }
        if (leadership->sequence == m_leadership.sequence) { // an earlier attempt succeeded
            commitDone(leadershipVersion, m_commitAttempts.executedAfter(false));
            return;
        }
        for (const auto& row : result.rows) {
            if (row.table == jobTable && row.version > 0)
                answerExistingJob(row);
        }
        m_leadershipVersion = leadershipVersion;
        sendCommit();
        return;
    }
    m_services.log.write("commit_unanswered", {},
        { { "sequence", std::to_string(m_leadership.sequence) },
            { "outcome", std::string(text(result.outcome)) }, { "reason", result.detail } });
    if (result.outcome == StoreOutcome::NotApplied
        && ++m_consecutiveCommitFailures >= maxConsecutiveCommitFailures && m_onCommitsRefused)
        m_onCommitsRefused(m_leadershipVersion);
    m_commitTimeout = std::min<Duration>(m_commitTimeout * 2, maxCommitTimeout);
    runLater(commitRetryDelay, [self = shared_from_this()] { self->sendCommit(); });
}

void CellLeader::commitDone(std::int64_t version, Instant executedAfter)
{
    const auto now = clockNow();
    m_leadershipVersion = version;
    m_lastCommitAt = now;
    m_consecutiveCommitFailures = 0;
    m_commits.add();
    m_commitLatency.record(now - m_commitAttempts.lastSentAt());
    m_lastCommitLatency = now - m_commitAttempts.lastSentAt();
    ++m_load.commits;
    m_load.commitTime += now - m_commitAttempts.lastSentAt();
    m_load.commitRecords += static_cast<int>(m_commitInFlight->records.size());
    const auto commit = std::exchange(m_commitInFlight, std::nullopt);
    m_scheduler.committed(commit->number, executedAfter, now);
    for (auto& it : std::exchange(m_acceptsInFlight, {})) {
        submit(it.job);
        it.answer(AcceptOutcome::Accepted);
    }
    if (m_isRelinquishing) {
        if (m_onRelinquished && m_leadership.node.empty())
            std::exchange(m_onRelinquished, nullptr)();
        else
            relinquish(std::move(m_onRelinquished));
        return;
    }
    if (m_queuedCommit)
        beginCommit(*std::exchange(m_queuedCommit, std::nullopt));
    runScheduler();
    if (!m_commitInFlight && !m_waitingAccepts.empty())
        beginCommit({});
}

void CellLeader::relinquish(std::function<void()> done)
{
    m_isRelinquishing = true;
    m_onRelinquished = std::move(done);
    if (m_commitInFlight)
        return; // commitDone() calls this again once the commit in flight is durable
    m_leadership.node.clear();
    beginCommit({});
}

} // namespace quay::edge
