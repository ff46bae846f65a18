#include "edge/CellLeader.h"

#include "Wire.h"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace quay::edge {

using namespace fleet;
using namespace platform;

namespace {

constexpr auto tickInterval = 10ms;
constexpr auto heartbeatInterval = 350ms; // half of the time after which a silent leader may be replaced
constexpr auto unusableAfter = 2000ms; // some transactions at sixty times their usual length
constexpr auto refusedFor = 450ms; // a store that refuses this node may serve the others
constexpr int refusalsUntilUnusable = 3;
constexpr auto readTimeout = 1500ms;
constexpr auto readRetry = 150ms;
constexpr auto executorsWait = 1000ms; // under the 2 s after which a leaving executor takes no starts
constexpr auto executorsPause = 250ms; // registrations change some thirty times a second
constexpr auto jobsPause = 700ms; // a lost message about a job costs at most this
constexpr auto commitTimeoutFirst = 500ms;
constexpr auto commitTimeoutLongest = 1600ms;
constexpr int commitTimeoutFactor = 4; // against the last commit's time
constexpr std::size_t maxEntries = 100; // of one transaction
constexpr std::size_t maxAcceptBytes = 300'000; // of the 1 MB that a transaction holds, as base64
constexpr std::size_t maxWaitingAccepts = 500; // some seconds of the largest burst
constexpr auto commitRetry = 60ms;
constexpr auto orderTimeout = 300ms; // thirty round trips across failure domains; a start may be repeated
constexpr auto holdSpare = 300ms; // beyond the time that the executor may wait

Instant clockNow() { return std::chrono::steady_clock::now(); }

std::int64_t unixNowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

CellLeader::CellLeader(EdgeServices services, const SchedulerBounds& bounds, LeadRecord lead,
    std::int64_t version, std::function<void()> deposed)
    : m_services(services)
    , m_scheduler(bounds, clockNow())
    , m_lead(std::move(lead))
    , m_leadVersion(version)
    , m_fence(version)
    , m_deposed(std::move(deposed))
    , m_commitTimeout(commitTimeoutFirst)
    , m_lastCommit(clockNow())
    , m_tickTimer(services.context)
    , m_starts(services.metrics.counter("quay_start_orders_total", "Orders to start a task"))
    , m_commits(services.metrics.counter("quay_commits_total", "Durable commits of the scheduler"))
    , m_commitTime(services.metrics.histogram("quay_commit_seconds", "From sending a commit to its answer"))
    , m_startTime(
          services.metrics.histogram("quay_start_order_seconds", "From sending a start to its answer"))
    , m_approvalTime(
          services.metrics.histogram("quay_approval_seconds", "From asking for approval to its answer"))
{
}

void CellLeader::begin(const FleetConfiguration& configuration)
{
    configure(configuration);
    load();
    tick();
}

void CellLeader::configure(const FleetConfiguration& configuration)
{
    m_configuration = configuration;
    m_scheduler.configure(configuration);
    pumpSoon();
}

bool CellLeader::isUsable(Instant now) const
{
    const auto silence = now - m_lastCommit;
    return silence < unusableAfter && (silence < refusedFor || m_commitFailures < refusalsUntilUnusable);
}

std::map<std::string, std::int64_t> CellLeader::pending() const
{
    std::map<std::string, std::int64_t> result;
    for (const auto& queue : m_configuration.queues)
        result[queue.name] = m_scheduler.pending(queue.name);
    return result;
}

void CellLeader::after(Duration delay, std::function<void()> action)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(m_services.context, delay);
    timer->async_wait(
        [self = shared_from_this(), timer, action = std::move(action)](boost::system::error_code ec) {
            if (!ec && !self->m_isStopped)
                action();
        });
}

// Reads a partition whole, page by page, until it succeeds. `done` gets the version of the first page:
// changes after it may be missing from that page and come with the feed.
void CellLeader::readTable(const std::string& table, const std::string& partition, const std::string& from,
    std::shared_ptr<Rows> rows, std::function<void(std::int64_t)> done, std::int64_t firstVersion)
{
    m_services.store.readFrom(table, partition, from, readTimeout,
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
    const auto now = clockNow();
    for (const auto& row : *m_loadedExecutors)
        takeExecutorRow(row);
    std::map<std::string, JobRecord> records;
    for (const auto& row : *m_loadedRecords) {
        Reason reason;
        if (auto record = decodeJobRecord(row.value, reason))
            records[row.key] = std::move(*record);
        else
            m_services.log.write("record_unreadable", row.key, { { "reason", reason.explain() } });
    }
    for (const auto& row : *m_loadedJobs) {
        auto record = records.find(row.key);
        Reason reason;
        auto job = record == records.end() ? std::nullopt : decodeStoredJob(row.value, reason);
        auto request = job ? requestOf(*job, reason) : std::nullopt;
        if (request)
            m_scheduler.restore(*request, record->second, now);
    }
    for (const auto& row : *m_loadedJobs)
        takeJobRow(row);
    m_services.log.write("scheduler_loaded", {},
        { { "fence", std::to_string(m_fence) }, { "jobs", std::to_string(m_loadedJobs->size()) },
            { "records", std::to_string(records.size()) },
            { "executors", std::to_string(m_listed.size()) } });
    m_loadedJobs = m_loadedRecords = m_loadedExecutors = nullptr;
    m_isLoaded = true;
    followExecutors();
    followJobs();
    pumpSoon();
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

void CellLeader::submit(const StoredJob& job)
{
    if (!m_isLoaded || m_isStopped)
        return; // its row is read with the others
    Reason reason;
    if (const auto request = requestOf(job, reason)) {
        m_scheduler.submit(*request, clockNow());
        if (m_earlyCancels.erase(request->id))
            m_scheduler.cancel(request->id, clockNow());
        pumpSoon();
    }
}

void CellLeader::cancel(const std::string& id)
{
    if (!m_scheduler.cancel(id, clockNow()))
        m_earlyCancels.insert(id);
    pumpSoon();
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
    m_services.store.changes(std::string(executorTable), m_executorsSeen, executorsWait,
        executorsWait + holdSpare, [self = shared_from_this()](StoreResult result) {
            if (self->m_isStopped)
                return;
            if (result.outcome == StoreOutcome::HistoryGone) {
                self->rereadExecutors();
                return;
            }
            if (result.outcome == StoreOutcome::Ok) {
                for (const auto& row : result.rows)
                    self->takeExecutorRow(row);
                self->m_executorsSeen = std::max(self->m_executorsSeen, result.version);
                self->pumpSoon();
            }
            self->after(executorsPause, [self] { self->followExecutors(); });
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
    m_services.store.changes(
        jobTable, m_jobsSeen, {}, readTimeout, [self = shared_from_this()](StoreResult result) {
            if (self->m_isStopped)
                return;
            if (result.outcome == StoreOutcome::HistoryGone) {
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

void CellLeader::tick()
{
    if (m_isStopped)
        return;
    m_tickTimer.expires_after(tickInterval);
    m_tickTimer.async_wait([self = shared_from_this()](boost::system::error_code ec) {
        if (ec || self->m_isStopped)
            return;
        self->pump();
        self->beatIfIdle();
        self->tick();
    });
}

void CellLeader::pumpSoon()
{
    if (m_pumpPosted || !m_isLoaded)
        return;
    m_pumpPosted = true;
    boost::asio::post(m_services.context, [self = shared_from_this()] {
        self->m_pumpPosted = false;
        self->pump();
    });
}

void CellLeader::pump()
{
    if (m_isStopped || m_isGivingUp || !m_isLoaded)
        return;
    SchedulerActions actions;
    m_scheduler.approvalCallers(m_services.approvals.callers(clockNow()));
    m_scheduler.pump(clockNow(), unixNowMs(), actions);
    carryOut(actions);
}

void CellLeader::carryOut(SchedulerActions& actions)
{
    for (const auto& it : actions.notes)
        m_services.log.writeText(it.what, it.job, it.detail);
    if (actions.commit)
        beginCommit(std::move(*actions.commit));
    for (const auto& it : actions.starts)
        sendStart(it);
    for (const auto& it : actions.stops)
        sendStop(it);
    for (const auto& it : actions.paces)
        sendPace(it);
    for (const auto& it : actions.holds)
        sendHold(it);
    for (const auto& it : actions.approvals)
        sendApproval(it);
}

OrderTarget CellLeader::target(const std::string& address, const std::string& executor) const
{
    return { address, executor, m_fence };
}

void CellLeader::checkFence(OrderResult result, const std::string& executor)
{
    if (result == OrderResult::Fenced)
        depose("executor " + executor + " has obeyed a later scheduler");
}

void CellLeader::sendStart(const StartAction& action)
{
    m_starts.add();
    const auto sentAt = clockNow();
    const StartOrder order { action.task, action.run, action.payload, action.checkpoint, action.ticket,
        action.leaseUntilClockMs };
    m_services.log.write("start_sent", action.task.job,
        { { "task", text(action.task) }, { "run", std::to_string(action.run) },
            { "executor", action.executor } });
    m_services.executors.start(target(action.address, action.executor), order, orderTimeout,
        [self = shared_from_this(), life = action.life, task = action.task, run = action.run, sentAt,
            executor = action.executor](OrderAnswer answer) {
            if (self->m_isStopped)
                return;
            self->m_startTime.record(clockNow() - sentAt);
            self->checkFence(answer.result, executor);
            self->m_scheduler.startAnswered(life, task, run, answer.result, clockNow());
            self->pumpSoon();
        });
}

void CellLeader::sendStop(const StopAction& action)
{
    m_services.log.write("stop_sent", action.task.job,
        { { "task", text(action.task) }, { "run", std::to_string(action.run) },
            { "executor", action.executor } });
    m_services.executors.stop(target(action.address, action.executor), action.task, action.run, orderTimeout,
        [self = shared_from_this(), life = action.life, task = action.task, run = action.run,
            executor = action.executor](OrderAnswer answer) {
            if (self->m_isStopped)
                return;
            self->checkFence(answer.result, executor);
            self->m_scheduler.stopAnswered(life, task, run, answer.result, clockNow());
            self->pumpSoon();
        });
}

void CellLeader::sendPace(const PaceAction& action)
{
    m_services.executors.pace(target(action.address, action.executor), action.task, action.run,
        action.percent, orderTimeout,
        [self = shared_from_this(), life = action.life, task = action.task, run = action.run,
            percent = action.percent, executor = action.executor](OrderAnswer answer) {
            if (self->m_isStopped)
                return;
            self->checkFence(answer.result, executor);
            self->m_scheduler.paceAnswered(life, task, run, percent, answer.result, clockNow());
        });
}

void CellLeader::sendHold(const HoldAction& action)
{
    const auto sentAt = clockNow();
    m_services.executors.hold(target(action.address, action.executor), action.acknowledged,
        action.leaseUntilClockMs, action.wait, action.wait + holdSpare,
        [self = shared_from_this(), life = action.life, sentAt, executor = action.executor](
            HoldAnswer answer) {
            if (self->m_isStopped)
                return;
            self->checkFence(answer.order.result, executor);
            self->m_scheduler.holdAnswered(life, answer.order.result, answer.report, sentAt, clockNow());
            self->pumpSoon();
        });
}

void CellLeader::sendApproval(const ApprovalAction& action)
{
    const auto sentAt = clockNow();
    m_services.approvals.ask(action.step, action.workers, action.expectedMs, sentAt,
        [self = shared_from_this(), step = action.step, workers = action.workers, sentAt](
            ApprovalAnswer answer) {
            if (self->m_isStopped)
                return;
            const auto now = clockNow();
            self->m_approvalTime.record(now - sentAt);
            self->m_services.log.write("approval_answered", step.substr(0, step.find('.')),
                { { "step", step }, { "asked", std::to_string(workers.size()) },
                    { "approved", std::to_string(answer.approved.size()) },
                    { "status", std::to_string(answer.status) },
                    { "ms", std::to_string(toMilliseconds(now - sentAt)) } });
            self->m_scheduler.approvalAnswered(step, answer.isDecided, workers, answer.approved,
                std::chrono::milliseconds(answer.ticketLifeMs), now);
            self->pumpSoon();
        });
}

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
    if (result.outcome == StoreOutcome::NotDone)
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

void CellLeader::stop()
{
    m_isStopped = true;
    m_tickTimer.cancel();
    dropAccepts();
}

void CellLeader::depose(std::string_view why)
{
    if (m_isStopped)
        return;
    stop();
    m_services.log.write(
        "leadership_lost", {}, { { "fence", std::to_string(m_fence) }, { "reason", std::string(why) } });
    boost::asio::post(m_services.context, m_deposed);
}

} // namespace quay::edge
