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

/** The value of the rows `config/accepted` and `config/prepared`. The version is part of the document. */
struct RolloutRow {
    Configuration document;
    std::set<std::string> voters; // entry VMs that may accept the next version
    std::string requestToken; // token of the ApplyRequest that wrote the row
    std::uint64_t contentSince = 0; // first version with this document; later ones changed only the voters

    bool operator==(const RolloutRow&) const = default;
};

/** A row and its version in the table service; version 0 means that the row does not exist. */
struct StoredRow {
    RolloutRow row;
    std::uint64_t storeVersion = 0;

    bool operator==(const StoredRow&) const = default;
};

/** A consistent snapshot of both rows. */
struct RolloutView {
    StoredRow accepted;
    StoredRow prepared;

    bool operator==(const RolloutView&) const = default;

    /** True if a prepared version is not yet accepted. */
    bool hasPendingVersion() const { return prepared.row.document.version > accepted.row.document.version; }
};

/** Time bounds of the protocol. All members must use the same values. */
struct RolloutLimits {
    Duration pollPeriod = 1000ms;
    Duration stalenessBound = 4000ms; // a view may serve authenticated work this long after its read was sent
    Duration driftMargin = 200ms; // maximum clock drift between two VMs over one of these bounds
    Duration promiseDuration = 3000ms; // a voter that promised accepts no version for this long
    Duration requestLifetime = 2000ms; // a store request takes effect within this time or never

    bool operator==(const RolloutLimits&) const = default;
};

/** Safety rules of the protocol. Production uses the defaults; tests disable one to prove that the violation
 * is detected. */
struct RolloutRules {
    bool waitForConfirmations = true; // accept only if all VMs confirmed the version or their views expired
    bool countFromRequest = true; // freshness is measured from sending the read, not from its answer
    bool firstReadBeforeServing = true; // a new process serves authenticated work only after a read
    bool keepHighest = true; // a late answer never replaces a row by an older one
    bool checkBaseVersion = true; // a change must be based on the newest document
    bool registerFirst = true; // only a view read after our `config/ack/` row existed counts as fresh
    bool keepPromises = true; // a voter accepts no version while its promise lasts
    bool promiseOnlyIfResolved = true; // no promise while an accepting write of ours may still take effect
    bool restrictByPending = true; // restrictions of a prepared version apply immediately

    bool operator==(const RolloutRules&) const = default;
};

/** An operator's request to make `document` the version after `baseVersion`. */
struct ApplyRequest {
    std::string token; // unique
    std::uint64_t baseVersion = 0; // newest accepted or prepared version that the operator has seen
    Configuration document; // its version is ignored
    std::set<std::string> voters; // empty: unchanged
    bool votersOnly = false; // keeps the document; aborted in favour of an operator's change

    bool operator==(const ApplyRequest&) const = default;
};

/** Input events and output actions of the state machine. A lost answer produces no event. */
namespace rollout {
struct Tick { };
struct ReadAnswer {
    std::uint64_t request = 0;
    RolloutView view;
};
struct ScanAnswer {
    std::uint64_t request = 0;
    std::map<std::string, std::uint64_t> confirmed; // VM -> highest confirmed version
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
    std::uint64_t version = 0; // every team's usage is within this version's upper limits
};
struct PeerQuery {
    std::string from;
    std::uint64_t request = 0;
};
struct PeerAnswer {
    std::string from;
    std::uint64_t request = 0;
    RolloutView view;
    std::optional<Duration> age; // since the peer's read was sent; absent if the peer's view is not fresh
    bool promised = false;
};

/** Read both rows in one request. */
struct Read {
    std::uint64_t request = 0;
};
/** Scan the confirmations under `config/ack/`. */
struct Scan {
    std::uint64_t request = 0;
};
/** Put this VM's row `config/ack/<vm>` unconditionally. */
struct Confirm {
    std::uint64_t request = 0;
    std::uint64_t version = 0;
};
/** Put one row if both rows still have the store versions of `seen`. */
struct Write {
    std::uint64_t request = 0;
    bool accepted = false; // true: the accepted row; false: the prepared row
    RolloutView seen;
    RolloutRow row;
};
/** Ask every peer for its view and a promise. */
struct QueryPeers {
    std::uint64_t request = 0;
};
/** Answer one peer's query. */
struct Reply {
    std::string to;
    PeerAnswer answer;
};
/** The outcome of an ApplyRequest: None, VersionConflict or OutcomeUnknown, with the newest version. */
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

/** The rollout state of one process. Created by startRollout(). */
struct RolloutState {
    std::string vm;
    Instant startedAt;
    RolloutLimits limits;
    RolloutRules rules;
    RolloutView view;
    std::uint64_t nextRequest = 1;
    std::map<std::uint64_t, Instant> sentAt; // send time of each request in flight
    std::optional<Instant> freshAsOf; // the view is at least as new as the store at this time
    std::optional<Instant> lastStoreAnswerAt;
    std::optional<Instant> lastPollAt;
    std::optional<Instant> registeredAt; // our `config/ack/` row is known to exist since then
    std::uint64_t confirmed = 0; // highest version that our row is known to have held
    std::map<std::uint64_t, std::uint64_t> confirmsInFlight; // request in flight -> version it confirms
    bool hasPredecessorSettled = false; // our view includes every write of the previous process on this VM
    Instant promisedUntil; // we accept no version before then
    std::map<std::string, Instant> promises; // VM -> send time of the query it answered with a promise
    Instant pendingSeenAt; // when we first saw the pending version
    std::uint64_t confirmedByAll = 0; // highest version that a scan found confirmed by all `config/ack/` rows
    std::uint64_t limitsSatisfiedVersion = 0; // highest version whose upper limits are satisfied
    std::optional<std::uint64_t> acceptRequest; // accepting write whose outcome is unknown
    RolloutRow acceptRow; // the row that acceptRequest writes
    Instant acceptResolvableFrom; // a read sent at or after this time shows the outcome of acceptRequest
    std::optional<ApplyRequest> apply; // the request being processed
    std::optional<std::uint64_t> applyRequest; // its write in flight
    bool applySent = false; // a write for `apply` was sent at least once
    std::uint64_t newestVersionAtApply = 0; // newest version when the last such write was sent
};

/** The new state and the actions to perform after one step. */
struct RolloutResult {
    RolloutState state;
    std::vector<RolloutAction> actions;
};

/**
 * Creates the state of a new process on `vm`. `storedView` is the view that an earlier process on the VM
 * stored, if any: open queues use it immediately, authenticated work waits for the first read.
 */
RolloutState startRollout(std::string vm, Instant now, RolloutLimits limits = {}, RolloutRules rules = {},
    RolloutView storedView = {});

/** Processes one event. Usage: `auto [next, actions] = step(std::move(state), rollout::Tick {}, now);` */
RolloutResult step(RolloutState state, const RolloutEvent& event, Instant now);

/**
 * True if the configuration is fresh enough to serve work that needs a key. Otherwise such work is refused
 * with StaleConfiguration and not run, while open queues and requests in flight continue.
 */
bool mayServeAuthenticatedWork(const RolloutState& state, Instant now);

/** The effective configuration: the accepted one, restricted by the pending version if there is one. */
Configuration effectiveConfiguration(const RolloutState& state);

/** `current` with the restrictions of `next` applied: withdrawn keys, queue access and lower limits. */
Configuration intersect(const Configuration& current, const Configuration& next);

/** True if `next` lowers some team's upper limit or removes a team. */
bool lowersLimits(const Configuration& current, const Configuration& next);

/** Serializes the value of the rows `config/accepted` and `config/prepared`. */
std::string toJson(const RolloutRow& row);

/** Parses the output of toJson(). Returns nullopt with InvalidConfiguration or UnknownField if it is invalid.
 */
std::optional<RolloutRow> parseRolloutRow(const std::string& text, Reason& reason);

} // namespace quay
