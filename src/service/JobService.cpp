#include "service/JobService.h"

#include "service/JobJson.h"

#include <algorithm>
#include <random>

namespace quay {

namespace {

constexpr std::size_t ringCapacity = 32 * 1024;
constexpr auto tickPeriod = std::chrono::milliseconds(50);
constexpr auto pollPeriod = std::chrono::milliseconds(250);
constexpr auto inheritedWorkPeriod = std::chrono::seconds(1);
constexpr auto reconcilePeriod = std::chrono::seconds(10);
constexpr auto loadTimeout = std::chrono::seconds(10);
// The store client retries until the outcome is definite.
constexpr auto recordWriteTimeout = std::chrono::hours(24);
constexpr auto archiveTimeout = std::chrono::seconds(30);
constexpr auto endedRowRetention = std::chrono::seconds(60);
constexpr std::size_t maxRowsRemoved = 200;
constexpr std::size_t maxExplanationLines = 32;
constexpr std::size_t maxFinishedJobsKept = 2000;

Instant monotonicNow() { return std::chrono::steady_clock::now(); }

std::vector<VersionedRecord> parseRecords(const std::vector<TableRow>& rows)
{
    std::vector<VersionedRecord> records;
    for (const auto& row : rows) {
        Reason reason;
        if (auto record = parseJobRecord(row.value, reason))
            records.push_back({ std::move(*record), row.version });
    }
    return records;
}

} // namespace

JobService::JobService(MembershipService& membership, ConfigurationService& configuration,
    StoreService& store, BackendLink& backend, PeerLink& peers, TeamTokens& tokens, QuotaService& quota)
    : ServiceThread("jobs", ringCapacity)
    , m_membership(membership)
    , m_configuration(configuration)
    , m_store(store)
    , m_backend(backend)
    , m_peers(peers)
    , m_tokens(tokens)
    , m_quota(quota)
    , m_placement(std::random_device {}())
    , m_nextJobNumber(std::random_device {}())
{
    m_ledger.domain = membership.self().domain;
    every(tickPeriod, [this] { tick(); });
    every(pollPeriod, [this] { pollWorkers(); });
    every(reconcilePeriod, [this] { reconcile(); });
    every(inheritedWorkPeriod, [this] { updateInheritedWork(); });
    m_peers.onMessage(jobForwardCase(), [this](const wire::Envelope& envelope) { onForward(envelope); });
}

bool JobService::holdsLeadership() const
{
    return m_ledger.isLeading && m_membership.ownership().get()->holdsLeadership(monotonicNow());
}

void JobService::tick()
{
    updateLeadership(monotonicNow());
    answerStoredCancels();
    if (!m_ledger.isLeading)
        return;
    applyEvent(WorkerList { m_membership.fleet().get()->servers });
    applyEvent(LedgerTick {});
    placePending();
    archiveFinished();
    removeArchived();
    answerWatchers();
}

void JobService::updateLeadership(Instant now)
{
    const auto ownership = m_membership.ownership().get();
    const bool isLeader = ownership->holdsLeadership(now);
    // No other process can have been leader before the validity end seen last. If this process sees the next
    // validity end only later, for example after a pause, another leader may have held the role in between.
    const bool withoutGap = now < m_leadershipValidUntil;
    if (m_ledger.isLeading && (!isLeader || !withoutGap))
        onLeadershipLost();
    if (!isLeader)
        return;
    m_leadershipValidUntil = ownership->validUntil;
    if (!m_ledger.isLeading && !m_isLoading)
        loadLedger(ownership->epoch);
    else if (m_ledger.isLeading && ownership->epoch > m_ledger.epoch)
        applyEvent(EpochRaised { ownership->epoch });
}

void JobService::onLeadershipLost()
{
    applyEvent(LostLeadership {});
    m_inheritedUnits.clear();
    m_archived.clear();
    m_events.clear();
    for (const auto& watcher : m_watchers)
        watcher.done(refusal(Reason {
            ErrorKind::OwnerUnreachable, "the leader changed; repeat the watch with the same cursor" }));
    m_watchers.clear();
}

void JobService::loadLedger(std::uint64_t epoch)
{
    m_isLoading = true;
    m_store.scan(jobPrefix(m_ledger.domain), loadTimeout, [this, epoch](auto rows) {
        postResponse([this, epoch, rows = std::move(rows)] { onLoaded(epoch, rows); });
    });
}

void JobService::onLoaded(std::uint64_t epoch, const std::optional<std::vector<TableRow>>& rows)
{
    m_isLoading = false;
    const auto ownership = m_membership.ownership().get();
    if (!rows || ownership->epoch != epoch || !ownership->holdsLeadership(monotonicNow()))
        return;
    auto records = parseRecords(*rows);
    m_events.clear();
    m_archived.clear();
    m_trimRowVersion = 0;
    for (const auto& row : *rows) {
        if (row.key == trimKey(m_ledger.domain)) {
            m_trimRowVersion = row.version;
            m_events.trimBefore(std::stoull(row.value));
        }
    }
    for (const auto& found : records)
        m_events.record(found.record, found.version);
    applyEvent(BecameLeader { epoch, std::move(records) });
    reportInheritedWork();
}

// Counts the tasks that former leaders left running. Until the former leader's task leases have expired, a
// pending task may run an attempt that its record doesn't show yet, so such tasks count as well.
void JobService::reportInheritedWork()
{
    m_inheritedSettledAt
        = monotonicNow() + m_ledger.settings.staleLeaderBound + leaseExpiryBound(m_ledger.settings);
    m_inheritedUnits.clear();
    for (const auto& [id, entry] : m_ledger.jobs) {
        const auto count = std::count_if(entry.tasks.begin(), entry.tasks.end(),
            [](const TaskRuntime& runtime) { return runtime.holdsCapacity || runtime.isRecovering; });
        if (count)
            m_inheritedUnits[entry.record.spec.team] += count;
    }
    m_quota.inheritedWorkFound(m_inheritedUnits);
}

void JobService::updateInheritedWork()
{
    if (!m_ledger.isLeading || m_inheritedUnits.empty() || monotonicNow() < m_inheritedSettledAt)
        return;
    std::map<TeamId, std::int64_t> current;
    for (const auto& [id, entry] : m_ledger.jobs) {
        const auto count = std::count_if(entry.tasks.begin(), entry.tasks.end(),
            [](const TaskRuntime& runtime) { return runtime.holdsCapacity && runtime.inherited; });
        if (count)
            current[entry.record.spec.team] += count;
    }
    for (auto& [team, units] : m_inheritedUnits) {
        const auto ended = units - current[team];
        if (ended <= 0)
            continue;
        m_quota.inheritedWorkEnded(team, ended);
        units -= ended;
    }
    std::erase_if(m_inheritedUnits, [](const auto& item) { return !item.second; });
}

void JobService::reconcile()
{
    if (!m_ledger.isLeading)
        return;
    // Finds jobs whose insert was reported to the caller as unknown but did take effect.
    m_store.scan(jobPrefix(m_ledger.domain), loadTimeout, [this](auto rows) {
        if (rows)
            postResponse([this, rows = std::move(*rows)] { onReconciled(rows); });
    });
}

void JobService::onReconciled(const std::vector<TableRow>& rows)
{
    if (!m_ledger.isLeading)
        return;
    for (auto& found : parseRecords(rows)) {
        // The row may have been read before the job ended; an ended job must not be restored.
        const bool known = m_ledger.jobs.count(found.record.id) || m_finished.count(found.record.id);
        if (known || found.record.state != JobState::Active)
            continue;
        onRecordStored(found.record, found.version);
        applyEvent(JobAccepted { std::move(found.record), found.version });
    }
}

void JobService::applyEvent(const LedgerEvent& event)
{
    for (const auto& action : step(m_ledger, event, monotonicNow()))
        perform(action);
}

void JobService::perform(const LedgerAction& action)
{
    std::visit([this](const auto& one) { perform(one); }, action);
}

void JobService::perform(const WriteRecord& action)
{
    const auto key = jobKey(action.record);
    Transaction transaction;
    transaction.checks.push_back({ key, action.expectedVersion });
    transaction.puts.push_back({ key, toJson(action.record) });
    const auto id = action.writeId;
    const auto record = action.record;
    m_store.commit(
        std::move(transaction), recordWriteTimeout, [this, id, record](TransactionOutcome outcome) {
            LedgerEvent event = WriteFailed { id };
            if (outcome.status == TransactionStatus::Done)
                event = WriteDone { id, outcome.version };
            else if (outcome.status == TransactionStatus::Conflict)
                event = WriteConflict { id };
            else if (outcome.status == TransactionStatus::Unknown)
                event = WriteUnknown { id };
            postResponse([this, event, record, outcome] {
                if (outcome.status == TransactionStatus::Done)
                    onRecordStored(record, outcome.version);
                applyEvent(event);
                answerStoredCancels();
            });
        });
}

void JobService::onRecordStored(const JobRecord& record, std::uint64_t version)
{
    if (m_ledger.isLeading)
        m_events.record(record, version);
}

std::string JobService::addressOf(const ServerId& worker) const
{
    auto it = m_ledger.workers.find(worker);
    return it == m_ledger.workers.end() ? std::string() : it->second.info.address;
}

void JobService::perform(const SendStart& action)
{
    if (!holdsLeadership()) {
        // The start was never sent, so the task is known not to run. The answer is posted, so that the
        // ledger handles it after all actions of the current step.
        const StartAnswer refused { action.worker, action.attempt, StartOutcome::Refused, "lease lapsed" };
        postResponse([this, refused] { applyEvent(refused); });
        return;
    }
    m_backend.startTask(addressOf(action.worker), action,
        [this](StartAnswer answer) { postResponse([this, answer] { applyEvent(answer); }); });
}

void JobService::perform(const SendRenew& action)
{
    if (holdsLeadership())
        m_backend.renew(addressOf(action.worker), action);
}

void JobService::perform(const SendStop& action)
{
    if (holdsLeadership())
        m_backend.stopTask(addressOf(action.worker), action);
}

void JobService::perform(const SendAck& action)
{
    if (holdsLeadership())
        m_backend.acknowledge(addressOf(action.worker), action);
}

void JobService::perform(const JobEnded& action)
{
    perform(Explain { action.job, "the job has ended and its final record is stored" });
}

void JobService::perform(const Explain& action)
{
    auto& lines = m_explanations[action.job];
    if (!lines.empty() && lines.back() == action.text)
        return;
    lines.push_back(action.text);
    if (lines.size() > maxExplanationLines)
        lines.pop_front();
}

void JobService::perform(const ReleaseTokens& action)
{
    // Units started by former leaders are released through updateInheritedWork().
    if (!action.inherited)
        m_tokens.release(action.team, action.count);
}

void JobService::placePending()
{
    const auto now = monotonicNow();
    if (!holdsLeadership())
        return;
    const auto active = m_configuration.active().get();
    const auto round = m_placement.run(m_ledger, active->configuration, m_tokens, now);
    for (const auto& line : round.explanations)
        perform(line);
    if (!round.chosen.placements.empty())
        applyEvent(round.chosen);
}

void JobService::archiveFinished()
{
    for (const auto& finished : takeFinished(m_ledger)) {
        const auto& id = finished.record.id;
        m_finished[id] = finished.record;
        m_finishedOrder.push_back(id);
        if (m_finishedOrder.size() > maxFinishedJobsKept) {
            m_finished.erase(m_finishedOrder.front());
            m_explanations.erase(m_finishedOrder.front());
            m_finishedOrder.pop_front();
        }
        archive(finished);
    }
}

void JobService::archive(const VersionedRecord& finished)
{
    const ArchivedJob entry { finished.record.id, jobKey(finished.record), finished.version, {} };
    const auto object = finished.record.domain.text + "/" + finished.record.id.text;
    m_store.putObject(object, toJson(finished.record), archiveTimeout, [this, entry](HttpResult result) {
        if (!result.response || result.response->status != 200)
            return; // the row stays, and the next leader archives the job
        postResponse([this, entry] {
            m_archived.push_back(entry);
            m_archived.back().removeAt = monotonicNow() + endedRowRetention;
        });
    });
}

// Removes the rows of ended jobs in batches. The same transaction updates the trim row, which tells a later
// leader up to which version events are no longer available.
void JobService::removeArchived()
{
    if (m_isRemovingArchived || m_archived.empty() || m_archived.front().removeAt > monotonicNow())
        return;
    std::vector<ArchivedJob> batch;
    std::uint64_t trimmedBefore = m_events.trimmedBefore();
    Transaction transaction;
    while (!m_archived.empty() && batch.size() < maxRowsRemoved
        && m_archived.front().removeAt <= monotonicNow()) {
        batch.push_back(std::move(m_archived.front()));
        m_archived.pop_front();
        transaction.checks.push_back({ batch.back().key, batch.back().version });
        transaction.deletes.push_back(batch.back().key);
        trimmedBefore = std::max(trimmedBefore, batch.back().version);
    }
    const auto trimRowKey = trimKey(m_ledger.domain);
    transaction.checks.push_back({ trimRowKey, m_trimRowVersion });
    transaction.puts.push_back({ trimRowKey, std::to_string(trimmedBefore) });
    m_isRemovingArchived = true;
    m_store.commit(
        std::move(transaction), archiveTimeout, [this, batch, trimmedBefore](TransactionOutcome outcome) {
            postResponse([this, batch, trimmedBefore, outcome] {
                m_isRemovingArchived = false;
                if (outcome.status != TransactionStatus::Done || !m_ledger.isLeading)
                    return;
                m_trimRowVersion = outcome.version;
                for (const auto& entry : batch)
                    m_events.removeJob(entry.id, trimmedBefore);
            });
        });
}

void JobService::pollWorkers()
{
    if (!m_ledger.isLeading)
        return;
    for (const auto& [id, worker] : m_ledger.workers) {
        if (!worker.listed || !m_workersBeingPolled.insert(id).second)
            continue;
        m_backend.report(worker.info.address, id, [this, id = id](std::optional<WorkerReport> report) {
            postResponse([this, id, report = std::move(report)] {
                m_workersBeingPolled.erase(id);
                if (report)
                    applyEvent(*report);
                else
                    applyEvent(WorkerSuspected { id });
            });
        });
    }
}

} // namespace quay
