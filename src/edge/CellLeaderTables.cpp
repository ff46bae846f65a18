#include "edge/CellLeader.h"

#include "Wire.h"

#include <algorithm>
#include <boost/asio/post.hpp>

// Reading and following the store's tables.
namespace quay::edge {

using namespace fleet;
using namespace platform;

namespace {

constexpr auto readTimeout = 1500ms;
constexpr auto readRetry = 150ms;
constexpr auto executorsWait = 1000ms; // under the 2 s after which a leaving executor takes no starts
constexpr auto executorsPause = 250ms; // the registrations of 48 executors change some thirty times a second
constexpr std::size_t manyChanges = 200; // in one answer; the next ones are there already
constexpr auto jobsPause = 700ms; // a lost message about a job costs at most this
constexpr std::size_t restorePortion = 40; // jobs; some milliseconds of a tenth of a processor

Instant clockNow() { return std::chrono::steady_clock::now(); }

} // namespace

// Reads a partition whole, page by page, until it succeeds. `done` gets the version of the first page:
// changes after it may be missing from that page and come with the feed.
void CellLeader::readTable(const std::string& table, const std::string& partition, const std::string& from,
    std::shared_ptr<Rows> rows, std::function<void(std::int64_t)> done, std::int64_t firstVersion)
{
    m_services.store.scanPartition(table, partition, from, readTimeout,
        [self = shared_from_this(), table, partition, from, rows, done = std::move(done), firstVersion](
            StoreResult result) mutable {
            if (self->m_isStopped)
                return;
            if (result.outcome != StoreOutcome::Ok) {
                self->m_services.log.write(
                    "read_failed", {}, { { "table", table }, { "reason", result.detail } });
                self->after(readRetry,
                    [self, table, partition, from, rows, done = std::move(done), firstVersion]() mutable {
                        self->readTable(table, partition, from, rows, std::move(done), firstVersion);
                    });
                return;
            }
            if (firstVersion == 0)
                firstVersion = result.version;
            rows->insert(rows->end(), result.rows.begin(), result.rows.end());
            if (result.hasMore && !result.rows.empty())
                // The smallest key after the last one read.
                self->readTable(
                    table, partition, result.rows.back().key + '\x01', rows, std::move(done), firstVersion);
            else
                done(firstVersion);
        });
}

void CellLeader::load()
{
    m_loading = 3;
    m_jobsSeen = 0;
    const auto one = [this] {
        if (--m_loading == 0)
            loaded();
    };
    readTable(jobTable, cellPartition, {}, m_loadedJobs, [this, one](std::int64_t version) {
        m_jobsSeen = version;
        one();
    });
    readTable(recordTable, cellPartition, {}, m_loadedRecords, [one](std::int64_t) { one(); });
    readTable(std::string(executorTable), {}, {}, m_loadedExecutors, [this, one](std::int64_t version) {
        m_executorsSeen = version;
        one();
    });
}

void CellLeader::loaded()
{
    for (const auto& row : *m_loadedExecutors)
        takeExecutorRow(row);
    for (const auto& row : *m_loadedRecords) {
        Reason reason;
        if (auto record = decodeJobRecord(row.value, reason))
            m_recordsToRestore[row.key] = std::move(*record);
        else
            m_services.log.write("record_unreadable", row.key, { { "reason", reason.explain() } });
    }
    m_loadedRecords = m_loadedExecutors = nullptr;
    restoreSome();
}

// In portions: heartbeats go out between them, or a weak machine would be replaced before it has begun. A
// job's key comes right before that of its cancellation.
void CellLeader::restoreSome()
{
    if (m_isStopped)
        return;
    const auto end = std::min(m_restored + restorePortion, m_loadedJobs->size());
    for (; m_restored < end; ++m_restored)
        restoreJob((*m_loadedJobs)[m_restored]);
    if (end < m_loadedJobs->size()) {
        boost::asio::post(m_services.context, [self = shared_from_this()] { self->restoreSome(); });
        return;
    }
    m_services.log.write("scheduler_loaded", {},
        { { "fence", std::to_string(m_fence) }, { "jobs", std::to_string(m_loadedJobs->size()) },
            { "records", std::to_string(m_recordsToRestore.size()) },
            { "executors", std::to_string(m_listed.size()) } });
    m_loadedJobs = nullptr;
    m_recordsToRestore.clear();
    m_isLoaded = true;
    followExecutors();
    followJobs();
    pumpSoon();
}

void CellLeader::restoreJob(const StoreRow& row)
{
    auto record = m_recordsToRestore.find(row.key);
    if (record == m_recordsToRestore.end()) {
        takeJobRow(row);
        return;
    }
    WorkRequest request;
    request.id = row.key;
    if (record->second.phase != JobPhase::Completed) { // of a completed job only its name matters
        Reason reason;
        const auto job = decodeStoredJob(row.value, reason);
        auto decoded = job ? requestOf(*job, reason) : std::nullopt;
        if (!decoded) {
            m_services.log.write("job_unreadable", row.key, { { "reason", reason.explain() } });
            return;
        }
        request = std::move(*decoded);
    }
    m_scheduler.restore(request, record->second, clockNow());
    if (m_earlyCancels.erase(request.id))
        m_scheduler.cancel(request.id, clockNow());
}

void CellLeader::takeJobRow(const StoreRow& row)
{
    if (row.isDeleted)
        return;
    const auto now = clockNow();
    if (row.key.ends_with(cancellationSuffix)) {
        cancel(row.key.substr(0, row.key.size() - 1));
        return;
    }
    Reason reason;
    const auto job = decodeStoredJob(row.value, reason);
    const auto request = job ? requestOf(*job, reason) : std::nullopt;
    if (!request) {
        m_services.log.write("job_unreadable", row.key, { { "reason", reason.explain() } });
        return;
    }
    m_scheduler.submit(*request, now);
    if (m_earlyCancels.erase(request->id))
        m_scheduler.cancel(request->id, now);
}

void CellLeader::takeExecutorRow(const StoreRow& row)
{
    const auto now = clockNow();
    if (row.isDeleted) {
        if (m_listed.erase(row.key))
            m_scheduler.executorGone(row.key, now);
        return;
    }
    Reason reason;
    const auto entry = decodeExecutorEntry(row.key, row.value, reason);
    if (!entry) {
        m_services.log.write(
            "executor_unreadable", {}, { { "executor", row.key }, { "reason", reason.detail } });
        if (m_listed.erase(row.key))
            m_scheduler.executorGone(row.key, now);
        return;
    }
    m_listed.insert(row.key);
    m_scheduler.executorSeen(*entry, now);
}

void CellLeader::followExecutors()
{
    m_services.store.pollChanges(std::string(executorTable), m_executorsSeen, executorsWait,
        executorsWait + longPollSpare, [self = shared_from_this()](StoreResult result) {
            if (self->m_isStopped)
                return;
            if (result.outcome == StoreOutcome::HistoryTruncated) {
                self->rereadExecutors();
                return;
            }
            if (result.outcome == StoreOutcome::Ok) {
                for (const auto& row : result.rows)
                    self->takeExecutorRow(row);
                self->m_executorsSeen = std::max(self->m_executorsSeen, result.version);
                self->pumpSoon();
            }
            const bool isBehind = result.hasMore || result.rows.size() >= manyChanges;
            self->after(
                isBehind ? Duration::zero() : Duration(executorsPause), [self] { self->followExecutors(); });
        });
}

void CellLeader::rereadExecutors()
{
    auto rows = std::make_shared<Rows>();
    readTable(
        std::string(executorTable), {}, {}, rows, [self = shared_from_this(), rows](std::int64_t version) {
            auto missing = self->m_listed;
            for (const auto& row : *rows) {
                missing.erase(row.key);
                self->takeExecutorRow(row);
            }
            for (const auto& id : missing) {
                self->m_listed.erase(id);
                self->m_scheduler.executorGone(id, clockNow());
            }
            self->m_executorsSeen = version;
            self->pumpSoon();
            self->after(executorsPause, [self] { self->followExecutors(); });
        });
}

void CellLeader::followJobs()
{
    m_services.store.pollChanges(
        jobTable, m_jobsSeen, {}, readTimeout, [self = shared_from_this()](StoreResult result) {
            if (self->m_isStopped)
                return;
            if (result.outcome == StoreOutcome::HistoryTruncated) {
                self->rereadJobs();
                return;
            }
            if (result.outcome == StoreOutcome::Ok) {
                for (const auto& row : result.rows)
                    self->takeJobRow(row);
                if (!result.rows.empty())
                    self->pumpSoon();
                self->m_jobsSeen = std::max(self->m_jobsSeen, result.version);
            }
            self->after(jobsPause, [self] { self->followJobs(); });
        });
}

void CellLeader::rereadJobs()
{
    auto rows = std::make_shared<Rows>();
    readTable(jobTable, cellPartition, {}, rows, [self = shared_from_this(), rows](std::int64_t version) {
        for (const auto& row : *rows)
            self->takeJobRow(row);
        self->m_jobsSeen = version;
        self->pumpSoon();
        self->after(jobsPause, [self] { self->followJobs(); });
    });
}

} // namespace quay::edge
