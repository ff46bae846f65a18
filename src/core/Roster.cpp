#include "quay/core/Roster.h"

#include <algorithm>
#include <utility>

namespace quay {

namespace {

using Actions = std::vector<RosterAction>;

constexpr std::int64_t million = 1'000'000;
constexpr std::size_t maxPromiseRequestsInFlight = 16;

bool isDue(const std::optional<Instant>& last, Duration interval, Instant now)
{
    return !last || now - *last >= interval;
}

RosterMember* editMember(RosterRecord& record, const MemberId& id)
{
    const auto it = std::find_if(
        record.members.begin(), record.members.end(), [&](const auto& member) { return member.id == id; });
    return it == record.members.end() ? nullptr : &*it;
}

const RosterMember* ownEntry(const RosterState& state)
{
    return state.known ? findMember(*state.known, state.self) : nullptr;
}

// --- applying a row ---

void resolveRenewals(RosterState& state, const RosterMember& own, Instant now)
{
    // Each attempt has its own number, so the row shows which one was applied, however late it is read. The
    // lease starts when that write was sent, not when its answer arrived.
    for (const auto& attempt : state.renewalAttempts) {
        if (attempt.renewal != own.renewal)
            continue;
        const auto start = state.rules.leaseStartsAtSend ? attempt.sentAt : now;
        state.leaseStart = std::max(state.leaseStart.value_or(start), start);
    }
    std::erase_if(state.renewalAttempts, [&](const auto& it) { return it.renewal <= own.renewal; });
}

void observeMember(RosterState& state, const RosterMember& member, bool restartObservation, Instant now)
{
    auto [it, isNew] = state.observations.try_emplace(member.id, RenewalObservation { member.renewal, now });
    if (!isNew && (restartObservation || it->second.renewal != member.renewal))
        it->second = { member.renewal, now };
}

// After a store outage the other members get time to renew before their leases count as expired.
void observeRenewals(RosterState& state, Instant now)
{
    const bool restartObservation = isDue(state.lastReadAnswer, state.timing.maxReadGap, now);
    state.lastReadAnswer = now;
    for (const auto& member : state.known->members)
        observeMember(state, member, restartObservation, now);
    const auto isGone = [&](const auto& entry) { return !findMember(*state.known, entry.first); };
    std::erase_if(state.observations, isGone);
    std::erase_if(state.promisesGiven, isGone);
    std::erase_if(state.promisesHeld, isGone);
    std::erase_if(state.detector.peers, isGone);
}

void publish(RosterState& state, Actions& actions)
{
    OwnershipView view;
    if (!state.heldViews.empty())
        view = state.heldViews.front();
    actions.push_back(roster::PublishOwnership { view, state.removed });
}

void leavePermanently(RosterState& state, Actions& actions)
{
    state.removed = true;
    state.heldViews.clear();
    publish(state, actions);
}

void activateView(RosterState& state, Actions& actions)
{
    const OwnershipView view = viewOf(*state.known);
    if (state.heldViews.size() == 1 && state.heldViews.front() == view)
        return;
    state.heldViews = { view };
    publish(state, actions);
}

// Complies with a pending epoch: keeps acting on the resources that stay with this member and stops acting on
// those that move away.
void releaseForPendingEpoch(RosterState& state, Instant now)
{
    if (state.releasedEpoch >= state.known->epoch)
        return;
    state.releasedEpoch = state.known->epoch;
    state.releasedAt = now;
    if (!state.heldViews.empty())
        state.heldViews.push_back(viewOf(*state.known));
}

void dropObsoleteRemovals(RosterState& state)
{
    std::erase_if(state.sentRemovals, [&](const auto& it) { return it.version < state.version; });
}

void applyRow(RosterState& state, const std::optional<RosterRecord>& record, std::uint64_t version,
    Instant now, Actions& actions)
{
    // Answers can arrive out of order; an older row is ignored.
    if (state.removed || version < state.version)
        return;
    state.rowSeen = true;
    state.version = version;
    state.known = record;
    if (!record)
        return;
    dropObsoleteRemovals(state);
    observeRenewals(state, now);
    const auto* own = ownEntry(state);
    if (!own) {
        if (state.joined)
            leavePermanently(state, actions);
        return;
    }
    state.joined = true;
    resolveRenewals(state, *own, now);
    if (isInEffect(*state.known) || !state.rules.awaitConfirmations)
        activateView(state, actions);
    else
        releaseForPendingEpoch(state, now);
}

// --- composing a write ---

// A member that has confirmed an epoch with this member in it can extend its lease only with a promise of
// this member. One that has not may be extending its lease without it, up to maxLeaseExtension.
bool knowsThisMember(const RosterState& state, const RosterMember& other)
{
    const auto* own = ownEntry(state);
    return own && other.confirmedEpoch >= own->joinedEpoch;
}

bool hasPromised(const RosterState& state, const MemberId& member, Instant now)
{
    const auto it = state.promisesGiven.find(member);
    return state.rules.honourPromises && it != state.promisesGiven.end() && now < it->second;
}

// For a process known to have ended it is enough that its last messages have arrived; its lease need not
// expire.
bool isProcessGone(const RosterState& state, const MemberId& member, Instant now)
{
    const auto it = state.endedSince.find(member);
    return it != state.endedSince.end() && now - it->second >= conservativeWait(state.timing, {});
}

bool isLeaseExpired(const RosterState& state, const RosterMember& member, Instant now)
{
    const auto it = state.observations.find(member.id);
    if (member.id == state.self || it == state.observations.end())
        return false;
    if (hasPromised(state, member.id, now))
        return false;
    Duration span = std::chrono::milliseconds(member.leaseMs);
    if (state.rules.waitForUnawareMembers && !knowsThisMember(state, member))
        span += state.timing.maxLeaseExtension;
    return now - it->second.since >= conservativeWait(state.timing, span);
}

std::vector<MemberId> expiredMembers(const RosterState& state, Instant now)
{
    std::vector<MemberId> expired;
    for (const auto& member : state.known->members) {
        if (isProcessGone(state, member.id, now) || isLeaseExpired(state, member, now))
            expired.push_back(member.id);
    }
    return expired;
}

void raiseEpoch(RosterRecord& record)
{
    ++record.epoch;
    const auto owners = viewOf(record).owners;
    const bool leaderStays = std::find(owners.begin(), owners.end(), record.leader) != owners.end();
    if (!leaderStays)
        record.leader = rendezvousChoice(owners, "lead/" + record.domain.text);
}

void addSelf(const RosterState& state, RosterRecord& record)
{
    RosterMember member;
    member.id = state.self;
    member.leaseMs = toMilliseconds(state.timing.lease);
    member.address = state.address;
    member.host = state.host;
    record.members.push_back(member);
    std::sort(record.members.begin(), record.members.end(),
        [](const auto& a, const auto& b) { return a.id < b.id; });
    raiseEpoch(record);
    // A new member owned nothing before, so it can confirm the epoch at once.
    auto* own = editMember(record, state.self);
    own->joinedEpoch = record.epoch;
    own->confirmedEpoch = record.epoch;
}

void removeMembers(RosterRecord& record, const std::vector<MemberId>& ids)
{
    std::erase_if(record.members,
        [&](const auto& member) { return std::find(ids.begin(), ids.end(), member.id) != ids.end(); });
    raiseEpoch(record);
}

bool mayConfirm(const RosterState& state, const RosterMember& own, Instant now)
{
    // Messages sent before the resources were released must have arrived before the next owner may start.
    const auto& record = *state.known;
    const bool hasArrived
        = !state.rules.awaitMessageArrival || now - state.releasedAt >= conservativeWait(state.timing, {});
    return own.confirmedEpoch < record.epoch && state.releasedEpoch == record.epoch && hasArrived;
}

bool mayLeave(const RosterState& state, const RosterMember& own)
{
    return own.state == MemberState::Draining && isInEffect(*state.known);
}

// True for a drain before the join. A join whose answer was lost has been read back by then; if it is applied
// even later, the others remove the entry like that of a crashed member.
bool mayLeaveBeforeJoin(const RosterState& state)
{
    return state.drainRequested && !state.joined && !state.writeInFlight && !state.readWanted;
}

// The row that this member wants to write; nullopt if no change is needed.
std::optional<RosterRecord> composeMemberWrite(const RosterState& state, const RosterMember& own, Instant now)
{
    RosterRecord next = *state.known;
    auto* edited = editMember(next, state.self);
    bool changed = isDue(state.leaseStart, state.timing.renewalInterval, now);
    if (mayConfirm(state, own, now)) {
        edited->confirmedEpoch = next.epoch;
        changed = true;
    }
    const bool startsDraining = state.drainRequested && own.state == MemberState::Active;
    if (startsDraining)
        edited->state = MemberState::Draining;
    std::vector<MemberId> leavers = expiredMembers(state, now);
    if (mayLeave(state, own))
        leavers.push_back(state.self);
    if (!leavers.empty())
        removeMembers(next, leavers);
    else if (startsDraining)
        raiseEpoch(next);
    if (!changed && !startsDraining && leavers.empty())
        return std::nullopt;
    return next;
}

std::optional<RosterRecord> composeJoinWrite(const RosterState& state)
{
    if (state.drainRequested)
        return std::nullopt;
    RosterRecord next = state.known.value_or(RosterRecord { state.domain, 0, {}, {} });
    addSelf(state, next);
    return next;
}

void recordSentRemovals(RosterState& state, const RosterRecord& next)
{
    if (!state.known)
        return;
    for (const auto& member : state.known->members) {
        if (!findMember(next, member.id))
            state.sentRemovals.push_back({ member.id, state.version });
    }
}

void writeIfNeeded(RosterState& state, Instant now, Actions& actions)
{
    if (!state.rowSeen || state.writeInFlight || !isDue(state.lastWrite, state.timing.writeInterval, now))
        return;
    // After a write of unknown outcome the row is read before the next write.
    if (state.readWanted)
        return;
    const auto* own = ownEntry(state);
    auto next = own ? composeMemberWrite(state, *own, now) : composeJoinWrite(state);
    if (!next)
        return;
    if (auto* edited = editMember(*next, state.self)) {
        edited->renewal = ++state.lastRenewal;
        state.renewalAttempts.push_back({ edited->renewal, now });
    }
    recordSentRemovals(state, *next);
    state.lastWrite = now;
    state.writeInFlight = next;
    actions.push_back(roster::WriteRow { state.version, std::move(*next) });
}

// --- other periodic actions ---

void readIfDue(RosterState& state, Instant now, Actions& actions)
{
    if (state.readInFlight)
        return;
    const bool pending = state.known && !isInEffect(*state.known);
    const auto interval
        = state.readWanted || pending ? state.timing.writeInterval : state.timing.readInterval;
    if (!isDue(state.lastRead, interval, now))
        return;
    state.readInFlight = true;
    state.lastRead = now;
    actions.push_back(roster::ReadRow {});
}

template <typename Visit> void forEachPeer(const RosterState& state, Visit visit)
{
    if (!state.known)
        return;
    for (const auto& member : state.known->members) {
        if (member.id != state.self)
            visit(member.id);
    }
}

void sendHeartbeats(RosterState& state, Instant now, Actions& actions)
{
    if (!isDue(state.lastHeartbeat, state.detector.heartbeatInterval, now))
        return;
    state.lastHeartbeat = now;
    forEachPeer(state, [&](const MemberId& peer) {
        actions.push_back(roster::SendHeartbeat { peer, state.version, state.drainRequested });
    });
}

void requestPromises(RosterState& state, Instant now, Actions& actions)
{
    const bool renewalsFail = state.leaseStart && now - *state.leaseStart > state.timing.lease / 2;
    if (!renewalsFail || state.heldViews.empty()
        || !isDue(state.lastPromiseRequest, state.timing.promiseInterval, now))
        return;
    state.lastPromiseRequest = now;
    state.requestsSent[++state.lastRequest] = now;
    if (state.requestsSent.size() > maxPromiseRequestsInFlight)
        state.requestsSent.erase(state.requestsSent.begin());
    forEachPeer(state, [&](const MemberId& peer) {
        actions.push_back(
            roster::SendPromiseRequest { peer, state.lastRequest, state.timing.promiseDuration });
    });
}

bool removalMayTakeEffect(const RosterState& state, const MemberId& member)
{
    const bool wasSent = std::any_of(state.sentRemovals.begin(), state.sentRemovals.end(),
        [&](const auto& removal) { return removal.member == member; });
    return state.rules.refusePromiseDuringRemoval && wasSent;
}

// --- events ---

void handle(RosterState& state, const roster::Tick&, Instant now, Actions& actions)
{
    recordTick(state.detector, now);
    if (mayLeaveBeforeJoin(state)) {
        leavePermanently(state, actions);
        return;
    }
    readIfDue(state, now, actions);
    writeIfNeeded(state, now, actions);
    sendHeartbeats(state, now, actions);
    requestPromises(state, now, actions);
}

void handle(RosterState& state, const roster::ReadAnswered& event, Instant now, Actions& actions)
{
    state.readInFlight = false;
    state.readWanted = false;
    applyRow(state, event.record, event.version, now, actions);
}

void handle(RosterState& state, const roster::ReadFailed&, Instant, Actions&) { state.readInFlight = false; }

void handle(RosterState& state, const roster::WriteDone& event, Instant now, Actions& actions)
{
    const auto written = std::exchange(state.writeInFlight, std::nullopt);
    if (written)
        applyRow(state, written, event.version, now, actions);
    // Send the next heartbeat at once: it carries the row version, so that the others confirm a new epoch
    // sooner.
    if (written && !isInEffect(*written))
        state.lastHeartbeat.reset();
}

void handle(RosterState& state, const roster::WriteConflicted& event, Instant now, Actions& actions)
{
    state.writeInFlight.reset();
    applyRow(state, event.record, event.version, now, actions);
}

void handle(RosterState& state, const roster::WriteUnknown&, Instant, Actions&)
{
    state.writeInFlight.reset();
    state.readWanted = true;
}

void handle(RosterState& state, const roster::HeartbeatReceived& event, Instant now, Actions&)
{
    recordHeartbeat(state.detector, event.from, event.leaving, now);
    if (event.version > state.version)
        state.readWanted = true;
}

void handle(RosterState& state, const roster::PromiseRequested& event, Instant now, Actions& actions)
{
    if (!ownEntry(state) || !findMember(*state.known, event.from) || removalMayTakeEffect(state, event.from))
        return;
    auto& until = state.promisesGiven[event.from];
    until = std::max(until, now + conservativeWait(state.timing, event.length));
    actions.push_back(roster::SendPromise { event.from, event.request });
}

void handle(RosterState& state, const roster::PromiseGranted& event, Instant, Actions&)
{
    const auto sent = state.requestsSent.find(event.request);
    if (sent == state.requestsSent.end())
        return;
    auto& until = state.promisesHeld[event.from];
    until = std::max(until, sent->second + state.timing.promiseDuration);
}

void handle(RosterState& state, const roster::DrainRequested&, Instant, Actions&)
{
    state.drainRequested = true;
    state.lastHeartbeat.reset(); // sends a heartbeat with the leaving flag at the next tick
}

void handle(RosterState& state, const roster::PlatformListed& event, Instant, Actions&)
{
    for (const auto& member : event.leaving) {
        if (member == state.self)
            state.drainRequested = true;
        else
            markLeaving(state.detector, member);
    }
}

void handle(RosterState& state, const roster::PredecessorEnded& event, Instant now, Actions&)
{
    if (event.member != state.self)
        state.endedSince.try_emplace(event.member, now);
}

} // namespace

Duration conservativeWait(const RosterTiming& timing, Duration span)
{
    // The other clock may be slow and this one fast: (1 + e) / (1 - e) < 1 + 3e for small e.
    const Duration padded = span + timing.maxMessageDelay + timing.maxSendDelay;
    return padded + padded * 3 * timing.maxClockErrorPpm / million;
}

std::vector<RosterAction> step(RosterState& state, const RosterEvent& event, Instant now)
{
    Actions actions;
    if (state.removed)
        return actions;
    std::visit([&](const auto& it) { handle(state, it, now, actions); }, event);
    return actions;
}

std::optional<Instant> coveredUntil(const RosterState& state)
{
    if (!state.leaseStart)
        return std::nullopt;
    const Instant leaseEnd = *state.leaseStart + state.timing.lease;
    Instant promised = leaseEnd + state.timing.maxLeaseExtension;
    forEachPeer(state, [&](const MemberId& peer) {
        const auto it = state.promisesHeld.find(peer);
        promised = std::min(promised, it == state.promisesHeld.end() ? leaseEnd : it->second);
    });
    return std::max(leaseEnd, promised);
}

bool isCovered(const RosterState& state, Instant now)
{
    const auto until = coveredUntil(state);
    return until && (now < *until || !state.rules.checkLeaseBeforeSend);
}

bool ownsInEveryView(const RosterState& state, const OwnedResource& resource)
{
    if (state.heldViews.empty())
        return false;
    return std::all_of(state.heldViews.begin(), state.heldViews.end(),
        [&](const OwnershipView& view) { return ownerOf(view, resource) == state.self; });
}

bool mayAct(const RosterState& state, const OwnedResource& resource, Instant now)
{
    return isCovered(state, now) && ownsInEveryView(state, resource);
}

std::uint64_t fencingToken(const RosterState& state)
{
    return state.heldViews.empty() ? 0 : state.heldViews.front().epoch;
}

} // namespace quay
