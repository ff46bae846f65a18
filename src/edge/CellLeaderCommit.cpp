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
constexpr auto commitTimeoutFirst = 500ms;
constexpr auto commitTimeoutLongest = 1600ms;
constexpr int commitTimeoutFactor = 4; // against the last commit's time
constexpr std::size_t maxEntries = 100; // of one transaction
constexpr std::size_t maxAcceptBytes = 300'000; // of the 1 MB that a transaction holds, as base64
constexpr std::size_t maxWaitingAccepts = 500; // some seconds of the largest burst
constexpr auto commitRetry = 60ms;

Instant clockNow() { return std::chrono::steady_clock::now(); }

} // namespace

void CellLeader::beginCommit(CommitAction action)
{
    if (m_commit) { // a heartbeat is on its way; the scheduler has at most one commit open
        m_nextCommit = std::move(action);
        return;
    }
    m_commit = std::move(action);
    ++m_lead.sequence;
    m_commitTimeout = std::clamp<Duration>(
        m_lastCommitTime * commitTimeoutFactor, commitTimeoutFirst, commitTimeoutLongest);
    takeAccepts();
    sendCommit();
}

// As many waiting jobs as the transaction has room for beside the scheduler's records.
void CellLeader::takeAccepts()
{
    const auto used = 2 + m_commit->records.size() + 3 * m_commit->forgotten.size(); // 2: the leadership row
    std::size_t bytes = 0;
    while (!m_accepts.empty() && !m_isGivingUp && used + 2 * (m_committing.size() + 1) <= maxEntries
        && bytes < maxAcceptBytes) {
        bytes += m_accepts.front().job.body.size();
        m_committing.push_back(std::move(m_accepts.front()));
        m_accepts.erase(m_accepts.begin());
    }
}

void CellLeader::accept(const StoredJob& job, Accepted done)
{
    if (!m_isLoaded || m_isStopped || m_isGivingUp || !isUsable(clockNow())
        || m_accepts.size() >= maxWaitingAccepts) {
        done(AcceptOutcome::NotWritten);
        return;
    }
    if (m_scheduler.shownPhase(job.id)) { // the row decides whether it is the same job
        done(AcceptOutcome::NotWritten);
        return;
    }
    if (join(m_accepts, job, done) || join(m_committing, job, done))
        return;
    m_accepts.push_back({ job, { std::move(done) } });
    if (!m_commit)
        beginCommit({});
}

void CellLeader::Accept::answer(AcceptOutcome outcome) const
{
    for (const auto& it : done)
        it(outcome);
}

// The same job handed in again while its first hand-in is open shares the answer; another one under its id
// waits for the row.
bool CellLeader::join(std::vector<Accept>& accepts, const StoredJob& job, Accepted& done)
{
    auto it = std::find_if(
        accepts.begin(), accepts.end(), [&](const Accept& other) { return other.job.id == job.id; });
    if (it == accepts.end())
        return false;
    if (it->job == job)
        it->done.push_back(std::move(done));
    else
        done(AcceptOutcome::NotWritten);
    return true;
}

// A job of the commit in hand has a row already: written by a node itself, or by an attempt of ours.
void CellLeader::settleExisting(const StoreRow& row)
{
    auto it = std::find_if(m_committing.begin(), m_committing.end(),
        [&](const Accept& accept) { return accept.job.id == row.key; });
    if (it == m_committing.end())
        return;
    auto accept = std::move(*it);
    m_committing.erase(it);
    Reason reason;
    const auto stored = decodeStoredJob(row.value, reason);
    const bool isSame = stored && stored->body == accept.job.body && stored->team == accept.job.team;
    takeJobRow(row);
    accept.answer(isSame ? AcceptOutcome::Accepted : AcceptOutcome::Conflict);
}

void CellLeader::dropAccepts()
{
    for (auto& it : std::exchange(m_accepts, {}))
        it.answer(AcceptOutcome::NotWritten);
    for (auto& it : std::exchange(m_committing, {}))
        it.answer(AcceptOutcome::Unknown);
}

void CellLeader::beatIfIdle()
{
    if (m_commit || m_isStopped || clockNow() - m_lastCommit < heartbeatInterval)
        return;
    beginCommit({}); // number 0: nothing but the leadership row
}

// The row's version is the condition, so of all attempts with one sequence number at most one is carried out,
// however late.
void CellLeader::sendCommit()
{
    StoreTransaction transaction;
    transaction.conditions.push_back({ leadTable, cellPartition, leadKey, {}, m_leadVersion, false });
    transaction.puts.push_back({ leadTable, cellPartition, leadKey, encode(m_lead), 0, false });
    for (const auto& [id, record] : m_commit->records)
        transaction.puts.push_back({ recordTable, cellPartition, id, record, 0, false });
    for (const auto& id : m_commit->forgotten) {
        transaction.deletes.push_back({ recordTable, cellPartition, id, {}, 0, false });
        transaction.deletes.push_back({ jobTable, cellPartition, id, {}, 0, false });
        transaction.deletes.push_back({ jobTable, cellPartition, id + cancellationSuffix, {}, 0, false });
    }
    for (const auto& it : m_committing) {
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
        std::optional<LeadRecord> lead;
        std::int64_t leadVersion = 0;
        for (const auto& row : result.rows) {
            if (row.table == leadTable) {
                lead = decodeLeadRecord(row.value, reason);
                leadVersion = row.version;
            }
        }
        if (!lead || lead->incarnation != m_lead.incarnation) {
            depose(
                lead ? "node " + lead->node + " has taken the leadership row" : "the leadership row is gone");
            return;
        }
        if (lead->sequence == m_lead.sequence) { // an earlier attempt was carried out
            commitDone(leadVersion, sentAt);
            return;
        }
        for (const auto& row : result.rows) {
            if (row.table == jobTable && row.version > 0)
                settleExisting(row);
        }
        m_leadVersion = leadVersion;
        sendCommit();
        return;
    }
    m_services.log.write("commit_unanswered", {},
        { { "sequence", std::to_string(m_lead.sequence) }, { "outcome", std::string(text(result.outcome)) },
            { "reason", result.detail } });
    if (result.outcome == StoreOutcome::NotApplied)
        ++m_commitFailures;
    m_commitTimeout = std::min<Duration>(m_commitTimeout * 2, commitTimeoutLongest);
    after(commitRetry, [self = shared_from_this()] { self->sendCommit(); });
}

void CellLeader::commitDone(std::int64_t version, Instant sentAt)
{
    const auto now = clockNow();
    m_leadVersion = version;
    m_lastCommit = now;
    m_commitFailures = 0;
    m_commits.add();
    m_commitTime.record(now - sentAt);
    m_lastCommitTime = now - sentAt;
    const auto commit = std::exchange(m_commit, std::nullopt);
    m_scheduler.committed(commit->number, sentAt, now);
    for (auto& it : std::exchange(m_committing, {})) {
        submit(it.job);
        it.answer(AcceptOutcome::Accepted);
    }
    if (m_isGivingUp) {
        if (m_gaveUp && m_lead.node.empty())
            std::exchange(m_gaveUp, nullptr)();
        else
            giveUp(std::move(m_gaveUp));
        return;
    }
    if (m_nextCommit)
        beginCommit(*std::exchange(m_nextCommit, std::nullopt));
    pump();
    if (!m_commit && !m_accepts.empty())
        beginCommit({});
}

void CellLeader::giveUp(std::function<void()> done)
{
    m_isGivingUp = true;
    m_gaveUp = std::move(done);
    if (m_commit)
        return; // the commit in hand comes first
    m_lead.node.clear();
    beginCommit({});
}

} // namespace quay::edge
