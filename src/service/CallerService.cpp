#include "service/CallerService.h"

#include "service/JobJson.h"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>

namespace quay {

namespace json = boost::json;

namespace {

constexpr std::size_t ringCapacity = 1024;
constexpr std::uint32_t maxDeadlineMs = 300'000;
constexpr std::size_t maxRequestIdBytes = 128;
constexpr std::uint64_t maxWatchWaitMs = 30'000;
constexpr auto certificateCheckPeriod = std::chrono::seconds(10);
constexpr auto bootstrapId = "(no configuration yet)"; // differs from all key ids, which contain no spaces
constexpr std::string_view bearerPrefix = "Bearer ";

HttpLimits limitsOf(const Settings& settings)
{
    HttpLimits limits;
    limits.maxBodyBytes = settings.limits.maxBodyBytes;
    limits.maxHeaderBytes = settings.limits.maxHeaderBytes;
    limits.idleTimeoutMs = static_cast<int>(settings.limits.idleTimeoutMs);
    return limits;
}

HttpResponse jsonResponse(const json::object& object)
{
    HttpResponse response;
    response.body = json::serialize(object);
    return response;
}

bool isOperatorPath(const std::string& path)
{
    return path == "/v1/fleet" || path == "/v1/config" || path == "/v1/config/status" || path == "/v1/teams"
        || path.starts_with("/v1/traces");
}

// The route without ids, which bounds the number of label values in the metrics.
std::string routeName(const HttpRequest& request)
{
    const auto path = request.path();
    if (path == "/v1/ask")
        return "ask";
    if (path == "/v1/watch")
        return "watch";
    if (path == "/v1/jobs")
        return request.method == "POST" ? "submit" : "list";
    if (path.starts_with("/v1/jobs/"))
        return path.ends_with("/cancel") ? "cancel" : path.ends_with("/explain") ? "explain" : "status";
    return isOperatorPath(path) ? "operator" : "other";
}

// The error kind in the body of an error response; "none" for success.
std::string errorKindOf(const HttpResponse& response)
{
    if (response.status < 300)
        return "none";
    boost::system::error_code ec;
    const auto value = json::parse(response.body, ec);
    const auto* error = !ec && value.is_object() ? value.get_object().if_contains("error") : nullptr;
    return error ? std::string(error->at("kind").as_string()) : "other";
}

bool acceptsKind(QueueKind queue, JobKind job) { return queue == QueueKind::Any || text(queue) == text(job); }

// Parses a header that must be a whole number from 1 to `max`; returns the fallback if it is absent.
std::optional<std::uint32_t> parseNumberHeader(const HttpRequest& request, const std::string& name,
    std::uint32_t fallback, std::uint32_t max, Reason& reason)
{
    const auto value = request.header(name);
    if (value.empty())
        return fallback;
    std::uint32_t number = 0;
    const auto [rest, ec] = std::from_chars(value.data(), value.data() + value.size(), number);
    if (ec != std::errc() || rest != value.data() + value.size() || !number || number > max)
        return fail(reason, ErrorKind::MalformedRequest, name + " must be from 1 to " + std::to_string(max));
    return number;
}

// Parses a query parameter that must be a whole number; returns 0 if it is absent.
std::optional<std::uint64_t> parseNumberQuery(
    const HttpRequest& request, const std::string& name, Reason& reason)
{
    const auto value = request.query(name);
    std::uint64_t number = 0;
    const auto [rest, ec] = std::from_chars(value.data(), value.data() + value.size(), number);
    if (!value.empty() && (ec != std::errc() || rest != value.data() + value.size()))
        return fail(reason, ErrorKind::MalformedRequest, name + " must be a whole number");
    return number;
}

JobService::Done respondWithReply(const Respond& respond)
{
    return [respond](JobReply reply) { respond(toHttpResponse(std::move(reply))); };
}

std::optional<bool> parseBooleanHeader(
    const HttpRequest& request, const std::string& name, bool fallback, Reason& reason)
{
    const auto value = request.header(name);
    if (value.empty())
        return fallback;
    if (value != "true" && value != "false")
        return fail(reason, ErrorKind::MalformedRequest, name + " must be true or false");
    return value == "true";
}

// The request id becomes part of a row key, so only certain characters are allowed.
bool isRequestId(const std::string& id)
{
    const auto allowed = [](unsigned char c) { return std::isalnum(c) || c == '-' || c == '_' || c == '.'; };
    return !id.empty() && id.size() <= maxRequestIdBytes && std::all_of(id.begin(), id.end(), allowed);
}

// The part of a job id before the last dot is the failure domain of the job, as "d1" in "d1.18c2-5f".
std::optional<DomainId> domainOfJob(const std::string& job)
{
    const auto dot = job.rfind('.');
    if (dot == std::string::npos || !dot)
        return std::nullopt;
    return DomainId { job.substr(0, dot) };
}

} // namespace

CallerService::CallerService(const Settings& settings, MembershipService& membership,
    ConfigurationService& configuration, QuotaService& quota, InteractiveService& interactive,
    JobService& jobs, Telemetry telemetry)
    : ServiceThread("callers", ringCapacity)
    , m_membership(membership)
    , m_configuration(configuration)
    , m_quota(quota)
    , m_interactive(interactive)
    , m_jobs(jobs)
    , m_telemetry(telemetry)
    , m_certificate(settings.tls.enabled() ? std::make_shared<TlsCertificate>(settings.tls) : nullptr)
    , m_server(
          context(), settings.listen, limitsOf(settings),
          [this](HttpRequest request, Respond respond) { handle(std::move(request), std::move(respond)); },
          m_certificate)
{
    if (m_certificate)
        every(certificateCheckPeriod, [this] { refreshCertificate(); });
}

void CallerService::refreshCertificate()
{
    std::string detail;
    const auto change = m_certificate->refresh(detail);
    if (change == TlsCertificate::RefreshResult::Replaced)
        m_telemetry.log.write(EventId::CertificateReplaced, { { "expiry", m_certificate->expiry() } });
    if (change == TlsCertificate::RefreshResult::Invalid)
        m_telemetry.log.write(EventId::CertificateRejected, { { "detail", detail } });
}

void CallerService::handle(HttpRequest request, Respond respond)
{
    const auto path = request.path();
    if (path == "/healthz") {
        health(respond);
        return;
    }
    if (path == "/metrics") {
        showMetrics(respond);
        return;
    }
    auto span = m_telemetry.traces.begin("entry", parseTraceparent(request.header("traceparent")));
    request.headers["traceparent"] = traceparent(span.context);
    const auto answer = instrument(request, std::move(span), std::move(respond));
    route(request, answer);
}

// Wraps `respond` to record metrics, the log event and the trace span of the response.
Respond CallerService::instrument(const HttpRequest& request, Span span, Respond respond)
{
    const auto startedAt = std::chrono::steady_clock::now();
    const auto name = routeName(request);
    auto& duration = m_telemetry.metrics.histogram("quay_request_duration_seconds",
        "Time from a request's last byte to its answer", "route=\"" + name + "\"");
    return [this, startedAt, name, &duration, span = std::move(span), respond = std::move(respond)](
               HttpResponse response) {
        duration.record(std::chrono::steady_clock::now() - startedAt);
        const auto kind = errorKindOf(response);
        m_telemetry.metrics
            .counter("quay_requests_total", "Requests answered, by route and error kind",
                "route=\"" + name + "\",kind=\"" + kind + "\"")
            .add();
        if (kind != "none") {
            const auto event = response.status == 502 || response.status == 504 ? EventId::RequestFailed
                                                                                : EventId::RequestRefused;
            m_telemetry.log.write(
                event, { { "kind", kind }, { "route", name }, { "trace", span.context.traceId } });
        }
        response.headers["Traceparent"] = traceparent(span.context);
        m_telemetry.traces.end(span, kind != "none", kind == "none" ? name : kind);
        respond(std::move(response));
    };
}

void CallerService::route(const HttpRequest& request, const Respond& respond)
{
    const auto path = request.path();
    if (path == "/v1/ask" && request.method == "POST")
        ask(request, respond);
    else if (path == "/v1/jobs" && request.method == "POST")
        submit(request, respond);
    else if (path == "/v1/jobs" || path.starts_with("/v1/jobs/"))
        handleJobCall(request, respond);
    else if (path == "/v1/watch")
        watch(request, respond);
    else if (!handleOperatorRequest(request, respond))
        respond(errorResponse(Reason { ErrorKind::NotFound, request.method + " " + path }));
}

bool CallerService::handleOperatorRequest(const HttpRequest& request, const Respond& respond)
{
    const auto path = request.path();
    if (!isOperatorPath(path))
        return false;
    Reason reason;
    const auto operatorMatch = authenticateOperator(request, reason);
    if (!operatorMatch)
        respond(errorResponse(reason));
    else if (path == "/v1/fleet")
        showFleet(respond);
    else if (path.starts_with("/v1/traces"))
        showTrace(request, respond);
    else if (path == "/v1/teams")
        showTeams(respond);
    else if (path == "/v1/config/status")
        showRollout(respond);
    else if (request.method == "POST")
        applyConfiguration(request, *operatorMatch, respond);
    else
        showConfiguration(respond);
    return true;
}

std::optional<KeyMatch> CallerService::authenticate(const HttpRequest& request, Reason& reason) const
{
    const auto header = request.header("authorization");
    if (!header.starts_with(bearerPrefix))
        return fail(reason, ErrorKind::MissingKey);
    const auto active = m_configuration.active().get();
    if (!active->canServeAuthenticatedWork(std::chrono::steady_clock::now()))
        return fail(reason, ErrorKind::StaleConfiguration);
    auto match = matchKey(active->configuration, header.substr(bearerPrefix.size()));
    if (!match)
        return fail(reason, ErrorKind::InvalidKey);
    return match;
}

std::optional<KeyMatch> CallerService::authenticateOperator(const HttpRequest& request, Reason& reason) const
{
    const auto active = m_configuration.active().get();
    // The first configuration is accepted without a key, because keys are defined in the configuration.
    if (active->isKnown && !active->configuration.version)
        return KeyMatch { bootstrapId, KeyRole::Operator, {} };
    auto match = authenticate(request, reason);
    if (match && match->role != KeyRole::Operator)
        return fail(reason, ErrorKind::NotOperator, match->id);
    return match;
}

std::optional<CallerService::Admission> CallerService::admit(
    const HttpRequest& request, const QueueId& queue, Reason& reason) const
{
    const auto active = m_configuration.active().get();
    if (!active->isKnown)
        return fail(reason, ErrorKind::StaleConfiguration);
    auto it = active->configuration.queues.find(queue);
    if (it == active->configuration.queues.end())
        return fail(reason, ErrorKind::UnknownQueue, queue.text);
    const auto& config = it->second;
    if (config.open && request.header("authorization").empty())
        return Admission { KeyMatch { "open", KeyRole::Team, config.teams.front() }, config };
    auto match = authenticate(request, reason);
    if (!match)
        return std::nullopt;
    if (match->role != KeyRole::Team || !mayUse(config, match->team))
        return fail(reason, ErrorKind::WrongTeam, "queue " + queue.text);
    return Admission { *match, config };
}

void CallerService::ask(const HttpRequest& request, const Respond& respond)
{
    Reason reason;
    const QueueId queue { request.query("queue") };
    const auto admission = admit(request, queue, reason);
    if (!admission) {
        respond(errorResponse(reason));
        return;
    }
    const auto& config = admission->queue;
    const bool rightKind = config.kind == QueueKind::Interactive || config.kind == QueueKind::Any;
    const auto deadlineMs
        = parseNumberHeader(request, "deadline-ms", config.deadlineMs, maxDeadlineMs, reason);
    const auto idempotent = parseBooleanHeader(request, "idempotent", config.idempotent, reason);
    if (!rightKind || !deadlineMs || !idempotent) {
        if (!rightKind)
            reason = Reason { ErrorKind::UnknownQueue, queue.text + " does not accept interactive requests" };
        respond(errorResponse(reason));
        return;
    }
    AskCall call;
    call.team = admission->key.team;
    call.queue = queue;
    call.requestId = request.header("request-id");
    call.traceparent = request.header("traceparent");
    call.body = request.body;
    call.idempotent = *idempotent;
    call.deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(*deadlineMs);
    m_interactive.ask(std::move(call), [respond](AskReply reply) {
        if (reply.reason.kind != ErrorKind::None) {
            respond(errorResponse(reply.reason, reply.retryAfterMs));
            return;
        }
        HttpResponse response;
        response.contentType = "application/octet-stream";
        response.body = std::move(reply.body);
        respond(std::move(response));
    });
}

void CallerService::submit(const HttpRequest& request, const Respond& respond)
{
    Reason reason;
    auto spec = parseJobSpec(request.body, reason);
    if (!spec) {
        respond(errorResponse(reason));
        return;
    }
    const auto admission = admit(request, spec->queue, reason);
    if (!admission) {
        respond(errorResponse(reason));
        return;
    }
    if (!acceptsKind(admission->queue.kind, spec->kind)) {
        respond(errorResponse(
            Reason { ErrorKind::UnknownQueue, spec->queue.text + " does not accept jobs of this kind" }));
        return;
    }
    JobCall call;
    call.operation = JobOperation::Submit;
    call.requestId = request.header("request-id");
    if (!isRequestId(call.requestId)) {
        respond(errorResponse(
            Reason { ErrorKind::MissingRequestId, "letters, digits, '-', '_', '.'; at most 128" }));
        return;
    }
    const auto domain = request.query("domain");
    call.domain = domain.empty() ? m_membership.self().domain : DomainId { domain };
    call.team = admission->key.team;
    spec->team = call.team;
    spec->requestId = call.requestId;
    call.spec = std::move(*spec);
    m_jobs.call(std::move(call), respondWithReply(respond));
}

void CallerService::watch(const HttpRequest& request, const Respond& respond)
{
    Reason reason;
    const auto match = authenticate(request, reason);
    const auto cursor = parseNumberQuery(request, "cursor", reason);
    const auto waitMs = parseNumberQuery(request, "wait_ms", reason);
    if (!match || !cursor || !waitMs) {
        respond(errorResponse(reason));
        return;
    }
    JobCall call;
    call.operation = JobOperation::Watch;
    call.team = match->team;
    call.cursor = *cursor;
    call.waitMs = static_cast<std::uint32_t>(std::min<std::uint64_t>(*waitMs, maxWatchWaitMs));
    const auto domain = request.query("domain");
    call.domain = domain.empty() ? m_membership.self().domain : DomainId { domain };
    m_jobs.call(std::move(call), respondWithReply(respond));
}

void CallerService::handleJobCall(const HttpRequest& request, const Respond& respond)
{
    Reason reason;
    const auto match = authenticate(request, reason);
    if (!match) {
        respond(errorResponse(reason));
        return;
    }
    JobCall call;
    call.team = match->team;
    const auto path = request.path();
    const std::string prefix = "/v1/jobs/";
    std::string rest = path.size() > prefix.size() ? path.substr(prefix.size()) : std::string();
    if (rest.empty()) {
        call.operation = JobOperation::List;
        call.job = JobId { request.query("after") };
        const auto domain = request.query("domain");
        call.domain = domain.empty() ? m_membership.self().domain : DomainId { domain };
    } else {
        if (rest.ends_with("/cancel") && request.method == "POST")
            call.operation = JobOperation::Cancel;
        else if (rest.ends_with("/explain"))
            call.operation = JobOperation::Explain;
        call.job = JobId { rest.substr(0, rest.find('/')) };
        const auto domain = domainOfJob(call.job.text);
        if (!domain) {
            respond(errorResponse(Reason { ErrorKind::UnknownJob, call.job.text }));
            return;
        }
        call.domain = *domain;
    }
    m_jobs.call(std::move(call), respondWithReply(respond));
}

void CallerService::health(const Respond& respond)
{
    if (m_isLeavingBalancer)
        respond(errorResponse(Reason { ErrorKind::ShuttingDown, {} }));
    else
        respond(jsonResponse({ { "status", "ok" } }));
}

void CallerService::showFleet(const Respond& respond)
{
    const auto topology = m_membership.topology().get();
    json::array members;
    for (const auto& member : topology->members) {
        const auto* lead = topology->leaderOf(member.domain);
        members.push_back(json::object { { "id", member.id.text }, { "domain", member.domain.text },
            { "peer_address", member.peerAddress }, { "leads", lead && lead->id == member.id } });
    }
    const auto fleet = m_membership.fleet().get();
    json::object counts;
    for (const auto& server : fleet->servers) {
        auto& count = counts[server.domain.text];
        count = count.is_null() ? 1 : count.as_int64() + 1;
    }
    const auto ownership = m_membership.ownership().get();
    respond(jsonResponse(
        { { "self", m_membership.self().id.text }, { "epoch", ownership->epoch }, { "members", members },
            { "servers_by_domain", counts }, { "executors_owned", ownership->executors.size() },
            { "configuration_version", m_configuration.active().get()->configuration.version } }));
}

void CallerService::showMetrics(const Respond& respond)
{
    HttpResponse response;
    response.contentType = "text/plain; version=0.0.4";
    response.body = m_telemetry.metrics.page();
    respond(std::move(response));
}

void CallerService::showTrace(const HttpRequest& request, const Respond& respond)
{
    const std::string prefix = "/v1/traces/";
    const auto path = request.path();
    HttpResponse response;
    response.contentType = "application/x-ndjson";
    if (!path.starts_with(prefix)) {
        response.body = m_telemetry.traces.exportLines();
        respond(std::move(response));
        return;
    }
    for (const auto& span : m_telemetry.traces.find(path.substr(prefix.size())))
        response.body += toJson(span) + "\n";
    respond(std::move(response));
}

// Shows the accepted document even while a prepared one restricts it, because changes are based on the full
// one.
void CallerService::showConfiguration(const Respond& respond)
{
    HttpResponse response;
    response.body = toJson(m_configuration.view().get()->accepted.row.document);
    respond(std::move(response));
}

void CallerService::showRollout(const Respond& respond)
{
    m_configuration.status([this, respond](const std::vector<MemberRolloutStatus>& members) {
        const auto view = m_configuration.view().get();
        json::array list;
        for (const auto& member : members) {
            json::object entry { { "id", member.id.text }, { "domain", member.domain.text },
                { "answered", member.hasAnswered } };
            if (member.hasAnswered) {
                entry["seen"] = member.seen;
                entry["in_force"] = member.inForce;
                entry["fresh"] = member.isFresh;
            }
            list.push_back(std::move(entry));
        }
        json::array voters;
        for (const auto& voter : view->accepted.row.voters)
            voters.emplace_back(voter);
        json::object status { { "version", view->accepted.row.document.version },
            { "prepared_version", nullptr }, { "voters", voters }, { "members", list } };
        if (view->hasPendingVersion())
            status["prepared_version"] = view->prepared.row.document.version;
        respond(jsonResponse(status));
    });
}

void CallerService::showTeams(const Respond& respond)
{
    json::array teams;
    for (const auto& [team, teamQuota] : *m_quota.quotaStatuses().get()) {
        teams.push_back(json::object { { "team", team.text }, { "limit", teamQuota.limit },
            { "target", teamQuota.target }, { "granted", teamQuota.granted },
            { "granted_here", teamQuota.grantedHere }, { "running_here", teamQuota.running },
            { "inherited_here", teamQuota.inherited } });
    }
    respond(jsonResponse({ { "teams", teams } }));
}

void CallerService::applyConfiguration(
    const HttpRequest& request, const KeyMatch& operatorMatch, const Respond& respond)
{
    Reason reason;
    auto next = parseConfiguration(request.body, reason);
    if (!next) {
        respond(errorResponse(reason));
        return;
    }
    // The version in the document is the version that the change is based on.
    const auto base = next->version;
    // Without a key only the first configuration is accepted, even if the view of this process is outdated.
    if (base && operatorMatch.id == bootstrapId) {
        respond(errorResponse(Reason { ErrorKind::MissingKey, {} }));
        return;
    }
    m_configuration.apply(
        base, std::move(*next), [respond](std::optional<std::uint64_t> version, Reason why) {
            if (version)
                respond(jsonResponse({ { "version", *version } }));
            else
                respond(errorResponse(why));
        });
}

} // namespace quay
