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
 * Rules of the grant protocol, each of which can be switched off by mutation tests to show that the checks
 * detect the fault. Production code uses the default, with all rules on.
 */
struct QuotaRules {
    bool spendAfterConfirm = true; // gained units are usable once the write is confirmed
    bool returnBeforeWrite = true; // returned units are unusable before the row is written
    bool trackUnansweredWrites = true; // an unanswered write may have taken effect
    bool countInheritedAsUsed = true; // an inherited grant is used until its work has ended

    bool operator==(const QuotaRules&) const = default;
};

/** Settings of the grant protocol. */
struct QuotaSettings {
    MemberId self;
    DomainId domain;
    std::uint64_t joinEpoch = 0; // roster epoch in which this member joined
    Duration roundInterval = 500ms; // minimum time between two rounds
    Duration conflictBackoff = 100ms; // time to the next round after a conflict or timeout
    Duration maxRequestDeadline = 60s; // upper bound of an interactive request's run time
    std::int64_t minExtraUnits = 4; // units requested on top of the need
    std::size_t maxRowsPerWrite = 64; // rows in one transaction
    QuotaRules rules;

    bool operator==(const QuotaSettings&) const = default;
};

/** A team's store row with its version; version 0 if there is no row. */
struct QuotaRow {
    TeamId team;
    std::uint64_t version = 0;
    QuotaRecord record;

    bool operator==(const QuotaRow&) const = default;
};

/** Grant of a removed member whose work may still run, inherited by the domain's leader. */
struct InheritedGrant {
    std::int64_t usedUnits = 0; // not available for new work
    std::optional<std::int64_t> durableUnits; // units of unfinished jobs; nullopt until counted
    Instant interactiveUntil; // interactive work has ended by then

    bool operator==(const InheritedGrant&) const = default;
};

/**
 * Writes of one row that were not answered. All of them check for the same version; one of them may still
 * take effect while the row has that version.
 */
struct UnresolvedWrites {
    std::uint64_t checkedVersion = 0;
    // Key: sequence number of the own entry if the write took effect. Value: the entries that it inherits.
    std::map<std::uint64_t, std::map<MemberId, std::int64_t>> attempts;

    bool operator==(const UnresolvedWrites&) const = default;
};

/** One member's view of one team's quota. */
struct TeamQuota {
    QuotaRow row; // as last read or written
    TeamUsage usage;
    std::int64_t spendable = 0; // grant set in TeamTokens
    std::int64_t ceiling = 0; // limit for new work; below `spendable` while a reduction waits for work to end
    std::map<MemberId, InheritedGrant> inherited;
    std::optional<UnresolvedWrites> unresolvedWrites;

    bool operator==(const TeamQuota&) const = default;
};

/** One row of a transaction that takes effect only if all rows have their expected versions. */
struct QuotaPut {
    TeamId team;
    std::uint64_t checkVersion = 0;
    QuotaRecord record;
    std::map<MemberId, std::int64_t> inherits; // entries that are merged into the writer's

    bool operator==(const QuotaPut&) const = default;
};

/** A team's limit in a configuration version. */
struct ConfiguredLimit {
    std::int64_t limit = 0;
    std::uint64_t configVersion = 0;

    bool operator==(const ConfiguredLimit&) const = default;
};

/** A member's view of its failure domain's roster. */
struct QuotaRoster {
    std::uint64_t epoch = 0;
    std::set<MemberId> live;
    bool isSelfLeader = false;

    bool operator==(const QuotaRoster&) const = default;
};

/** Phase of a round: read the rows, reduce local grants if needed, write. */
enum class QuotaPhase {
    Idle,
    Reading, // the read of all rows is in flight
    Reducing, // TeamTokens::reduceTo() is pending
    Writing, // the transaction is in flight
};

/** One member's state in the grant protocol, for all teams. */
struct QuotaState {
    QuotaSettings settings;
    QuotaPhase phase = QuotaPhase::Idle;
    bool fenced = false; // own entry inherited or member removed; all further events are ignored
    std::uint64_t requestId = 0; // of the read or write in flight
    std::size_t rowsPerWrite = 1; // halved on a conflict, doubled on success
    std::size_t firstTeamIndex = 0; // rotates the order of the teams from round to round
    Instant nextRound; // earliest start of the next round
    QuotaRoster roster;
    std::map<TeamId, ConfiguredLimit> configured;
    std::map<TeamId, TeamQuota> teams;
    std::vector<QuotaPut> pending; // rows to write in this round
    std::map<TeamId, std::int64_t> reductions; // targets of this round; once reduced, the grants that remain

    bool operator==(const QuotaState&) const = default;
};

/** Event: periodic call with the current usage. */
struct QuotaTick {
    std::map<TeamId, TeamUsage> usage; // from TeamTokens::takeUsage()
};
/** Event: answer to ReadQuotaRows. */
struct QuotaRowsRead {
    std::uint64_t requestId = 0;
    std::vector<QuotaRow> rows; // all rows under "quota/"
};
/** Event: answer to ReduceTeamGrants. */
struct QuotaGrantsReduced {
    std::map<TeamId, std::int64_t> remaining; // from TeamTokens::reduceTo()
};
/** Event: WriteQuotaRows took effect; the rows have `version`. */
struct QuotaWriteDone {
    std::uint64_t requestId = 0;
    std::uint64_t version = 0;
};
/** Event: WriteQuotaRows had no effect, because a row had another version. */
struct QuotaWriteConflict {
    std::uint64_t requestId = 0;
};
/** Event: a read or write timed out. It may have taken effect or may still do so. */
struct QuotaRequestTimedOut {
    std::uint64_t requestId = 0;
};
/** Event: the domain's roster as last read. */
struct QuotaRosterUpdated {
    QuotaRoster roster;
};
/** Event: a team's limit from the configuration. */
struct QuotaLimitConfigured {
    TeamId team;
    ConfiguredLimit limit;
};
/** Event: answer to CountInheritedWork. */
struct QuotaWorkCounted {
    TeamId team;
    MemberId from;
    std::int64_t units = 0;
};
/** Event: jobs that were counted under an inherited grant have ended. */
struct QuotaWorkEnded {
    TeamId team;
    MemberId from;
    std::int64_t units = 0;
};
using QuotaEvent
    = std::variant<QuotaTick, QuotaRowsRead, QuotaGrantsReduced, QuotaWriteDone, QuotaWriteConflict,
        QuotaRequestTimedOut, QuotaRosterUpdated, QuotaLimitConfigured, QuotaWorkCounted, QuotaWorkEnded>;

/** Action: read all quota rows and answer with QuotaRowsRead or QuotaRequestTimedOut. */
struct ReadQuotaRows {
    std::uint64_t requestId = 0;
};
/** Action: check the versions of all rows and write them, in one transaction. */
struct WriteQuotaRows {
    std::uint64_t requestId = 0;
    std::vector<QuotaPut> puts;
};
/** Action: call TeamTokens::setGranted(). */
struct SetTeamGrant {
    TeamId team;
    std::int64_t units = 0;
};
/** Action: call TeamTokens::reduceTo() for each team and answer with one QuotaGrantsReduced. */
struct ReduceTeamGrants {
    std::map<TeamId, std::int64_t> targets;
};
/** Action: call TeamTokens::fence(). */
struct FenceTokens { };
/**
 * Action: count the team's unfinished job units in this domain that were started by members no longer in the
 * roster and are not yet attributed to another inherited grant, at most `units`, and answer with
 * QuotaWorkCounted. All such members count, not only `from`: it may have failed before it attributed what it
 * had inherited itself.
 */
struct CountInheritedWork {
    TeamId team;
    MemberId from;
    std::int64_t units = 0;
};
using QuotaAction = std::variant<ReadQuotaRows, WriteQuotaRows, SetTeamGrant, ReduceTeamGrants, FenceTokens,
    CountInheritedWork>;

/** Creates the initial state; the first round starts with the first tick. */
QuotaState makeQuotaState(QuotaSettings settings);

/**
 * Handles one event and returns the actions to perform, in this order and before the next call.
 * The caller passes a tick about every 100 ms. Not thread-safe: all calls for one state come from one thread.
 *
 * Usage: `for (auto& action : step(state, QuotaTick { tokens.takeUsage() }, now)) perform(action);`
 */
std::vector<QuotaAction> step(QuotaState& state, const QuotaEvent& event, Instant now);

/** Units of a team's inherited grants that are counted as used. */
std::int64_t inheritedUnits(const TeamQuota& team);

} // namespace quay
