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

/** Whether a member takes part in the division of executors. */
enum class MemberState {
    Active,
    Draining, // owns nothing once the epoch is in effect, then removes itself
};

/** One member's part of the roster row. */
struct RosterMember {
    MemberId id;
    MemberState state = MemberState::Active;
    std::uint64_t renewal = 0; // rises with each of the member's own writes
    std::int64_t leaseMs = 0;
    std::uint64_t joinedEpoch = 0;
    std::uint64_t confirmedEpoch = 0; // latest epoch for which the member gave up what moved away
    std::string address {}; // where peers reach it, "ip:port"; bound for as long as the process lives
    std::string host {}; // the booted kernel and network namespace that `address` belongs to; may be empty

    bool operator==(const RosterMember&) const = default;
};

/** The store row of one failure domain. Every change of members or states raises the epoch. */
struct RosterRecord {
    DomainId domain;
    std::uint64_t epoch = 0;
    MemberId leader;
    std::vector<RosterMember> members; // sorted by id

    bool operator==(const RosterRecord&) const = default;
};

/** The store key of a domain's row. */
std::string rosterKey(const DomainId& domain);

/** The JSON text of a record, as stored. */
std::string toJson(const RosterRecord& record);

/** Reads toJson()'s text back; nullopt with MalformedRequest if it is not a record. */
std::optional<RosterRecord> parseRosterRecord(const std::string& json, Reason& reason);

/** The member's entry, or nullptr. */
const RosterMember* findMember(const RosterRecord& record, const MemberId& id);

/** The division of executors that the record stands for. */
OwnershipView viewOf(const RosterRecord& record);

/**
 * Earlier incarnations of a process that have surely ended: their entries name an address of the same booted
 * kernel that this process holds now, and a process holds its address for as long as it lives.
 */
std::vector<MemberId> endedPredecessors(
    const RosterRecord& record, const MemberId& self, const std::string& address, const std::string& host);

/** True if every member has confirmed the record's epoch. */
bool isInEffect(const RosterRecord& record);

/** Times of the protocol and the bounds that its safety rests on. */
struct RosterTiming {
    Duration lease = 6s;
    Duration renewalInterval = 2s;
    Duration readInterval = 500ms;
    Duration writeInterval = 200ms; // least time between two writes of one member
    Duration promiseDuration = 6s;
    Duration promiseInterval = 1s; // time between two requests during an outage
    Duration maxLeaseExtension = 600s; // longest service past a lease on promises
    Duration maxReadGap = 2s; // observation of others starts anew after so long without a read
    Duration maxMessageDelay = 250ms; // bound from send to arrival
    Duration maxSendDelay = 500ms; // bound from mayAct() to the send it allows
    std::int64_t maxClockErrorPpm = 1000; // bound of a clock's rate error

    bool operator==(const RosterTiming&) const = default;
};

/** For tests of the checker: each false breaks one rule of the protocol. */
struct RosterRules {
    bool checkLeaseBeforeSend = true;
    bool leaseStartsAtSend = true;
    bool honourPromises = true;
    bool awaitConfirmations = true;
    bool awaitMessageArrival = true; // of what was sent before giving way
    bool waitForUnawareMembers = true; // members that never learnt of this one, up to the extension limit
    bool refusePromiseDuringRemoval = true; // no promise while an own removal may still take effect

    bool operator==(const RosterRules&) const = default;
};

/** The waiting time, on any clock, after which a span on any other clock has ended and its messages arrived.
 */
Duration conservativeWait(const RosterTiming& timing, Duration span);

namespace roster {

/** To be sent at least every 100 ms. */
struct Tick {
    bool operator==(const Tick&) const = default;
};
/** A read was answered; no record and version 0 if the row doesn't exist. */
struct ReadAnswered {
    std::optional<RosterRecord> record;
    std::uint64_t version = 0;
    bool operator==(const ReadAnswered&) const = default;
};
/** A read failed or timed out. */
struct ReadFailed {
    bool operator==(const ReadFailed&) const = default;
};
/** The write took effect as the given row version. */
struct WriteDone {
    std::uint64_t version = 0;
    bool operator==(const WriteDone&) const = default;
};
/** The write surely had no effect; the row as it is. */
struct WriteConflicted {
    std::optional<RosterRecord> record;
    std::uint64_t version = 0;
    bool operator==(const WriteConflicted&) const = default;
};
/** The answer was lost: the write took effect, did not, or still may. */
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
/** A peer asks not to be removed for `length` from now on. */
struct PromiseRequested {
    MemberId from;
    std::uint64_t request = 0;
    Duration length {};
    bool operator==(const PromiseRequested&) const = default;
};
/** A peer has promised, by the request with this number. */
struct PromiseGranted {
    MemberId from;
    std::uint64_t request = 0;
    bool operator==(const PromiseGranted&) const = default;
};
/** This process is to leave. */
struct DrainRequested {
    bool operator==(const DrainRequested&) const = default;
};
/** The platform's lagging list says that these members' VMs leave. */
struct PlatformListed {
    std::vector<MemberId> leaving;
    bool operator==(const PlatformListed&) const = default;
};

/**
 * The process of an earlier incarnation has ended, known without any waiting: for example this
 * process holds the listening port that the earlier one on the same VM held while it lived.
 */
struct PredecessorEnded {
    MemberId member;
    bool operator==(const PredecessorEnded&) const = default;
};

/** Read the roster row. Every read is answered by ReadAnswered or ReadFailed. */
struct ReadRow {
    bool operator==(const ReadRow&) const = default;
};
/** Write the row if it still has the version. Answered by WriteDone, WriteConflicted or WriteUnknown. */
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
/** Tell the other services which view is in effect; `removed` means that this member is out for good. */
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

/** Since when another member's renewal counter has been seen unchanged. */
struct RenewalObservation {
    std::uint64_t renewal = 0;
    Instant since {};
    bool operator==(const RenewalObservation&) const = default;
};

/** A renewal whose effect has not been seen yet. */
struct RenewalAttempt {
    std::uint64_t renewal = 0;
    Instant sentAt {};
    bool operator==(const RenewalAttempt&) const = default;
};

/** A removal that was sent against a row version and may still take effect. */
struct SentRemoval {
    MemberId member;
    std::uint64_t version = 0;
    bool operator==(const SentRemoval&) const = default;
};

/** The ownership protocol of one process. Set domain, self, its endpoint and timing; step() keeps the rest.
 */
struct RosterState {
    DomainId domain;
    MemberId self;
    std::string address; // of this process, for its roster entry
    std::string host; // as above
    RosterTiming timing;
    RosterRules rules;

    std::optional<RosterRecord> known; // newest row seen
    std::uint64_t version = 0;
    bool rowSeen = false; // a read has been answered, even if there is no row
    bool joined = false;
    bool removed = false;
    bool drainRequested = false;

    // What this member may act on: resources that it owns in every view of the list. The first
    // was in effect; the others are later epochs that it gave way to and that may come into effect.
    std::vector<OwnershipView> heldViews;
    std::uint64_t yieldedEpoch = 0; // newest epoch that `heldViews` gives way to
    Instant yieldedAt {};

    std::optional<Instant> leaseStart;
    std::uint64_t lastRenewal = 0;
    std::vector<RenewalAttempt> renewalAttempts;
    std::vector<SentRemoval> sentRemovals;
    std::optional<RosterRecord> writeInFlight;
    bool readInFlight = false;
    bool readWanted = true;
    std::optional<Instant> lastWrite;
    std::optional<Instant> lastRead; // sent
    std::optional<Instant> lastReadAnswer;
    std::optional<Instant> lastHeartbeat;
    std::optional<Instant> lastPromiseRequest;

    std::map<MemberId, RenewalObservation> observations;
    std::map<MemberId, Instant> endedSince; // members whose process is known to have ended
    std::map<MemberId, Instant> promisesGiven; // not to remove the member before this time
    std::map<MemberId, Instant> promisesHeld; // the member won't remove this one before this time
    std::uint64_t lastRequest = 0;
    std::map<std::uint64_t, Instant> requestsSent;
    FailureDetector detector;

    bool operator==(const RosterState&) const = default;
};

/**
 * Takes one event and returns what is to be done, in order.
 *
 * Usage: `for (auto& action : step(state, roster::Tick {}, now)) perform(action);`
 */
std::vector<RosterAction> step(RosterState& state, const RosterEvent& event, Instant now);

/** The time until which this member's lease, or the promises of all others, surely cover it. */
std::optional<Instant> coveredUntil(const RosterState& state);

/** True if the lease or promises cover this member at `now`. */
bool isCovered(const RosterState& state, Instant now);

/** True if the resource is this member's in the epoch in effect and in every later one that it gave way to.
 */
bool ownsInEveryView(const RosterState& state, const OwnedResource& resource);

/**
 * isCovered() and ownsInEveryView(): the check to make immediately before each send for a resource. The send
 * must follow within `maxSendDelay`; a later one is to be refused by its fencing token.
 */
bool mayAct(const RosterState& state, const OwnedResource& resource, Instant now);

/** The epoch to put into sends; 0 if this member may not act at all. */
std::uint64_t fencingToken(const RosterState& state);

} // namespace quay
