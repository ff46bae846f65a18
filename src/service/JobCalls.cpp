// The part of JobService that serves calls.

#include "service/JobJson.h"
#include "service/JobService.h"

#include "peer.pb.h"

#include <boost/json.hpp>
#include <chrono>
#include <sstream>
#include <xxhash.h>

namespace quay {

namespace json = boost::json;

namespace {

constexpr auto submitTimeout = std::chrono::seconds(5);
constexpr auto forwardTimeout = std::chrono::seconds(8);
constexpr auto rowTimeout = std::chrono::seconds(2); // with the object read, within forwardTimeout
constexpr auto objectTimeout = std::chrono::seconds(5);
constexpr int leaderRetryMs = 1000;
constexpr std::size_t maxJobsPerListPage = 100;
constexpr std::size_t maxEventsPerWatchPage = 500;
constexpr auto cancelTimeout = std::chrono::seconds(5);
constexpr std::size_t maxPendingCancels = 2000;
constexpr std::size_t maxWatchers = 2000;
constexpr std::uint32_t maxWatchWaitMs = 30'000;

std::int64_t wallClockMs()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

// Hash of everything in a submission but its request id; a repeated submission has the same hash.
std::string fingerprint(const JobSpec& spec)
{
    JobRecord record;
    record.spec = spec;
    const auto text = toJson(record);
    std::ostringstream hex;
    hex << std::hex << XXH3_64bits(text.data(), text.size());
    return hex.str();
}

std::string requestKey(const JobCall& call) { return "request/" + call.team.text + "/" + call.requestId; }

std::string requestRow(const JobRecord& record, const std::string& bodyHash)
{
    return json::serialize(json::object { { "job", record.id.text }, { "domain", record.domain.text },
        { "body_hash", bodyHash }, { "submitted_at_ms", record.submittedAtMs } });
}

JobReply acceptedReply(const std::string& job, const std::string& domain)
{
    return JobReply { 202, json::serialize(json::object { { "id", job }, { "domain", domain } }), 0 };
}

bool fitsNoListedWorker(const JobSpec& spec, const JobLedger& ledger)
{
    bool anyListed = false;
    for (const auto& [id, worker] : ledger.workers) {
        if (!worker.listed)
            continue;
        anyListed = true;
        if (spec.perTask.fitsIn(worker.info.capacity))
            return false;
    }
    return anyListed;
}

} // namespace

void JobService::call(JobCall call, Done done)
{
    if (!post([this, call = std::move(call), done] { serve(call, done); }))
        done(refusal(Reason { ErrorKind::Overloaded, {} }, leaderRetryMs));
}

void JobService::serve(const JobCall& call, const Done& done)
{
    if (call.domain != m_ledger.domain || !holdsLeadership()) {
        forward(call, done);
        return;
    }
    switch (call.operation) {
    case JobOperation::Submit:
        submit(call, done);
        return;
    case JobOperation::Status:
        withStoredJob(call, done, [this, call, done] { status(call, done); });
        return;
    case JobOperation::Cancel:
        withStoredJob(call, done, [this, call, done] { cancel(call, done); });
        return;
    case JobOperation::List:
        list(call, done);
        return;
    case JobOperation::Explain:
        explain(call, done);
        return;
    case JobOperation::Watch:
        watch(call, done);
        return;
    }
    done(refusal(Reason { ErrorKind::MalformedRequest, "operation" }));
}

void JobService::submit(const JobCall& call, const Done& done)
{
    if (fitsNoListedWorker(call.spec, m_ledger)) {
        done(refusal(Reason { ErrorKind::NeverRunnable, {} }));
        return;
    }
    JobRecord record;
    std::ostringstream id;
    id << m_ledger.domain.text << "." << std::hex << wallClockMs() << "-" << (m_nextJobNumber++ & 0xffffff);
    record.id = JobId { id.str() };
    record.domain = m_ledger.domain;
    record.spec = call.spec;
    record.submittedAtMs = wallClockMs();
    record.tasks.resize(call.spec.taskCount);

    Transaction transaction;
    transaction.checks.push_back({ requestKey(call), 0 });
    transaction.checks.push_back({ jobKey(record), 0 });
    transaction.puts.push_back({ requestKey(call), requestRow(record, fingerprint(call.spec)) });
    transaction.puts.push_back({ jobKey(record), toJson(record) });
    m_store.commit(
        std::move(transaction), submitTimeout, [this, call, record, done](TransactionOutcome outcome) {
            const bool queued = post([this, call, record, outcome, done] {
                if (outcome.status == TransactionStatus::Conflict)
                    answerDuplicateSubmission(call, done);
                else
                    onSubmitted(record, outcome, done);
            });
            if (!queued)
                done(refusal(Reason { ErrorKind::SubmissionUnknown, "overloaded" }));
        });
}

void JobService::onSubmitted(const JobRecord& record, const TransactionOutcome& outcome, const Done& done)
{
    if (outcome.status == TransactionStatus::NotSent) {
        done(refusal(Reason { ErrorKind::StoreUnavailable, {} }, leaderRetryMs));
        return;
    }
    if (outcome.status != TransactionStatus::Done) {
        done(refusal(Reason { ErrorKind::SubmissionUnknown, "the table service did not answer" }));
        return;
    }
    if (m_ledger.isLeading) {
        onRecordStored(record, outcome.version);
        applyEvent(JobAccepted { record, outcome.version });
    }
    done(acceptedReply(record.id.text, record.domain.text));
}

void JobService::answerDuplicateSubmission(const JobCall& call, const Done& done)
{
    m_store.read({ requestKey(call) }, submitTimeout, [call, done](auto rows) {
        if (!rows || rows->empty() || !rows->front().version) {
            done(refusal(Reason { ErrorKind::SubmissionUnknown, "the table service did not answer" }));
            return;
        }
        boost::system::error_code ec;
        const auto row = json::parse(rows->front().value, ec);
        if (ec) {
            done(refusal(Reason { ErrorKind::SubmissionUnknown, "the stored request row can't be parsed" }));
            return;
        }
        if (row.at("body_hash").as_string() != fingerprint(call.spec)) {
            done(refusal(Reason { ErrorKind::RequestIdReused, call.requestId }));
            return;
        }
        done(
            acceptedReply(std::string(row.at("job").as_string()), std::string(row.at("domain").as_string())));
    });
}

// A job whose insert was not answered is stored, and its id is told to a repeated submission, before
// reconcile() finds it. So the store is asked before a job counts as unknown.
void JobService::withStoredJob(const JobCall& call, const Done& done, std::function<void()> action)
{
    if (findJob(m_ledger, call.job) || m_finished.count(call.job)) {
        action();
        return;
    }
    m_store.read({ jobPrefix(call.domain) + call.job.text }, rowTimeout,
        [this, done, action = std::move(action)](std::optional<std::vector<TableRow>> rows) {
            postResponse([this, done, action, rows = std::move(rows)] {
                if (!rows) {
                    done(refusal(Reason { ErrorKind::StoreUnavailable, {} }, leaderRetryMs));
                } else if (!m_ledger.isLeading) {
                    done(
                        refusal(Reason { ErrorKind::OwnerUnreachable, "the leader changed" }, leaderRetryMs));
                } else {
                    onReconciled(*rows);
                    action();
                }
            });
        });
}

void JobService::status(const JobCall& call, const Done& done)
{
    const auto* record = findJob(m_ledger, call.job);
    auto finished = m_finished.find(call.job);
    if (!record && finished != m_finished.end())
        record = &finished->second;
    if (record) {
        if (record->spec.team != call.team)
            done(refusal(Reason { ErrorKind::UnknownJob, call.job.text }));
        else
            done(JobReply { 200, jobViewJson(*record), 0 });
        return;
    }
    m_store.getObject(call.domain.text + "/" + call.job.text, objectTimeout, [call, done](HttpResult result) {
        Reason reason { ErrorKind::UnknownJob, call.job.text };
        if (!result.response) {
            done(refusal(Reason { ErrorKind::StoreUnavailable, "object store" }, leaderRetryMs));
            return;
        }
        const auto archived
            = result.response->status == 200 ? parseJobRecord(result.response->body, reason) : std::nullopt;
        if (archived && archived->spec.team == call.team)
            done(JobReply { 200, jobViewJson(*archived), 0 });
        else
            done(refusal(Reason { ErrorKind::UnknownJob, call.job.text }));
    });
}

void JobService::cancel(const JobCall& call, const Done& done)
{
    const auto* record = findJob(m_ledger, call.job);
    if (!record || record->spec.team != call.team) {
        status(call, done);
        return;
    }
    if (m_pendingCancels.size() >= maxPendingCancels) {
        done(refusal(Reason { ErrorKind::Overloaded, "too many cancellations" }, leaderRetryMs));
        return;
    }
    applyEvent(CancelRequested { call.job });
    m_pendingCancels.push_back(
        { call, latestChange(m_ledger, call.job), std::chrono::steady_clock::now() + cancelTimeout, done });
    answerStoredCancels();
}

// A cancellation that only this leader knows would be lost with it, so it is acknowledged once it is stored.
void JobService::answerStoredCancels()
{
    const auto now = std::chrono::steady_clock::now();
    std::erase_if(m_pendingCancels, [&](const PendingCancel& cancel) {
        if (!m_ledger.isLeading)
            cancel.done(
                refusal(Reason { ErrorKind::SubmissionUnknown, "the leader changed" }, leaderRetryMs));
        else if (isChangeDurable(m_ledger, cancel.call.job, cancel.change))
            status(cancel.call, cancel.done);
        else if (cancel.deadline <= now)
            cancel.done(refusal(
                Reason { ErrorKind::SubmissionUnknown, "the table service did not answer" }, leaderRetryMs));
        else
            return false;
        return true;
    });
}

void JobService::list(const JobCall& call, const Done& done)
{
    std::vector<const JobRecord*> page;
    std::string next;
    for (auto it = m_ledger.jobs.upper_bound(call.job); it != m_ledger.jobs.end(); ++it) {
        if (it->second.record.spec.team != call.team)
            continue;
        if (page.size() == maxJobsPerListPage) {
            next = page.back()->id.text;
            break;
        }
        page.push_back(&it->second.record);
    }
    done(JobReply { 200, jobListJson(page, next), 0 });
}

void JobService::explain(const JobCall& call, const Done& done)
{
    auto it = m_explanations.find(call.job);
    const auto* record = findJob(m_ledger, call.job);
    auto finished = m_finished.find(call.job);
    if (!record && finished != m_finished.end())
        record = &finished->second;
    if (!record || record->spec.team != call.team) {
        done(refusal(Reason { ErrorKind::UnknownJob, call.job.text }));
        return;
    }
    done(JobReply { 200,
        explanationJson(call.job, it == m_explanations.end() ? std::deque<std::string> {} : it->second), 0 });
}

void JobService::watch(const JobCall& call, const Done& done)
{
    const auto wait = std::chrono::milliseconds(std::min(call.waitMs, maxWatchWaitMs));
    if (answerWatch(call, done, wait == Duration::zero()))
        return;
    if (m_watchers.size() >= maxWatchers) {
        done(refusal(Reason { ErrorKind::Overloaded, "too many watchers" }, leaderRetryMs));
        return;
    }
    m_watchers.push_back({ call, std::chrono::steady_clock::now() + wait, done });
}

bool JobService::answerWatch(const JobCall& call, const Done& done, bool evenIfEmpty)
{
    const auto page = m_events.eventsAfter(call.team, call.cursor, maxEventsPerWatchPage);
    if (!page) {
        done(refusal(Reason { ErrorKind::CursorTooOld, std::to_string(call.cursor) }));
        return true;
    }
    if (page->events.empty() && !evenIfEmpty)
        return false;
    done(JobReply { 200, eventPageJson(*page), 0 });
    return true;
}

void JobService::answerWatchers()
{
    const auto now = std::chrono::steady_clock::now();
    std::erase_if(m_watchers, [&](const Watcher& watcher) {
        return answerWatch(watcher.call, watcher.done, watcher.deadline <= now);
    });
}

void JobService::forward(const JobCall& call, const Done& done)
{
    const auto topology = m_membership.topology().get();
    const auto* leader = topology->leaderOf(call.domain);
    if (!leader || leader->id == m_membership.self().id) {
        done(refusal(
            Reason { ErrorKind::OwnerUnreachable, "failure domain " + call.domain.text + " has no lead now" },
            leaderRetryMs));
        return;
    }
    wire::Envelope envelope;
    auto& message = *envelope.mutable_job_forward();
    message.set_operation(static_cast<std::uint32_t>(call.operation));
    message.set_domain(call.domain.text);
    message.set_team(call.team.text);
    message.set_request_id(call.requestId);
    message.set_job(call.job.text);
    message.set_cursor(call.cursor);
    message.set_wait_ms(call.waitMs);
    JobRecord specRecord;
    specRecord.spec = call.spec;
    message.set_record(toJson(specRecord));
    const bool sent = m_peers.request(leader->peerAddress, std::move(envelope), forwardTimeout,
        [done](std::unique_ptr<wire::Envelope> answer) {
            if (!answer) {
                done(refusal(
                    Reason { ErrorKind::SubmissionUnknown, "the leader did not answer" }, leaderRetryMs));
                return;
            }
            const auto& reply = answer->job_answer();
            done(JobReply { reply.status(), reply.body(), static_cast<int>(reply.retry_after_ms()) });
        });
    if (!sent)
        done(refusal(Reason { ErrorKind::OwnerUnreachable, leader->id.text }, leaderRetryMs));
}

void JobService::onForward(const wire::Envelope& envelope)
{
    const auto& message = envelope.job_forward();
    JobCall call;
    call.operation = static_cast<JobOperation>(message.operation());
    call.domain = DomainId { message.domain() };
    call.team = TeamId { message.team() };
    call.requestId = message.request_id();
    call.job = JobId { message.job() };
    call.cursor = message.cursor();
    call.waitMs = message.wait_ms();
    Reason reason;
    if (auto specRecord = parseJobRecord(message.record(), reason))
        call.spec = specRecord->spec;
    auto request = std::make_shared<wire::Envelope>(envelope);
    const Done done = [this, request](JobReply reply) {
        wire::Envelope answer;
        answer.mutable_job_answer()->set_status(reply.status);
        answer.mutable_job_answer()->set_body(reply.body);
        answer.mutable_job_answer()->set_retry_after_ms(static_cast<std::uint32_t>(reply.retryAfterMs));
        m_peers.answer(request->reply_to(), *request, std::move(answer));
    };
    const bool queued = post([this, call, done] {
        // A forwarded call is not forwarded again: two processes that each consider the other the leader
        // would otherwise pass it back and forth.
        if (call.domain == m_ledger.domain && holdsLeadership())
            serve(call, done);
        else
            done(refusal(
                Reason { ErrorKind::OwnerUnreachable, "this process is not the leader" }, leaderRetryMs));
    });
    if (!queued)
        done(refusal(Reason { ErrorKind::Overloaded, {} }, leaderRetryMs));
}

} // namespace quay
