#include "edge/PeerClient.h"

#include <boost/json.hpp>

namespace quay::edge {

namespace json = boost::json;

namespace {

constexpr std::size_t probeConnections = 2;
constexpr std::size_t acceptConnections = 40; // a burst of submissions to one node during one slow commit
constexpr std::size_t messageConnections = 4;
constexpr std::size_t approvalConnections = 8;
constexpr std::size_t configurationConnections = 1;
constexpr std::size_t maxResponseBytes = 256 * 1024;
constexpr std::size_t maxConfigurationBytes = 8 * 1024 * 1024;
constexpr auto notifyTimeout = 1000ms; // no retry: the leader also reads the store's changes
constexpr auto takeoverTimeout = 1500ms; // a write of the row by the other node
constexpr std::chrono::milliseconds maxConfigurationAge = std::chrono::hours(1); // older ones are of no use
constexpr Duration configurationTimeout = 1000ms; // until the response begins

} // namespace

std::string encode(const LeaderProbe& probe)
{
    return json::serialize(json::object { { "node", probe.node }, { "address", probe.address },
        { "zone", probe.zone }, { "share", probe.processorShare } });
}

std::optional<LeaderProbe> decodeLeaderProbe(const std::string& body)
{
    try {
        const auto value = json::parse(body);
        const auto& object = value.as_object();
        LeaderProbe probe;
        probe.node = std::string(object.at("node").as_string());
        probe.address = std::string(object.at("address").as_string());
        probe.processorShare = object.at("share").to_number<double>();
        if (const auto* zone = object.if_contains("zone")) // missing in probes of earlier releases
            probe.zone = std::string(zone->as_string());
        return probe;
    } catch (const std::exception&) {
        return std::nullopt; // the probed node refuses the probe, and the sender logs that
    }
}

std::string encode(const LeaderStatus& status)
{
    json::object object { { "leader", status.isLeader }, { "usable", status.canCommit },
        { "version", status.configurationVersion }, { "nodes", status.nodeCount } };
    if (status.configurationAge)
        object["version_age_ms"]
            = std::chrono::ceil<std::chrono::milliseconds>(*status.configurationAge).count();
    if (status.pending) {
        json::object pending;
        for (const auto& [queue, count] : *status.pending)
            pending[queue] = count;
        object["pending"] = std::move(pending);
    }
    return json::serialize(object);
}

namespace {

// A negative age would name a moment that is still to come.
std::optional<Duration> decodeAge(std::int64_t ms)
{
    if (ms < 0 || ms > maxConfigurationAge.count())
        return std::nullopt;
    return std::chrono::milliseconds(ms);
}

} // namespace

std::optional<LeaderStatus> decodeLeaderStatus(const std::string& body)
{
    try {
        const auto value = json::parse(body);
        const auto& object = value.as_object();
        LeaderStatus status;
        status.isAnswered = true;
        status.isLeader = object.at("leader").as_bool();
        status.canCommit = object.at("usable").as_bool();
        status.configurationVersion = object.at("version").to_number<std::int64_t>();
        if (const auto* age = object.if_contains("version_age_ms")) // missing in answers of earlier releases
            status.configurationAge = decodeAge(age->to_number<std::int64_t>());
        if (const auto* nodes = object.if_contains("nodes")) // missing in answers of earlier releases
            status.nodeCount = nodes->to_number<std::size_t>();
        if (const auto* pending = object.if_contains("pending")) {
            status.pending.emplace();
            for (const auto& it : pending->as_object())
                (*status.pending)[std::string(it.key())] = it.value().to_number<std::int64_t>();
        }
        return status;
    } catch (const std::exception&) {
        return std::nullopt; // treated as no answer; the election logs that the leader is unreachable
    }
}

std::string encode(CancelAnswer answer)
{
    return json::serialize(json::object { { "answer", static_cast<int>(answer) } });
}

CancelAnswer decodeCancelAnswer(const std::string& body)
{
    json::error_code ec;
    const auto value = json::parse(body, ec);
    const auto* answer = !ec && value.is_object() ? value.get_object().if_contains("answer") : nullptr;
    const bool isKnown = answer && answer->is_int64() && answer->get_int64() >= 0
        && answer->get_int64() <= static_cast<int>(CancelAnswer::Unavailable);
    return isKnown ? static_cast<CancelAnswer>(answer->get_int64()) : CancelAnswer::Unavailable;
}

std::string encodeApprovalRequest(
    const std::string& step, const std::vector<std::string>& workers, Duration timeout)
{
    json::array names;
    for (const auto& it : workers)
        names.emplace_back(it);
    return json::serialize(json::object {
        { "step", step }, { "workers", std::move(names) }, { "timeout_ms", toMilliseconds(timeout) } });
}

bool decodeApprovalRequest(
    const std::string& body, std::string& step, std::vector<std::string>& workers, Duration& timeout)
{
    try {
        const auto value = json::parse(body);
        const auto& object = value.as_object();
        step = std::string(object.at("step").as_string());
        for (const auto& it : object.at("workers").as_array())
            workers.emplace_back(it.as_string());
        timeout = std::chrono::milliseconds(object.at("timeout_ms").to_number<std::int64_t>());
        return true;
    } catch (const std::exception&) {
        return false;
    }
}

std::string encodeApprovalResponse(const platform::ApprovalResponse& answer)
{
    json::array rows;
    for (const auto& it : answer.approved)
        rows.push_back(json::array { it.executor, it.ticket });
    return json::serialize(json::object { { "decided", answer.isDecided }, { "status", answer.status },
        { "life_ms", answer.ticketValidityMs }, { "rows", std::move(rows) } });
}

namespace {

platform::ApprovalResponse decodeApprovalResponse(const std::string& body)
{
    platform::ApprovalResponse answer;
    try {
        const auto value = json::parse(body);
        const auto& object = value.as_object();
        answer.status = object.at("status").to_number<unsigned>();
        answer.ticketValidityMs = object.at("life_ms").to_number<std::int64_t>();
        for (const auto& it : object.at("rows").as_array())
            answer.approved.push_back(
                { std::string(it.at(0).as_string()), std::string(it.at(1).as_string()) });
        answer.isDecided = object.at("decided").as_bool();
    } catch (const std::exception&) {
        answer.isDecided = false; // the scheduler asks again
    }
    return answer;
}

} // namespace

PeerClient::PeerClient(boost::asio::io_context& context)
    : m_probes(context, probeConnections, maxResponseBytes)
    , m_accepts(context, acceptConnections, maxResponseBytes)
    , m_messages(context, messageConnections, maxResponseBytes)
    , m_approvals(context, approvalConnections, maxResponseBytes)
    , m_configurations(context, configurationConnections, maxConfigurationBytes)
{
}

void PeerClient::probe(const std::string& address, const LeaderProbe& probe, Duration timeout,
    std::function<void(LeaderStatus)> done)
{
    auto request = jsonPost(probePath, encode(probe));
    m_probes.send(address, std::move(request), timeout, [done = std::move(done)](HttpResult result) {
        LeaderStatus status;
        if (result.response && result.response->status == 200)
            status = decodeLeaderStatus(result.response->body).value_or(LeaderStatus {});
        done(std::move(status));
    });
}

void PeerClient::requestTakeover(
    const std::string& address, std::int64_t version, std::function<void(bool)> done)
{
    m_probes.send(address, jsonPost(takeoverPath, json::serialize(json::object { { "version", version } })),
        takeoverTimeout, [done = std::move(done)](const HttpResult& result) {
            done(result.response && result.response->body == takenBody);
        });
}

void PeerClient::accept(const std::string& address, const StoredJob& job, Duration timeout,
    std::function<void(AcceptOutcome)> done)
{
    m_accepts.send(
        address, jsonPost(acceptPath, encode(job)), timeout, [done = std::move(done)](HttpResult result) {
            if (!result.response) {
                done(result.mayHaveArrived ? AcceptOutcome::Unknown : AcceptOutcome::NotWritten);
                return;
            }
            json::error_code ec;
            const auto value = json::parse(result.response->body, ec);
            const auto* outcome
                = !ec && value.is_object() ? value.get_object().if_contains("outcome") : nullptr;
            const bool isKnownOutcome = outcome && outcome->is_int64() && outcome->get_int64() >= 0
                && outcome->get_int64() <= static_cast<int>(AcceptOutcome::Cancelled);
            if (isKnownOutcome)
                done(static_cast<AcceptOutcome>(outcome->get_int64()));
            else // 409: the node is not the leader
                done(result.response->status == 409 ? AcceptOutcome::NotWritten : AcceptOutcome::Unknown);
        });
}

void PeerClient::notifyJob(const std::string& address, const StoredJob& job)
{
    m_messages.send(address, jsonPost(jobPath, encode(job)), notifyTimeout, [](HttpResult) {});
}

void PeerClient::notifyCancel(const std::string& address, const std::string& id)
{
    m_messages.send(address, jsonPost(cancelPath, json::serialize(json::object { { "id", id } })),
        notifyTimeout, [](HttpResult) {});
}

void PeerClient::requestCancel(const std::string& address, const std::string& id, const std::string& team,
    Duration timeout, std::function<void(CancelAnswer)> done)
{
    auto request
        = jsonPost(cancelRequestPath, json::serialize(json::object { { "id", id }, { "team", team } }));
    m_messages.send(address, std::move(request), timeout, [done = std::move(done)](const HttpResult& result) {
        // A leader of an earlier release answers 409.
        done(result.response && result.response->status == 200 ? decodeCancelAnswer(result.response->body)
                                                               : CancelAnswer::Unavailable);
    });
}

void PeerClient::requestJobState(const std::string& address, const std::string& id, Duration timeout,
    std::function<void(StateAnswer)> done)
{
    auto request = jsonPost(statePath, json::serialize(json::object { { "id", id } }));
    m_messages.send(address, std::move(request), timeout, [done = std::move(done)](HttpResult result) {
        StateAnswer answer;
        if (result.response && result.response->status == 200) {
            json::error_code ec;
            const auto value = json::parse(result.response->body, ec);
            if (!ec && value.is_object()) {
                const auto& object = value.get_object();
                const auto* phase = object.if_contains("phase");
                answer.isAnswered = phase && phase->is_int64();
                if (answer.isAnswered && phase->get_int64() >= 0)
                    answer.phase = static_cast<fleet::JobPhase>(phase->get_int64());
            }
        }
        done(answer);
    });
}

void PeerClient::requestConfiguration(
    const std::string& address, std::function<void(std::optional<std::string>)> done)
{
    HttpRequest request;
    request.target = configurationPath;
    m_configurations.send(address, std::move(request), RequestTimeout::forLargeResponse(configurationTimeout),
        [done = std::move(done)](HttpResult result) {
            if (result.response && result.response->status == 200)
                done(std::move(result.response->body));
            else
                done(std::nullopt);
        });
}

void PeerClient::approve(const std::string& address, const std::string& step,
    const std::vector<std::string>& workers, Duration timeout,
    std::function<void(platform::ApprovalResponse)> done)
{
    auto request = jsonPost(approvePath, encodeApprovalRequest(step, workers, timeout));
    m_approvals.send(
        address, std::move(request), timeout + 200ms, [done = std::move(done)](HttpResult result) {
            if (result.response && result.response->status == 200)
                done(decodeApprovalResponse(result.response->body));
            else
                done({});
        });
}

} // namespace quay::edge
