#include "edge/JobApiCall.h"

#include "Wire.h"
#include "edge/Clock.h"
#include "edge/Delay.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace quay::edge {

using namespace fleet;
using namespace platform;

namespace {

constexpr auto defaultDeadline = 3000ms; // for requests without a Deadline-Ms header
constexpr auto answerMargin = 150ms; // time for the response to reach the caller
constexpr int maxWritesInFlight = 2; // direct writes of this node
constexpr auto maxWriteRetryDelay = 1000ms; // a third of the default deadline
constexpr std::size_t rowsOfOneJob = 2; // its own and its cancellation, the next key
constexpr auto leaderCheckInterval = 200ms; // below the interval of the probes that detect a failed leader
// If nothing can have been written, the request is refused after this time, so that the caller can still try
// another node before its deadline.
constexpr auto maxUnwrittenRetryTime = 200ms;
constexpr int retryAfterMs = 500; // sent with refusals as the delay before a retry
constexpr unsigned statusUnauthorized = 401;
constexpr unsigned statusNotFound = 404;
constexpr auto maxPendingAge = 1900ms; // the documented staleness bound of a count is 2 s
// Of cancellations of jobs that do not exist, for each node while there is no leader.
constexpr double unmatchedCancelsPerSecond = 10;
constexpr double unmatchedCancelBurst = 50;
constexpr std::string_view bearerPrefix = "Bearer ";

std::string hostOf(const HttpRequest& request)
{
    auto host = request.header("host");
    return host.substr(0, host.find(':'));
}

std::string keyOf(const HttpRequest& request)
{
    auto value = request.header("authorization");
    return value.starts_with(bearerPrefix) ? value.substr(bearerPrefix.size()) : std::string();
}

Duration deadlineOf(const HttpRequest& request)
{
    const auto text = request.header("deadline-ms");
    int ms = 0;
    const auto [rest, ec] = std::from_chars(text.data(), text.data() + text.size(), ms);
    return ec == std::errc() && ms > 0 ? std::chrono::milliseconds(ms) : Duration(defaultDeadline);
}

} // namespace

JobApi::JobApi(EdgeServices services, PeerClient& peers, ConfigurationWatcher& configurationWatcher,
    Election& election, std::size_t maxRowBytes)
    : m_services(services)
    , m_peers(peers)
    , m_configurationWatcher(configurationWatcher)
    , m_election(election)
    , m_storeBreaker(services.context, services.store, services.log)
    , m_maxRowBytes(maxRowBytes)
    , m_accepted(services.metrics.counter("quay_jobs_accepted_total", "Jobs made durable and acknowledged"))
    , m_acceptTime(
          services.metrics.histogram("quay_accept_seconds", "From a job's arrival to its acknowledgement"))
    , m_unmatchedCancels(unmatchedCancelsPerSecond, unmatchedCancelBurst)
{
}

StoreClient::Done JobApi::withOutcomeRecorded(StoreClient::Done done)
{
    return [this, sentAt = clockNow(), done = std::move(done)](StoreResult result) {
        m_storeBreaker.recordOutcome(result, sentAt, clockNow());
        done(std::move(result));
    };
}

bool JobApi::refuseIfStoreDown(const CallPointer& call)
{
    if (m_storeBreaker.allowsRequests() || call->mayBeWritten)
        return false;
    refuse(call, ErrorKind::StoreUnavailable, "it did not answer the last exchanges");
    return true;
}

void JobApi::answer(const CallPointer& call, unsigned status, std::string body, std::string_view why)
{
    m_services.log.write(why, call->id,
        { { "method", call->request.method }, { "queue", call->queue.name }, { "team", call->team },
            { "status", std::to_string(status) },
            { "configuration", std::to_string(m_configurationWatcher.version()) },
            { "ms", std::to_string(toMilliseconds(clockNow() - call->arrivedAt)) } });
    HttpResponse response;
    response.status = status;
    response.body = std::move(body);
    call->respond(std::move(response));
}

void JobApi::refuse(const CallPointer& call, ErrorKind kind, const std::string& detail)
{
    countRefusal(describe(kind).name);
    // A repetition would be refused as well.
    auto response
        = errorResponse(Reason { kind, detail }, kind == ErrorKind::JobCancelled ? 0 : retryAfterMs);
    m_services.log.write("request_refused", call->id,
        { { "method", call->request.method }, { "queue", call->queue.name }, { "team", call->team },
            { "status", std::to_string(response.status) }, { "reason", Reason { kind, detail }.explain() },
            { "configuration", std::to_string(m_configurationWatcher.version()) },
            { "ms", std::to_string(toMilliseconds(clockNow() - call->arrivedAt)) } });
    call->respond(std::move(response));
}

void JobApi::countRefusal(std::string_view reason)
{
    m_services.metrics
        .counter("quay_requests_refused_total", "Requests answered with an error, by its reason",
            "reason=\"" + std::string(reason) + "\"")
        .add();
}

void JobApi::refuseOutcomeUnknown(const CallPointer& call, const std::string& detail)
{
    refuse(call, ErrorKind::SubmissionUnknown, detail);
}

void JobApi::refuseCancelled(const CallPointer& call)
{
    if (call->mayBeWritten)
        refuseOutcomeUnknown(call, "the job was cancelled meanwhile");
    else
        refuse(call, ErrorKind::JobCancelled, {});
}

void JobApi::serve(HttpRequest request, Respond respond)
{
    auto call = std::make_shared<Call>();
    call->arrivedAt = clockNow();
    call->deadline = call->arrivedAt + deadlineOf(request) - answerMargin;
    call->request = std::move(request);
    call->respond = std::move(respond);
    const auto configuration = m_configurationWatcher.current();
    if (!configuration) {
        refuse(call, ErrorKind::StaleConfiguration, "this node has not read a configuration yet");
        return;
    }
    if (!m_configurationWatcher.isCurrent(call->arrivedAt)) {
        refuse(call, ErrorKind::StaleConfiguration,
            "milliseconds since version " + std::to_string(configuration->version)
                + " was last known to be the newest: "
                + ageText(m_configurationWatcher.currentAsOf(), call->arrivedAt));
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
        getJobState(call);
    else if (method == "DELETE")
        cancel(call);
    else
        refuse(call, ErrorKind::MalformedRequest, "use POST, GET or DELETE");
}

void JobApi::submit(const CallPointer& call)
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
    call->job
        = { call->id, call->queue.name, call->team, call->request.body, fleet::executionPolicy(call->queue) };
    if (encode(call->job).size() > m_maxRowBytes) { // the store would reject every commit that includes it
        refuse(call, ErrorKind::TooLarge,
            "a job takes at most " + std::to_string(m_maxRowBytes) + " bytes when stored");
        return;
    }
    const auto onLeaderAnswer = [this, call](AcceptOutcome outcome) { leaderAnswered(call, outcome); };
    if (auto* leader = m_election.leader())
        leader->accept(call->job, onLeaderAnswer);
    else if (const auto address = m_election.leaderAddress(); !address.empty())
        sendToLeader(call, address);
    else
        writeJob(call);
}

void JobApi::sendToLeader(const CallPointer& call, const std::string& address)
{
    m_peers.accept(address, call->job, call->deadline - clockNow(), [this, call](AcceptOutcome outcome) {
        if (!std::exchange(call->isLeaderOutcomeKnown, true))
            leaderAnswered(call, outcome);
    });
    awaitLeaderAnswer(call, address);
}

// Gives up on the leader once the election no longer considers it reachable, instead of waiting for the
// deadline.
void JobApi::awaitLeaderAnswer(const CallPointer& call, const std::string& address)
{
    callLater(m_services.context, leaderCheckInterval, [this, call, address] {
        if (call->isLeaderOutcomeKnown)
            return;
        if (m_election.leaderAddress() == address && clockNow() < call->deadline) {
            awaitLeaderAnswer(call, address);
            return;
        }
        call->isLeaderOutcomeKnown = true;
        leaderAnswered(call, AcceptOutcome::Unknown);
    });
}

// The leader makes many jobs durable in one transaction. If it has not accepted the job, this node writes the
// row itself, in the job's intake partition. The leader's row and this one are equal, and the scheduler adds
// a job once whichever of them it reads.
void JobApi::leaderAnswered(const CallPointer& call, AcceptOutcome outcome)
{
    switch (outcome) {
    case AcceptOutcome::Accepted:
        acknowledge(call);
        break;
    case AcceptOutcome::Conflict:
        refuse(
            call, ErrorKind::RequestIdReused, "job " + call->id + " was submitted with another body or team");
        break;
    case AcceptOutcome::Unknown:
        call->mayBeWritten = true;
        writeJob(call);
        break;
    case AcceptOutcome::NotWritten:
        writeJob(call);
        break;
    case AcceptOutcome::Cancelled:
        refuseCancelled(call);
        break;
    }
}

// The leader may have stored the job already, for this call or an earlier one, so its row is read first.
void JobApi::writeJob(const CallPointer& call)
{
    if (refuseIfStoreDown(call))
        return;
    ++call->writeAttempts;
    m_services.store.readRow(jobTable, cellPartition, call->id, m_storeBreaker.timeout(),
        withOutcomeRecorded([this, call](const StoreResult& result) {
            if (result.outcome != StoreOutcome::Ok)
                retryWrite(call, result.detail);
            else if (!result.rows.empty())
                compareWithStoredJob(call, result.rows.front());
            else
                writeIntakeRow(call);
        }));
}

void JobApi::writeIntakeRow(const CallPointer& call)
{
    if (refuseIfStoreDown(call))
        return;
    if (m_writesInFlight >= maxWritesInFlight) {
        if (call->mayBeWritten)
            retryWrite(call, "too many writes of this node are waiting for it");
        else
            refuse(call, ErrorKind::StoreUnavailable, "too many writes of this node are waiting for it");
        return;
    }
    ++m_writesInFlight;
    StoreTransaction transaction;
    const auto partition = intakePartitionOf(call->id);
    transaction.conditions.push_back({ jobTable, partition, call->id, {}, 0, false });
    transaction.conditions.push_back({ jobTable, partition, call->id + cancellationSuffix, {}, 0, false });
    transaction.puts.push_back({ jobTable, partition, call->id, encode(call->job), 0, false });
    m_services.store.transact(
        transaction, m_storeBreaker.timeout(), withOutcomeRecorded([this, call](const StoreResult& result) {
            --m_writesInFlight;
            jobWritten(call, result);
        }));
}

void JobApi::jobWritten(const CallPointer& call, const StoreResult& result)
{
    if (result.outcome == StoreOutcome::Ok) {
        jobDurable(call);
        return;
    }
    if (result.outcome == StoreOutcome::ConditionFailed) {
        const auto rowWithKey = [&](const std::string& key) {
            return std::find_if(result.rows.begin(), result.rows.end(),
                [&](const StoreRow& row) { return row.key == key && row.version > 0; });
        };
        if (const auto job = rowWithKey(call->id); job != result.rows.end()) {
            compareWithStoredJob(call, *job);
            return;
        }
        if (rowWithKey(call->id + cancellationSuffix) != result.rows.end()) {
            refuseCancelled(call);
            return;
        }
    }
    if (result.outcome == StoreOutcome::Unknown)
        call->mayBeWritten = true;
    retryWrite(call, result.detail);
}

void JobApi::compareWithStoredJob(const CallPointer& call, const StoreRow& row)
{
    Reason reason;
    const auto stored = decodeStoredJob(row.value, reason);
    if (stored && isSameSubmission(*stored, call->job))
        jobDurable(call);
    else
        refuse(
            call, ErrorKind::RequestIdReused, "job " + call->id + " was submitted with another body or team");
}

// Retries with exponential backoff, so that retries don't fill the store's queue.
void JobApi::retryWrite(const CallPointer& call, const std::string& detail)
{
    const auto now = clockNow();
    const auto pause
        = std::min<Duration>(writeRetryDelay * (1 << std::min(call->writeAttempts, 5)), maxWriteRetryDelay);
    const auto last = call->mayBeWritten ? call->deadline
                                         : std::min(call->deadline, call->arrivedAt + maxUnwrittenRetryTime);
    if (now + pause < last) {
        callLater(m_services.context, pause, [this, call] { writeJob(call); });
        return;
    }
    if (call->mayBeWritten)
        refuseOutcomeUnknown(call, "the store did not answer: " + detail);
    else
        refuse(call, ErrorKind::StoreUnavailable, detail);
}

// Repeats a failed read while the deadline leaves time for another one.
void JobApi::retryRead(const CallPointer& call, const std::string& detail, std::function<void()> read)
{
    if (clockNow() + writeRetryDelay + stateTimeout < call->deadline)
        callLater(m_services.context, writeRetryDelay, std::move(read));
    else
        refuse(call, ErrorKind::StoreUnavailable, detail);
}

void JobApi::acknowledge(const CallPointer& call)
{
    m_accepted.add();
    m_acceptTime.record(clockNow() - call->arrivedAt);
    answer(call, statusOk, encodeJobState(JobPhase::Queued), "job_accepted");
}

void JobApi::jobDurable(const CallPointer& call)
{
    acknowledge(call);
    if (auto* leader = m_election.leader())
        leader->submit(call->job);
    else if (const auto address = m_election.leaderAddress(); !address.empty())
        m_peers.notifyJob(address, call->job);
}

void JobApi::getJobState(const CallPointer& call)
{
    if (const auto* leader = m_election.leader()) {
        const auto phase = leader->isLoaded() ? leader->durablePhase(call->id) : std::nullopt;
        if (phase)
            answer(call, statusOk, encodeJobState(*phase), "state_shown");
        else
            getJobStateFromStore(call);
        return;
    }
    const auto address = m_election.leaderAddress();
    if (address.empty()) {
        getJobStateFromStore(call);
        return;
    }
    m_peers.requestJobState(address, call->id, stateTimeout, [this, call](const StateAnswer& state) {
        if (state.phase)
            answer(call, statusOk, encodeJobState(*state.phase), "state_shown");
        else
            getJobStateFromStore(call);
    });
}

// Used without a leader, or if the leader gives no phase for the job. A job's row in either partition tells
// that the job exists, a cancellation row that it is cancelled, and otherwise the scheduler's record gives
// its phase.
void JobApi::getJobStateFromStore(const CallPointer& call)
{
    if (refuseIfStoreDown(call))
        return;
    m_services.store.readRow(jobTable, cellPartition, call->id, m_storeBreaker.timeout(),
        withOutcomeRecorded([this, call](const StoreResult& result) {
            if (result.outcome == StoreOutcome::Ok)
                getJobStateFromIntake(call, !result.rows.empty());
            else
                retryRead(call, result.detail, [this, call] { getJobStateFromStore(call); });
        }));
}

void JobApi::getJobStateFromIntake(const CallPointer& call, bool isKnown)
{
    m_services.store.scanPartition(jobTable, intakePartitionOf(call->id), call->id, {}, rowsOfOneJob,
        m_storeBreaker.timeout(),
        withOutcomeRecorded([this, call, isKnown](const StoreResult& result) mutable {
            if (result.outcome != StoreOutcome::Ok) {
                retryRead(call, result.detail, [this, call] { getJobStateFromStore(call); });
                return;
            }
            bool isCancelled = false;
            for (const auto& row : result.rows) {
                isKnown = isKnown || row.key == call->id;
                isCancelled = isCancelled || row.key == call->id + cancellationSuffix;
            }
            if (!isKnown)
                answer(call, statusGone, "{\"error\":\"no such job\"}", "job_unknown");
            else if (isCancelled)
                answer(call, statusOk, encodeJobState(JobPhase::Cancelled), "state_shown");
            else
                getJobStateFromRecord(call);
        }));
}

void JobApi::getJobStateFromRecord(const CallPointer& call)
{
    m_services.store.readRow(recordTable, cellPartition, call->id, m_storeBreaker.timeout(),
        withOutcomeRecorded([this, call](const StoreResult& result) {
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
            answer(call, statusOk, encodeJobState(phase), "state_shown");
        }));
}

void JobApi::countPending(const CallPointer& call)
{
    if (auto* leader = m_election.leader(); leader && leader->isLoaded()) {
        const auto& pending = leader->pending();
        auto it = pending.find(call->queue.name);
        answer(call, statusOk, encodePendingCount(it == pending.end() ? 0 : it->second), "pending_shown");
        return;
    }
    const auto& pending = m_election.pending();
    auto it = pending.find(call->queue.name);
    if (clockNow() - m_election.pendingAt() > maxPendingAge)
        refuse(call, ErrorKind::OwnerUnreachable, "the leader has reported no count recently");
    else
        answer(call, statusOk, encodePendingCount(it == pending.end() ? 0 : it->second), "pending_shown");
}

} // namespace quay::edge
