#pragma once

#include "quay/core/QuotaRecord.h"
#include "quay/core/TeamTokens.h"
#include "quay/core/Time.h"

#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace quay {

/**
 * Protocol rules of quota grants. The default is the protocol; every other value breaks
 * one of its rules and exists to show that the checks of the tests notice.
 */
struct QuotaRules {
    bool spendAfterConfirm = true; // a taken unit is spent only after its write is confirmed
    bool returnBeforeWrite = true; // a surrendered unit is given up locally before the row is written
    bool trackUnansweredWrites = true; // a write without an answer counts as possibly done
    bool countInheritedAsUsed = true; // an inherited grant counts as used until its work has ended

    bool operator==(const QuotaRules&) const = default;
};

/** Settings of the grant protocol. */
struct QuotaSettings {
    MemberId self;
    DomainId domain;
    std::uint64_t joinEpoch = 0; // roster epoch in which this member was first live
    Duration roundInterval = 500ms; // least time between two writes
    Duration conflictBackoff = 100ms; // time to the next round after a conflict
    Duration maxRequestDeadline = 60s; // no interactive request runs for longer
    std::int64_t minExtraUnits = 4; // units taken beyond the need
    std::size_t maxRowsPerWrite = 64;
    QuotaRules rules;

    bool operator==(const QuotaSettings&) const = default;
};

/** A row as read: version 0 means that there is none. */
struct QuotaRow {
    TeamId team;
    std::uint64_t version = 0;
    QuotaRecord record;

    bool operator==(const QuotaRow&) const = default;
};

/** A grant inherited from a dead member whose work may still run. */
struct InheritedGrant {
    std::int64_t usedUnits = 0; // units counted as used
    std::optional<std::int64_t> durableUnits; // units of unfinished job work, once the job ledger told
    Instant interactiveUntil; // interactive work has surely ended then

    bool operator==(const InheritedGrant&) const = default;
};

/** Writes without an answer. Any one of them may still take effect while the row has the checked version. */
struct UnresolvedWrites {
    std::uint64_t checkedVersion = 0;
    // by the sequence number that the own entry has if the write took effect: the entries it inherited
    std::map<std::uint64_t, std::map<MemberId, std::int64_t>> attempts;

    bool operator==(const UnresolvedWrites&) const = default;
};

/** What this member knows of one team. */
struct TeamQuota {
    QuotaRow row; // as last confirmed
    TeamUsage usage;
    std::int64_t spendable = 0; // granted to the token ledger of this process
    std::int64_t ceiling = 0; // below `spendable` while a lowering waits for work to end
    std::map<MemberId, InheritedGrant> inherited;
    std::optional<UnresolvedWrites> unresolvedWrites;

    bool operator==(const TeamQuota&) const = default;
};

/** One row of a conditional transaction. */
struct QuotaPut {
    TeamId team;
    std::uint64_t checkVersion = 0;
    QuotaRecord record;
    std::map<MemberId, std::int64_t> inherits; // entries that move to the writer

    bool operator==(const QuotaPut&) const = default;
};

/** A limit as configured. */
struct ConfiguredLimit {
    std::int64_t limit = 0;
    std::uint64_t configVersion = 0;

    bool operator==(const ConfiguredLimit&) const = default;
};

/** What a member knows of its domain's roster. */
struct QuotaRoster {
    std::uint64_t epoch = 0;
    std::set<MemberId> live;
    bool isSelfLeader = false;

    bool operator==(const QuotaRoster&) const = default;
};

enum class QuotaPhase {
    Idle,
    Reading, // rows were asked for
    Reducing, // the token ledger is told to give units up
    Writing, // a transaction is on its way
};

/** One member's state of the grant protocol for all teams. */
struct QuotaState {
    QuotaSettings settings;
    QuotaPhase phase = QuotaPhase::Idle;
    bool fenced = false; // own entry was inherited; nothing may be spent or written any more
    std::uint64_t requestId = 0; // of the outstanding read or write
    std::size_t rowsPerWrite = 1; // shrinks on conflicts, grows on success
    std::size_t firstTeamIndex = 0; // moves the first team of a round
    Instant nextRound;
    QuotaRoster roster;
    std::map<TeamId, ConfiguredLimit> configured;
    std::map<TeamId, TeamQuota> teams;
    std::vector<QuotaPut> pending; // of the round under way
    std::map<TeamId, std::int64_t> reductions; // asked of the ledger in this round

    bool operator==(const QuotaState&) const = default;
};

/** Events. */
struct QuotaTick {
    std::map<TeamId, TeamUsage> usage; // from TeamTokens::takeUsage()
};
struct QuotaRowsRead {
    std::uint64_t requestId = 0;
    std::vector<QuotaRow> rows; // all rows under "quota/"
};
struct QuotaGrantsReduced {
    std::map<TeamId, std::int64_t> remaining; // from TeamTokens::reduceTo()
};
struct QuotaWriteDone {
    std::uint64_t requestId = 0;
    std::uint64_t version = 0;
};
struct QuotaWriteConflict {
    std::uint64_t requestId = 0;
};
/** No answer in time: the request may or may not take effect, even later. */
struct QuotaRequestTimedOut {
    std::uint64_t requestId = 0;
};
struct QuotaRosterUpdated {
    QuotaRoster roster;
};
struct QuotaLimitConfigured {
    TeamId team;
    ConfiguredLimit limit;
};
/** The job ledger's count of unfinished job work under a grant that was inherited. */
struct QuotaWorkCounted {
    TeamId team;
    MemberId from;
    std::int64_t units = 0;
};
/** Job work under an inherited grant has surely ended. */
struct QuotaWorkEnded {
    TeamId team;
    MemberId from;
    std::int64_t units = 0;
};
using QuotaEvent
    = std::variant<QuotaTick, QuotaRowsRead, QuotaGrantsReduced, QuotaWriteDone, QuotaWriteConflict,
        QuotaRequestTimedOut, QuotaRosterUpdated, QuotaLimitConfigured, QuotaWorkCounted, QuotaWorkEnded>;

/** Actions. */
struct ReadQuotaRows {
    std::uint64_t requestId = 0;
};
/** One transaction: every row is checked for its version, then all are written. */
struct WriteQuotaRows {
    std::uint64_t requestId = 0;
    std::vector<QuotaPut> puts;
};
/** Call TeamTokens::setGranted(). */
struct SetTeamGrant {
    TeamId team;
    std::int64_t units = 0;
};
/** Call TeamTokens::reduceTo() for each team and answer with one QuotaGrantsReduced. */
struct ReduceTeamGrants {
    std::map<TeamId, std::int64_t> targets;
};
/** Call TeamTokens::fence(). */
struct FenceTokens { };
/**
 * Answer with QuotaWorkCounted: the unfinished units of job work of the team in this domain that were started
 * under members which have left the roster, and are not yet attributed to another inherited grant; at most
 * `units`. Not only those of `from` itself: it may have died before it attributed what it had inherited.
 */
struct CountInheritedWork {
    TeamId team;
    MemberId from;
    std::int64_t units = 0;
};
using QuotaAction = std::variant<ReadQuotaRows, WriteQuotaRows, SetTeamGrant, ReduceTeamGrants, FenceTokens,
    CountInheritedWork>;

/** A fresh state; the first round starts with the first tick. */
QuotaState makeQuotaState(QuotaSettings settings);

/**
 * Takes one event and returns what is to be done, in this order.
 * The caller feeds a tick every 100 ms or so, and every event of one member from one thread.
 * Actions must be carried out before the next event is fed.
 *
 * Usage: `for (auto& action : step(state, QuotaTick { tokens.takeUsage() }, now)) perform(action);`
 */
std::vector<QuotaAction> step(QuotaState& state, const QuotaEvent& event, Instant now);

/** Units of a team that are counted as used under inherited grants. */
std::int64_t inheritedUnits(const TeamQuota& team);

} // namespace quay
