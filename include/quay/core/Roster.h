#pragma once

#include "quay/core/FailureDetector.h"
#include "quay/core/Ownership.h"
#include "quay/core/Reason.h"
#include "quay/core/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace quay {

/** Whether a member may own executors. */
enum class MemberState {
    Active,
    Draining, // owns nothing once the epoch is in effect; then removes itself from the roster
};

/** A member's entry in the roster row. */
struct RosterMember {
    MemberId id;
    MemberState state = MemberState::Active;
    std::uint64_t renewal = 0; // renewal counter, incremented with each of the member's own writes
    std::int64_t leaseMs = 0;
    std::uint64_t joinedEpoch = 0;
    // Latest epoch for which the member has released the resources that moved to others.
    std::uint64_t confirmedEpoch = 0;
    std::string address {}; // for peers, "ip:port"; bound for the lifetime of the process
    std::string host {}; // kernel boot and network namespace that `address` belongs to; may be empty

    bool operator==(const RosterMember&) const = default;
};

/**
 * The membership of a failure domain, stored as one row. Every change of members or states raises the epoch.
 */
struct RosterRecord {
    DomainId domain;
    std::uint64_t epoch = 0;
    MemberId leader;
    std::vector<RosterMember> members; // sorted by id

    bool operator==(const RosterRecord&) const = default;
};

/** The store key of a domain's row. */
std::string rosterKey(const DomainId& domain);

/** Serializes a record to the JSON text that is stored. */
std::string toJson(const RosterRecord& record);

/** Parses the text of toJson(); nullopt and MalformedRequest if it is not a roster record. */
std::optional<RosterRecord> parseRosterRecord(const std::string& json, Reason& reason);

/** The member's entry, or nullptr. */
const RosterMember* findMember(const RosterRecord& record, const MemberId& id);

/** The ownership view that the record defines. */
OwnershipView viewOf(const RosterRecord& record);

/**
 * Earlier incarnations of a process that are certain to have ended: their entries have the address and host
 * of this process, and a process stays bound to its address for its lifetime.
 */
std::vector<MemberId> endedPredecessors(
    const RosterRecord& record, const MemberId& self, const std::string& address, const std::string& host);

/** True if all members have confirmed the record's epoch. */
bool isInEffect(const RosterRecord& record);

/** Intervals of the membership protocol and the bounds that its safety depends on. */
struct RosterTiming {
    Duration lease = 6s;
    Duration renewalInterval = 2s;
    Duration readInterval = 500ms;
    Duration writeInterval = 200ms; // minimum time between two writes of a member
    Duration promiseDuration = 6s;
    Duration promiseInterval = 1s; // time between two requests while renewals fail
    Duration maxLeaseExtension = 600s; // longest extension of a lease by promises
    Duration maxReadGap = 2s; // a longer gap between reads restarts the observation of other leases
    Duration maxMessageDelay = 250ms; // upper bound from send to arrival
    Duration maxSendDelay = 500ms; // upper bound from mayAct() to the send that it permits
    std::int64_t maxClockErrorPpm = 1000; // upper bound of a clock's rate error

    bool operator==(const RosterTiming&) const = default;
};

/**
 * Safety rules of the protocol. Production code keeps the defaults; tests disable single rules to verify that
 * the invariant checker detects the resulting fault.
 */
struct RosterRules {
    bool checkLeaseBeforeSend = true;
    bool leaseStartsAtSend = true;
    bool honourPromises = true;
    bool awaitConfirmations = true;
    bool awaitMessageArrival = true; // confirm an epoch only after earlier sends have arrived
    // Members that never saw this one may extend their leases without its promise, so they are removed only
    // after lease and maxLeaseExtension.
    bool waitForUnawareMembers = true;
    bool refusePromiseDuringRemoval = true; // no promise while an own removal may still be applied

    bool operator==(const RosterRules&) const = default;
};

/**
 * The time to wait on one clock until `span` has passed on any other clock and all messages sent within it
 * have arrived, under the bounds of `timing`.
 */
Duration conservativeWait(const RosterTiming& timing, Duration span);

namespace roster {

/** Drives reads, writes and heartbeats. Must be passed at least every 100 ms. */
struct Tick {
    bool operator==(const Tick&) const = default;
};
/** The answer to a read; no record and version 0 if the row doesn't exist. */
struct ReadAnswered {
    std::optional<RosterRecord> record;
    std::uint64_t version = 0;
    bool operator==(const ReadAnswered&) const = default;
};
/** A read failed or timed out. */
struct ReadFailed {
    bool operator==(const ReadFailed&) const = default;
};
/** The write was applied and gave the row this version. */
struct WriteDone {
    std::uint64_t version = 0;
    bool operator==(const WriteDone&) const = default;
};
/** The write was not applied because of a version conflict; carries the current row. */
struct WriteConflicted {
    std::optional<RosterRecord> record;
    std::uint64_t version = 0;
    bool operator==(const WriteConflicted&) const = default;
};
/** The answer to the write was lost: it may have been applied, may still be, or may never be. */
struct WriteUnknown {
    bool operator==(const WriteUnknown&) const = default;
};
/** A peer's heartbeat. */
struct HeartbeatReceived {
    MemberId from;
    std::uint64_t version = 0; // newest row version that the peer has seen
    bool leaving = false;
    bool operator==(const HeartbeatReceived&) const = default;
};
/** A peer asks for a promise that it is not removed for `length` from now on. */
struct PromiseRequested {
    MemberId from;
    std::uint64_t request = 0;
    Duration length {};
    bool operator==(const PromiseRequested&) const = default;
};
/** A peer has granted the promise request of this number. */
struct PromiseGranted {
    MemberId from;
    std::uint64_t request = 0;
    bool operator==(const PromiseGranted&) const = default;
};
/** This process is to drain and leave the roster. */
struct DrainRequested {
    bool operator==(const DrainRequested&) const = default;
};
/** The VMs of these members are leaving according to the platform's list, which lags behind. */
struct PlatformListed {
    std::vector<MemberId> leaving;
    bool operator==(const PlatformListed&) const = default;
};

/**
 * The process of an earlier incarnation is known to have ended, so that its lease need not expire first: for
 * example, this process has bound the port that the earlier one on the same VM kept bound while it ran.
 */
struct PredecessorEnded {
    MemberId member;
    bool operator==(const PredecessorEnded&) const = default;
};

/** Read the roster row. Answered by ReadAnswered or ReadFailed. */
struct ReadRow {
    bool operator==(const ReadRow&) const = default;
};
/** Write the row if it has the expected version. Answered by WriteDone, WriteConflicted or WriteUnknown. */
struct WriteRow {
    std::uint64_t expectedVersion = 0;
    RosterRecord record;
    bool operator==(const WriteRow&) const = default;
};
/** Send a heartbeat. */
struct SendHeartbeat {
    MemberId to;
    std::uint64_t version = 0;
    bool leaving = false;
    bool operator==(const SendHeartbeat&) const = default;
};
/** Send a promise request. */
struct SendPromiseRequest {
    MemberId to;
    std::uint64_t request = 0;
    Duration length {};
    bool operator==(const SendPromiseRequest&) const = default;
};
/** Send a promise. */
struct SendPromise {
    MemberId to;
    std::uint64_t request = 0;
    bool operator==(const SendPromise&) const = default;
};
/** Publish the view in effect to the other services; `removed`: this member has left and can't come back. */
struct PublishOwnership {
    OwnershipView view;
    bool removed = false;
    bool operator==(const PublishOwnership&) const = default;
};

} // namespace roster

using RosterEvent = std::variant<roster::Tick, roster::ReadAnswered, roster::ReadFailed, roster::WriteDone,
    roster::WriteConflicted, roster::WriteUnknown, roster::HeartbeatReceived, roster::PromiseRequested,
    roster::PromiseGranted, roster::DrainRequested, roster::PlatformListed, roster::PredecessorEnded>;

using RosterAction = std::variant<roster::ReadRow, roster::WriteRow, roster::SendHeartbeat,
    roster::SendPromiseRequest, roster::SendPromise, roster::PublishOwnership>;

/** The last renewal counter seen of another member, and since when it has not changed. */
struct RenewalObservation {
    std::uint64_t renewal = 0;
    Instant since {};
    bool operator==(const RenewalObservation&) const = default;
};

/** A renewal that has been sent and not yet been seen in the row. */
struct RenewalAttempt {
    std::uint64_t renewal = 0;
    Instant sentAt {};
    bool operator==(const RenewalAttempt&) const = default;
};

/** A removal that was sent with an expected row version and may still be applied. */
struct SentRemoval {
    MemberId member;
    std::uint64_t version = 0;
    bool operator==(const SentRemoval&) const = default;
};

/**
 * The state of the membership and ownership protocol in one process. The caller sets domain, self, address,
 * host, timing and rules; step() maintains the rest.
 */
struct RosterState {
    DomainId domain;
    MemberId self;
    std::string address; // of this process, for its roster entry
    std::string host; // of this process, for its roster entry
    RosterTiming timing;
    RosterRules rules;

    std::optional<RosterRecord> known; // newest row seen
    std::uint64_t version = 0;
    bool rowSeen = false; // a read has been answered, even if there is no row
    bool joined = false;
    bool removed = false;
    bool drainRequested = false;

    // This member may act on the resources that it owns in every view of the list. The first view was in
    // effect; the others are of later epochs, which this member already complies with and which may come
    // into effect at any time.
    std::vector<OwnershipView> heldViews;
    std::uint64_t releasedEpoch = 0; // newest epoch for which the resources that move away were released
    Instant releasedAt {};

    std::optional<Instant> leaseStart;
    std::uint64_t lastRenewal = 0;
    std::vector<RenewalAttempt> renewalAttempts;
    std::vector<SentRemoval> sentRemovals;
    std::optional<RosterRecord> writeInFlight;
    bool readInFlight = false;
    bool readWanted = true;
    std::optional<Instant> lastWrite;
    std::optional<Instant> lastRead; // when the latest read was sent
    std::optional<Instant> lastReadAnswer;
    std::optional<Instant> lastHeartbeat;
    std::optional<Instant> lastPromiseRequest;

    std::map<MemberId, RenewalObservation> observations;
    std::map<MemberId, Instant> endedSince; // members whose process is known to have ended
    std::map<MemberId, Instant> promisesGiven; // this member does not remove the other before this time
    std::map<MemberId, Instant> promisesHeld; // the other member does not remove this one before this time
    std::uint64_t lastRequest = 0;
    std::map<std::uint64_t, Instant> requestsSent;
    FailureDetector detector;

    bool operator==(const RosterState&) const = default;
};

/**
 * Applies one event and returns the actions to perform, in order.
 *
 * Usage: `for (auto& action : step(state, roster::Tick {}, now)) perform(action);`
 */
std::vector<RosterAction> step(RosterState& state, const RosterEvent& event, Instant now);

/** The time until which this member is covered by its lease or by promises of all other members. */
std::optional<Instant> coveredUntil(const RosterState& state);

/** True if the lease or the promises cover this member at `now`. */
bool isCovered(const RosterState& state, Instant now);

/**
 * True if this member owns the resource in the epoch in effect and in every later epoch that it complies
 * with.
 */
bool ownsInEveryView(const RosterState& state, const OwnedResource& resource);

/**
 * isCovered() and ownsInEveryView(): must be checked immediately before each send for a resource. The send
 * must follow within `maxSendDelay`; the receiver refuses a later one by its fencing token.
 */
bool mayAct(const RosterState& state, const OwnedResource& resource, Instant now);

/** The epoch to put into messages; 0 if this member may not act at all. */
std::uint64_t fencingToken(const RosterState& state);

} // namespace quay
