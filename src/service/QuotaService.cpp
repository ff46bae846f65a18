#include "service/QuotaService.h"

#include <algorithm>
#include <iostream>

namespace quay {

namespace {

constexpr std::size_t ringCapacity = 1024;
constexpr auto tickPeriod = std::chrono::milliseconds(100);
constexpr auto requestTimeout = std::chrono::seconds(2);
constexpr auto lostAnswerTimeout = std::chrono::seconds(15); // longer than a read and a write take together
// Period of rounds while grants are held and there is no demand.
constexpr auto grantHolderRoundPeriod = std::chrono::seconds(1);
constexpr auto idleRoundPeriod = std::chrono::seconds(3); // while no grants are held either
// A holder that has been missing from the roster for this long counts as gone.
constexpr auto holderAbsenceLimit = std::chrono::seconds(15);
constexpr auto maxRequestDeadline = std::chrono::seconds(305); // above the longest deadline a caller may set
constexpr std::uint64_t rosterEpoch = 1; // constant, because the topology carries no epoch
constexpr auto rowPrefix = "quota/";

Instant monotonicNow() { return std::chrono::steady_clock::now(); }

QuotaSettings settingsOf(const Identity& self)
{
    QuotaSettings settings;
    settings.self = self.id;
    settings.domain = self.domain;
    settings.joinEpoch = rosterEpoch;
    settings.maxRequestDeadline = maxRequestDeadline;
    return settings;
}

// Limits change in two steps: a decrease takes effect as target as soon as its version is prepared, an
// increase only when the version is accepted. Example: version 5 accepted is step 11, version 6 prepared is
// step 12, and version 6 accepted is step 13.
std::uint64_t limitStep(const RolloutView& view)
{
    if (view.hasPendingVersion())
        return 2 * view.prepared.row.document.version;
    return 2 * view.accepted.row.document.version + 1;
}

bool isLoweredBy(const RolloutView& view, const TeamId& team, const TeamConfig& current)
{
    const auto& next = view.prepared.row.document.teams;
    const auto found = next.find(team);
    return view.hasPendingVersion() && (found == next.end() || found->second.upperLimit < current.upperLimit);
}

std::optional<QuotaRow> decodeRow(const TableRow& row)
{
    Reason reason;
    const auto team = teamOfQuotaKey(row.key);
    auto record = team ? parseQuotaRecord(row.value, reason) : std::nullopt;
    if (!record) {
        std::cerr << "quayd: row " << row.key << " can't be parsed: " << reason.explain() << "\n";
        return std::nullopt;
    }
    return QuotaRow { *team, row.version, std::move(*record) };
}

} // namespace

QuotaService::QuotaService(MembershipService& membership, ConfigurationService& configuration,
    StoreService& store, TeamTokens& tokens)
    : ServiceThread("quota", ringCapacity)
    , m_membership(membership)
    , m_configuration(configuration)
    , m_store(store)
    , m_tokens(tokens)
    , m_state(makeQuotaState(settingsOf(membership.self())))
{
    every(tickPeriod, [this] { tick(); });
}

void QuotaService::tick()
{
    const auto now = monotonicNow();
    extendLease(now);
    updateLeadership(now);
    applyConfiguredLimits();
    applyInheritedWorkEvents();
    for (const auto& [team, usage] : m_tokens.takeUsage()) {
        auto& kept = m_usage[team];
        kept.running = usage.running;
        kept.refused += usage.refused;
    }
    // A request that the store client has not answered within lostAnswerTimeout is treated as lost.
    if (m_state.phase != QuotaPhase::Idle && now - m_lastRoundAt >= lostAnswerTimeout)
        applyEvent(QuotaRequestTimedOut { m_state.requestId });
    if (m_state.phase == QuotaPhase::Idle && isRoundDue(now)) {
        m_lastRoundAt = now;
        applyEvent(QuotaTick { m_usage });
        for (auto& [team, usage] : m_usage)
            usage.refused = 0;
    }
    reportLimits();
    publish();
}

// Each round reads all quota rows, so rounds are frequent only while there is demand or a limit decreases.
bool QuotaService::isRoundDue(Instant now) const
{
    if (now < m_state.nextRound)
        return false;
    bool holds = false;
    for (const auto& [id, team] : m_state.teams)
        holds |= team.spendable > 0 || !team.inherited.empty();
    const bool wants = std::any_of(m_usage.begin(), m_usage.end(), [this](const auto& entry) {
        const auto team = m_state.teams.find(entry.first);
        const auto spendable = team == m_state.teams.end() ? 0 : team->second.spendable;
        return entry.second.refused > 0 || (entry.second.running > 0 && entry.second.running >= spendable);
    });
    if (wants || hasPendingLimitDecrease())
        return true;
    return now - m_lastRoundAt >= (holds ? Duration(grantHolderRoundPeriod) : Duration(idleRoundPeriod));
}

bool QuotaService::hasPendingLimitDecrease() const
{
    const auto view = m_configuration.view().get();
    return view->hasPendingVersion()
        && lowersLimits(view->accepted.row.document, view->prepared.row.document);
}

// Grants may be spent while ownership is valid: the leader inherits the grants of a member only after that.
// The roster can extend the validity during a store outage; the token lease follows it.
void QuotaService::extendLease(Instant now)
{
    const auto ownership = m_membership.ownership().get();
    if (now < ownership->validUntil)
        m_tokens.extendLease(ownership->validUntil);
}

void QuotaService::updateLeadership(Instant now)
{
    const bool isLeader = m_membership.ownership().get()->holdsLeadership(now);
    if (m_wasLeader && !isLeader) {
        m_absentSince.clear();
        m_inherited.clearRunningUnits();
    }
    m_wasLeader = isLeader;
}

// The topology lags behind the roster and carries no epoch, so it can't distinguish a dead holder from one
// that has just joined. A holder counts as gone once a valid leader has not seen it for holderAbsenceLimit,
// which is much longer than a lease plus the lag; all others are reported to the core as live. The core plans
// as soon as it receives the rows, so the liveness of the holders in these rows must be applied first.
void QuotaService::updateRoster(const std::vector<QuotaRow>& rows, Instant now)
{
    updateLeadership(now);
    const auto topology = m_membership.topology().get();
    std::map<MemberId, Instant> absent;
    QuotaRoster roster { rosterEpoch, { m_membership.self().id }, m_wasLeader };
    for (const auto& row : rows) {
        for (const auto& [member, entry] : row.record.entries) {
            if (topology->find(member) || !m_wasLeader) {
                roster.live.insert(member);
                continue;
            }
            const auto known = m_absentSince.find(member);
            const auto since = known == m_absentSince.end() ? now : known->second;
            absent.emplace(member, since);
            if (now - since < holderAbsenceLimit)
                roster.live.insert(member);
        }
    }
    m_absentSince = std::move(absent);
    applyEvent(QuotaRosterUpdated { std::move(roster) });
}

// Only leaders write configured limits into the rows: with one writer per failure domain conflicts are rare.
// A limit that already is the target of the row needs no write. A lowered limit is always written, so that
// the row rejects limits from members with an older configuration step.
void QuotaService::applyConfiguredLimits()
{
    const auto view = m_configuration.view().get();
    if (!m_wasLeader || !view->accepted.storeVersion)
        return;
    const auto step = limitStep(*view);
    const auto& current = view->accepted.row.document;
    const auto limits = view->hasPendingVersion() ? intersect(current, view->prepared.row.document) : current;
    for (const auto& [team, config] : limits.teams) {
        const auto known = m_state.teams.find(team);
        const bool exists = known != m_state.teams.end() && known->second.row.version;
        const std::int64_t limit = config.upperLimit;
        const bool lowered = isLoweredBy(*view, team, current.teams.at(team));
        if (!exists || lowered || known->second.row.record.target != limit)
            applyEvent(QuotaLimitConfigured { team, { limit, step } });
    }
    for (const auto& [team, known] : m_state.teams) {
        if (known.row.version && known.row.record.target && !limits.teams.contains(team))
            applyEvent(QuotaLimitConfigured { team, { 0, step } });
    }
}

// A lowered limit is satisfied once its row has it in force at this step or a later one: from then on grants
// stay within it until another version is accepted.
void QuotaService::reportLimits()
{
    const auto view = m_configuration.view().get();
    const auto version = view->prepared.row.document.version;
    if (!hasPendingLimitDecrease() || version <= m_reportedVersion)
        return;
    for (const auto& [team, config] : view->accepted.row.document.teams) {
        if (!isLoweredBy(*view, team, config))
            continue;
        const auto known = m_state.teams.find(team);
        if (known == m_state.teams.end() || !isTargetEffective(known->second.row.record)
            || known->second.row.record.configVersion < limitStep(*view))
            return;
    }
    m_reportedVersion = version;
    m_configuration.limitsSatisfied(version);
}

void QuotaService::applyInheritedWorkEvents()
{
    for (const auto& event : m_inherited.takeEvents())
        applyEvent(event);
}

void QuotaService::applyEvent(const QuotaEvent& event)
{
    for (const auto& action : step(m_state, event, monotonicNow()))
        std::visit([this](const auto& one) { perform(one); }, action);
}

void QuotaService::perform(const ReadQuotaRows& action)
{
    m_store.scan(rowPrefix, requestTimeout, [this, id = action.requestId](auto rows) {
        postResponse([this, id, rows = std::move(rows)] {
            if (rows)
                onRowsRead(id, *rows);
            else
                applyEvent(QuotaRequestTimedOut { id });
        });
    });
}

void QuotaService::onRowsRead(std::uint64_t requestId, const std::vector<TableRow>& rows)
{
    QuotaRowsRead read { requestId, {} };
    for (const auto& row : rows) {
        auto decoded = decodeRow(row);
        if (decoded)
            read.rows.push_back(std::move(*decoded));
    }
    updateRoster(read.rows, monotonicNow());
    applyEvent(read);
}

void QuotaService::perform(const WriteQuotaRows& action)
{
    Transaction transaction;
    bool inherits = false;
    for (const auto& put : action.puts) {
        const auto key = quotaKey(put.team);
        transaction.checks.push_back({ key, put.checkVersion });
        transaction.puts.push_back({ key, toJson(put.record) });
        inherits |= !put.inherits.empty();
    }
    m_store.commit(std::move(transaction), requestTimeout,
        [this, id = action.requestId, inherits](const TransactionOutcome& outcome) {
            postResponse([this, id, inherits, outcome] { onWriteOutcome(id, inherits, outcome); });
        });
}

// If the answer to a write that took effect is lost and another member then changes the row, the store
// client's retry reports a conflict. Acquired and returned units are visible when the row is read again;
// inherited entries are not, so a conflict of a write that inherits counts as unknown.
void QuotaService::onWriteOutcome(std::uint64_t requestId, bool inherits, const TransactionOutcome& outcome)
{
    const bool conflict = outcome.status == TransactionStatus::Conflict;
    if (outcome.status == TransactionStatus::Done)
        applyEvent(QuotaWriteDone { requestId, outcome.version });
    else if (outcome.status == TransactionStatus::NotSent || (conflict && !inherits))
        applyEvent(QuotaWriteConflict { requestId });
    else
        applyEvent(QuotaRequestTimedOut { requestId });
}

void QuotaService::perform(const SetTeamGrant& action) { m_tokens.setGranted(action.team, action.units); }

void QuotaService::perform(const ReduceTeamGrants& action)
{
    QuotaGrantsReduced lowered;
    for (const auto& [team, target] : action.targets)
        lowered.remaining[team] = m_tokens.reduceTo(team, target);
    applyEvent(lowered);
}

void QuotaService::perform(const FenceTokens&)
{
    m_tokens.fence();
    std::cerr << "quayd: the team grants of " << m_membership.self().id.text
              << " were inherited by another member; its tokens are fenced, restart the process\n";
}

void QuotaService::perform(const CountInheritedWork& action) { m_inherited.requestCount(action); }

void QuotaService::inheritedWorkFound(std::map<TeamId, std::int64_t> running)
{
    postResponse([this, running = std::move(running)] { m_inherited.setRunningUnits(running); });
}

void QuotaService::inheritedWorkEnded(const TeamId& team, std::int64_t n)
{
    postResponse([this, team, n] { m_inherited.reportEnded(team, n); });
}

void QuotaService::publish()
{
    TeamQuotaStatuses quotaStatuses;
    for (const auto& [id, team] : m_state.teams) {
        const auto& record = team.row.record;
        const auto usage = m_usage.find(id);
        const auto running = usage == m_usage.end() ? 0 : usage->second.running;
        quotaStatuses[id] = { record.limit, record.target, totalGranted(record), team.spendable, running,
            inheritedUnits(team) };
    }
    if (quotaStatuses != *m_quotaStatuses.get())
        m_quotaStatuses.set(std::move(quotaStatuses));
}

} // namespace quay
