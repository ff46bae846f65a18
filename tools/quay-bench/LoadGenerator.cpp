#include "quay-bench/LoadGenerator.h"

#include "quay-bench/Http.h"

#include <boost/json.hpp>

namespace quay::bench {

namespace json = boost::json;

namespace {

constexpr std::size_t maxConnections = 1024; // per entry VM
constexpr std::size_t maxResponseBytes = 1024 * 1024;
constexpr auto jobTimeout = std::chrono::seconds(5);
constexpr auto jobRetryDelay = std::chrono::milliseconds(250);
constexpr auto responseGrace = std::chrono::milliseconds(1000); // added to the deadline of a request
constexpr unsigned maxConnectAttempts = 4;
constexpr unsigned firstServerErrorStatus = 500;

std::int64_t microsecondsOf(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
}

Duration seconds(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

struct Refusal {
    std::string kind = "unreadable answer";
    std::string disposition = "unknown";
};

Refusal refusalOf(const HttpResponse& response)
{
    Refusal refusal;
    boost::system::error_code ec;
    const auto value = json::parse(response.body, ec);
    if (ec || !value.is_object() || !value.get_object().if_contains("error"))
        return refusal;
    const auto& error = value.at("error").as_object();
    refusal.kind = std::string(error.at("kind").as_string());
    refusal.disposition = std::string(error.at("disposition").as_string());
    return refusal;
}

} // namespace

LoadGenerator::LoadGenerator(const Experiment& experiment, const ProcessFleet& fleet)
    : m_experiment(experiment)
    , m_fleet(fleet)
    , m_client(m_context, maxConnections, maxResponseBytes)
    , m_random(experiment.seed)
    , m_outcomes(experiment.loads.size())
{
    for (const auto& [name, team] : experiment.teams)
        m_callers.upperLimits[name] = team.upperLimit;
    for (std::size_t i = 0; i < experiment.loads.size(); ++i) {
        m_outcomes[i].waitsBySecond.resize(static_cast<std::size_t>(experiment.durationS) + 1);
        m_streams.push_back({ std::mt19937_64(experiment.seed + i + 1),
            std::make_unique<boost::asio::steady_timer>(m_context), {}, 0 });
    }
}

void LoadGenerator::run(Instant start)
{
    m_start = start;
    m_end = start + seconds(m_experiment.durationS + m_experiment.settleS);
    for (std::size_t i = 0; i < m_streams.size(); ++i) {
        const auto fromS = m_experiment.loads[i].fromS;
        m_streams[i].next = start + seconds(fromS > 0 ? fromS : -m_experiment.warmupS);
        schedule(i);
    }
    boost::asio::steady_timer end(m_context, m_end);
    end.async_wait([this](auto) { cancelServices(); });
    m_context.run();
}

// Schedules the next arrival relative to the last scheduled time, not to now, so that a late sender does not
// lower the arrival rate.
void LoadGenerator::schedule(std::size_t load)
{
    auto& stream = m_streams[load];
    const auto& spec = m_experiment.loads[load];
    if (spec.rate <= 0)
        return;
    stream.next += seconds(std::exponential_distribution<double>(spec.rate)(stream.random));
    const auto until = spec.untilS > 0 ? spec.untilS : m_experiment.durationS;
    const bool hasReachedMax = spec.maxArrivals && stream.sent >= spec.maxArrivals;
    if (hasReachedMax || stream.next >= m_start + seconds(until))
        return;
    stream.timer->expires_at(stream.next);
    stream.timer->async_wait([this, load](auto ec) {
        if (ec)
            return;
        sendArrival(load);
        schedule(load);
    });
}

void LoadGenerator::sendArrival(std::size_t load)
{
    const auto& spec = m_experiment.loads[load];
    Arrival arrival;
    arrival.load = load;
    arrival.number = m_streams[load].sent++;
    arrival.id = "bench-" + std::to_string(load) + "-" + std::to_string(arrival.number);
    arrival.scheduled = m_streams[load].next;
    arrival.isMeasured = arrival.scheduled >= m_start;
    m_outcomes[load].arrivals += arrival.isMeasured ? 1 : 0;
    if (spec.kind == LoadKind::Interactive) {
        if (!spec.isIdempotent)
            m_callers.nonIdempotentRequests.insert(arrival.id);
        sendInteractive(std::move(arrival));
        return;
    }
    const auto domains = m_fleet.domains();
    arrival.domain = domains[m_random() % domains.size()];
    sendJob(std::move(arrival));
}

std::string LoadGenerator::pickEntry() { return m_fleet.entryAddress(m_random() % m_fleet.entryCount()); }

void LoadGenerator::sendInteractive(Arrival arrival)
{
    const auto& spec = m_experiment.loads[arrival.load];
    auto request
        = makeRequest("POST", "/v1/ask?queue=" + teamQueue(spec.team), arrival.id, teamKey(spec.team));
    request.headers["Request-Id"] = arrival.id;
    request.headers["Deadline-Ms"] = std::to_string(spec.deadlineMs);
    request.headers["Idempotent"] = spec.isIdempotent ? "true" : "false";
    const auto timeout = std::chrono::milliseconds(spec.deadlineMs) + responseGrace;
    m_client.send(
        pickEntry(), std::move(request), timeout, [this, arrival = std::move(arrival)](HttpResult result) {
            onInteractiveResponse(arrival, std::move(result));
        });
}

void LoadGenerator::onInteractiveResponse(Arrival arrival, HttpResult result)
{
    // Like a balancer, retries on a randomly picked entry VM if the request can't have arrived.
    if (!result.response && !result.mayHaveArrived && ++arrival.connectAttempts < maxConnectAttempts) {
        sendInteractive(std::move(arrival));
        return;
    }
    if (!result.response || result.response->status != 200) {
        countRefusal(arrival, result);
        return;
    }
    if (result.response->body != "echo:" + arrival.id)
        m_callers.mismatchedAnswers.push_back(arrival.id + " got '" + result.response->body + "'");
    if (!arrival.isMeasured)
        return;
    auto& outcome = m_outcomes[arrival.load];
    const auto waited = microsecondsOf(std::chrono::steady_clock::now() - arrival.scheduled);
    ++outcome.answered;
    outcome.waits.add(waited);
    const auto second = static_cast<std::size_t>(microsecondsOf(arrival.scheduled - m_start) / 1'000'000);
    if (second < outcome.waitsBySecond.size())
        outcome.waitsBySecond[second].add(waited);
}

void LoadGenerator::countRefusal(const Arrival& arrival, const HttpResult& result)
{
    std::string name = result.mayHaveArrived ? "no answer" : "no connection";
    Refusal refusal;
    if (result.response) {
        refusal = refusalOf(*result.response);
        name = refusal.kind + " (" + refusal.disposition + ")";
    }
    if (arrival.isMeasured)
        ++m_outcomes[arrival.load].refusals[name];
    if (refusal.disposition == "not run")
        m_callers.refusedRequests[arrival.id] = refusal.kind;
}

std::string LoadGenerator::jobBody(const LoadSpec& load) const
{
    const bool isService = load.kind == LoadKind::Service;
    const json::object payload { { "run_ms", isService ? 0 : load.runMs } };
    return json::serialize(json::object { { "queue", teamQueue(load.team) }, { "kind", text(load.kind) },
        { "tasks", load.tasks }, { "cpu_milli", load.perTask.cpuMilli },
        { "memory_mb", load.perTask.memoryMb }, { "accelerators", load.perTask.accelerators },
        { "run_time_ms", isService ? 0 : load.runMs }, { "idempotent", load.isIdempotent },
        { "payload", json::serialize(payload) } });
}

void LoadGenerator::sendJob(Arrival arrival)
{
    const auto& spec = m_experiment.loads[arrival.load];
    auto request
        = makeRequest("POST", "/v1/jobs?domain=" + arrival.domain, jobBody(spec), teamKey(spec.team));
    request.headers["Request-Id"] = arrival.id;
    m_client.send(
        pickEntry(), std::move(request), jobTimeout, [this, arrival = std::move(arrival)](HttpResult result) {
            onJobResponse(arrival, std::move(result));
        });
}

void LoadGenerator::onJobResponse(Arrival arrival, HttpResult result)
{
    if (!result.response || result.response->status >= firstServerErrorStatus) {
        retryJob(std::move(arrival));
        return;
    }
    if (result.response->status >= 300) {
        countRefusal(arrival, result);
        return;
    }
    const auto& spec = m_experiment.loads[arrival.load];
    const auto id = std::string(json::parse(result.response->body).at("id").as_string());
    auto& outcome = m_outcomes[arrival.load];
    outcome.answered += arrival.isMeasured ? 1 : 0;
    outcome.jobs.push_back(
        { id, spec.team, microsecondsOf(arrival.scheduled.time_since_epoch()), spec.tasks, spec.perTask });
    if (!spec.isIdempotent)
        m_callers.nonIdempotentJobs.insert(id);
}

// The request id is the idempotency key, so a submission is safe to retry until it is answered.
void LoadGenerator::retryJob(Arrival arrival)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, jobRetryDelay);
    timer->async_wait([this, timer, arrival = std::move(arrival)](auto) mutable {
        if (std::chrono::steady_clock::now() < m_end)
            sendJob(std::move(arrival));
        else if (arrival.isMeasured)
            ++m_outcomes[arrival.load].refusals["never accepted"];
    });
}

void LoadGenerator::cancelServices()
{
    for (std::size_t i = 0; i < m_outcomes.size(); ++i) {
        const auto& spec = m_experiment.loads[i];
        if (spec.kind != LoadKind::Service)
            continue;
        for (const auto& job : m_outcomes[i].jobs)
            m_client.send(pickEntry(),
                makeRequest("POST", "/v1/jobs/" + job.job + "/cancel", {}, teamKey(spec.team)), jobTimeout,
                [](HttpResult) {});
    }
}

} // namespace quay::bench
