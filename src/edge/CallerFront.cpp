#include "edge/CallerFront.h"

#include "Wire.h"
#include "edge/Delay.h"

#include <charconv>
#include <utility>

namespace quay::edge {

using namespace fleet;
using namespace platform;

namespace {

constexpr auto defaultDeadline = 3000ms; // of a caller that names none
constexpr auto answerSpare = 150ms; // an answer's way to the caller
// Direct writes of this node: a store's part takes 150 a second, so 30 nodes leave the leader room also when
// a write takes half a second.
constexpr int mostWritesInFlight = 2;
constexpr auto longestWritePause = 1000ms; // a third of a caller's usual deadline
constexpr auto writeRetry = 40ms; // a few transactions
constexpr auto stateTimeout = 500ms;
constexpr auto leaderCheck = 200ms; // under the interval of greetings, which notice a silent leader
constexpr auto refuseAfter = 200ms; // a refusal that comes later costs the caller time to try elsewhere
constexpr int retryAfterMs = 500; // when a refused caller may come back
constexpr unsigned statusAccepted = 200;
constexpr unsigned statusGone = 410;
constexpr unsigned statusUnauthorized = 401;
constexpr unsigned statusNotFound = 404;
constexpr auto pendingTooOld = 1900ms; // the published age of a count is 2 s at most
constexpr std::string_view bearer = "Bearer ";

Instant clockNow() { return std::chrono::steady_clock::now(); }

std::string hostOf(const HttpRequest& request)
{
    auto host = request.header("host");
    return host.substr(0, host.find(':'));
}

std::string keyOf(const HttpRequest& request)
{
    auto value = request.header("authorization");
    return value.starts_with(bearer) ? value.substr(bearer.size()) : std::string();
}

Duration deadlineOf(const HttpRequest& request)
{
    const auto text = request.header("deadline-ms");
    int ms = 0;
    const auto [rest, ec] = std::from_chars(text.data(), text.data() + text.size(), ms);
    return ec == std::errc() && ms > 0 ? std::chrono::milliseconds(ms) : Duration(defaultDeadline);
}

} // namespace

struct CallerFront::Call {
    HttpRequest request;
    Respond respond;
    Instant arrived;
    Instant deadline;
    std::string id; // of the job; empty: the queue itself is meant
    QueuePolicy queue;
    std::string team;
    StoredJob job;
    bool mayBeWritten = false; // an attempt got no answer
    int writes = 0; // direct ones so far
    bool isLeaderLost = false; // or has answered: nothing is expected of it any more
};

CallerFront::CallerFront(EdgeServices services, PeerClient& peers, ConfigurationFollower& follower,
    Election& election, std::size_t maxRowBytes)
    : m_services(services)
    , m_peers(peers)
    , m_follower(follower)
    , m_election(election)
    , m_gate(services.context, services.store, services.log)
    , m_maxRowBytes(maxRowBytes)
    , m_accepted(services.metrics.counter("quay_jobs_accepted_total", "Jobs made durable and acknowledged"))
    , m_acceptTime(
          services.metrics.histogram("quay_accept_seconds", "From a job's arrival to its acknowledgement"))
{
}

StoreClient::Done CallerFront::heard(StoreClient::Done done)
{
    return [this, sentAt = clockNow(), done = std::move(done)](StoreResult result) {
        m_gate.heard(result, sentAt, clockNow());
        done(std::move(result));
    };
}

bool CallerFront::refusedAtGate(const CallPointer& call)
{
    if (m_gate.isPassable() || call->mayBeWritten)
        return false;
    refuse(call, ErrorKind::StoreUnavailable, "it did not answer the last exchanges");
    return true;
}

void CallerFront::answer(const CallPointer& call, unsigned status, std::string body, std::string_view why)
{
    m_services.log.write(why, call->id,
        { { "method", call->request.method }, { "queue", call->queue.name }, { "team", call->team },
            { "status", std::to_string(status) }, { "configuration", std::to_string(m_follower.version()) },
            { "ms", std::to_string(toMilliseconds(clockNow() - call->arrived)) } });
    HttpResponse response;
    response.status = status;
    response.body = std::move(body);
    call->respond(std::move(response));
}

void CallerFront::refuse(const CallPointer& call, ErrorKind kind, const std::string& detail)
{
    countRefusal(describe(kind).name);
    auto response = errorResponse(Reason { kind, detail }, retryAfterMs);
    m_services.log.write("request_refused", call->id,
        { { "method", call->request.method }, { "queue", call->queue.name }, { "team", call->team },
            { "status", std::to_string(response.status) }, { "reason", Reason { kind, detail }.explain() },
            { "configuration", std::to_string(m_follower.version()) },
            { "ms", std::to_string(toMilliseconds(clockNow() - call->arrived)) } });
    call->respond(std::move(response));
}

void CallerFront::countRefusal(std::string_view reason)
{
    m_services.metrics
        .counter("quay_requests_refused_total", "Requests answered with an error, by its reason",
            "reason=\"" + std::string(reason) + "\"")
        .add();
}

void CallerFront::unknown(const CallPointer& call, const std::string& detail)
{
    refuse(call, ErrorKind::SubmissionUnknown, detail);
}

void CallerFront::serve(HttpRequest request, Respond respond)
{
    auto call = std::make_shared<Call>();
    call->arrived = clockNow();
    call->deadline = call->arrived + deadlineOf(request) - answerSpare;
    call->request = std::move(request);
    call->respond = std::move(respond);
    const auto configuration = m_follower.current();
    if (!configuration) {
        refuse(call, ErrorKind::StaleConfiguration, "no configuration was read yet");
        return;
    }
    const auto path = call->request.path();
    const auto* queue = configuration->queueFor(hostOf(call->request), path);
    if (!queue) {
        countRefusal("queue_unknown");
        answer(call, statusNotFound, "{\"error\":\"no such queue\"}", "queue_unknown");
        return;
    }
    call->queue = *queue;
    call->id = path.substr(queue->pathPrefix.size());
    const auto* team = configuration->teamOfKey(keyOf(call->request));
    if (team)
        call->team = team->name;
    if (!team && !queue->isPublic) {
        countRefusal("key_unknown");
        answer(
            call, statusUnauthorized, "{\"error\":\"the key is missing or was withdrawn\"}", "key_unknown");
        return;
    }
    const auto& method = call->request.method;
    if (call->id.empty() && method == "GET")
        countPending(call);
    else if (!isJobId(call->id))
        refuse(call, ErrorKind::MalformedRequest, "the job's id is not 16 hexadecimal digits");
    else if (method == "POST")
        submit(call);
    else if (method == "GET")
        show(call);
    else if (method == "DELETE")
        cancel(call);
    else
        refuse(call, ErrorKind::MalformedRequest, "use POST, GET or DELETE");
}

void CallerFront::submit(const CallPointer& call)
{
    Reason reason;
    auto work = decodeJobRequest(call->request.body, reason);
    if (work) {
        work->id = call->id;
        if (!validate(*work, reason))
            work.reset();
    }
    if (!work) {
        refuse(call, reason.kind, reason.detail);
        return;
    }
    call->job = { call->id, call->queue.name, call->team, call->request.body };
    if (encode(call->job).size() > m_maxRowBytes) { // it would hold up every commit that it is part of
        refuse(call, ErrorKind::TooLarge,
            "a job takes at most " + std::to_string(m_maxRowBytes) + " bytes when stored");
        return;
    }
    const auto handed = [this, call](AcceptOutcome outcome) { handedToLeader(call, outcome); };
    if (auto* leader = m_election.leader())
        leader->accept(call->job, handed);
    else if (const auto address = m_election.leaderAddress(); !address.empty())
        handToPeer(call, address);
    else
        writeJob(call);
}

void CallerFront::handToPeer(const CallPointer& call, const std::string& address)
{
    m_peers.accept(address, call->job, call->deadline - clockNow(), [this, call](AcceptOutcome outcome) {
        if (!std::exchange(call->isLeaderLost, true))
            handedToLeader(call, outcome);
    });
    watchLeader(call, address);
}

// A leader that falls silent gives no answer; its silence is noticed by the greetings.
void CallerFront::watchLeader(const CallPointer& call, const std::string& address)
{
    callLater(m_services.context, leaderCheck, [this, call, address] {
        if (call->isLeaderLost)
            return;
        if (m_election.leaderAddress() == address && clockNow() < call->deadline) {
            watchLeader(call, address);
            return;
        }
        call->isLeaderLost = true;
        handedToLeader(call, AcceptOutcome::Unknown);
    });
}

// The leader makes many jobs durable in one transaction. Without it the node writes the row itself: both
// write under the condition that there is no such row.
void CallerFront::handedToLeader(const CallPointer& call, AcceptOutcome outcome)
{
    switch (outcome) {
    case AcceptOutcome::Accepted:
        acknowledge(call);
        break;
    case AcceptOutcome::Conflict:
        refuse(
            call, ErrorKind::RequestIdReused, "job " + call->id + " was handed in with another body or team");
        break;
    case AcceptOutcome::Unknown:
        call->mayBeWritten = true;
        writeJob(call);
        break;
    case AcceptOutcome::NotWritten:
        writeJob(call);
        break;
    }
}

void CallerFront::writeJob(const CallPointer& call)
{
    if (refusedAtGate(call))
        return;
    if (m_writesInFlight >= mostWritesInFlight) {
        if (call->mayBeWritten)
            repeatWrite(call, "other writes of this node wait for it");
        else
            refuse(call, ErrorKind::StoreUnavailable, "other writes of this node wait for it");
        return;
    }
    ++m_writesInFlight;
    ++call->writes;
    StoreTransaction transaction;
    transaction.conditions.push_back({ jobTable, cellPartition, call->id, {}, 0, false });
    transaction.puts.push_back({ jobTable, cellPartition, call->id, encode(call->job), 0, false });
    m_services.store.transact(transaction, m_gate.timeout(), heard([this, call](const StoreResult& result) {
        --m_writesInFlight;
        jobWritten(call, result);
    }));
}

void CallerFront::jobWritten(const CallPointer& call, const StoreResult& result)
{
    if (result.outcome == StoreOutcome::Ok) {
        accepted(call);
        return;
    }
    if (result.outcome == StoreOutcome::ConditionFailed && !result.rows.empty()) {
        Reason reason;
        const auto stored = decodeStoredJob(result.rows.front().value, reason);
        if (stored && stored->body == call->job.body && stored->team == call->job.team) {
            accepted(call);
            return;
        }
        refuse(
            call, ErrorKind::RequestIdReused, "job " + call->id + " was handed in with another body or team");
        return;
    }
    if (result.outcome == StoreOutcome::Unknown)
        call->mayBeWritten = true;
    repeatWrite(call, result.detail);
}

// With growing pauses: what fills the store's queue must not be the repeats.
void CallerFront::repeatWrite(const CallPointer& call, const std::string& detail)
{
    const auto now = clockNow();
    const auto pause = std::min<Duration>(writeRetry * (1 << std::min(call->writes, 5)), longestWritePause);
    const auto last
        = call->mayBeWritten ? call->deadline : std::min(call->deadline, call->arrived + refuseAfter);
    if (now + pause < last) {
        callLater(m_services.context, pause, [this, call] { writeJob(call); });
        return;
    }
    if (call->mayBeWritten)
        unknown(call, "the store did not answer: " + detail);
    else
        refuse(call, ErrorKind::StoreUnavailable, detail);
}

void CallerFront::acknowledge(const CallPointer& call)
{
    m_accepted.add();
    m_acceptTime.record(clockNow() - call->arrived);
    answer(call, statusAccepted, encodeJobState(JobPhase::Queued), "job_accepted");
}

void CallerFront::accepted(const CallPointer& call)
{
    acknowledge(call);
    if (auto* leader = m_election.leader())
        leader->submit(call->job);
    else if (const auto address = m_election.leaderAddress(); !address.empty())
        m_peers.tellJob(address, call->job);
}

void CallerFront::show(const CallPointer& call)
{
    if (const auto* leader = m_election.leader()) {
        const auto phase = leader->isLoaded() ? leader->shownPhase(call->id) : std::nullopt;
        if (phase)
            answer(call, statusAccepted, encodeJobState(*phase), "state_shown");
        else
            showFromStore(call);
        return;
    }
    const auto address = m_election.leaderAddress();
    if (address.empty()) {
        showFromStore(call);
        return;
    }
    m_peers.askState(address, call->id, stateTimeout, [this, call](const StateAnswer& state) {
        if (state.phase)
            answer(call, statusAccepted, encodeJobState(*state.phase), "state_shown");
        else
            showFromStore(call);
    });
}

// Without the leader: the job's own row tells whether it exists, the record what became of it.
void CallerFront::showFromStore(const CallPointer& call)
{
    if (refusedAtGate(call))
        return;
    m_services.store.scanPartition(
        jobTable, cellPartition, call->id, m_gate.timeout(), heard([this, call](const StoreResult& result) {
            if (result.outcome != StoreOutcome::Ok) {
                if (clockNow() + writeRetry + stateTimeout < call->deadline)
                    callLater(m_services.context, writeRetry, [this, call] { showFromStore(call); });
                else
                    refuse(call, ErrorKind::StoreUnavailable, result.detail);
                return;
            }
            bool isKnown = false;
            bool isCancelled = false;
            for (const auto& row : result.rows) {
                isKnown = isKnown || row.key == call->id;
                isCancelled = isCancelled || row.key == call->id + cancellationSuffix;
            }
            if (!isKnown)
                answer(call, statusGone, "{\"error\":\"no such job\"}", "job_unknown");
            else if (isCancelled)
                answer(call, statusAccepted, encodeJobState(JobPhase::Cancelled), "state_shown");
            else
                showRecord(call);
        }));
}

void CallerFront::showRecord(const CallPointer& call)
{
    m_services.store.readRow(recordTable, cellPartition, call->id, m_gate.timeout(),
        heard([this, call](const StoreResult& result) {
            if (result.outcome != StoreOutcome::Ok) {
                refuse(call, ErrorKind::StoreUnavailable, result.detail);
                return;
            }
            auto phase = JobPhase::Queued;
            Reason reason;
            if (!result.rows.empty()) {
                const auto record = decodeJobRecord(result.rows.front().value, reason);
                if (!record) {
                    refuse(call, ErrorKind::StoreUnavailable, reason.detail);
                    return;
                }
                phase = record->phase;
            }
            answer(call, statusAccepted, encodeJobState(phase), "state_shown");
        }));
}

void CallerFront::cancel(const CallPointer& call)
{
    if (const auto* leader = m_election.leader();
        leader && leader->isLoaded() && leader->shownPhase(call->id)) {
        writeCancel(call);
        return;
    }
    if (refusedAtGate(call))
        return;
    m_services.store.readRow(
        jobTable, cellPartition, call->id, m_gate.timeout(), heard([this, call](const StoreResult& result) {
            if (result.outcome != StoreOutcome::Ok) {
                if (clockNow() + writeRetry + stateTimeout < call->deadline)
                    callLater(m_services.context, writeRetry, [this, call] { cancel(call); });
                else
                    refuse(call, ErrorKind::StoreUnavailable, result.detail);
            } else if (result.rows.empty()) {
                answer(call, statusGone, "{\"error\":\"no such job\"}", "job_unknown");
            } else {
                writeCancel(call);
            }
        }));
}

void CallerFront::writeCancel(const CallPointer& call)
{
    if (refusedAtGate(call))
        return;
    StoreTransaction transaction;
    transaction.puts.push_back(
        { jobTable, cellPartition, call->id + cancellationSuffix, "cancelled", 0, false });
    m_services.store.transact(transaction, m_gate.timeout(), heard([this, call](const StoreResult& result) {
        if (result.outcome == StoreOutcome::Ok) {
            answer(call, statusAccepted, encodeJobState(JobPhase::Cancelled), "cancel_accepted");
            if (auto* leader = m_election.leader())
                leader->cancel(call->id);
            else if (const auto address = m_election.leaderAddress(); !address.empty())
                m_peers.tellCancel(address, call->id);
            return;
        }
        if (result.outcome == StoreOutcome::Unknown)
            call->mayBeWritten = true;
        if (clockNow() + writeRetry < call->deadline)
            callLater(m_services.context, writeRetry, [this, call] { writeCancel(call); });
        else if (call->mayBeWritten)
            unknown(call, result.detail);
        else
            refuse(call, ErrorKind::StoreUnavailable, result.detail);
    }));
}

void CallerFront::countPending(const CallPointer& call)
{
    if (auto* leader = m_election.leader(); leader && leader->isLoaded()) {
        const auto& pending = leader->pending();
        auto it = pending.find(call->queue.name);
        answer(
            call, statusAccepted, encodePendingCount(it == pending.end() ? 0 : it->second), "pending_shown");
        return;
    }
    const auto& pending = m_election.pending();
    auto it = pending.find(call->queue.name);
    if (clockNow() - m_election.pendingAt() > pendingTooOld)
        refuse(call, ErrorKind::OwnerUnreachable, "the scheduler gave no count lately");
    else
        answer(
            call, statusAccepted, encodePendingCount(it == pending.end() ? 0 : it->second), "pending_shown");
}

} // namespace quay::edge
