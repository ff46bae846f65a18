#include "tableservice/StoreService.h"

#include "tableservice/TableCodec.h"

#include <algorithm>
#include <set>

namespace quay {

namespace {

constexpr std::size_t taskQueueCapacity = 16 * 1024;
constexpr std::size_t maxStoreConnections = 16;
constexpr std::size_t maxResponseBytes = 64UL * 1024 * 1024;
constexpr std::uint32_t scanPageRows = 500;
constexpr auto minBackoff = std::chrono::milliseconds(50);

Instant monotonicNow() { return std::chrono::steady_clock::now(); }

std::optional<std::vector<TableRow>> decodeRowsResponse(const HttpResult& result)
{
    Reason reason;
    if (!result.response || result.response->status != 200)
        return std::nullopt;
    return decodeRows(result.response->body, reason);
}

void appendTransaction(Transaction& group, const Transaction& one)
{
    group.checks.insert(group.checks.end(), one.checks.begin(), one.checks.end());
    group.puts.insert(group.puts.end(), one.puts.begin(), one.puts.end());
    group.deletes.insert(group.deletes.end(), one.deletes.begin(), one.deletes.end());
}

std::size_t rowCount(const Transaction& transaction)
{
    return transaction.puts.size() + transaction.deletes.size();
}

// Adds the keys of a transaction to the set. Returns false, without a change, if the set contains one of
// them.
bool addDisjointKeys(std::set<std::string>& keys, const Transaction& transaction)
{
    std::set<std::string> own;
    for (const auto& check : transaction.checks)
        own.insert(check.key);
    for (const auto& put : transaction.puts)
        own.insert(put.key);
    for (const auto& key : transaction.deletes)
        own.insert(key);
    const bool areDisjoint
        = std::none_of(own.begin(), own.end(), [&](const auto& key) { return keys.count(key); });
    if (areDisjoint)
        keys.insert(own.begin(), own.end());
    return areDisjoint;
}

// Decides, after a conflict on a retried transaction, whether an earlier attempt took effect: one did if
// every row that was put holds our value, all of them under one version, and every deleted row is gone.
// Returns that version, or nullopt if no attempt took effect.
std::optional<std::uint64_t> appliedVersion(const Transaction& transaction, const std::vector<TableRow>& rows)
{
    std::uint64_t version = 0;
    for (const auto& row : rows) {
        auto put = std::find_if(transaction.puts.begin(), transaction.puts.end(),
            [&](const RowPut& candidate) { return candidate.key == row.key; });
        if (put == transaction.puts.end()) {
            if (row.version)
                return std::nullopt;
            continue;
        }
        if (!row.version || row.value != put->value || (version && version != row.version))
            return std::nullopt;
        version = row.version;
    }
    return version;
}

} // namespace

struct StoreService::ScanState {
    std::string prefix;
    std::string after;
    Instant deadline;
    ReadHandler done;
    std::vector<TableRow> rows;
};

StoreService::StoreService(std::string address, StoreLimits limits)
    : ServiceThread("store", taskQueueCapacity)
    , m_address(std::move(address))
    , m_limits(limits)
    , m_client(context(), maxStoreConnections, maxResponseBytes)
{
}

void StoreService::sendRequest(HttpRequest request, Duration timeout, HttpClient::ResponseHandler done)
{
    m_client.send(m_address, std::move(request), timeout, std::move(done));
}

void StoreService::commit(Transaction transaction, Duration timeout, CommitHandler done)
{
    PendingTransaction pending { std::move(transaction), monotonicNow() + timeout, done };
    const bool queued = post([this, pending = std::move(pending)]() mutable {
        if (m_queue.size() >= m_limits.maxQueued) {
            pending.done({ TransactionStatus::NotSent, 0, {} });
            return;
        }
        m_queue.push_back(std::move(pending));
        scheduleCommit();
    });
    if (!queued)
        done({ TransactionStatus::NotSent, 0, {} });
}

void StoreService::scheduleCommit()
{
    if (m_isCommitInFlight || m_isCommitScheduled || m_queue.empty())
        return;
    const auto now = monotonicNow();
    if (m_nextCommitAt <= now) {
        sendGroupCommit();
        return;
    }
    m_isCommitScheduled = true;
    after(m_nextCommitAt - now, [this] {
        m_isCommitScheduled = false;
        sendGroupCommit();
    });
}

void StoreService::expireQueued()
{
    const auto now = monotonicNow();
    std::deque<PendingTransaction> kept;
    for (auto& pending : m_queue) {
        if (pending.deadline > now) {
            kept.push_back(std::move(pending));
            continue;
        }
        const auto status = pending.wasSent ? TransactionStatus::Unknown : TransactionStatus::NotSent;
        pending.done({ status, 0, {} });
    }
    m_queue = std::move(kept);
}

StoreService::CommitGroup StoreService::takeCommitGroup()
{
    CommitGroup group;
    std::set<std::string> keys;
    std::size_t rows = 0;
    while (!m_queue.empty()) {
        auto& next = m_queue.front();
        const bool first = group.empty();
        if (!first && (next.mustCommitAlone || rows + rowCount(next.transaction) > m_limits.maxRowsPerCommit))
            break;
        // Transactions that share a row must be committed separately and in order.
        if (!addDisjointKeys(keys, next.transaction))
            break;
        rows += rowCount(next.transaction);
        const bool mustCommitAlone = next.mustCommitAlone;
        group.push_back(std::move(next));
        m_queue.pop_front();
        if (mustCommitAlone)
            break;
    }
    return group;
}

void StoreService::sendGroupCommit()
{
    expireQueued();
    auto group = takeCommitGroup();
    if (group.empty())
        return;
    Transaction merged;
    for (auto& pending : group) {
        appendTransaction(merged, pending.transaction);
        pending.wasSent = true;
    }
    m_isCommitInFlight = true;
    m_nextCommitAt = monotonicNow() + m_limits.minCommitInterval;
    ++m_counters.commits;
    m_counters.transactions += group.size();
    auto shared = std::make_shared<CommitGroup>(std::move(group));
    sendRequest(jsonPost("/v1/txn", encodeTransaction(merged)), m_limits.requestTimeout,
        [this, shared](HttpResult result) { onCommitResponse(std::move(*shared), std::move(result)); });
}

// The next commit starts only after the outcome of this one is known, so that outcomes are reported in the
// order of their versions.
void StoreService::finishCommit()
{
    m_isCommitInFlight = false;
    scheduleCommit();
}

void StoreService::onCommitResponse(CommitGroup group, HttpResult result)
{
    std::optional<TransactionOutcome> outcome;
    Reason reason;
    if (result.response && result.response->status == 200)
        outcome = decodeOutcome(result.response->body, reason);
    if (!outcome) {
        ++m_counters.lostAnswers;
        for (auto& pending : group)
            pending.mayHaveCommitted = pending.mayHaveCommitted || result.mayHaveArrived || result.response;
        requeueWithBackoff(std::move(group));
        finishCommit();
        return;
    }
    m_backoff = {};
    if (outcome->status != TransactionStatus::Done) {
        onConflict(std::move(group), *outcome);
        return;
    }
    for (auto& pending : group)
        pending.done(*outcome);
    finishCommit();
}

void StoreService::onConflict(CommitGroup group, const TransactionOutcome& outcome)
{
    if (group.size() == 1) {
        ++m_counters.conflicts;
        if (group.front().mayHaveCommitted) {
            resolveByReadBack(std::move(group.front()), outcome);
            return;
        }
        group.front().done(outcome);
        finishCommit();
        return;
    }
    // Nothing of the group was written. Each transaction is retried in a commit of its own, so that a
    // conflict fails only the transaction that caused it.
    for (auto it = group.rbegin(); it != group.rend(); ++it) {
        it->mustCommitAlone = true;
        m_queue.push_front(std::move(*it));
    }
    finishCommit();
}

void StoreService::resolveByReadBack(PendingTransaction pending, TransactionOutcome conflict)
{
    std::vector<std::string> keys;
    for (const auto& put : pending.transaction.puts)
        keys.push_back(put.key);
    for (const auto& key : pending.transaction.deletes)
        keys.push_back(key);
    ++m_counters.reads;
    auto shared = std::make_shared<PendingTransaction>(std::move(pending));
    sendRequest(jsonPost("/v1/get", encodeKeys(keys)), m_limits.requestTimeout,
        [this, shared, conflict](HttpResult result) {
            const auto rows = decodeRowsResponse(result);
            if (!rows) {
                CommitGroup group;
                group.push_back(std::move(*shared));
                requeueWithBackoff(std::move(group));
            } else if (const auto version = appliedVersion(shared->transaction, *rows)) {
                shared->done({ TransactionStatus::Done, *version, {} });
            } else {
                shared->done(conflict);
            }
            finishCommit();
        });
}

void StoreService::requeueWithBackoff(CommitGroup group)
{
    m_backoff = std::min<Duration>(std::max<Duration>(m_backoff * 2, minBackoff), m_limits.maxBackoff);
    m_nextCommitAt = monotonicNow() + m_backoff;
    for (auto it = group.rbegin(); it != group.rend(); ++it) {
        it->mustCommitAlone = true;
        m_queue.push_front(std::move(*it));
    }
    expireQueued();
}

void StoreService::read(std::vector<std::string> keys, Duration timeout, ReadHandler done)
{
    const bool queued = post([this, keys = std::move(keys), timeout, done] {
        ++m_counters.reads;
        sendRequest(jsonPost("/v1/get", encodeKeys(keys)), timeout,
            [done](HttpResult result) { done(decodeRowsResponse(result)); });
    });
    if (!queued)
        done(std::nullopt);
}

void StoreService::scan(std::string prefix, Duration timeout, ReadHandler done)
{
    auto scan = std::make_shared<ScanState>();
    scan->prefix = std::move(prefix);
    scan->deadline = monotonicNow() + timeout;
    scan->done = done;
    if (!post([this, scan] { scanPage(scan); }))
        done(std::nullopt);
}

void StoreService::scanPage(std::shared_ptr<ScanState> scan)
{
    ++m_counters.reads;
    auto request = jsonPost("/v1/scan", encodeScan({ scan->prefix, scan->after, scanPageRows }));
    sendRequest(std::move(request), scan->deadline - monotonicNow(), [this, scan](HttpResult result) {
        auto rows = decodeRowsResponse(result);
        if (!rows) {
            scan->done(std::nullopt);
            return;
        }
        const bool isLastPage = rows->size() < scanPageRows;
        std::move(rows->begin(), rows->end(), std::back_inserter(scan->rows));
        if (isLastPage) {
            scan->done(std::move(scan->rows));
            return;
        }
        scan->after = scan->rows.back().key;
        scanPage(scan);
    });
}

void StoreService::putObject(std::string name, std::string content, Duration timeout, ObjectHandler done)
{
    HttpRequest request;
    request.method = "PUT";
    request.target = "/v1/objects/" + name;
    request.body = std::move(content);
    const bool queued
        = post([this, request = std::move(request), timeout, done] { sendRequest(request, timeout, done); });
    if (!queued)
        done(HttpResult {});
}

void StoreService::getObject(std::string name, Duration timeout, ObjectHandler done)
{
    HttpRequest request;
    request.target = "/v1/objects/" + name;
    const bool queued
        = post([this, request = std::move(request), timeout, done] { sendRequest(request, timeout, done); });
    if (!queued)
        done(HttpResult {});
}

void StoreService::getServers(Duration timeout, ObjectHandler done)
{
    HttpRequest request;
    request.target = "/v1/vms";
    const bool queued
        = post([this, request = std::move(request), timeout, done] { sendRequest(request, timeout, done); });
    if (!queued)
        done(HttpResult {});
}

} // namespace quay
