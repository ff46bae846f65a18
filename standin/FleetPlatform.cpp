#include "FleetPlatform.h"

#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/detail/base64.hpp>

namespace quay::standin {

namespace json = boost::json;

namespace {

constexpr auto pollInterval = 5ms;
constexpr std::int64_t longestLeaseMs = 6000;
constexpr std::int64_t cpuMilli = 8000;
constexpr std::size_t maxRowBytes = 65536;

Instant clockNow() { return std::chrono::steady_clock::now(); }

HttpResponse answer(unsigned status, const json::object& body)
{
    HttpResponse response;
    response.status = status;
    response.body = json::serialize(body);
    return response;
}

std::string textOf(const json::object& object, std::string_view name)
{
    const auto* it = object.if_contains(name);
    return it && it->is_string() ? std::string(it->get_string()) : std::string();
}

std::int64_t integerOf(const json::object& object, std::string_view name)
{
    const auto* it = object.if_contains(name);
    return it && it->is_number() ? it->to_number<std::int64_t>() : 0;
}

std::string base64(const std::string& bytes)
{
    namespace codec = boost::beast::detail::base64;
    std::string text(codec::encoded_size(bytes.size()), '\0');
    text.resize(codec::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

} // namespace

struct FleetPlatform::Executor {
    struct Run {
        std::int64_t number = 0;
        Instant endsAt;
    };
    struct End {
        std::int64_t number = 0;
        std::string task;
        std::int64_t run = 0;
        std::string how;
    };

    std::int64_t clockMs() const { return toMilliseconds(clockNow() - born) + 1; }

    std::string id;
    Instant born = clockNow();
    std::int64_t fence = 0;
    std::int64_t leaseUntil = 0;
    std::int64_t lastEnd = 0;
    std::map<std::string, Run> running;
    std::map<std::string, std::int64_t> highestOver;
    std::vector<End> ended;
    std::unique_ptr<HttpServer> server;
};

FleetPlatform::FleetPlatform(int executors)
{
    m_store = std::make_unique<HttpServer>(m_context, "127.0.0.1:0", HttpLimits {},
        [this](const HttpRequest& request, Respond respond) { serveStore(request, std::move(respond)); });
    m_store->start();
    for (int i = 0; i < executors; ++i) {
        auto executor = std::make_unique<Executor>();
        executor->id = "i-" + std::to_string(i);
        auto& one = *executor;
        one.server = std::make_unique<HttpServer>(m_context, "127.0.0.1:0", HttpLimits {},
            [this, &one](const HttpRequest& request, const Respond& respond) {
                serveExecutor(one, request, respond);
            });
        one.server->start();
        const json::object entry { { "service", "service" }, { "address", one.server->address() },
            { "zone", "z" }, { "state", "ready" }, { "born", 1000 + i },
            { "capacity", json::object { { "cpu", cpuMilli }, { "memMb", 8000 }, { "gpu", 0 } } },
            { "labels", json::array { "a", "r1" } } };
        putRow({ "servers", "", one.id }, base64(json::serialize(entry)));
        m_executors.push_back(std::move(executor));
    }
    m_thread = std::thread([this] {
        const auto guard = boost::asio::make_work_guard(m_context);
        m_context.run();
    });
}

FleetPlatform::~FleetPlatform()
{
    m_context.stop();
    m_thread.join();
}

void FleetPlatform::after(Duration delay, std::function<void()> action)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, delay);
    timer->async_wait([timer, action = std::move(action)](boost::system::error_code ec) {
        if (!ec)
            action();
    });
}

void FleetPlatform::putRow(const RowName& name, const std::string& value)
{
    m_rows[name] = { value, ++m_version };
    m_changed.push_back(name);
}

void FleetPlatform::configure(const std::string& configuration)
{
    const std::lock_guard lock(m_mutex);
    putRow({ "op", "", "config" }, base64(configuration));
}

void FleetPlatform::silenceTransactions(bool silence)
{
    const std::lock_guard lock(m_mutex);
    m_isSilent = silence;
}

std::size_t FleetPlatform::silencedWrites(const std::string& table) const
{
    const std::lock_guard lock(m_mutex);
    const auto mention = "\"table\":\"" + table + "\"";
    return static_cast<std::size_t>(std::count_if(m_unanswered.begin(), m_unanswered.end(),
        [&](const auto& it) { return it.first.find(mention) != std::string::npos; }));
}

void FleetPlatform::refuseStoreCalls(bool refuse)
{
    const std::lock_guard lock(m_mutex);
    m_isRefusing = refuse;
}

void FleetPlatform::setTaskTime(Duration time)
{
    const std::lock_guard lock(m_mutex);
    m_taskTime = time;
}

void FleetPlatform::dropHistory()
{
    const std::lock_guard lock(m_mutex);
    m_changed.clear();
    m_firstChange = m_version + 1;
}

std::size_t FleetPlatform::startedRuns() const
{
    const std::lock_guard lock(m_mutex);
    return m_startedRuns;
}

std::vector<std::string> FleetPlatform::violations() const
{
    const std::lock_guard lock(m_mutex);
    return m_violations;
}

void FleetPlatform::serveStore(const HttpRequest& request, Respond respond)
{
    const std::lock_guard lock(m_mutex);
    const auto path = request.path();
    if (path == "/advise")
        respond(approve(request));
    else if (m_isRefusing)
        respond(answer(503, {}));
    else if (path == "/rows-tx" && m_isSilent)
        m_unanswered.emplace_back(request.body, std::move(respond));
    else if (path == "/rows-tx")
        respond(transact(request));
    else if (path == "/rows-get")
        respond(readRows(request));
    else if (path == "/rows-feed")
        changes(request, respond, clockNow() + std::chrono::milliseconds(std::stol(request.query("waitMs"))));
    else
        respond(answer(404, {}));
}

json::object FleetPlatform::rowOf(const RowName& name, const Row& row) const
{
    return { { "table", std::get<0>(name) }, { "part", std::get<1>(name) }, { "key", std::get<2>(name) },
        { "value", row.value }, { "ver", row.version } };
}

HttpResponse FleetPlatform::transact(const HttpRequest& request)
{
    const auto body = json::parse(request.body).as_object();
    const auto nameOf = [](const json::value& it) {
        const auto& row = it.as_object();
        return RowName { textOf(row, "table"), textOf(row, "part"), textOf(row, "key") };
    };
    std::set<std::string> partitions;
    std::size_t entries = 0;
    for (const auto* list : { "precondition", "puts", "drop" }) {
        for (const auto& it : body.at(list).as_array()) {
            partitions.insert(std::get<1>(nameOf(it)));
            ++entries;
        }
    }
    if (entries > 100 || partitions.size() > 1)
        return answer(400, { { "error", "more than 100 entries or more than one part" } });
    json::array present;
    bool holds = true;
    for (const auto& it : body.at("precondition").as_array()) {
        const auto name = nameOf(it);
        const auto row = m_rows.count(name) ? m_rows[name] : Row {};
        holds = holds && row.version == integerOf(it.as_object(), "ver");
        present.push_back(rowOf(name, row));
    }
    if (!holds)
        return answer(412, { { "rows", present }, { "ver", m_version } });
    ++m_version;
    for (const auto& it : body.at("puts").as_array()) {
        if (textOf(it.as_object(), "value").size() > maxRowBytes / 3 * 4 + 4) // base64
            return answer(400, { { "error", "a row is too large" } });
    }
    for (const auto& it : body.at("puts").as_array()) {
        m_rows[nameOf(it)] = { textOf(it.as_object(), "value"), m_version };
        m_changed.push_back(nameOf(it));
    }
    for (const auto& it : body.at("drop").as_array())
        m_rows.erase(nameOf(it));
    return answer(200, { { "ver", m_version } });
}

HttpResponse FleetPlatform::readRows(const HttpRequest& request)
{
    json::array rows;
    for (const auto& [name, row] : m_rows) {
        if (std::get<0>(name) == request.query("table") && std::get<1>(name) == request.query("part")
            && std::get<2>(name) >= request.query("from"))
            rows.push_back(rowOf(name, row));
    }
    return answer(200, { { "rows", rows }, { "hasMore", false }, { "ver", m_version } });
}

void FleetPlatform::changes(const HttpRequest& request, const Respond& respond, Instant until)
{
    const auto seen = std::stoll(request.query("after"));
    if (seen + 1 < m_firstChange && m_firstChange > 1) {
        respond(answer(410, {}));
        return;
    }
    json::array rows;
    std::set<RowName> named;
    for (const auto& name : m_changed) {
        const auto row = m_rows.find(name);
        if (std::get<0>(name) == request.query("table") && row != m_rows.end() && row->second.version > seen
            && named.insert(name).second)
            rows.push_back(rowOf(name, row->second));
    }
    if (!rows.empty() || clockNow() >= until) {
        respond(answer(200, { { "rows", rows }, { "ver", m_version } }));
        return;
    }
    after(pollInterval, [this, request, respond, until] {
        const std::lock_guard lock(m_mutex);
        changes(request, respond, until);
    });
}

HttpResponse FleetPlatform::approve(const HttpRequest& request) const
{
    json::array approved;
    const auto body = json::parse(request.body);
    for (const auto& it : body.as_object().at("workers").as_array())
        approved.push_back(json::array { it, "ticket" });
    return answer(200, { { "approved", approved }, { "validMs", 2000 } });
}

void FleetPlatform::advance(Executor& executor)
{
    const bool hasLapsed = executor.clockMs() > executor.leaseUntil;
    for (auto it = executor.running.begin(); it != executor.running.end();) {
        if (!hasLapsed && clockNow() < it->second.endsAt) {
            ++it;
            continue;
        }
        executor.ended.push_back(
            { ++executor.lastEnd, it->first, it->second.number, hasLapsed ? "lapsed" : "done" });
        executor.highestOver[it->first] = it->second.number;
        it = executor.running.erase(it);
    }
}

void FleetPlatform::serveExecutor(Executor& executor, const HttpRequest& request, const Respond& respond)
{
    const std::lock_guard lock(m_mutex);
    if (request.header("expected-instance") != executor.id) {
        respond(answer(421, {}));
        return;
    }
    const auto body = json::parse(request.body).as_object();
    advance(executor);
    if (integerOf(body, "fence") < executor.fence) {
        respond(answer(409, { { "clockMs", executor.clockMs() }, { "reason", "fence" } }));
        return;
    }
    executor.fence = integerOf(body, "fence");
    if (request.path() == "/run-start")
        respond(start(executor, body));
    else if (request.path() == "/run-stop")
        respond(stop(executor, body));
    else
        hold(executor, body, respond, clockNow() + std::chrono::milliseconds(integerOf(body, "waitMs")));
}

HttpResponse FleetPlatform::start(Executor& executor, const json::object& body)
{
    const auto task = textOf(body, "task");
    const auto run = integerOf(body, "run");
    const auto refuse = [&](std::string_view reason) {
        return answer(409, { { "clockMs", executor.clockMs() }, { "reason", reason } });
    };
    if (auto it = executor.running.find(task); it != executor.running.end() && it->second.number == run)
        return answer(200, { { "clockMs", executor.clockMs() } });
    if (integerOf(body, "deadlineMs") < executor.clockMs())
        return refuse("late");
    executor.leaseUntil = std::max(
        executor.leaseUntil, std::min(integerOf(body, "deadlineMs"), executor.clockMs() + longestLeaseMs));
    if (executor.running.count(task) || executor.highestOver[task] >= run)
        return refuse("old");
    for (auto& other : m_executors) {
        advance(*other);
        if (other->running.count(task))
            m_violations.push_back("two runs at once of " + task);
    }
    if (m_doneTasks.count(task))
        m_violations.push_back("started after its end was acknowledged: " + task);
    executor.running[task] = { run, clockNow() + m_taskTime };
    ++m_startedRuns;
    return answer(200, { { "clockMs", executor.clockMs() } });
}

HttpResponse FleetPlatform::stop(Executor& executor, const json::object& body)
{
    const auto task = textOf(body, "task");
    const auto run = integerOf(body, "run");
    if (auto it = executor.running.find(task); it != executor.running.end() && it->second.number == run) {
        executor.running.erase(it);
        executor.ended.push_back({ ++executor.lastEnd, task, run, "stopped" });
    }
    executor.highestOver[task] = std::max(executor.highestOver[task], run);
    return answer(200, { { "clockMs", executor.clockMs() } });
}

void FleetPlatform::hold(Executor& executor, const json::object& body, const Respond& respond, Instant until)
{
    advance(executor);
    executor.leaseUntil = std::max(
        executor.leaseUntil, std::min(integerOf(body, "deadlineMs"), executor.clockMs() + longestLeaseMs));
    const auto seen = integerOf(body, "seenUpto");
    std::erase_if(executor.ended, [&](const auto& end) {
        if (end.number > seen)
            return false;
        if (end.how == "done")
            m_doneTasks.insert(end.task);
        return true;
    });
    if (executor.ended.empty() && clockNow() < until) {
        after(pollInterval, [this, &executor, body, respond, until] {
            const std::lock_guard lock(m_mutex);
            hold(executor, body, respond, until);
        });
        return;
    }
    json::array running;
    json::array ended;
    for (const auto& [task, run] : executor.running)
        running.push_back(json::array { task, run.number, "", 50, 0 });
    for (const auto& end : executor.ended)
        ended.push_back(json::array { end.number, end.task, end.run, end.how, "" });
    respond(answer(200,
        { { "clockMs", executor.clockMs() }, { "born", 1000 + std::stoi(executor.id.substr(2)) },
            { "running", running }, { "finished", ended } }));
}

} // namespace quay::standin
