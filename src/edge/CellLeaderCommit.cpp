#include "edge/CellLeader.h"

#include "Wire.h"

#include <algorithm>
#include <boost/asio/post.hpp>

// Commits: what becomes durable together, and jobs that wait to be accepted.
namespace quay::edge {

using namespace fleet;
using namespace platform;

namespace {

constexpr auto heartbeatInterval = 350ms; // half of the time after which a silent leader may be replaced
constexpr auto initialCommitTimeout = 500ms;
constexpr auto maxCommitTimeout = 1600ms;
constexpr int commitTimeoutFactor = 4; // against the last commit's time
constexpr std::size_t maxTransactionEntries = 100; // of one transaction
constexpr std::size_t maxAcceptBytes = 300'000; // of the 1 MB that a transaction holds, as base64
constexpr std::size_t maxWaitingAccepts = 500; // some seconds of the largest burst
constexpr auto commitRetryDelay = 60ms;

Instant clockNow() { return std::chrono::steady_clock::now(); }

} // namespace

void CellLeader::beginCommit(CommitAction action)
{
    if (m_commitInFlight) { // a heartbeat is on its way; the scheduler has at most one commit open
        m_queuedCommit = std::move(action);
        return;
    }
    m_commitInFlight = std::move(action);
    ++m_leadership.sequence;
    m_commitTimeout = std::clamp<Duration>(
        m_lastCommitLatency * commitTimeoutFactor, initialCommitTimeout, maxCommitTimeout);
    addAcceptsToCommit();
    sendCommit();
}

// As many waiting jobs as the transaction has room for beside the scheduler's records.
void CellLeader::addAcceptsToCommit()
{
    const auto used = 2 + m_commitInFlight->records.size()
        + 3 * m_commitInFlight->forgotten.size(); // 2: the leadership row
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
    if (!m_isLoaded || m_isStopped || m_isRelinquishing || !canCommit(clockNow())
        || m_waitingAccepts.size() >= maxWaitingAccepts) {
        done(AcceptOutcome::NotWritten);
        return;
    }
    if (m_scheduler.shownPhase(job.id)) { // the row decides whether it is the same job
        done(AcceptOutcome::NotWritten);
        return;
    }
    if (shareAnswer(m_waitingAccepts, job, done) || shareAnswer(m_acceptsInFlight, job, done))
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

// The same job handed in again while its first hand-in is open shares the answer; another one under its id
// waits for the row.
bool CellLeader::shareAnswer(std::vector<PendingAccept>& accepts, const StoredJob& job, AcceptCallback& done)
{
    auto it = std::find_if(
        accepts.begin(), accepts.end(), [&](const PendingAccept& other) { return other.job.id == job.id; });
    if (it == accepts.end())
        return false;
    if (it->job == job)
        it->done.push_back(std::move(done));
    else
        done(AcceptOutcome::NotWritten);
    return true;
}

// A job of the commit in hand has a row already: written by a node itself, or by an attempt of ours.
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
    const bool isSame = stored && stored->body == accept.job.body && stored->team == accept.job.team;
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

void CellLeader::sendHeartbeatIfIdle()
{
    if (m_commitInFlight || m_isStopped || clockNow() - m_lastCommitAt < heartbeatInterval)
        return;
    beginCommit({}); // number 0: nothing but the leadership row
}

// The row's version is the condition, so of all attempts with one sequence number at most one is carried out,
// however late.
void CellLeader::sendCommit()
{
    StoreTransaction transaction;
    transaction.conditions.push_back(
        { leadershipTable, cellPartition, leadershipKey, {}, m_leadershipVersion, false });
    transaction.puts.push_back(
        { leadershipTable, cellPartition, leadershipKey, encode(m_leadership), 0, false });
    for (const auto& [id, record] : m_commitInFlight->records)
        transaction.puts.push_back({ recordTable, cellPartition, id, record, 0, false });
    for (const auto& id : m_commitInFlight->forgotten) {
        transaction.deletes.push_back({ recordTable, cellPartition, id, {}, 0, false });
        transaction.deletes.push_back({ jobTable, cellPartition, id, {}, 0, false });
        transaction.deletes.push_back({ jobTable, cellPartition, id + cancellationSuffix, {}, 0, false });
    }
    for (const auto& it : m_acceptsInFlight) {
        transaction.conditions.push_back({ jobTable, cellPartition, it.job.id, {}, 0, false });
        transaction.puts.push_back({ jobTable, cellPartition, it.job.id, encode(it.job), 0, false });
    }
    const auto sentAt = clockNow();
    m_services.store.transact(
        transaction, m_commitTimeout, [self = shared_from_this(), sentAt](StoreResult result) {
            if (!self->m_isStopped)
                self->commitAnswered(result, sentAt);
        });
}

void CellLeader::commitAnswered(const StoreResult& result, Instant sentAt)
{
    if (result.outcome == StoreOutcome::Ok) {
        commitDone(result.version, sentAt);
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
            loseLeadership(leadership ? "node " + leadership->node + " has taken the leadership row"
                                      : "the leadership row is gone");
            return;
        }
        if (leadership->sequence == m_leadership.sequence) { // an earlier attempt was carried out
            commitDone(leadershipVersion, sentAt);
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
    if (result.outcome == StoreOutcome::NotDone)
        ++m_consecutiveCommitFailures;
    m_commitTimeout = std::min<Duration>(m_commitTimeout * 2, maxCommitTimeout);
    runLater(commitRetryDelay, [self = shared_from_this()] { self->sendCommit(); });
}

void CellLeader::commitDone(std::int64_t version, Instant sentAt)
{
    const auto now = clockNow();
    m_leadershipVersion = version;
    m_lastCommitAt = now;
    m_consecutiveCommitFailures = 0;
    m_commits.add();
    m_commitLatency.record(now - sentAt);
    m_lastCommitLatency = now - sentAt;
    const auto commit = std::exchange(m_commitInFlight, std::nullopt);
    m_scheduler.committed(commit->number, sentAt, now);
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
        return; // the commit in hand comes first
    m_leadership.node.clear();
    beginCommit({});
}

} // namespace quay::edge
