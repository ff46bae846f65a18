#include "edge/PeerClient.h"

#include <boost/json.hpp>

namespace quay::edge {

namespace json = boost::json;

namespace {

constexpr std::size_t greetConnections = 2;
constexpr std::size_t acceptConnections = 40; // a burst of a node's callers during one slow commit
constexpr std::size_t connections = 4;
constexpr std::size_t slowConnections = 8;
constexpr std::size_t maxResponseBytes = 256 * 1024;
constexpr auto tellTimeout = 1000ms; // the leader also reads the store's changes

} // namespace

std::string encode(const Greeter& greeter)
{
    return json::serialize(json::object {
        { "node", greeter.node }, { "address", greeter.address }, { "share", greeter.processorShare } });
}

std::optional<Greeter> decodeGreeter(const std::string& body)
{
    try {
        const auto value = json::parse(body);
        const auto& object = value.as_object();
        return Greeter { std::string(object.at("node").as_string()),
            std::string(object.at("address").as_string()), object.at("share").to_number<double>() };
    } catch (const std::exception&) {
        return std::nullopt; // refused by the node that is greeted, which the greeter logs
    }
}

std::string encode(const Greeting& greeting)
{
    json::object object { { "leader", greeting.isLeader }, { "usable", greeting.isUsable },
        { "version", greeting.configurationVersion } };
    if (greeting.pending) {
        json::object pending;
        for (const auto& [queue, count] : *greeting.pending)
            pending[queue] = count;
        object["pending"] = std::move(pending);
    }
    return json::serialize(object);
}

std::optional<Greeting> decodeGreeting(const std::string& body)
{
    try {
        const auto value = json::parse(body);
        const auto& object = value.as_object();
        Greeting greeting;
        greeting.isAnswered = true;
        greeting.isLeader = object.at("leader").as_bool();
        greeting.isUsable = object.at("usable").as_bool();
        greeting.configurationVersion = object.at("version").to_number<std::int64_t>();
        if (const auto* pending = object.if_contains("pending")) {
            greeting.pending.emplace();
            for (const auto& it : pending->as_object())
                (*greeting.pending)[std::string(it.key())] = it.value().to_number<std::int64_t>();
        }
        return greeting;
    } catch (const std::exception&) {
        return std::nullopt; // the caller treats it as no answer and logs the loss of the leader
    }
}

std::string encodeApprovalQuestion(
    const std::string& step, const std::vector<std::string>& workers, Duration timeout)
{
    json::array names;
    for (const auto& it : workers)
        names.emplace_back(it);
    return json::serialize(json::object {
        { "step", step }, { "workers", std::move(names) }, { "timeout_ms", toMilliseconds(timeout) } });
}

bool decodeApprovalQuestion(
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

std::string encodeApprovalAnswer(const platform::ApprovalResponse& answer)
{
    json::array rows;
    for (const auto& it : answer.approved)
        rows.push_back(json::array { it.executor, it.ticket });
    return json::serialize(json::object { { "decided", answer.isDecided }, { "status", answer.status },
        { "life_ms", answer.ticketLifeMs }, { "rows", std::move(rows) } });
}

namespace {

platform::ApprovalResponse decodeApprovalAnswer(const std::string& body)
{
    platform::ApprovalResponse answer;
    try {
        const auto value = json::parse(body);
        const auto& object = value.as_object();
        answer.status = object.at("status").to_number<unsigned>();
        answer.ticketLifeMs = object.at("life_ms").to_number<std::int64_t>();
        for (const auto& it : object.at("rows").as_array())
            answer.approved.push_back(
                { std::string(it.at(0).as_string()), std::string(it.at(1).as_string()) });
        answer.isDecided = object.at("decided").as_bool();
    } catch (const std::exception&) {
        answer.isDecided = false; // asked again
    }
    return answer;
}

} // namespace

PeerClient::PeerClient(boost::asio::io_context& context)
    : m_greetings(context, greetConnections, maxResponseBytes)
    , m_accepts(context, acceptConnections, maxResponseBytes)
    , m_client(context, connections, maxResponseBytes)
    , m_slow(context, slowConnections, maxResponseBytes)
{
}

void PeerClient::greet(
    const std::string& address, const Greeter& self, Duration timeout, std::function<void(Greeting)> done)
{
    auto request = jsonPost(greetPath, encode(self));
    m_greetings.send(address, std::move(request), timeout, [done = std::move(done)](HttpResult result) {
        Greeting greeting;
        if (result.response && result.response->status == 200)
            greeting = decodeGreeting(result.response->body).value_or(Greeting {});
        done(std::move(greeting));
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
            const bool isNamed = outcome && outcome->is_int64() && outcome->get_int64() >= 0
                && outcome->get_int64() <= static_cast<int>(AcceptOutcome::Unknown);
            if (isNamed)
                done(static_cast<AcceptOutcome>(outcome->get_int64()));
            else // a node that does not lead says so by its status
                done(result.response->status == 409 ? AcceptOutcome::NotWritten : AcceptOutcome::Unknown);
        });
}

void PeerClient::tellJob(const std::string& address, const StoredJob& job)
{
    m_client.send(address, jsonPost(jobPath, encode(job)), tellTimeout, [](HttpResult) {});
}

void PeerClient::tellCancel(const std::string& address, const std::string& id)
{
    m_client.send(address, jsonPost(cancelPath, json::serialize(json::object { { "id", id } })), tellTimeout,
        [](HttpResult) {});
}

void PeerClient::askState(const std::string& address, const std::string& id, Duration timeout,
    std::function<void(StateAnswer)> done)
{
    auto request = jsonPost(statePath, json::serialize(json::object { { "id", id } }));
    m_client.send(address, std::move(request), timeout, [done = std::move(done)](HttpResult result) {
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

void PeerClient::approve(const std::string& address, const std::string& step,
    const std::vector<std::string>& workers, Duration timeout,
    std::function<void(platform::ApprovalResponse)> done)
{
    auto request = jsonPost(approvePath, encodeApprovalQuestion(step, workers, timeout));
    m_slow.send(address, std::move(request), timeout + 200ms, [done = std::move(done)](HttpResult result) {
        if (result.response && result.response->status == 200)
            done(decodeApprovalAnswer(result.response->body));
        else
            done({});
    });
}

} // namespace quay::edge
