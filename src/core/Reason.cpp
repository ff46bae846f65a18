#include "quay/core/Reason.h"

#include <array>
#include <utility>

namespace quay {

namespace {

using enum ErrorKind;
using enum Disposition;

constexpr std::array errorTable {
    ErrorEntry { None, "none", 200, NotRun, "no error", "nothing to do" },
    ErrorEntry { MalformedRequest, "malformed_request", 400, NotRun, "the request can't be parsed",
        "correct the request and send it again" },
    ErrorEntry { UnknownField, "unknown_field", 400, NotRun, "the request has a field that is not known",
        "remove the field or correct its spelling" },
    ErrorEntry { TooLarge, "too_large", 413, NotRun, "the request is larger than allowed",
        "send a smaller body or split the work" },
    ErrorEntry { MissingKey, "missing_key", 401, NotRun, "this queue needs a key",
        "send the team's key as 'Authorization: Bearer KEY'" },
    ErrorEntry { InvalidKey, "invalid_key", 401, NotRun, "the key is not valid or was withdrawn",
        "ask an operator for a valid key" },
    ErrorEntry { WrongTeam, "wrong_team", 403, NotRun, "the key's team may not use this queue",
        "use a queue of your own team or ask an operator for access" },
    ErrorEntry { UnknownQueue, "unknown_queue", 404, NotRun, "no such queue",
        "list the queues with 'quayctl config status'" },
    ErrorEntry {
        UnknownJob, "unknown_job", 404, NotRun, "no such job", "check the job id with 'quayctl job list'" },
    ErrorEntry { RequestIdReused, "request_id_reused", 409, NotRun,
        "this request id was used before with another body", "use a new request id for new work" },
    ErrorEntry { DeadlineExceeded, "deadline_exceeded", 504, NotRun, "the deadline can't be met",
        "retry later or allow a longer deadline" },
    ErrorEntry { QueueFull, "queue_full", 429, NotRun, "the team's queue is full",
        "retry after the time in Retry-After" },
    ErrorEntry { QuotaExhausted, "quota_exhausted", 429, NotRun, "the team's upper limit is in use",
        "wait for running work to end or ask an operator for a higher limit" },
    ErrorEntry { NoCapacity, "no_capacity", 503, NotRun, "no backend server has room",
        "retry after the time in Retry-After" },
    ErrorEntry { NeverRunnable, "never_runnable", 422, NotRun,
        "no worker of the fleet could ever hold a task of this size",
        "ask for less or have a larger worker added" },
    ErrorEntry { StoreUnavailable, "store_unavailable", 503, NotRun, "the table service can't be reached",
        "retry with the same request id when the platform is back" },
    ErrorEntry { StaleConfiguration, "stale_configuration", 503, NotRun,
        "this node's configuration may be out of date",
        "retry through another entry VM or wait until the node is connected again" },
    ErrorEntry { OwnerUnreachable, "owner_unreachable", 503, NotRun,
        "the owner of this work can't be reached", "retry with the same request id" },
    ErrorEntry { BackendFailed, "backend_failed", 502, NotRun, "the backend server refused the work",
        "retry; if it goes on, see 'quayctl fleet' for ejected servers" },
    ErrorEntry { OutcomeUnknown, "outcome_unknown", 502, Unknown,
        "the work was sent and its outcome is not known", "check its effect before sending it again" },
    ErrorEntry { RetryBudgetExhausted, "retry_budget_exhausted", 503, NotRun,
        "the team's retry budget is used up", "slow down retries; retry after the time in Retry-After" },
    ErrorEntry { ShuttingDown, "shutting_down", 503, NotRun, "this entry VM is shutting down",
        "retry through the balancer" },
    ErrorEntry { VersionConflict, "version_conflict", 409, NotRun,
        "another operator changed the configuration first",
        "run 'quayctl config diff' against the current version and apply again" },
    ErrorEntry { InvalidConfiguration, "invalid_configuration", 422, NotRun, "the configuration is not valid",
        "correct the named file and line" },
    ErrorEntry { NotFound, "not_found", 404, NotRun, "no such path",
        "see the callers' guide for the paths of this version" },
    ErrorEntry { MissingRequestId, "missing_request_id", 400, NotRun,
        "a durable request needs an idempotency key",
        "send a unique 'Request-Id' header and reuse it on retries" },
    ErrorEntry {
        NotOperator, "not_operator", 403, NotRun, "this needs an operator's key", "use an operator's key" },
    ErrorEntry { Overloaded, "overloaded", 503, NotRun, "this entry VM is overloaded",
        "retry after the time in Retry-After" },
    ErrorEntry { SubmissionUnknown, "submission_unknown", 504, Unknown,
        "it is not known whether the request was accepted",
        "send it again with the same request id; it is never done twice" },
    ErrorEntry { CursorTooOld, "cursor_too_old", 410, NotRun, "events after this cursor were removed",
        "list the jobs and watch again from cursor 0" },
    ErrorEntry { JobCancelled, "job_cancelled", 410, NotRun, "this job was cancelled before it was accepted",
        "submit new work under a new job id" },
};

} // namespace

const ErrorEntry& describe(ErrorKind kind)
{
    const auto index = static_cast<std::size_t>(kind);
    if (index < errorTable.size())
        return errorTable[index];
    return errorTable[static_cast<std::size_t>(OutcomeUnknown)];
}

std::string_view text(Disposition disposition) { return disposition == NotRun ? "not run" : "unknown"; }

std::string Reason::explain() const
{
    const auto& entry = describe(kind);
    std::string line(entry.message);
    if (!detail.empty())
        line.append(": ").append(detail);
    return line.append("; ").append(entry.remedy);
}

std::nullopt_t fail(Reason& reason, ErrorKind kind, std::string detail)
{
    reason = Reason { kind, std::move(detail) };
    return std::nullopt;
}

} // namespace quay
