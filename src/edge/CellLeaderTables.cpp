#include "edge/CellLeader.h"

#include "Wire.h"
#include "edge/Clock.h"
#include "net/Endpoint.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <limits>

// Reads the store's tables and watches them for changes.
namespace quay::edge {

using namespace fleet;
using namespace platform;

namespace {

constexpr auto readTimeout = 1500ms;
constexpr auto readRetryDelay = 150ms;
constexpr auto executorsPollWait = 1000ms; // below the 2 s after which a draining executor refuses starts
// Batches changes: the registrations of 48 executors change about thirty times a second.
constexpr auto executorsPollInterval = 250ms;
constexpr auto jobsPollInterval = 700ms; // bounds the delay of jobs whose notification to the leader was lost
constexpr auto tombstoneCheckInterval = 100ms;
constexpr std::size_t maxTombstoneDeletions = 8; // in one check; more than callers can add in that time
constexpr auto tombstoneRetryDelay = 2000ms; // nobody waits for it
constexpr std::size_t restoreBatchSize = 40; // jobs; takes a few milliseconds on a tenth of a processor

// An executor's id goes into headers and into requests that name other executors too.
bool isPlainId(const std::string& id)
{
    return !id.empty()
        && std::all_of(id.begin(), id.end(), [](unsigned char c) { return c > 0x20 && c < 0x7f; });
}

// Another writer's entry may have the form of a registration, and still name nothing that can be called.
std::optional<ExecutorEntry> decodeUsableExecutor(const StoreRow& row, Reason& reason)
{
    if (!isPlainId(row.key))
        return fail(reason, ErrorKind::MalformedRequest, "the id is not plain text");
    auto entry = decodeExecutorEntry(row.key, row.value, reason);
    if (entry && !parseEndpoint(entry->address))
        return fail(reason, ErrorKind::MalformedRequest, "'" + entry->address + "' is not IP:PORT");
    return entry;
}

// Returns a callback for each of `count` reads; after the last one `done` gets the lowest of their versions.
std::function<void(std::int64_t)> joinReads(std::size_t count, std::function<void(std::int64_t)> done)
{
    struct Progress {
        std::size_t readsLeft = 0;
        std::int64_t version = std::numeric_limits<std::int64_t>::max();
    };
    return [progress = std::make_shared<Progress>(Progress { count }), done = std::move(done)](
               std::int64_t version) {
        progress->version = std::min(progress->version, version);
        if (--progress->readsLeft == 0)
            done(progress->version);
    };
}

} // namespace

// Reads the rows from `from` to before `to` page by page, retrying until it succeeds. `done` gets the version
// of the first page: later changes may be missing from the pages read, so the change feed must be read from
// that version on.
void CellLeader::readRange(const std::string& table, const std::string& partition, const std::string& from,
    const std::string& to, std::shared_ptr<Rows> rows, VersionCallback done, std::int64_t firstVersion)
{
    m_services.store.scanPartition(table, partition, from, to, 0, readTimeout,
        [self = shared_from_this(), table, partition, from, to, rows, done = std::move(done), firstVersion](
            StoreResult result) mutable {
            if (self->m_isStopped)
                return;
            if (result.outcome != StoreOutcome::Ok) {
                self->m_services.log.write(
                    "read_failed", {}, { { "table", table }, { "reason", result.detail } });
                self->runLater(readRetryDelay,
                    [self, table, partition, from, to, rows, done = std::move(done), firstVersion]() mutable {
                        self->readRange(table, partition, from, to, rows, std::move(done), firstVersion);
                    });
                return;
            }
            if (firstVersion == 0)
                firstVersion = result.version;
            rows->insert(rows->end(), result.rows.begin(), result.rows.end());
            if (result.hasMore && !result.rows.empty())
                // Continues at the next possible key after the last one read.
                self->readRange(table, partition, result.rows.back().key + '\x01', to, rows, std::move(done),
                    firstVersion);
            else
                done(firstVersion);
        });
}

// Reads a partition whose keys are ids of jobs, in ranges at the same time: the window of a connection bounds
// what it carries, and pages that follow each other cost a round trip each.
void CellLeader::readJobRanges(
    const std::string& table, const std::string& partition, std::shared_ptr<Rows> rows, VersionCallback done)
{
    // Ids are hexadecimal; others would only make the ranges unequal.
    static const std::vector<std::string> bounds { {}, "2", "4", "6", "8", "a", "c", "e", {} };
    const auto rangeRead = joinReads(bounds.size() - 1, std::move(done));
    for (std::size_t i = 0; i + 1 < bounds.size(); ++i)
        readRange(table, partition, bounds[i], bounds[i + 1], rows, rangeRead);
}

// Reads the job rows of all partitions that have any, so that rows of nodes with another version of the
// program, which may spread them differently, are found too. `done` gets the lowest version from which the
// change feed must be read; a partition that is new after the listing is in the feed.
void CellLeader::readJobs(std::shared_ptr<Rows> rows, VersionCallback done)
{
    listJobPartitions({},
        [self = shared_from_this(), rows = std::move(rows), done = std::move(done)](
            const std::vector<std::string>& partitions, std::int64_t version) {
            const auto partitionRead = joinReads(partitions.size() + 1, done);
            partitionRead(version);
            for (const auto& it : partitions) {
                if (it == cellPartition)
                    self->readJobRanges(jobTable, it, rows, partitionRead);
                else
                    self->readRange(jobTable, it, {}, {}, rows, partitionRead);
            }
        });
}

// `done` gets the partitions of the table of jobs, and the version of the first page of the listing.
void CellLeader::listJobPartitions(
    std::vector<std::string> found, PartitionsCallback done, std::int64_t firstVersion)
{
    const auto last = found.empty() ? std::string() : found.back();
    m_services.store.listPartitions(jobTable, last, readTimeout,
        [self = shared_from_this(), found = std::move(found), done = std::move(done), firstVersion](
            const StoreResult& result) mutable {
            if (self->m_isStopped)
                return;
            if (result.outcome != StoreOutcome::Ok) {
                self->m_services.log.write(
                    "read_failed", {}, { { "table", jobTable }, { "reason", result.detail } });
                self->runLater(readRetryDelay,
                    [self, found = std::move(found), done = std::move(done), firstVersion]() mutable {
                        self->listJobPartitions(std::move(found), std::move(done), firstVersion);
                    });
                return;
            }
            if (firstVersion == 0)
                firstVersion = result.version;
            found.insert(found.end(), result.partitions.begin(), result.partitions.end());
            if (result.hasMore)
                self->listJobPartitions(std::move(found), std::move(done), firstVersion);
            else
                done(found, firstVersion);
        });
}

void CellLeader::loadTables()
{
    m_loadingSince = clockNow();
    m_tablesLoading = 3;
    const auto tableLoaded = [this] {
        if (--m_tablesLoading == 0)
            tablesLoaded();
    };
    readJobs(m_loadedJobs, [this, tableLoaded](std::int64_t version) {
        m_jobsVersionRead = version;
        tableLoaded();
    });
    readJobRanges(
        recordTable, cellPartition, m_loadedRecords, [tableLoaded](std::int64_t) { tableLoaded(); });
    readRange(
        std::string(executorTable), {}, {}, {}, m_loadedExecutors, [this, tableLoaded](std::int64_t version) {
            m_executorsVersionRead = version;
            tableLoaded();
        });
}

// Without its record, which a later version of the program may have written, it is not known which tasks of
// a job have run. It would run them again, so it is left to a leader that can read the record.
void CellLeader::holdBack(const std::string& id, const Reason& reason)
{
    m_services.log.write("record_unreadable", id, { { "reason", reason.explain() } });
    m_heldJobs.insert(id);
}

void CellLeader::tablesLoaded()
{
    m_tablesReadAt = clockNow();
    for (const auto& row : *m_loadedExecutors)
        applyExecutorRow(row);
    for (const auto& row : *m_loadedRecords) {
        Reason reason;
        if (auto record = decodeJobRecord(row.value, reason))
            m_recordsToRestore[row.key] = std::move(*record);
        else
            holdBack(row.key, reason);
    }
    m_loadedRecords = m_loadedExecutors = nullptr;
    restoreNextBatch();
}

// Restores jobs in batches, so that heartbeats are sent in between; otherwise a slow machine would lose the
// leadership before all jobs are restored.
void CellLeader::restoreNextBatch()
{
    if (m_isStopped)
        return;
    const auto end = std::min(m_restoredJobs + restoreBatchSize, m_loadedJobs->size());
    for (; m_restoredJobs < end; ++m_restoredJobs)
        restoreJob((*m_loadedJobs)[m_restoredJobs]);
    if (end < m_loadedJobs->size()) {
        boost::asio::post(m_services.context, [self = shared_from_this()] { self->restoreNextBatch(); });
        return;
    }
    m_services.log.write("scheduler_loaded", {},
        { { "fence", std::to_string(m_term) }, { "jobs", std::to_string(m_loadedJobs->size()) },
            { "records", std::to_string(m_recordsToRestore.size()) },
            { "executors", std::to_string(m_registeredExecutors.size()) },
            { "read_ms", std::to_string(toMilliseconds(m_tablesReadAt - m_loadingSince)) },
            { "restore_ms", std::to_string(toMilliseconds(clockNow() - m_tablesReadAt)) } });
    m_loadedJobs = nullptr;
    m_recordsToRestore.clear();
    m_isLoaded = true;
    watchExecutors();
    watchJobs();
    runSchedulerSoon();
}

void CellLeader::restoreJob(const StoreRow& row)
{
    if (m_heldJobs.count(row.key))
        return;
    auto record = m_recordsToRestore.find(row.key);
    if (record == m_recordsToRestore.end()) {
        applyJobRow(row, true);
        return;
    }
    JobRequest request;
    request.id = row.key;
    if (record->second.phase != JobPhase::Completed) { // a completed job needs only its id
        auto decoded = readJob(row);
        if (!decoded)
            return;
        request = std::move(*decoded);
    }
    m_scheduler.restore(request, record->second, clockNow());
    if (m_tombstones.resolve(request.id))
        m_scheduler.cancel(request.id, clockNow());
}

void CellLeader::applyJobRow(const StoreRow& row, bool isFound)
{
    if (row.isDeleted)
        return;
    if (row.key.ends_with(cancellationSuffix)) {
        cancel(row.key.substr(0, row.key.size() - 1), row.version);
        return;
    }
    if (m_heldJobs.count(row.key))
        return;
    if (const auto request = readJob(row))
        addJob(*request, isFound);
}

std::optional<JobRequest> CellLeader::readJob(const StoreRow& row)
{
    Reason reason;
    const auto job = decodeStoredJob(row.value, reason);
    if (job && reason.kind != ErrorKind::None)
        m_services.log.write("job_policy_unreadable", row.key, { { "reason", reason.explain() } });
    auto request = job ? toJobRequest(*job, reason) : std::nullopt;
    if (!request) {
        m_services.log.write("job_unreadable", row.key, { { "reason", reason.explain() } });
        m_unreadableJobs.insert(row.key);
    }
    return request;
}

// Without its row a submission of the job would be accepted again, so the row goes only after all submissions
// that were on their way when the job was cancelled have arrived.
void CellLeader::deleteExpiredTombstones(Instant now)
{
    if (!m_isLoaded || m_isRelinquishing || now - m_tombstonesCheckedAt < tombstoneCheckInterval)
        return;
    m_tombstonesCheckedAt = now;
    for (const auto& it : m_tombstones.takeExpired(maxTombstoneDeletions, now)) {
        if (isStoredUnread(it.job)) // a leader that can read the job must not run it
            m_tombstones.add(it.job, it.rowVersion, now);
        else
            deleteTombstone(it);
    }
}

void CellLeader::deleteTombstone(const CancelTombstones::Expired& tombstone)
{
    const auto partition = intakePartitionOf(tombstone.job);
    const auto key = tombstone.job + cancellationSuffix;
    StoreTransaction transaction;
    // The job may have a row that this leader has not read, or may have been cancelled again.
    transaction.conditions.push_back({ jobTable, partition, tombstone.job, {}, 0, false });
    transaction.conditions.push_back({ jobTable, partition, key, {}, tombstone.rowVersion, false });
    transaction.deletes.push_back({ jobTable, partition, key, {}, 0, false });
    m_services.store.transact(transaction, readTimeout,
        [self = shared_from_this(), job = tombstone.job, key](const StoreResult& result) {
            const auto now = clockNow();
            const auto current = std::find_if(result.rows.begin(), result.rows.end(),
                [&](const StoreRow& row) { return row.key == key && row.version > 0; });
            if (result.outcome == StoreOutcome::Ok)
                self->m_services.log.write("cancellation_deleted", job, {});
            else if (result.outcome != StoreOutcome::ConditionFailed)
                self->m_services.log.write("job_removal_delayed", job, { { "reason", result.detail } });
            if (result.outcome != StoreOutcome::Ok && result.outcome != StoreOutcome::ConditionFailed)
                self->m_tombstones.retryLater(job, tombstoneRetryDelay, now);
            else if (result.outcome == StoreOutcome::ConditionFailed && current != result.rows.end())
                self->m_tombstones.add(job, current->version, now);
            else
                self->m_tombstones.remove(job);
        });
}

void CellLeader::applyExecutorRow(const StoreRow& row)
{
    if (!row.partition.empty())
        return; // the change feed has the rows of all partitions, and executors write to this one
    const auto now = clockNow();
    if (row.isDeleted) {
        if (m_registeredExecutors.erase(row.key))
            executorDeregistered(row.key);
        return;
    }
    Reason reason;
    const auto entry = decodeUsableExecutor(row, reason);
    if (!entry) {
        m_services.log.write(
            "executor_unreadable", {}, { { "executor", row.key }, { "reason", reason.detail } });
        if (m_registeredExecutors.erase(row.key))
            executorDeregistered(row.key);
        return;
    }
    m_registeredExecutors.insert(row.key);
    m_services.orders.executorSeen(entry->id, entry->zone);
    m_scheduler.executorRegistered(*entry, now);
}

void CellLeader::executorDeregistered(const std::string& id)
{
    m_services.orders.executorGone(id);
    m_scheduler.executorDeregistered(id, clockNow());
}

void CellLeader::watchExecutors()
{
    m_services.store.pollChanges(std::string(executorTable), m_executorsVersionRead, executorsPollWait,
        executorsPollWait + longPollMargin, [self = shared_from_this()](StoreResult result) {
            if (self->m_isStopped)
                return;
            if (result.outcome == StoreOutcome::HistoryTruncated) {
                self->rereadExecutors();
                return;
            }
            if (result.outcome == StoreOutcome::Ok) {
                for (const auto& row : result.rows)
                    self->applyExecutorRow(row);
                self->m_executorsVersionRead = std::max(self->m_executorsVersionRead, result.version);
                self->runSchedulerSoon();
            }
            self->runLater(result.hasMore ? Duration::zero() : Duration(executorsPollInterval),
                [self] { self->watchExecutors(); });
        });
}

void CellLeader::rereadExecutors()
{
    auto rows = std::make_shared<Rows>();
    readRange(std::string(executorTable), {}, {}, {}, rows,
        [self = shared_from_this(), rows](std::int64_t version) {
            auto missing = self->m_registeredExecutors;
            for (const auto& row : *rows) {
                missing.erase(row.key);
                self->applyExecutorRow(row);
            }
            for (const auto& id : missing) {
                self->m_registeredExecutors.erase(id);
                self->executorDeregistered(id);
            }
            self->m_executorsVersionRead = version;
            self->runSchedulerSoon();
            self->runLater(executorsPollInterval, [self] { self->watchExecutors(); });
        });
}

void CellLeader::watchJobs()
{
    m_services.store.pollChanges(
        jobTable, m_jobsVersionRead, {}, readTimeout, [self = shared_from_this()](StoreResult result) {
            if (self->m_isStopped)
                return;
            if (result.outcome == StoreOutcome::HistoryTruncated) {
                self->rereadJobs();
                return;
            }
            if (result.outcome == StoreOutcome::Ok) {
                for (const auto& row : result.rows)
                    self->applyJobRow(row);
                if (!result.rows.empty())
                    self->runSchedulerSoon();
                self->m_jobsVersionRead = std::max(self->m_jobsVersionRead, result.version);
            }
            self->runLater(result.hasMore ? Duration::zero() : Duration(jobsPollInterval),
                [self] { self->watchJobs(); });
        });
}

void CellLeader::rereadJobs()
{
    auto rows = std::make_shared<Rows>();
    readJobs(rows, [self = shared_from_this(), rows](std::int64_t version) {
        for (const auto& row : *rows)
            self->applyJobRow(row);
        self->m_jobsVersionRead = version;
        self->runSchedulerSoon();
        self->runLater(jobsPollInterval, [self] { self->watchJobs(); });
    });
}

} // namespace quay::edge
