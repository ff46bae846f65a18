#include "quay/core/ConfigRollout.h"

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

namespace quay {

namespace {

using Actions = std::vector<RolloutAction>;

std::uint64_t acceptedVersion(const RolloutState& state) { return state.view.accepted.row.document.version; }
std::uint64_t preparedVersion(const RolloutState& state) { return state.view.prepared.row.document.version; }

std::uint64_t newestVersion(const RolloutState& state)
{
    return std::max(acceptedVersion(state), preparedVersion(state));
}

std::uint64_t newRequest(RolloutState& state, Instant now)
{
    const auto request = state.nextRequest++;
    state.sentAt[request] = now;
    return request;
}

// Removes a request in flight and returns the time just before it was sent; nullopt for a duplicate or late
// answer.
std::optional<Instant> finishRequest(RolloutState& state, std::uint64_t request)
{
    const auto found = state.sentAt.find(request);
    if (found == state.sentAt.end())
        return std::nullopt;
    const auto at = found->second;
    state.sentAt.erase(found);
    return at;
}

void expireOldRequests(RolloutState& state, Instant now)
{
    std::erase_if(
        state.sentAt, [&](const auto& entry) { return now - entry.second > state.limits.stalenessBound; });
    std::erase_if(
        state.confirmsInFlight, [&](const auto& entry) { return !state.sentAt.contains(entry.first); });
}

// Keeps the row with the higher store version, so that late and duplicate answers have no effect.
void mergeRow(StoredRow& known, const StoredRow& read, bool keepHighest)
{
    if (!keepHighest || read.storeVersion > known.storeVersion)
        known = read;
}

void mergeView(RolloutState& state, const RolloutView& view, Instant now)
{
    const auto before = preparedVersion(state);
    mergeRow(state.view.accepted, view.accepted, state.rules.keepHighest);
    mergeRow(state.view.prepared, view.prepared, state.rules.keepHighest);
    if (preparedVersion(state) != before)
        state.pendingSeenAt = now; // later than the commit, so a wait that starts here is long enough
}

// A view from before our `config/ack/` row existed is never fresh: an acceptor whose scan missed the row
// would not wait for our confirmation. The row exists since registeredAt, so a view from after that time
// includes every version that such an acceptor had prepared.
void advanceFreshness(RolloutState& state, Instant from)
{
    if (state.rules.registerFirst && (!state.registeredAt || from < *state.registeredAt))
        return;
    state.freshAsOf = state.freshAsOf ? std::max(*state.freshAsOf, from) : from;
}

void confirm(RolloutState& state, Instant now, Actions& actions)
{
    const auto request = newRequest(state, now);
    state.confirmsInFlight[request] = newestVersion(state);
    actions.emplace_back(rollout::Confirm { request, newestVersion(state) });
}

bool isVoter(const RolloutState& state)
{
    const bool first = !state.view.accepted.storeVersion; // no version was accepted yet
    const auto& row = first ? state.view.prepared.row : state.view.accepted.row;
    return row.voters.contains(state.vm);
}

bool everyViewIsConfirmedOrStale(const RolloutState& state, Instant now)
{
    if (!state.rules.waitForConfirmations || state.confirmedByAll >= preparedVersion(state))
        return true;
    return now >= state.pendingSeenAt + state.limits.stalenessBound + state.limits.driftMargin;
}

bool areLimitsSatisfied(const RolloutState& state)
{
    const auto& next = state.view.prepared.row.document;
    return !lowersLimits(state.view.accepted.row.document, next)
        || state.limitsSatisfiedVersion == next.version;
}

bool mayAccept(const RolloutState& state, Instant now)
{
    const bool promised = state.rules.keepPromises && now < state.promisedUntil;
    return state.view.hasPendingVersion() && isVoter(state) && !state.acceptRequest && !promised
        && areLimitsSatisfied(state) && everyViewIsConfirmedOrStale(state, now);
}

void tryAccept(RolloutState& state, Instant now, Actions& actions)
{
    if (!mayAccept(state, now))
        return;
    const auto request = newRequest(state, now);
    state.acceptRequest = request;
    state.acceptRow = state.view.prepared.row;
    state.acceptResolvableFrom = now + state.limits.requestLifetime;
    actions.emplace_back(rollout::Write { request, true, state.view, state.view.prepared.row });
}

void finishApply(RolloutState& state, ErrorKind kind, Actions& actions)
{
    actions.emplace_back(rollout::ApplyDone { state.apply->token, kind, newestVersion(state) });
    state.apply.reset();
    state.applyRequest.reset();
    state.applySent = false;
}

const RolloutRow& newestRow(const RolloutState& state)
{
    return state.view.hasPendingVersion() ? state.view.prepared.row : state.view.accepted.row;
}

RolloutRow preparedRow(const RolloutState& state)
{
    const auto& apply = *state.apply;
    const auto& newest = newestRow(state);
    RolloutRow row { apply.votersOnly ? newest.document : apply.document, apply.voters, apply.token };
    row.document.version = newestVersion(state) + 1;
    row.contentSince = apply.votersOnly ? newest.contentSince : row.document.version;
    if (row.voters.empty())
        row.voters = state.view.accepted.row.voters;
    return row;
}

bool applyIsVisible(const RolloutState& state)
{
    return state.view.prepared.row.requestToken == state.apply->token
        || state.view.accepted.row.requestToken == state.apply->token;
}

// All versions from contentSince on have the same document, so an operator who saw any of them has seen the
// newest document. A change of the voters must be based on the newest version, because it can be retried.
bool hasSeenDocument(const RolloutState& state)
{
    const auto baseVersion = state.apply->baseVersion;
    if (state.apply->votersOnly)
        return baseVersion == newestVersion(state);
    return baseVersion >= newestRow(state).contentSince && baseVersion <= newestVersion(state);
}

// Our write could only create version newestVersionAtApply + 1. If that is the newest version and is not
// ours, our write never took effect. If later versions have replaced it, the outcome is unknown.
ErrorKind applyFailureKind(const RolloutState& state)
{
    const bool hidden = newestVersion(state) > state.newestVersionAtApply + 1;
    return state.applySent && hidden ? ErrorKind::OutcomeUnknown : ErrorKind::VersionConflict;
}

// Called after each read from the store: the view shows whether the operator's change took effect, can be
// written now, or lost against another change.
void advanceApply(RolloutState& state, Instant now, Actions& actions)
{
    if (!state.apply || state.applyRequest)
        return;
    if (applyIsVisible(state))
        return finishApply(state, ErrorKind::None, actions);
    if (state.rules.checkBaseVersion && !hasSeenDocument(state))
        return finishApply(state, applyFailureKind(state), actions);
    const auto request = newRequest(state, now);
    state.applyRequest = request;
    state.applySent = true;
    state.newestVersionAtApply = newestVersion(state);
    actions.emplace_back(rollout::Write { request, false, state.view, preparedRow(state) });
}

// An accepting write without an answer may take effect until its lifetime ends; a read sent after that shows
// its outcome.
void resolveAccept(RolloutState& state, Instant readSentAt)
{
    if (state.acceptRequest && readSentAt >= state.acceptResolvableFrom)
        state.acceptRequest.reset();
}

// Promises to accept no version for a while. That is sound only if we know every version that we (or the
// previous process on this VM) accepted, and no accepting write of ours can still take effect.
bool tryPromise(RolloutState& state, Instant now)
{
    const bool isStoreUnresponsive
        = state.lastStoreAnswerAt && now - *state.lastStoreAnswerAt > 2 * state.limits.pollPeriod;
    const bool isResolved = state.hasPredecessorSettled && !state.acceptRequest;
    if (!isStoreUnresponsive || (state.rules.promiseOnlyIfResolved && !isResolved))
        return false;
    state.promisedUntil = std::max(state.promisedUntil, now + state.limits.promiseDuration);
    return true;
}

// The first confirmation creates our row. Confirmations are repeated until one is answered.
void poll(RolloutState& state, Instant now, Actions& actions)
{
    state.lastPollAt = now;
    if (!state.registeredAt || state.confirmed < newestVersion(state))
        confirm(state, now, actions);
    actions.emplace_back(rollout::Read { newRequest(state, now) });
    if (state.view.hasPendingVersion() && isVoter(state) && state.confirmedByAll < preparedVersion(state))
        actions.emplace_back(rollout::Scan { newRequest(state, now) });
    const auto freshnessTimeout = 2 * state.limits.pollPeriod;
    if (!state.freshAsOf || now - *state.freshAsOf > freshnessTimeout) {
        tryPromise(state, now); // our own promise counts as well if we are a voter
        actions.emplace_back(rollout::QueryPeers { newRequest(state, now) });
    }
}

void onTick(RolloutState& state, Instant now, Actions& actions)
{
    expireOldRequests(state, now);
    if (state.applyRequest && !state.sentAt.contains(*state.applyRequest))
        state.applyRequest.reset(); // the answer is lost; the next read shows the outcome
    if (!state.lastPollAt || now - *state.lastPollAt >= state.limits.pollPeriod)
        poll(state, now, actions);
    tryAccept(state, now, actions);
}

void onEvent(RolloutState& state, const rollout::Tick& /*event*/, Instant now, Actions& actions)
{
    onTick(state, now, actions);
}

void onEvent(RolloutState& state, const rollout::ReadAnswer& event, Instant now, Actions& actions)
{
    const auto sent = finishRequest(state, event.request);
    if (!sent)
        return;
    const auto before = newestVersion(state);
    mergeView(state, event.view, now);
    advanceFreshness(state, state.rules.countFromRequest ? *sent : now);
    state.lastStoreAnswerAt = now;
    state.hasPredecessorSettled
        = state.hasPredecessorSettled || *sent >= state.startedAt + state.limits.requestLifetime;
    resolveAccept(state, *sent);
    if (newestVersion(state) > before)
        confirm(state, now, actions);
    advanceApply(state, now, actions);
    tryAccept(state, now, actions);
}

void onEvent(RolloutState& state, const rollout::ScanAnswer& event, Instant now, Actions& actions)
{
    if (!finishRequest(state, event.request))
        return;
    state.lastStoreAnswerAt = now;
    if (event.confirmed.empty())
        return;
    // A scan that was sent before we knew the pending version can't show all rows confirming it.
    const auto lowest = std::min_element(event.confirmed.begin(), event.confirmed.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
    state.confirmedByAll = std::max(state.confirmedByAll, lowest->second);
    tryAccept(state, now, actions);
}

// The conflict may come from a duplicate of a message whose first copy took effect: only a read sent from now
// on shows whether we accepted the version.
void onAcceptAnswer(RolloutState& state, const rollout::WriteAnswer& event, Instant now)
{
    if (state.acceptRequest != event.request)
        return;
    if (!event.ok) {
        state.acceptResolvableFrom = std::min(state.acceptResolvableFrom, now);
        return;
    }
    state.acceptRequest.reset();
    mergeRow(state.view.accepted, { state.acceptRow, event.storeVersion }, state.rules.keepHighest);
}

void onConfirmAnswer(RolloutState& state, const rollout::WriteAnswer& event, Instant now)
{
    const auto found = state.confirmsInFlight.find(event.request);
    if (found == state.confirmsInFlight.end())
        return;
    if (event.ok) {
        state.confirmed = std::max(state.confirmed, found->second);
        state.registeredAt = state.registeredAt.value_or(now);
    }
    state.confirmsInFlight.erase(found);
}

void onEvent(RolloutState& state, const rollout::WriteAnswer& event, Instant now, Actions& actions)
{
    onAcceptAnswer(state, event, now);
    onConfirmAnswer(state, event, now);
    if (state.applyRequest == event.request)
        state.applyRequest.reset();
    if (!finishRequest(state, event.request))
        return;
    state.lastStoreAnswerAt = now;
    // The read shows the outcome of the write.
    actions.emplace_back(rollout::Read { newRequest(state, now) });
}

void onEvent(RolloutState& state, const rollout::Apply& event, Instant now, Actions& actions)
{
    if (state.apply && state.apply->votersOnly && !event.request.votersOnly)
        // The caller proposes the change again if it is still needed.
        finishApply(state, ErrorKind::VersionConflict, actions);
    if (state.apply) {
        actions.emplace_back(
            rollout::ApplyDone { event.request.token, ErrorKind::VersionConflict, newestVersion(state) });
        return;
    }
    state.apply = event.request;
    actions.emplace_back(rollout::Read { newRequest(state, now) });
}

void onEvent(RolloutState& state, const rollout::LimitsSatisfied& event, Instant now, Actions& actions)
{
    state.limitsSatisfiedVersion = std::max(state.limitsSatisfiedVersion, event.version);
    tryAccept(state, now, actions);
}

void onEvent(RolloutState& state, const rollout::PeerQuery& event, Instant now, Actions& actions)
{
    rollout::PeerAnswer answer { state.vm, event.request, state.view, std::nullopt, tryPromise(state, now) };
    if (state.freshAsOf)
        answer.age = now - *state.freshAsOf;
    actions.emplace_back(rollout::Reply { event.from, std::move(answer) });
}

// The peer sent its read `age` before its answer, and it answered after our query. The view is therefore at
// least as new as the store at (send time of the query - age).
void onEvent(RolloutState& state, const rollout::PeerAnswer& event, Instant now, Actions& actions)
{
    const auto asked = state.sentAt.find(event.request);
    if (asked == state.sentAt.end())
        return;
    const auto before = newestVersion(state);
    mergeView(state, event.view, now);
    if (event.age)
        advanceFreshness(state, asked->second - *event.age);
    if (event.promised)
        state.promises[event.from] = asked->second;
    if (newestVersion(state) > before)
        confirm(state, now, actions);
    tryAccept(state, now, actions);
}

bool hasPromised(const RolloutState& state, const std::string& voter, Instant now)
{
    if (voter == state.vm)
        return (state.hasPredecessorSettled || !state.rules.promiseOnlyIfResolved)
            && now + state.limits.driftMargin <= state.promisedUntil;
    const auto found = state.promises.find(voter);
    return found != state.promises.end()
        && now + state.limits.driftMargin <= found->second + state.limits.promiseDuration;
}

// True while every VM that could accept a version has promised not to. Each of them sent its view along with
// its promise, so we know every version accepted so far, and no other can be accepted.
bool isAcceptanceBlocked(const RolloutState& state, Instant now)
{
    const auto& voters = state.view.accepted.row.voters;
    return !voters.empty() && std::all_of(voters.begin(), voters.end(), [&](const auto& voter) {
        return hasPromised(state, voter, now);
    });
}

bool isActiveIn(const Configuration& configuration, const KeyEntry& key)
{
    return std::any_of(configuration.keys.begin(), configuration.keys.end(),
        [&](const KeyEntry& other) { return other == key && !other.withdrawn; });
}

QueueConfig intersectQueue(QueueConfig queue, const QueueConfig& next)
{
    std::erase_if(queue.teams, [&](const TeamId& team) {
        return std::find(next.teams.begin(), next.teams.end(), team) == next.teams.end();
    });
    queue.open = queue.open && next.open && !queue.teams.empty();
    return queue;
}

} // namespace

RolloutState startRollout(
    std::string vm, Instant now, RolloutLimits limits, RolloutRules rules, RolloutView storedView)
{
    RolloutState state;
    state.vm = std::move(vm);
    state.startedAt = now;
    state.limits = limits;
    state.rules = rules;
    state.pendingSeenAt = now;
    // The previous process on this VM may have promised just before it ended.
    state.promisedUntil = now + limits.promiseDuration + limits.driftMargin;
    state.view = std::move(storedView);
    if (!rules.firstReadBeforeServing)
        state.freshAsOf = now;
    return state;
}

RolloutResult step(RolloutState state, const RolloutEvent& event, Instant now)
{
    RolloutResult result { std::move(state), {} };
    std::visit([&](const auto& one) { onEvent(result.state, one, now, result.actions); }, event);
    return result;
}

bool mayServeAuthenticatedWork(const RolloutState& state, Instant now)
{
    if (!state.freshAsOf)
        return false;
    return now < *state.freshAsOf + state.limits.stalenessBound || isAcceptanceBlocked(state, now);
}

Configuration effectiveConfiguration(const RolloutState& state)
{
    const auto& accepted = state.view.accepted.row.document;
    const bool restricted = state.rules.restrictByPending && state.view.hasPendingVersion();
    return restricted ? intersect(accepted, state.view.prepared.row.document) : accepted;
}

Configuration intersect(const Configuration& current, const Configuration& next)
{
    Configuration result = current;
    for (auto& [id, team] : result.teams) {
        const auto other = next.teams.find(id);
        const bool isRemoved = other == next.teams.end();
        team.upperLimit = isRemoved ? 0 : std::min(team.upperLimit, other->second.upperLimit);
        team.maxQueued = isRemoved ? 0 : std::min(team.maxQueued, other->second.maxQueued);
    }
    for (auto& [id, queue] : result.queues) {
        const auto other = next.queues.find(id);
        queue = intersectQueue(queue, other == next.queues.end() ? QueueConfig {} : other->second);
    }
    for (auto& key : result.keys)
        key.withdrawn = key.withdrawn || !isActiveIn(next, key);
    return result;
}

bool lowersLimits(const Configuration& current, const Configuration& next)
{
    return std::any_of(current.teams.begin(), current.teams.end(), [&](const auto& entry) {
        const auto other = next.teams.find(entry.first);
        return other == next.teams.end() || other->second.upperLimit < entry.second.upperLimit;
    });
}

std::string toJson(const RolloutRow& row)
{
    boost::json::array voters;
    for (const auto& voter : row.voters)
        voters.emplace_back(voter);
    return boost::json::serialize(boost::json::object { { "by", row.requestToken },
        { "voters", std::move(voters) }, { "content_since", row.contentSince },
        { "document", boost::json::parse(toJson(row.document)) } });
}

std::optional<RolloutRow> parseRolloutRow(const std::string& text, Reason& reason)
{
    try {
        const auto value = boost::json::parse(text);
        const auto& object = value.as_object();
        RolloutRow row;
        row.requestToken = object.at("by").as_string();
        for (const auto& voter : object.at("voters").as_array())
            row.voters.emplace(voter.as_string());
        auto document = parseConfiguration(boost::json::serialize(object.at("document")), reason);
        if (!document)
            return std::nullopt;
        row.document = std::move(*document);
        const auto* since = object.if_contains("content_since"); // absent in rows of earlier releases
        row.contentSince = since ? since->to_number<std::uint64_t>() : row.document.version;
        return row;
    } catch (const std::exception& error) {
        return fail(reason, ErrorKind::InvalidConfiguration, error.what());
    }
}

} // namespace quay
