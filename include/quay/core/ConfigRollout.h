#pragma once

#include "quay/core/Configuration.h"
#include "quay/core/Time.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace quay {

/** The rows `config/accepted` and `config/prepared`. The version stands in the document. */
struct RolloutRow {
    Configuration document;
    std::set<std::string> voters; // entry VMs that may accept the version after this one
    std::string requestToken; // unique token of the operator's request
    std::uint64_t contentSince = 0; // the document is the same in all versions from this one on

    bool operator==(const RolloutRow&) const = default;
};

/** A row and the version that the table service gave it; 0: the row does not exist. */
struct StoredRow {
    RolloutRow row;
    std::uint64_t storeVersion = 0;

    bool operator==(const StoredRow&) const = default;
};

/** Both rows as of one moment. */
struct RolloutView {
    StoredRow accepted;
    StoredRow prepared;

    bool operator==(const RolloutView&) const = default;

    /** True if a prepared version waits for acceptance. */
    bool pending() const { return prepared.row.document.version > accepted.row.document.version; }
};

/** Time bounds. All members use the same values. */
struct RolloutLimits {
    Duration pollPeriod = 1000ms;
    Duration stalenessBound = 4000ms; // a view serves keyed work this long, counted from before its read
    Duration driftMargin = 200ms; // most that two clocks differ over one bound
    Duration promiseDuration = 3000ms; // a voter that promised accepts nothing for this long
    Duration requestLifetime = 2000ms; // a request has its effect within this time or never

    bool operator==(const RolloutLimits&) const = default;
};

/** Rules of the protocol. Each default is right; tests switch one off to see the fault found. */
struct RolloutRules {
    bool waitForConfirmations = true;
    bool countFromRequest = true; // freshness counts from before the read, not from its answer
    bool firstReadBeforeServing = true; // a new process serves keyed work only after a read
    bool keepHighest = true; // a late answer never brings a lower version back
    bool checkBaseVersion = true;
    bool registerFirst = true; // only a view from after our row existed makes us fresh
    bool keepPromises = true; // a voter that promised accepts nothing meanwhile
    bool promiseOnlyIfResolved = true; // none while an accepting write of ours may still take effect
    bool restrictByPending = true; // what a prepared version forbids stops at once

    bool operator==(const RolloutRules&) const = default;
};

/** Operator's request: make `document` the version after `base`. */
struct ApplyRequest {
    std::string token; // unique
    std::uint64_t base = 0; // newest version, accepted or prepared, that the operator has seen
    Configuration document; // its version is ignored
    std::set<std::string> voters; // empty: as they are
    bool votersOnly = false; // the document stays; gives way to an operator's change

    bool operator==(const ApplyRequest&) const = default;
};

/** Events of the core. An answer that never comes is simply no event. */
namespace rollout {
struct Tick { };
struct ReadAnswer {
    std::uint64_t request = 0;
    RolloutView view;
};
struct ScanAnswer {
    std::uint64_t request = 0;
    std::map<std::string, std::uint64_t> confirmed; // VM -> highest version it confirmed
};
struct WriteAnswer {
    std::uint64_t request = 0;
    bool ok = false;
    std::uint64_t storeVersion = 0; // of the row written, if ok
};
struct Apply {
    ApplyRequest request;
};
struct LimitsSatisfied {
    std::uint64_t version = 0; // no team runs more than this version's upper limits
};
struct PeerQuery {
    std::string from;
    std::uint64_t request = 0;
};
struct PeerAnswer {
    std::string from;
    std::uint64_t request = 0;
    RolloutView view;
    std::optional<Duration> age; // since the peer's read was sent; absent: it has none
    bool promised = false;
};

/** Read both rows in one request. */
struct Read {
    std::uint64_t request = 0;
};
/** Scan `config/ack/`. */
struct Scan {
    std::uint64_t request = 0;
};
/** Put this VM's row `config/ack/<vm>`, without a check. */
struct Confirm {
    std::uint64_t request = 0;
    std::uint64_t version = 0;
};
/** Put one row if both rows still have the store versions of `seen`. */
struct Write {
    std::uint64_t request = 0;
    bool accepted = false; // the accepted row, else the prepared one
    RolloutView seen;
    RolloutRow row;
};
/** Ask every peer for its view and promise. */
struct QueryPeers {
    std::uint64_t request = 0;
};
/** Answer one peer. */
struct Reply {
    std::string to;
    PeerAnswer answer;
};
/** The operator's answer: None, VersionConflict, or OutcomeUnknown; and the current version. */
struct ApplyDone {
    std::string token;
    ErrorKind kind = ErrorKind::None;
    std::uint64_t version = 0;
};
}

using RolloutEvent = std::variant<rollout::Tick, rollout::ReadAnswer, rollout::ScanAnswer,
    rollout::WriteAnswer, rollout::Apply, rollout::LimitsSatisfied, rollout::PeerQuery, rollout::PeerAnswer>;
using RolloutAction = std::variant<rollout::Read, rollout::Scan, rollout::Confirm, rollout::Write,
    rollout::QueryPeers, rollout::Reply, rollout::ApplyDone>;

/** What one process knows. Made by startRollout(). */
struct RolloutState {
    std::string vm;
    Instant startedAt;
    RolloutLimits limits;
    RolloutRules rules;
    RolloutView view;
    std::uint64_t nextRequest = 1;
    std::map<std::uint64_t, Instant> sentAt; // of reads, scans and questions to peers
    std::optional<Instant> freshAsOf; // the view is at least as new as the store was then
    std::optional<Instant> lastStoreAnswerAt;
    std::optional<Instant> lastPollAt;
    std::optional<Instant> registeredAt; // our row surely exists since then
    std::uint64_t confirmed = 0; // our row surely held this version
    std::map<std::uint64_t, std::uint64_t> confirmsInFlight; // request in flight -> version it confirms
    bool hasPredecessorSettled = false; // a read surely came after every write of our predecessor
    Instant promisedUntil;
    std::map<std::string, Instant> promises; // VM -> when we asked for the promise it gave
    Instant pendingSeenAt; // when we first knew of the pending version
    std::uint64_t confirmedByAll = 0; // a scan showed that every row confirms this version
    std::uint64_t limitsSatisfiedVersion = 0; // highest version whose upper limits hold
    std::optional<std::uint64_t> acceptRequest; // an accepting write whose outcome is not known
    RolloutRow acceptRow; // what it writes
    Instant acceptResolvableFrom; // a read sent from then on shows its outcome
    std::optional<ApplyRequest> apply; // the operator's request in work
    std::optional<std::uint64_t> applyRequest; // its write in flight
    bool applySent = false;
    std::uint64_t newestVersionAtApply = 0; // the newest version when the write was sent
};

/** The result of one step. */
struct RolloutResult {
    RolloutState state;
    std::vector<RolloutAction> actions;
};

/**
 * A new process on this VM. `remembered` is the view that an earlier process kept, if any: open
 * queues use it at once, keyed work waits for the first read.
 */
RolloutState startRollout(std::string vm, Instant now, RolloutLimits limits = {}, RolloutRules rules = {},
    RolloutView remembered = {});

/** One step. Usage: `auto [next, actions] = step(std::move(state), rollout::Tick {}, now);` */
RolloutResult step(RolloutState state, const RolloutEvent& event, Instant now);

/**
 * True if keyed work may be served now. If not, it is refused as StaleConfiguration (not run), while
 * open queues and requests in flight go on.
 */
bool mayServeAuthenticatedWork(const RolloutState& state, Instant now);

/** What is in force here: the accepted configuration, less what the pending version forbids. */
Configuration effectiveConfiguration(const RolloutState& state);

/** `current` without anything that `next` forbids: keys, access to queues, lower limits. */
Configuration intersect(const Configuration& current, const Configuration& next);

/** True if some team's upper limit is lower in `next`, or the team is gone. */
bool lowersLimits(const Configuration& current, const Configuration& next);

/** The value of the rows `config/accepted` and `config/prepared`. */
std::string toJson(const RolloutRow& row);

/** Reads toJson()'s text back; nullopt with InvalidConfiguration or UnknownField if it is not a row. */
std::optional<RolloutRow> parseRolloutRow(const std::string& text, Reason& reason);

} // namespace quay
