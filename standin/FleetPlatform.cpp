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
constexpr std::int64_t maxLeaseMs = 6000;
constexpr std::int64_t cpuMilli = 8000;
constexpr std::size_t maxRowBytes = 65536;
constexpr std::size_t feedAnswerRows = 200;

Instant currentTime() { return std::chrono::steady_clock::now(); }

HttpResponse answer(unsigned status, const json::object& body)
{
    HttpResponse response;
    response.status = status;
    response.body = json::serialize(body);
    return response;
}

std::string stringField(const json::object& object, std::string_view name)
{
    const auto* it = object.if_contains(name);
    return it && it->is_string() ? std::string(it->get_string()) : std::string();
}

std::int64_t integerField(const json::object& object, std::string_view name)
{
    const auto* it = object.if_contains(name);
    return it && it->is_number() ? it->to_number<std::int64_t>() : 0;
}

std::string encodeBase64(const std::string& bytes)
{
    namespace codec = boost::beast::detail::base64;
    std::string text(codec::encoded_size(bytes.size()), '\0');
    text.resize(codec::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

// `partition` may be empty, for none.
bool namesPartition(const std::string& body, const std::string& partition)
{
    return !partition.empty() && body.find("\"part\":\"" + partition + "\"") != std::string::npos;
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
        std::string outcome;
    };

    std::int64_t clockMs() const { return toMilliseconds(currentTime() - startedAt) + 1; }

    std::string id;
    std::string registration;
    Instant startedAt = currentTime();
    std::int64_t fencingToken = 0;
    std::int64_t leaseUntilMs = 0;
    std::int64_t lastEndNumber = 0;
    std::map<std::string, Run> running;
    std::map<std::string, std::int64_t> highestEndedRun;
    std::vector<End> ended;
    std::unique_ptr<HttpServer> server;
};

FleetPlatform::FleetPlatform(int executors)
{
    m_store = std::make_unique<HttpServer>(m_context, "127.0.0.1:0", HttpLimits {},
        [this](const HttpRequest& request, Respond respond) { serveStore(request, std::move(respond)); });
    m_store->start();
    m_otherStore = std::make_unique<HttpServer>(
        m_context, "127.0.0.1:0", HttpLimits {}, [this](const HttpRequest& request, Respond respond) {
            serveOtherStore(request, std::move(respond));
        });
    m_otherStore->start();
    for (int i = 0; i < executors; ++i) {
        auto executor = std::make_unique<Executor>();
        executor->id = "i-" + std::to_string(i);
        auto& instance = *executor;
        instance.server = std::make_unique<HttpServer>(m_context, "127.0.0.1:0", HttpLimits {},
            [this, &instance](const HttpRequest& request, const Respond& respond) {
                serveExecutor(instance, request, respond);
            });
        instance.server->start();
        const json::object entry { { "service", "service" }, { "address", instance.server->address() },
            { "zone", "z" }, { "state", "ready" }, { "born", 1000 + i },
            { "capacity", json::object { { "cpu", cpuMilli }, { "memMb", 8000 }, { "gpu", 0 } } },
            { "labels", json::array { "a", "r1" } } };
        instance.registration = json::serialize(entry);
        putRow({ "servers", "", instance.id }, encodeBase64(instance.registration));
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

void FleetPlatform::runAfter(Duration delay, std::function<void()> action)
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
    m_removedRows.erase(name);
    m_changes.push_back({ m_version, name });
}

void FleetPlatform::dropRow(const RowName& name)
{
    if (m_rows.erase(name) == 0)
        return;
    m_removedRows[name] = m_version;
    m_changes.push_back({ m_version, name });
}

void FleetPlatform::configure(const std::string& configuration)
{
    const std::lock_guard lock(m_mutex);
    putRow({ "op", "", "config" }, encodeBase64(configuration));
}

void FleetPlatform::writeRow(
    const std::string& table, const std::string& partition, const std::string& key, const std::string& value)
{
    const std::lock_guard lock(m_mutex);
    putRow({ table, partition, key }, encodeBase64(value));
}

void FleetPlatform::removeRow(const std::string& table, const std::string& partition, const std::string& key)
{
    const std::lock_guard lock(m_mutex);
    ++m_version;
    dropRow({ table, partition, key });
}

void FleetPlatform::writeEncodedRow(
    const std::string& table, const std::string& partition, const std::string& key, const std::string& base64)
{
    const std::lock_guard lock(m_mutex);
    putRow({ table, partition, key }, base64);
}

std::string FleetPlatform::registration(std::size_t executor) const
{
    return m_executors.at(executor)->registration;
}

void FleetPlatform::setBusyPartition(const std::string& partition)
{
    const std::lock_guard lock(m_mutex);
    m_busyPartition = partition;
}

void FleetPlatform::holdPartition(const std::string& partition)
{
    const std::lock_guard lock(m_mutex);
    m_heldPartition = partition;
    if (!partition.empty())
        return;
    answerHeld(m_heldTransactions, &FleetPlatform::transact);
}

void FleetPlatform::holdOtherReads(const std::string& table)
{
    const std::lock_guard lock(m_mutex);
    m_tableWithHeldReads = table;
    if (!table.empty())
        return;
    answerHeld(m_heldReads, &FleetPlatform::readRows);
}

void FleetPlatform::answerHeld(
    std::vector<HeldCall>& calls, HttpResponse (FleetPlatform::*call)(const HttpRequest&))
{
    for (const auto& [request, respond] : std::exchange(calls, {}))
        respond((this->*call)(request));
}

void FleetPlatform::dropTransactions(bool isDropping)
{
    const std::lock_guard lock(m_mutex);
    m_isDroppingTransactions = isDropping;
}

std::size_t FleetPlatform::droppedWrites(const std::string& table) const
{
    const std::lock_guard lock(m_mutex);
    const auto tableField = "\"table\":\"" + table + "\"";
    return static_cast<std::size_t>(std::count_if(m_droppedTransactions.begin(), m_droppedTransactions.end(),
        [&](const auto& it) { return it.first.find(tableField) != std::string::npos; }));
}

void FleetPlatform::setStoreUnavailable(bool isUnavailable)
{
    const std::lock_guard lock(m_mutex);
    m_isStoreUnavailable = isUnavailable;
}

void FleetPlatform::setTaskDuration(Duration time)
{
    const std::lock_guard lock(m_mutex);
    m_taskDuration = time;
}

void FleetPlatform::truncateHistory()
{
    const std::lock_guard lock(m_mutex);
    m_changes.clear();
    m_oldestKeptVersion = m_version + 1;
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

void FleetPlatform::serveOtherStore(const HttpRequest& request, Respond respond)
{
    if (m_isRefusingOtherAddress && request.path() != "/advise") {
        respond(answer(503, {}));
        return;
    }
    if (request.path() == "/rows-get") {
        const std::lock_guard lock(m_mutex);
        if (!m_tableWithHeldReads.empty() && request.query("table") == m_tableWithHeldReads) {
            m_heldReads.emplace_back(request, std::move(respond));
            return;
        }
    }
    serveStore(request, std::move(respond));
}

void FleetPlatform::serveStore(const HttpRequest& request, Respond respond)
{
    const std::lock_guard lock(m_mutex);
    const auto path = request.path();
    if (path == "/advise")
        respond(approve(request));
    else if (m_isStoreUnavailable)
        respond(answer(503, {}));
    else if (path == "/rows-tx" && namesPartition(request.body, m_busyPartition))
        respond(answer(429, {}));
    else if (path == "/rows-tx" && namesPartition(request.body, m_heldPartition))
        m_heldTransactions.emplace_back(request, std::move(respond));
    else if (path == "/rows-tx" && m_isDroppingTransactions)
        m_droppedTransactions.emplace_back(request.body, std::move(respond));
    else if (path == "/rows-tx")
        respond(transact(request));
    else if (path == "/rows-get")
        respond(readRows(request));
    else if (path == "/rows-parts")
        respond(listPartitions(request));
    else if (path == "/rows-feed")
        pollChanges(
            request, respond, currentTime() + std::chrono::milliseconds(std::stol(request.query("waitMs"))));
    else
        respond(answer(404, {}));
}

json::object FleetPlatform::encodeRow(const RowName& name, const Row& row) const
{
    return { { "table", std::get<0>(name) }, { "part", std::get<1>(name) }, { "key", std::get<2>(name) },
        { "value", row.value }, { "ver", row.version } };
}

HttpResponse FleetPlatform::transact(const HttpRequest& request)
{
    const auto body = json::parse(request.body).as_object();
    const auto decodeRowName = [](const json::value& it) {
        const auto& row = it.as_object();
        return RowName { stringField(row, "table"), stringField(row, "part"), stringField(row, "key") };
    };
    std::set<std::string> partitions;
    std::size_t entries = 0;
    for (const auto* list : { "precondition", "puts", "drop" }) {
        for (const auto& it : body.at(list).as_array()) {
            partitions.insert(std::get<1>(decodeRowName(it)));
            ++entries;
        }
    }
    if (entries > 100 || partitions.size() > 1)
        return answer(400, { { "error", "more than 100 entries or more than one part" } });
    json::array present;
    bool conditionsHold = true;
    for (const auto& it : body.at("precondition").as_array()) {
        const auto name = decodeRowName(it);
        const auto row = m_rows.count(name) ? m_rows[name] : Row {};
        conditionsHold = conditionsHold && row.version == integerField(it.as_object(), "ver");
        present.push_back(encodeRow(name, row));
    }
    if (!conditionsHold)
        return answer(412, { { "rows", present }, { "ver", m_version } });
    ++m_version;
    for (const auto& it : body.at("puts").as_array()) {
        if (stringField(it.as_object(), "value").size() > maxRowBytes / 3 * 4 + 4) // encoded length in base64
            return answer(400, { { "error", "a row is too large" } });
    }
    for (const auto& it : body.at("puts").as_array()) {
        m_rows[decodeRowName(it)] = { stringField(it.as_object(), "value"), m_version };
        m_removedRows.erase(decodeRowName(it));
        m_changes.push_back({ m_version, decodeRowName(it) });
    }
    for (const auto& it : body.at("drop").as_array())
        dropRow(decodeRowName(it));
    return answer(200, { { "ver", m_version } });
}

HttpResponse FleetPlatform::readRows(const HttpRequest& request)
{
    json::array rows;
    for (const auto& [name, row] : m_rows) {
        if (std::get<0>(name) == request.query("table") && std::get<1>(name) == request.query("part")
            && std::get<2>(name) >= request.query("from")
            && (request.query("to").empty() || std::get<2>(name) < request.query("to")))
            rows.push_back(encodeRow(name, row));
    }
    return answer(200, { { "rows", rows }, { "hasMore", false }, { "ver", m_version } });
}

HttpResponse FleetPlatform::listPartitions(const HttpRequest& request)
{
    std::set<std::string> partitions;
    for (const auto& [name, row] : m_rows) {
        if (std::get<0>(name) == request.query("table") && std::get<1>(name) > request.query("after"))
            partitions.insert(std::get<1>(name));
    }
    return answer(
        200, { { "parts", json::array(partitions.begin(), partitions.end()) }, { "ver", m_version } });
}

void FleetPlatform::pollChanges(const HttpRequest& request, const Respond& respond, Instant waitUntil)
{
    const auto seenVersion = std::stoll(request.query("after"));
    if (seenVersion + 1 < m_oldestKeptVersion && m_oldestKeptVersion > 1) {
        respond(answer(410, {}));
        return;
    }
    json::array rows;
    auto version = m_version;
    auto it = std::upper_bound(m_changes.begin(), m_changes.end(), seenVersion,
        [](std::int64_t seen, const Change& change) { return seen < change.version; });
    for (; it != m_changes.end(); ++it) {
        if (rows.size() >= feedAnswerRows && it->version != version)
            break; // the rows of one version stay together
        if (std::get<0>(it->row) != request.query("table"))
            continue;
        const auto row = m_rows.find(it->row);
        const auto removal = m_removedRows.find(it->row);
        if (row != m_rows.end() && row->second.version == it->version) {
            rows.push_back(encodeRow(it->row, row->second));
        } else if (removal != m_removedRows.end() && removal->second == it->version) {
            auto removed = encodeRow(it->row, { {}, removal->second });
            removed["tombstone"] = true;
            rows.push_back(std::move(removed));
        } else {
            continue; // a later change of the row follows
        }
        if (rows.size() >= feedAnswerRows)
            version = it->version;
    }
    if (!rows.empty() || currentTime() >= waitUntil) {
        respond(answer(200, { { "rows", rows }, { "ver", version } }));
        return;
    }
    runAfter(pollInterval, [this, request, respond, waitUntil] {
        const std::lock_guard lock(m_mutex);
        pollChanges(request, respond, waitUntil);
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

void FleetPlatform::endDueRuns(Executor& executor)
{
    const bool isLeaseExpired = executor.clockMs() > executor.leaseUntilMs;
    for (auto it = executor.running.begin(); it != executor.running.end();) {
        if (!isLeaseExpired && currentTime() < it->second.endsAt) {
            ++it;
            continue;
        }
        executor.ended.push_back(
            { ++executor.lastEndNumber, it->first, it->second.number, isLeaseExpired ? "lapsed" : "done" });
        executor.highestEndedRun[it->first] = it->second.number;
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
    endDueRuns(executor);
    if (integerField(body, "fence") < executor.fencingToken) {
        respond(answer(409, { { "clockMs", executor.clockMs() }, { "reason", "fence" } }));
        return;
    }
    executor.fencingToken = integerField(body, "fence");
    if (request.path() == "/run-start")
        respond(start(executor, body));
    else if (request.path() == "/run-stop")
        respond(stop(executor, body));
    else
        heartbeat(
            executor, body, respond, currentTime() + std::chrono::milliseconds(integerField(body, "waitMs")));
}

HttpResponse FleetPlatform::start(Executor& executor, const json::object& body)
{
    const auto task = stringField(body, "task");
    const auto run = integerField(body, "run");
    const auto refuse = [&](std::string_view reason) {
        return answer(409, { { "clockMs", executor.clockMs() }, { "reason", reason } });
    };
    if (auto it = executor.running.find(task); it != executor.running.end() && it->second.number == run)
        return answer(200, { { "clockMs", executor.clockMs() } });
    if (integerField(body, "deadlineMs") < executor.clockMs())
        return refuse("late");
    executor.leaseUntilMs = std::max(
        executor.leaseUntilMs, std::min(integerField(body, "deadlineMs"), executor.clockMs() + maxLeaseMs));
    if (executor.running.count(task) || executor.highestEndedRun[task] >= run)
        return refuse("old");
    for (auto& other : m_executors) {
        endDueRuns(*other);
        if (other->running.count(task))
            m_violations.push_back("two concurrent runs of " + task);
    }
    if (m_acknowledgedTasks.count(task))
        m_violations.push_back("started after its end was acknowledged: " + task);
    executor.running[task] = { run, currentTime() + m_taskDuration };
    ++m_startedRuns;
    return answer(200, { { "clockMs", executor.clockMs() } });
}

HttpResponse FleetPlatform::stop(Executor& executor, const json::object& body)
{
    const auto task = stringField(body, "task");
    const auto run = integerField(body, "run");
    if (auto it = executor.running.find(task); it != executor.running.end() && it->second.number == run) {
        executor.running.erase(it);
        executor.ended.push_back({ ++executor.lastEndNumber, task, run, "stopped" });
    }
    executor.highestEndedRun[task] = std::max(executor.highestEndedRun[task], run);
    return answer(200, { { "clockMs", executor.clockMs() } });
}

void FleetPlatform::heartbeat(
    Executor& executor, const json::object& body, const Respond& respond, Instant waitUntil)
{
    endDueRuns(executor);
    executor.leaseUntilMs = std::max(
        executor.leaseUntilMs, std::min(integerField(body, "deadlineMs"), executor.clockMs() + maxLeaseMs));
    const auto acknowledgedEnd = integerField(body, "seenUpto");
    std::erase_if(executor.ended, [&](const auto& end) {
        if (end.number > acknowledgedEnd)
            return false;
        if (end.outcome == "done")
            m_acknowledgedTasks.insert(end.task);
        return true;
    });
    if (executor.ended.empty() && currentTime() < waitUntil) {
        runAfter(pollInterval, [this, &executor, body, respond, waitUntil] {
            const std::lock_guard lock(m_mutex);
            heartbeat(executor, body, respond, waitUntil);
        });
        return;
    }
    json::array running;
    json::array ended;
    for (const auto& [task, run] : executor.running)
        running.push_back(json::array { task, run.number, "", 50, 0 });
    for (const auto& end : executor.ended)
        ended.push_back(json::array { end.number, end.task, end.run, end.outcome, "" });
    respond(answer(200,
        { { "clockMs", executor.clockMs() }, { "born", 1000 + std::stoi(executor.id.substr(2)) },
            { "running", running }, { "finished", ended } }));
}

} // namespace quay::standin
