#include "quay/core/QuotaGrants.h"

#include "core/QuotaPlan.h"

#include <algorithm>

namespace quay {

namespace {

using Actions = std::vector<QuotaAction>;

std::int64_t ownGrant(const QuotaState& state, const TeamQuota& team)
{
    const auto own = team.row.record.entries.find(state.settings.self);
    return own == team.row.record.entries.end() ? 0 : own->second.granted;
}

void endRound(QuotaState& state, Instant next)
{
    state.phase = QuotaPhase::Idle;
    state.pending.clear();
    state.reductions.clear();
    state.nextRound = next;
}

void fence(QuotaState& state, Actions& actions)
{
    state.fenced = true;
    endRound(state, Instant::max());
    for (auto& [id, team] : state.teams) {
        team.spendable = 0;
        team.ceiling = 0;
    }
    actions.emplace_back(FenceTokens {});
}

// Interactive work ends by its deadline at the latest, job work when the job ledger reports its end.
// The whole grant counts as used until the job ledger has counted the unfinished work.
void expireInherited(QuotaState& state, Instant now)
{
    for (auto& [id, team] : state.teams) {
        for (auto& [from, grant] : team.inherited) {
            if (grant.durableUnits && now >= grant.interactiveUntil)
                grant.usedUnits = std::min(grant.usedUnits, *grant.durableUnits);
        }
        std::erase_if(team.inherited, [](const auto& item) { return item.second.usedUnits == 0; });
    }
}

void recordInherited(QuotaState& state, const TeamId& id, const std::map<MemberId, std::int64_t>& inherits,
    Instant now, Actions& actions)
{
    if (!state.settings.rules.countInheritedAsUsed)
        return;
    TeamQuota& team = state.teams[id];
    for (const auto& [from, units] : inherits) {
        if (units == 0)
            continue;
        team.inherited[from] = { units, std::nullopt, now + state.settings.maxRequestDeadline };
        actions.emplace_back(CountInheritedWork { id, from, units });
    }
}

// Raises the local grant to what the confirmed row grants. An unanswered write that may still take effect
// (the row has the version that it checks for) may return units, so nothing is raised until it is resolved.
void raiseLocalGrant(QuotaState& state, const TeamId& id, Actions& actions)
{
    TeamQuota& team = state.teams[id];
    if (team.unresolvedWrites)
        return;
    const std::int64_t units = std::max<std::int64_t>(0, ownGrant(state, team) - inheritedUnits(team));
    if (units <= team.spendable)
        return;
    team.spendable = units;
    team.ceiling = units;
    actions.emplace_back(SetTeamGrant { id, units });
}

// An unanswered write is resolved once the row has another version than the write checks for: either it has
// taken effect, in which case the own entry has its sequence number, or its version check will fail.
void resolveUnansweredWrites(QuotaState& state, const TeamId& id, Instant now, Actions& actions)
{
    TeamQuota& team = state.teams[id];
    if (!team.unresolvedWrites || team.row.version == team.unresolvedWrites->checkedVersion)
        return;
    const UnresolvedWrites resolved = *team.unresolvedWrites;
    team.unresolvedWrites.reset();
    const auto own = team.row.record.entries.find(state.settings.self);
    if (own == team.row.record.entries.end())
        return;
    const auto attempt = resolved.attempts.find(own->second.sequence);
    if (attempt != resolved.attempts.end())
        recordInherited(state, id, attempt->second, now, actions);
}

// Entries are only removed by inheritance, so a missing own entry was inherited by another member.
bool isInheritedByOther(const QuotaState& state, const TeamQuota& known, const QuotaRow& row)
{
    const MemberId& self = state.settings.self;
    return known.row.record.entries.contains(self) && !row.record.entries.contains(self);
}

bool acceptRow(QuotaState& state, const QuotaRow& row, Instant now, Actions& actions)
{
    TeamQuota& team = state.teams[row.team];
    if (row.version < team.row.version)
        return true;
    if (isInheritedByOther(state, team, row)) {
        fence(state, actions);
        return false;
    }
    team.row = row;
    resolveUnansweredWrites(state, row.team, now, actions);
    raiseLocalGrant(state, row.team, actions);
    return true;
}

// The leader inherits entries of its own domain whose member is no longer in the roster. A member whose join
// epoch is later than this roster's epoch joined after it and is not treated as removed.
std::map<MemberId, std::int64_t> findInheritable(const QuotaState& state, const QuotaRecord& record)
{
    std::map<MemberId, std::int64_t> found;
    const QuotaRoster& roster = state.roster;
    if (!roster.isSelfLeader)
        return found;
    for (const auto& [member, entry] : record.entries) {
        const bool isGone = entry.joinEpoch <= roster.epoch && !roster.live.contains(member);
        if (entry.domain == state.settings.domain && member != state.settings.self && isGone)
            found.emplace(member, entry.granted);
    }
    return found;
}

bool applyConfigured(const QuotaState& state, const TeamId& id, QuotaRecord& record)
{
    const auto configured = state.configured.find(id);
    if (configured == state.configured.end() || configured->second.configVersion <= record.configVersion)
        return false;
    record.target = configured->second.limit;
    record.configVersion = configured->second.configVersion;
    return true;
}

void mergeInheritedEntries(
    QuotaRecord& record, const MemberId& self, const std::map<MemberId, std::int64_t>& inherits)
{
    for (const auto& [member, units] : inherits) {
        record.entries.erase(member);
        record.entries[self].granted += units;
    }
}

QuotaEntry& updateOwnEntry(const QuotaState& state, QuotaRecord& record)
{
    QuotaEntry& own = record.entries[state.settings.self];
    own.domain = state.settings.domain;
    own.joinEpoch = state.settings.joinEpoch;
    return own;
}

// The request id becomes the sequence number of the own entry when the write starts, because it is unique for
// each attempt, including failed ones.
void planTeam(QuotaState& state, const TeamId& id)
{
    TeamQuota& team = state.teams[id];
    QuotaPut put { id, team.row.version, team.row.record, findInheritable(state, team.row.record) };
    bool changed = applyConfigured(state, id, put.record);
    applyTargetLimit(put.record);
    changed |= put.record != team.row.record || !put.inherits.empty() || team.unresolvedWrites.has_value();
    const internal::QuotaPlan plan = internal::planQuota(state.settings, team, put.record);
    changed |= plan.take > 0 || plan.reduceTo < team.spendable || plan.demandChanged;
    if (!changed || put.record.configVersion == 0)
        return;
    mergeInheritedEntries(put.record, state.settings.self, put.inherits);
    QuotaEntry& own = updateOwnEntry(state, put.record);
    own.granted += plan.take;
    if (plan.demandChanged)
        own.demand = plan.demand;
    if (plan.reduceTo < team.spendable)
        state.reductions[id] = plan.reduceTo;
    state.pending.push_back(std::move(put));
}

std::vector<TeamId> teamsInRoundOrder(const QuotaState& state)
{
    std::vector<TeamId> order;
    for (const auto& [id, team] : state.teams)
        order.push_back(id);
    if (!order.empty())
        std::rotate(order.begin(),
            order.begin() + static_cast<std::ptrdiff_t>(state.firstTeamIndex % order.size()), order.end());
    return order;
}

void planRound(QuotaState& state)
{
    for (const TeamId& id : teamsInRoundOrder(state)) {
        if (state.pending.size() >= state.rowsPerWrite)
            return;
        planTeam(state, id);
    }
}

// After a reduction the entry is the remaining local grant plus the inherited units.
void fillOwnEntry(QuotaState& state, QuotaPut& put)
{
    const TeamQuota& team = state.teams[put.team];
    QuotaEntry& own = put.record.entries[state.settings.self];
    own.sequence = state.requestId;
    const auto lowering = state.reductions.find(put.team);
    if (lowering == state.reductions.end())
        return;
    own.granted = lowering->second + inheritedUnits(team);
    for (const auto& [from, units] : put.inherits)
        own.granted += units;
}

// A reduction that found every unit in use leaves the row unchanged.
void removeUnchangedPuts(QuotaState& state)
{
    std::erase_if(state.pending, [&](const QuotaPut& put) {
        const TeamQuota& team = state.teams[put.team];
        const auto lowering = state.reductions.find(put.team);
        const bool isLowered = lowering != state.reductions.end() && lowering->second < team.spendable;
        return !isLowered && !team.unresolvedWrites && put.record == team.row.record;
    });
}

void startWrite(QuotaState& state, Actions& actions)
{
    ++state.requestId;
    state.phase = QuotaPhase::Writing;
    for (QuotaPut& put : state.pending) {
        fillOwnEntry(state, put);
        applyTargetLimit(put.record);
    }
    if (!state.settings.rules.spendAfterConfirm) {
        for (const QuotaPut& put : state.pending) {
            const std::int64_t granted = put.record.entries.at(state.settings.self).granted;
            actions.emplace_back(SetTeamGrant { put.team, granted - inheritedUnits(state.teams[put.team]) });
        }
    }
    actions.emplace_back(WriteQuotaRows { state.requestId, state.pending });
}

// The remaining grants are the local limit from here on, whether or not the write takes effect.
void applyReductions(QuotaState& state)
{
    for (const auto& [id, remaining] : state.reductions) {
        TeamQuota& team = state.teams[id];
        team.spendable = std::min(team.spendable, remaining);
    }
}

void onTick(QuotaState& state, const QuotaTick& tick, Instant now, Actions& actions)
{
    for (const auto& [id, usage] : tick.usage) {
        TeamUsage& known = state.teams[id].usage;
        known.running = usage.running;
        known.refused += usage.refused;
    }
    expireInherited(state, now);
    if (state.phase != QuotaPhase::Idle || now < state.nextRound)
        return;
    state.phase = QuotaPhase::Reading;
    actions.emplace_back(ReadQuotaRows { ++state.requestId });
}

// Removes the ceiling of an earlier reduction that is not part of this round; it would go on limiting new
// work.
void resetCeilings(QuotaState& state, Actions& actions)
{
    for (auto& [id, team] : state.teams) {
        if (team.ceiling >= team.spendable || state.reductions.contains(id))
            continue;
        team.ceiling = team.spendable;
        actions.emplace_back(SetTeamGrant { id, team.spendable });
    }
}

void onRowsRead(QuotaState& state, const QuotaRowsRead& read, Instant now, Actions& actions)
{
    if (state.phase != QuotaPhase::Reading || read.requestId != state.requestId)
        return;
    for (const QuotaRow& row : read.rows) {
        if (!acceptRow(state, row, now, actions))
            return;
    }
    planRound(state);
    resetCeilings(state, actions);
    for (auto& [id, team] : state.teams)
        team.usage.refused = 0;
    if (state.pending.empty())
        return endRound(state, now + state.settings.roundInterval);
    if (state.reductions.empty() || !state.settings.rules.returnBeforeWrite)
        return startWrite(state, actions);
    state.phase = QuotaPhase::Reducing;
    actions.emplace_back(ReduceTeamGrants { state.reductions });
}

void onLowered(QuotaState& state, const QuotaGrantsReduced& lowered, Instant now, Actions& actions)
{
    if (state.phase != QuotaPhase::Reducing)
        return;
    for (auto& [id, target] : state.reductions) {
        state.teams[id].ceiling = target;
        const auto remaining = lowered.remaining.find(id);
        target = remaining == lowered.remaining.end() ? state.teams[id].spendable : remaining->second;
    }
    removeUnchangedPuts(state);
    applyReductions(state);
    if (state.pending.empty())
        return endRound(state, now + state.settings.roundInterval);
    startWrite(state, actions);
}

void onWriteDone(QuotaState& state, const QuotaWriteDone& done, Instant now, Actions& actions)
{
    if (state.phase != QuotaPhase::Writing || done.requestId != state.requestId)
        return;
    if (!state.settings.rules.returnBeforeWrite && !state.reductions.empty()) {
        actions.emplace_back(ReduceTeamGrants { state.reductions });
        applyReductions(state);
    }
    for (const QuotaPut& put : state.pending) {
        TeamQuota& team = state.teams[put.team];
        team.row = { put.team, done.version, put.record };
        team.unresolvedWrites.reset();
        recordInherited(state, put.team, put.inherits, now, actions);
        raiseLocalGrant(state, put.team, actions);
    }
    state.firstTeamIndex += state.pending.size();
    state.rowsPerWrite = std::min(state.settings.maxRowsPerWrite, state.rowsPerWrite + state.rowsPerWrite);
    endRound(state, now + state.settings.roundInterval);
}

void onWriteConflict(QuotaState& state, const QuotaWriteConflict& conflict, Instant now)
{
    if (state.phase != QuotaPhase::Writing || conflict.requestId != state.requestId)
        return;
    state.rowsPerWrite = std::max<std::size_t>(1, state.rowsPerWrite / 2);
    ++state.firstTeamIndex;
    endRound(state, now + state.settings.conflictBackoff);
}

// All unanswered writes of a row check for the same version, so at most one of them takes effect.
void recordUnansweredWrites(QuotaState& state)
{
    for (const QuotaPut& put : state.pending) {
        TeamQuota& team = state.teams[put.team];
        if (!team.unresolvedWrites)
            team.unresolvedWrites = UnresolvedWrites { put.checkVersion, {} };
        team.unresolvedWrites->attempts.emplace(state.requestId, put.inherits);
    }
}

void onRequestLost(QuotaState& state, const QuotaRequestTimedOut& lost, Instant now)
{
    if (lost.requestId != state.requestId || state.phase == QuotaPhase::Idle)
        return;
    if (state.phase == QuotaPhase::Writing && state.settings.rules.trackUnansweredWrites) {
        recordUnansweredWrites(state);
    }
    endRound(state, now + state.settings.conflictBackoff);
}

void onRoster(QuotaState& state, const QuotaRosterUpdated& seen, Actions& actions)
{
    if (seen.roster.epoch < state.roster.epoch)
        return;
    state.roster = seen.roster;
    const bool includesOwnJoin = seen.roster.epoch >= state.settings.joinEpoch;
    if (includesOwnJoin && !seen.roster.live.contains(state.settings.self))
        fence(state, actions);
}

void onConfigured(QuotaState& state, const QuotaLimitConfigured& event)
{
    ConfiguredLimit& known = state.configured[event.team];
    if (event.limit.configVersion > known.configVersion)
        known = event.limit;
    state.teams.try_emplace(event.team);
}

InheritedGrant* findInherited(QuotaState& state, const TeamId& id, const MemberId& from)
{
    const auto team = state.teams.find(id);
    if (team == state.teams.end())
        return nullptr;
    const auto grant = team->second.inherited.find(from);
    return grant == team->second.inherited.end() ? nullptr : &grant->second;
}

void onWorkCounted(QuotaState& state, const QuotaWorkCounted& event)
{
    InheritedGrant* grant = findInherited(state, event.team, event.from);
    if (grant && !grant->durableUnits)
        grant->durableUnits = std::min(event.units, grant->usedUnits);
}

void onWorkEnded(QuotaState& state, const QuotaWorkEnded& event)
{
    InheritedGrant* grant = findInherited(state, event.team, event.from);
    if (!grant || !grant->durableUnits)
        return;
    const std::int64_t ended = std::min(event.units, *grant->durableUnits);
    *grant->durableUnits -= ended;
    grant->usedUnits -= ended;
}

} // namespace

QuotaState makeQuotaState(QuotaSettings settings)
{
    QuotaState state;
    state.rowsPerWrite = settings.maxRowsPerWrite;
    state.settings = std::move(settings);
    return state;
}

std::int64_t inheritedUnits(const TeamQuota& team)
{
    std::int64_t units = 0;
    for (const auto& [from, grant] : team.inherited)
        units += grant.usedUnits;
    return units;
}

std::vector<QuotaAction> step(QuotaState& state, const QuotaEvent& event, Instant now)
{
    Actions actions;
    if (state.fenced)
        return actions;
    if (const auto* tick = std::get_if<QuotaTick>(&event))
        onTick(state, *tick, now, actions);
    else if (const auto* read = std::get_if<QuotaRowsRead>(&event))
        onRowsRead(state, *read, now, actions);
    else if (const auto* lowered = std::get_if<QuotaGrantsReduced>(&event))
        onLowered(state, *lowered, now, actions);
    else if (const auto* done = std::get_if<QuotaWriteDone>(&event))
        onWriteDone(state, *done, now, actions);
    else if (const auto* conflict = std::get_if<QuotaWriteConflict>(&event))
        onWriteConflict(state, *conflict, now);
    else if (const auto* lost = std::get_if<QuotaRequestTimedOut>(&event))
        onRequestLost(state, *lost, now);
    else if (const auto* roster = std::get_if<QuotaRosterUpdated>(&event))
        onRoster(state, *roster, actions);
    else if (const auto* configured = std::get_if<QuotaLimitConfigured>(&event))
        onConfigured(state, *configured);
    else if (const auto* counted = std::get_if<QuotaWorkCounted>(&event))
        onWorkCounted(state, *counted);
    else if (const auto* ended = std::get_if<QuotaWorkEnded>(&event))
        onWorkEnded(state, *ended);
    return actions;
}

} // namespace quay
