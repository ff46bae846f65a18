#include "tableservice/StoreService.h"

#include "tableservice/TableCodec.h"

#include <algorithm>
#include <set>

namespace quay {

namespace {

constexpr std::size_t ringCapacity = 16 * 1024;
constexpr std::size_t maxStoreConnections = 16;
constexpr std::size_t maxAnswerBytes = 64UL * 1024 * 1024;
constexpr std::uint32_t scanPageRows = 500;
constexpr auto firstBackoff = std::chrono::milliseconds(50);

Instant monotonicNow() { return std::chrono::steady_clock::now(); }

std::optional<std::vector<TableRow>> rowsOf(const HttpResult& result)
{
    Reason reason;
    if (!result.response || result.response->status != 200)
        return std::nullopt;
    return decodeRows(result.response->body, reason);
}

void append(Transaction& group, const Transaction& one)
{
    group.checks.insert(group.checks.end(), one.checks.begin(), one.checks.end());
    group.puts.insert(group.puts.end(), one.puts.begin(), one.puts.end());
    group.deletes.insert(group.deletes.end(), one.deletes.begin(), one.deletes.end());
}

std::size_t rowCount(const Transaction& transaction)
{
    return transaction.puts.size() + transaction.deletes.size();
}

// Adds the keys of a transaction; false if one of them is there already.
bool claimKeys(std::set<std::string>& keys, const Transaction& transaction)
{
    std::set<std::string> own;
    for (const auto& check : transaction.checks)
        own.insert(check.key);
    for (const auto& put : transaction.puts)
        own.insert(put.key);
    for (const auto& key : transaction.deletes)
        own.insert(key);
    const bool free = std::none_of(own.begin(), own.end(), [&](const auto& key) { return keys.count(key); });
    if (free)
        keys.insert(own.begin(), own.end());
    return free;
}

// After a conflict on a transaction whose earlier answer was lost: did the earlier try take effect?
// It did if every put row holds our value, all under one version, and every deleted row is gone.
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

struct StoreService::Scan {
    std::string prefix;
    std::string after;
    Instant deadline;
    ReadDone done;
    std::vector<TableRow> rows;
};

StoreService::StoreService(std::string address, StoreLimits limits)
    : ServiceThread("store", ringCapacity)
    , m_address(std::move(address))
    , m_limits(limits)
    , m_client(context(), maxStoreConnections, maxAnswerBytes)
{
}

void StoreService::exchange(HttpRequest request, Duration timeout, HttpClient::Done done)
{
    m_client.send(m_address, std::move(request), timeout, std::move(done));
}

void StoreService::commit(Transaction transaction, Duration timeout, CommitDone done)
{
    Pending pending { std::move(transaction), monotonicNow() + timeout, done };
    const bool queued = post([this, pending = std::move(pending)]() mutable {
        if (m_queue.size() >= m_limits.maxQueued) {
            pending.done({ TransactionStatus::NotSent, 0, {} });
            return;
        }
        m_queue.push_back(std::move(pending));
        commitSoon();
    });
    if (!queued)
        done({ TransactionStatus::NotSent, 0, {} });
}

void StoreService::commitSoon()
{
    if (m_commitInFlight || m_timerArmed || m_queue.empty())
        return;
    const auto now = monotonicNow();
    if (m_nextCommit <= now) {
        commitNow();
        return;
    }
    m_timerArmed = true;
    after(m_nextCommit - now, [this] {
        m_timerArmed = false;
        commitNow();
    });
}

void StoreService::expireQueued()
{
    const auto now = monotonicNow();
    std::deque<Pending> kept;
    for (auto& pending : m_queue) {
        if (pending.deadline > now) {
            kept.push_back(std::move(pending));
            continue;
        }
        const auto status = pending.sent ? TransactionStatus::Unknown : TransactionStatus::NotSent;
        pending.done({ status, 0, {} });
    }
    m_queue = std::move(kept);
}

StoreService::Group StoreService::takeGroup()
{
    Group group;
    std::set<std::string> keys;
    std::size_t rows = 0;
    while (!m_queue.empty()) {
        auto& next = m_queue.front();
        const bool first = group.empty();
        if (!first && (next.alone || rows + rowCount(next.transaction) > m_limits.maxRowsPerCommit))
            break;
        // Two transactions on one row go one after the other, in their order.
        if (!claimKeys(keys, next.transaction))
            break;
        rows += rowCount(next.transaction);
        const bool alone = next.alone;
        group.push_back(std::move(next));
        m_queue.pop_front();
        if (alone)
            break;
    }
    return group;
}

void StoreService::commitNow()
{
    expireQueued();
    auto group = takeGroup();
    if (group.empty())
        return;
    Transaction merged;
    for (auto& pending : group) {
        append(merged, pending.transaction);
        pending.sent = true;
    }
    m_commitInFlight = true;
    m_nextCommit = monotonicNow() + m_limits.minCommitInterval;
    ++m_counters.commits;
    m_counters.transactions += group.size();
    auto shared = std::make_shared<Group>(std::move(group));
    exchange(jsonPost("/v1/txn", encodeTransaction(merged)), m_limits.requestTimeout,
        [this, shared](HttpResult result) { onAnswer(std::move(*shared), std::move(result)); });
}

// The next commit waits until the outcome of this one is settled, so that outcomes are
// reported in the order of their versions.
void StoreService::settled()
{
    m_commitInFlight = false;
    commitSoon();
}

void StoreService::onAnswer(Group group, HttpResult result)
{
    std::optional<TransactionOutcome> outcome;
    Reason reason;
    if (result.response && result.response->status == 200)
        outcome = decodeOutcome(result.response->body, reason);
    if (!outcome) {
        ++m_counters.lostAnswers;
        for (auto& pending : group)
            pending.answerLost = pending.answerLost || result.mayHaveArrived || result.response;
        retryLater(std::move(group));
        settled();
        return;
    }
    m_backoff = {};
    if (outcome->status != TransactionStatus::Done) {
        onConflict(std::move(group), *outcome);
        return;
    }
    for (auto& pending : group)
        pending.done(*outcome);
    settled();
}

void StoreService::onConflict(Group group, const TransactionOutcome& outcome)
{
    if (group.size() == 1) {
        ++m_counters.conflicts;
        if (group.front().answerLost) {
            readBack(std::move(group.front()), outcome);
            return;
        }
        group.front().done(outcome);
        settled();
        return;
    }
    // Nothing of the group was written. Each goes on alone, so that one conflict fails only its own
    // transaction.
    for (auto it = group.rbegin(); it != group.rend(); ++it) {
        it->alone = true;
        m_queue.push_front(std::move(*it));
    }
    settled();
}

void StoreService::readBack(Pending pending, TransactionOutcome conflict)
{
    std::vector<std::string> keys;
    for (const auto& put : pending.transaction.puts)
        keys.push_back(put.key);
    for (const auto& key : pending.transaction.deletes)
        keys.push_back(key);
    ++m_counters.reads;
    auto shared = std::make_shared<Pending>(std::move(pending));
    exchange(jsonPost("/v1/get", encodeKeys(keys)), m_limits.requestTimeout,
        [this, shared, conflict](HttpResult result) {
            const auto rows = rowsOf(result);
            if (!rows) {
                Group group;
                group.push_back(std::move(*shared));
                retryLater(std::move(group));
            } else if (const auto version = appliedVersion(shared->transaction, *rows)) {
                shared->done({ TransactionStatus::Done, *version, {} });
            } else {
                shared->done(conflict);
            }
            settled();
        });
}

void StoreService::retryLater(Group group)
{
    m_backoff = std::min<Duration>(std::max<Duration>(m_backoff * 2, firstBackoff), m_limits.maxBackoff);
    m_nextCommit = monotonicNow() + m_backoff;
    for (auto it = group.rbegin(); it != group.rend(); ++it) {
        it->alone = true;
        m_queue.push_front(std::move(*it));
    }
    expireQueued();
}

void StoreService::read(std::vector<std::string> keys, Duration timeout, ReadDone done)
{
    const bool queued = post([this, keys = std::move(keys), timeout, done] {
        ++m_counters.reads;
        exchange(jsonPost("/v1/get", encodeKeys(keys)), timeout,
            [done](HttpResult result) { done(rowsOf(result)); });
    });
    if (!queued)
        done(std::nullopt);
}

void StoreService::scan(std::string prefix, Duration timeout, ReadDone done)
{
    auto scan = std::make_shared<Scan>();
    scan->prefix = std::move(prefix);
    scan->deadline = monotonicNow() + timeout;
    scan->done = done;
    if (!post([this, scan] { scanPage(scan); }))
        done(std::nullopt);
}

void StoreService::scanPage(std::shared_ptr<Scan> scan)
{
    ++m_counters.reads;
    auto request = jsonPost("/v1/scan", encodeScan({ scan->prefix, scan->after, scanPageRows }));
    exchange(std::move(request), scan->deadline - monotonicNow(), [this, scan](HttpResult result) {
        auto rows = rowsOf(result);
        if (!rows) {
            scan->done(std::nullopt);
            return;
        }
        const bool last = rows->size() < scanPageRows;
        std::move(rows->begin(), rows->end(), std::back_inserter(scan->rows));
        if (last) {
            scan->done(std::move(scan->rows));
            return;
        }
        scan->after = scan->rows.back().key;
        scanPage(scan);
    });
}

void StoreService::putObject(std::string name, std::string content, Duration timeout, ObjectDone done)
{
    HttpRequest request;
    request.method = "PUT";
    request.target = "/v1/objects/" + name;
    request.body = std::move(content);
    const bool queued
        = post([this, request = std::move(request), timeout, done] { exchange(request, timeout, done); });
    if (!queued)
        done(HttpResult {});
}

void StoreService::getObject(std::string name, Duration timeout, ObjectDone done)
{
    HttpRequest request;
    request.target = "/v1/objects/" + name;
    const bool queued
        = post([this, request = std::move(request), timeout, done] { exchange(request, timeout, done); });
    if (!queued)
        done(HttpResult {});
}

void StoreService::getServers(Duration timeout, ObjectDone done)
{
    HttpRequest request;
    request.target = "/v1/vms";
    const bool queued
        = post([this, request = std::move(request), timeout, done] { exchange(request, timeout, done); });
    if (!queued)
        done(HttpResult {});
}

} // namespace quay
