#include "platform.h"

#include <algorithm>
#include <boost/beast/core/detail/base64.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <iostream>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

const auto startOfScript = std::chrono::steady_clock::now();
std::ofstream recordFile;
std::mutex recordMutex;

// As in the pages of the smaller installations.
constexpr std::int64_t maxHoldMs = 6000;
constexpr std::int64_t readMs = 4; // what an answer of the store takes
constexpr std::int64_t writeMs = 12; // with the transaction of 8 ms
constexpr std::int64_t beatMs = 1500;

std::int64_t integerOf(const json::object& object, std::string_view name)
{
    const auto* it = object.if_contains(name);
    return it && it->is_number() ? it->to_number<std::int64_t>() : 0;
}

std::string textOf(const json::object& object, std::string_view name)
{
    const auto* it = object.if_contains(name);
    return it && it->is_string() ? std::string(it->get_string()) : std::string();
}

std::string unescape(const std::string& text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            result += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            result += text[i];
        }
    }
    return result;
}

} // namespace

std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - startOfScript)
        .count();
}

void sleepMs(std::int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

void openRecord(const std::string& path) { recordFile.open(path); }

void record(const std::string& line)
{
    const std::lock_guard lock(recordMutex);
    char time[32];
    std::snprintf(time, sizeof time, "%9.3f ", static_cast<double>(nowMs()) / 1000);
    recordFile << time << line << std::endl;
}

std::string encodeBase64(const std::string& bytes)
{
    namespace codec = beast::detail::base64;
    std::string text(codec::encoded_size(bytes.size()), '\0');
    text.resize(codec::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

std::string decodeBase64(const std::string& text)
{
    namespace codec = beast::detail::base64;
    std::string bytes(codec::decoded_size(text.size() + 4), '\0');
    bytes.resize(codec::decode(bytes.data(), text.data(), text.size()).first);
    return bytes;
}

// --- HTTP ---

Server::Server(const std::string& ip, std::uint16_t port, Handler handler)
    : m_ip(ip)
    , m_port(port)
    , m_handler(std::move(handler))
{
    start();
}

void Server::start()
{
    auto acceptor = std::make_shared<tcp::acceptor>(m_context);
    const tcp::endpoint endpoint(asio::ip::make_address(m_ip), m_port);
    acceptor->open(endpoint.protocol());
    acceptor->set_option(tcp::acceptor::reuse_address(true));
    acceptor->bind(endpoint);
    acceptor->listen();
    m_port = acceptor->local_endpoint().port();
    m_address = m_ip + ":" + std::to_string(m_port);
    {
        const std::lock_guard lock(m_mutex);
        m_acceptor = acceptor;
    }
    std::thread([this, acceptor] { acceptLoop(acceptor); }).detach();
}

void Server::stop()
{
    const std::lock_guard lock(m_mutex);
    beast::error_code ec;
    if (m_acceptor)
        ::shutdown(m_acceptor->native_handle(), SHUT_RDWR);
    m_acceptor = nullptr;
    for (const auto& it : m_sockets)
        ::shutdown(it->native_handle(), SHUT_RDWR);
}

void Server::stopListening()
{
    const std::lock_guard lock(m_mutex);
    if (m_acceptor)
        ::shutdown(m_acceptor->native_handle(), SHUT_RDWR);
    m_acceptor = nullptr;
}

void Server::acceptLoop(std::shared_ptr<tcp::acceptor> acceptor)
{
    for (;;) {
        auto socket = std::make_shared<tcp::socket>(m_context);
        beast::error_code ec;
        acceptor->accept(*socket, ec);
        if (ec) {
            acceptor->close(ec);
            return;
        }
        socket->set_option(tcp::no_delay(true), ec);
        {
            const std::lock_guard lock(m_mutex);
            m_sockets.insert(socket);
        }
        std::thread([this, socket] { serve(socket); }).detach();
    }
}

void Server::serve(std::shared_ptr<tcp::socket> socket)
{
    beast::flat_buffer buffer;
    beast::error_code ec;
    for (;;) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(8 * 1024 * 1024);
        http::read(*socket, buffer, parser, ec);
        if (ec)
            break;
        const auto& message = parser.get();
        Request request;
        request.method = std::string(message.method_string());
        const std::string target(message.target());
        request.path = target.substr(0, target.find('?'));
        if (target.find('?') != std::string::npos) {
            std::istringstream pairs(target.substr(target.find('?') + 1));
            for (std::string pair; std::getline(pairs, pair, '&');)
                request.query[pair.substr(0, pair.find('='))] = unescape(pair.substr(pair.find('=') + 1));
        }
        for (const auto& field : message) {
            std::string name(field.name_string());
            std::transform(
                name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
            request.headers[name] = std::string(field.value());
        }
        request.body = message.body();
        const auto answer = m_handler(request);
        if (answer.isWithheld) { // until the other side closes the channel
            char byte = 0;
            while (!ec)
                socket->read_some(asio::buffer(&byte, 1), ec);
            break;
        }
        http::response<http::string_body> response;
        response.result(answer.status);
        response.set(http::field::content_type, "application/json");
        response.body() = answer.body;
        response.keep_alive(message.keep_alive());
        response.prepare_payload();
        http::write(*socket, response, ec);
        if (ec || !message.keep_alive())
            break;
    }
    const std::lock_guard lock(m_mutex);
    m_sockets.erase(socket);
    socket->close(ec);
}

Answer call(const std::string& address, const std::string& method, const std::string& path,
    const std::map<std::string, std::string>& headers, const std::string& body, std::int64_t timeoutMs)
{
    Answer answer;
    try {
        asio::io_context context;
        beast::tcp_stream stream(context);
        const auto colon = address.rfind(':');
        const tcp::endpoint endpoint(asio::ip::make_address(address.substr(0, colon)),
            static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
        http::request<http::string_body> request;
        request.method_string(method);
        request.target(path);
        request.version(11);
        request.set(http::field::host, address);
        for (const auto& [name, value] : headers)
            request.set(name, value);
        request.body() = body;
        request.prepare_payload();
        beast::flat_buffer buffer;
        http::response<http::string_body> response;
        stream.expires_after(std::chrono::milliseconds(timeoutMs));
        stream.async_connect(endpoint, [&](beast::error_code connectError) {
            if (connectError)
                return;
            http::async_write(stream, request, [&](beast::error_code writeError, std::size_t) {
                if (writeError)
                    return;
                http::async_read(stream, buffer, response, [&](beast::error_code readError, std::size_t) {
                    if (readError)
                        return;
                    answer.status = response.result_int();
                    answer.body = response.body();
                });
            });
        });
        context.run();
    } catch (const std::exception&) {
    }
    return answer;
}

// --- Store ---

Store::Store(const std::string& ip)
{
    m_server = std::make_unique<Server>(ip, 0, [this](const Request& request) { return serve(request); });
}

void Store::put(
    const std::string& table, const std::string& part, const std::string& key, const std::string& value)
{
    const std::lock_guard lock(m_mutex);
    m_rows[{ table, part, key }] = { encodeBase64(value), ++m_version, false };
    m_changed.notify_all();
}

void Store::drop(const std::string& table, const std::string& part, const std::string& key)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_rows.find({ table, part, key });
    if (it == m_rows.end() || it->second.isDropped)
        return;
    it->second = { {}, ++m_version, true };
    m_changed.notify_all();
}

void Store::setFate(std::function<Fate(const json::object&)> fate)
{
    const std::lock_guard lock(m_mutex);
    m_fate = std::move(fate);
}

std::string Store::lastConditionalWriter() const
{
    const std::lock_guard lock(m_mutex);
    return m_lastWriter;
}

json::object Store::encode(const Name& name, const Row& row, bool isFeed) const
{
    json::object object { { "table", std::get<0>(name) }, { "part", std::get<1>(name) },
        { "key", std::get<2>(name) }, { "value", row.value }, { "ver", row.version } };
    if (isFeed && row.isDropped)
        object["tombstone"] = true;
    return object;
}

Response Store::serve(const Request& request)
{
    if (request.path == "/rows-tx") {
        const auto body = json::parse(request.body).as_object();
        Fate fate;
        std::function<Fate(const json::object&)> decide;
        {
            const std::lock_guard lock(m_mutex);
            decide = m_fate;
        }
        if (decide)
            fate = decide(body);
        if (fate.isAnswerLost) {
            std::thread([this, body, fate] {
                sleepMs(writeMs + fate.delayMs);
                transact(body);
            }).detach();
            Response none;
            none.isWithheld = true;
            return none;
        }
        sleepMs(writeMs + fate.delayMs);
        return transact(body);
    }
    if (request.path == "/rows-feed")
        return feed(request);
    sleepMs(readMs);
    const std::lock_guard lock(m_mutex);
    const auto of = [&](const std::string& name) {
        const auto it = request.query.find(name);
        return it == request.query.end() ? std::string() : it->second;
    };
    Response response;
    if (request.path == "/rows-get") {
        const std::size_t limit
            = of("limit").empty() ? 500 : std::min<std::size_t>(500, std::stoul(of("limit")));
        json::array rows;
        bool hasMore = false;
        std::size_t bytes = 0;
        for (auto it = m_rows.lower_bound({ of("table"), of("part"), of("from") }); it != m_rows.end()
             && std::get<0>(it->first) == of("table") && std::get<1>(it->first) == of("part");
             ++it) {
            if (it->second.isDropped)
                continue;
            if (!of("to").empty() && std::get<2>(it->first) >= of("to"))
                break;
            if (rows.size() >= limit || bytes > 1'000'000) {
                hasMore = true;
                break;
            }
            bytes += it->second.value.size();
            rows.push_back(encode(it->first, it->second, false));
        }
        response.body = json::serialize(json::object {
            { "rows", rows }, { "hasMore", hasMore }, { "ver", m_version }, { "nowMs", nowMs() } });
    } else if (request.path == "/rows-parts") {
        std::set<std::string> parts;
        for (const auto& [name, row] : m_rows) {
            if (std::get<0>(name) == of("table") && !row.isDropped && std::get<1>(name) > of("after")
                && parts.size() < 1000)
                parts.insert(std::get<1>(name));
        }
        response.body = json::serialize(json::object { { "parts", json::array(parts.begin(), parts.end()) },
            { "ver", m_version }, { "nowMs", nowMs() } });
    } else {
        response.status = 404;
    }
    return response;
}

Response Store::feed(const Request& request)
{
    const auto table = request.query.at("table");
    const auto after = std::stoll(request.query.at("after"));
    const auto wait = request.query.count("waitMs") ? std::stoll(request.query.at("waitMs")) : 0;
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(wait);
    Response response;
    {
        std::unique_lock lock(m_mutex);
        for (;;) {
            std::map<std::int64_t, json::object> changed;
            for (const auto& [name, row] : m_rows) {
                if (std::get<0>(name) == table && row.version > after)
                    changed.emplace(row.version * 1000 + static_cast<std::int64_t>(changed.size()),
                        encode(name, row, true));
            }
            if (!changed.empty() || m_changed.wait_until(lock, until) == std::cv_status::timeout) {
                json::array rows;
                for (auto& [version, row] : changed)
                    rows.push_back(std::move(row));
                response.body = json::serialize(
                    json::object { { "rows", rows }, { "ver", m_version }, { "nowMs", nowMs() } });
                break;
            }
        }
    }
    sleepMs(readMs);
    return response;
}

Response Store::transact(const json::object& body)
{
    const std::lock_guard lock(m_mutex);
    const auto nameOf = [](const json::object& row) {
        return Name { textOf(row, "table"), textOf(row, "part"), textOf(row, "key") };
    };
    const auto list = [&](std::string_view name) {
        const auto* it = body.if_contains(name);
        return it && it->is_array() ? it->get_array() : json::array();
    };
    const auto conditions = list("precondition");
    const auto puts = list("puts");
    const auto drops = list("drop");
    Response response;
    if (conditions.size() + puts.size() + drops.size() > 100) {
        response.status = 400;
        return response;
    }
    std::set<std::string> parts;
    for (const auto* rows : { &conditions, &puts, &drops }) {
        for (const auto& it : *rows) {
            parts.insert(textOf(it.as_object(), "part"));
            const auto table = textOf(it.as_object(), "table");
            if (rows != &conditions && (table == "op" || table == "servers")) {
                response.status = 403;
                return response;
            }
        }
    }
    if (parts.size() > 1) {
        response.status = 400;
        return response;
    }
    for (const auto& it : puts) {
        if (decodeBase64(textOf(it.as_object(), "value")).size() > 65536) {
            response.status = 400;
            return response;
        }
    }
    bool holds = true;
    json::array current;
    for (const auto& it : conditions) {
        const auto& row = it.as_object();
        const auto found = m_rows.find(nameOf(row));
        const bool exists = found != m_rows.end() && !found->second.isDropped;
        const auto version = exists ? found->second.version : 0;
        holds = holds && version == integerOf(row, "ver");
        if (exists)
            current.push_back(encode(found->first, found->second, false));
        else
            current.push_back(json::object { { "table", textOf(row, "table") },
                { "part", textOf(row, "part") }, { "key", textOf(row, "key") }, { "ver", 0 } });
    }
    if (!holds) {
        response.status = 412;
        response.body = json::serialize(
            json::object { { "rows", current }, { "ver", m_version }, { "nowMs", nowMs() } });
        return response;
    }
    ++m_version;
    for (const auto& it : puts) {
        const auto& row = it.as_object();
        m_rows[nameOf(row)] = { textOf(row, "value"), m_version, false };
        if (conditions.empty())
            continue;
        json::error_code ec;
        const auto value = json::parse(decodeBase64(textOf(row, "value")), ec);
        if (!ec && value.is_object() && value.get_object().if_contains("node"))
            m_lastWriter = textOf(value.get_object(), "node");
    }
    for (const auto& it : drops) {
        const auto found = m_rows.find(nameOf(it.as_object()));
        if (found != m_rows.end())
            found->second = { {}, m_version, true };
    }
    m_changed.notify_all();
    response.body = json::serialize(json::object { { "ver", m_version }, { "nowMs", nowMs() } });
    return response;
}

// --- Executors ---

Executor& Fleet::add(const std::string& id, const std::string& ip, const std::string& service,
    std::int64_t cpu, const std::string& kind)
{
    m_executors.push_back(std::make_unique<Executor>(*this, id, ip, service, cpu, kind));
    return *m_executors.back();
}

void Fleet::log(RunEvent event)
{
    static const char* const names[] = { "start", "end", "noted" };
    record(std::string(names[event.kind]) + " task=" + event.task + " run=" + std::to_string(event.run)
        + (event.how.empty() ? "" : " how=" + event.how) + " executor=" + event.executor
        + (event.executorKind.empty() ? "" : " kind=" + event.executorKind));
    const std::lock_guard lock(m_mutex);
    m_events.push_back(std::move(event));
}

std::vector<RunEvent> Fleet::events() const
{
    const std::lock_guard lock(m_mutex);
    return m_events;
}

std::size_t Fleet::running(const std::string& taskPrefix) const
{
    std::size_t count = 0;
    for (const auto& it : m_executors) {
        const std::lock_guard lock(it->m_mutex);
        if (!it->m_isUp)
            continue;
        for (const auto& [task, run] : it->m_running)
            count += task.starts_with(taskPrefix) ? 1 : 0;
    }
    return count;
}

Executor::Executor(Fleet& fleet, std::string id, const std::string& ip, std::string service, std::int64_t cpu,
    std::string kind)
    : m_fleet(fleet)
    , m_id(std::move(id))
    , m_service(std::move(service))
    , m_cpu(cpu)
    , m_kind(std::move(kind))
{
    m_server = std::make_unique<Server>(ip, 0, [this](const Request& request) { return serve(request); });
    m_isUp = true;
    m_startedAt = nowMs();
    m_born = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch())
                 .count();
    registerSelf();
    std::thread([this] {
        for (;;) {
            sleepMs(5);
            work();
        }
    }).detach();
}

// The store sees no entry from it any more only after three ping intervals of silence.
void Executor::crash()
{
    const std::lock_guard lock(m_mutex);
    record("crash executor=" + m_id);
    m_isUp = false;
    m_running.clear();
    m_ends.clear();
    m_server->stop();
    m_ended.notify_all();
}

void Executor::cutOff(bool isCut)
{
    const std::lock_guard lock(m_mutex);
    record(std::string(isCut ? "cut off" : "no longer cut off") + " executor=" + m_id);
    m_isCut = isCut;
    if (isCut)
        m_server->stopListening();
    else if (m_isUp)
        m_server->start();
}

void Executor::startAgain(const std::string& kind)
{
    const std::lock_guard lock(m_mutex);
    record("starts again executor=" + m_id + " kind=" + kind);
    m_kind = kind;
    m_fence = m_leaseUntil = m_lastEnd = m_seq = 0;
    m_highestEnded.clear();
    m_startedAt = nowMs();
    m_born = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch())
                 .count();
    if (!m_isCut)
        m_server->start();
    m_isUp = true;
    registerSelf();
}

void Executor::registerSelf()
{
    m_nextBeat = nowMs() + beatMs;
    if (m_isCut)
        return;
    m_lastBeat = nowMs();
    const json::object entry { { "service", m_service }, { "address", m_server->address() }, { "zone", "z" },
        { "version", "v1" }, { "slots", 8 }, { "state", "ready" }, { "coldLeftMs", 0 }, { "seq", ++m_seq },
        { "born", m_born }, { "clockMs", clockMs() },
        { "capacity", json::object { { "cpu", m_cpu }, { "memMb", 64000 }, { "gpu", 0 } } },
        { "labels", json::array { m_kind, "r1" } } };
    m_fleet.store().put("servers", "", m_id, json::serialize(entry));
}

void Executor::endRun(const std::string& task, const std::string& how)
{
    const auto number = m_running.at(task).number;
    m_running.erase(task);
    m_highestEnded[task] = std::max(m_highestEnded[task], number);
    m_ends.push_back({ ++m_lastEnd, task, number, how });
    m_fleet.log({ RunEvent::End, nowMs(), task, number, how, m_id, {} });
    m_ended.notify_all();
}

void Executor::work()
{
    const std::lock_guard lock(m_mutex);
    const auto now = nowMs();
    if (m_lastBeat > 0 && now > m_lastBeat + 3 * beatMs) { // the platform removes its entry
        m_lastBeat = 0;
        m_fleet.store().drop("servers", "", m_id);
    }
    if (!m_isUp)
        return;
    const bool isLapsed = clockMs() > m_leaseUntil;
    std::vector<std::string> over;
    for (const auto& [task, run] : m_running) {
        if (isLapsed || (run.endsAt > 0 && now >= run.endsAt))
            over.push_back(task);
    }
    for (const auto& task : over)
        endRun(task, isLapsed ? "lapsed" : "done");
    if (now >= m_nextBeat)
        registerSelf();
}

void Executor::extend(const json::object& body)
{
    m_leaseUntil = std::max(m_leaseUntil, std::min(integerOf(body, "deadlineMs"), clockMs() + maxHoldMs));
}

Response Executor::serve(const Request& request)
{
    const auto body = json::parse(request.body).as_object();
    std::unique_lock lock(m_mutex);
    Response response;
    if (!m_isUp || m_isCut) {
        response.isWithheld = true;
        return response;
    }
    const auto named = request.headers.find("expected-instance");
    if (named != request.headers.end() && named->second != m_id) {
        response.status = 421;
        return response;
    }
    if (integerOf(body, "fence") < m_fence) {
        response.status = 409;
        response.body = json::serialize(json::object { { "clockMs", clockMs() }, { "reason", "fence" } });
        return response;
    }
    m_fence = integerOf(body, "fence");
    if (request.path == "/run-start") {
        response = start(body);
        lock.unlock();
        if (response.status == 200 && m_fleet.onStart)
            m_fleet.onStart(*this, textOf(body, "task"), integerOf(body, "run"));
        return response;
    }
    if (request.path == "/run-stop")
        return stop(body);
    if (request.path == "/hold")
        return hold(body, lock);
    response.body = json::serialize(json::object { { "clockMs", clockMs() } });
    return response;
}

Response Executor::start(const json::object& body)
{
    const auto task = textOf(body, "task");
    const auto number = integerOf(body, "run");
    Response response;
    response.body = json::serialize(json::object { { "clockMs", clockMs() } });
    const auto refuse = [&](std::string_view reason) {
        response.status = 409;
        response.body = json::serialize(json::object { { "clockMs", clockMs() }, { "reason", reason } });
        return response;
    };
    const auto found = m_running.find(task);
    if (found != m_running.end() && found->second.number == number)
        return response;
    if (integerOf(body, "deadlineMs") < clockMs())
        return refuse("late");
    extend(body);
    if (found != m_running.end() || (m_highestEnded.count(task) && m_highestEnded[task] >= number))
        return refuse("old");
    // ID.K.STEP.INDEX
    const auto indexDot = task.rfind('.');
    const auto stepDot = task.rfind('.', indexDot - 1);
    const auto step = std::stoul(task.substr(stepDot + 1, indexDot - stepDot - 1));
    std::vector<std::int64_t> lengths;
    std::istringstream spec(textOf(body, "spec"));
    for (std::string it; std::getline(spec, it, ',');)
        lengths.push_back(std::stoll(it));
    const auto length = lengths.at(std::min(step, lengths.size() - 1));
    m_running[task] = { number, length > 0 ? nowMs() + length : 0 };
    m_fleet.log({ RunEvent::Start, nowMs(), task, number, {}, m_id, m_kind });
    return response;
}

Response Executor::stop(const json::object& body)
{
    const auto task = textOf(body, "task");
    const auto number = integerOf(body, "run");
    const auto found = m_running.find(task);
    if (found != m_running.end() && found->second.number == number)
        endRun(task, "stopped");
    else
        m_highestEnded[task] = std::max(m_highestEnded[task], number);
    Response response;
    response.body = json::serialize(json::object { { "clockMs", clockMs() } });
    return response;
}

Response Executor::hold(const json::object& body, std::unique_lock<std::mutex>& lock)
{
    extend(body);
    const auto seen = integerOf(body, "seenUpto");
    for (const auto& end : m_ends) {
        if (end.number <= seen)
            m_fleet.log({ RunEvent::Noted, nowMs(), end.task, end.run, end.how, m_id, {} });
    }
    std::erase_if(m_ends, [&](const End& end) { return end.number <= seen; });
    const auto until = std::chrono::steady_clock::now()
        + std::chrono::milliseconds(std::min<std::int64_t>(2000, integerOf(body, "waitMs")));
    while (m_ends.empty() && m_isUp && m_ended.wait_until(lock, until) != std::cv_status::timeout) { }
    Response response;
    if (!m_isUp || m_isCut) {
        response.isWithheld = true;
        return response;
    }
    json::array running;
    json::array finished;
    for (const auto& [task, run] : m_running)
        running.push_back(json::array { task, run.number, "", 50, 0 });
    for (const auto& end : m_ends) {
        if (finished.size() < 500)
            finished.push_back(json::array { end.number, end.task, end.run, end.how, "" });
    }
    response.body = json::serialize(json::object {
        { "clockMs", clockMs() }, { "born", m_born }, { "running", running }, { "finished", finished } });
    return response;
}

// --- Nodes ---

Nodes::~Nodes() { endAll(); }

void Nodes::add(
    const std::string& name, const std::string& ip, const std::string& zone, const std::string& store)
{
    const auto path = m_folder + "/" + name + ".json";
    const json::object bounds { { "stableMs", 3000 }, { "ackTimeoutMs", 4000 }, { "drainMs", 2000 },
        { "graceS", 6 }, { "lossSlackMs", 200 }, { "configApplyMs", 2000 }, { "rollbackSlackMs", 250 },
        { "maxHoldMs", maxHoldMs }, { "stopMs", 900 }, { "gangTimeoutMs", 3000 }, { "cancel_ms", 3000 },
        { "visible_ms", 3000 }, { "early_ms", 250 }, { "finish_s", 14 }, { "status_s", 120 },
        { "fencing", true }, { "leaseMs", 3000 } };
    const json::object settings { { "node", name }, { "role", "node" }, { "machineClass", "edge" },
        { "serves", json::array { "edge" } }, { "ip", ip }, { "zone", zone }, { "region", "r" },
        { "zones", json::object { { zone, "r" } } },
        { "listen", json::object { { "front", ip + ":8183" }, { "readiness", ip + ":8184" } } },
        { "portRange", json::array { 7420, 7435 } }, { "bootstrap", true },
        { "limits",
            json::object { { "cpuShare", 0.25 }, { "cores", 1 }, { "memoryMb", 260 }, { "maxFds", 4100 } } },
        { "heartbeatMs", beatMs }, { "bounds", bounds }, { "controlMode", "call" },
        { "platform",
            json::object { { "address", store }, { "form", "table" }, { "writesPerS", 600 },
                { "readsPerS", 2000 }, { "txMs", 8.0 }, { "partitionWritesS", 150 }, { "rowBytes", 65536 },
                { "across", false }, { "historyS", 20 } } } };
    std::ofstream(path) << json::serialize(settings);
    m_nodes[name] = { ip, path, 0 };
}

void Nodes::start(const std::string& name)
{
    auto& node = m_nodes.at(name);
    const auto log = m_folder + "/" + name + ".log";
    const int pid = fork();
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(out, 1);
        dup2(out, 2);
        for (int fd = 3; fd < 1024; ++fd)
            close(fd);
        const std::string setting = "BUCKTHORNQUAY_NODE_FILE=" + node.settings;
        char* const arguments[] = { const_cast<char*>(m_program.c_str()), nullptr };
        char* const environment[] = { const_cast<char*>(setting.c_str()), nullptr };
        execve(m_program.c_str(), arguments, environment);
        _exit(127);
    }
    node.pid = pid;
    record("node started name=" + name);
}

void Nodes::signal(const std::string& name, int number)
{
    const int pid = m_nodes.at(name).pid;
    if (pid > 0)
        kill(pid, number);
    record("node signalled name=" + name + " signal=" + std::to_string(number));
}

void Nodes::await(const std::string& name)
{
    auto& node = m_nodes.at(name);
    int status = 0;
    if (node.pid > 0)
        waitpid(node.pid, &status, 0);
    node.pid = 0;
    record("node ended name=" + name);
}

void Nodes::endAll()
{
    for (auto& [name, node] : m_nodes) {
        if (node.pid > 0) {
            kill(node.pid, SIGKILL);
            waitpid(node.pid, nullptr, 0);
            node.pid = 0;
        }
    }
}

std::string Nodes::front(const std::string& name) const { return m_nodes.at(name).ip + ":8183"; }

std::string Nodes::readiness(const std::string& name) const { return m_nodes.at(name).ip + ":8184"; }

std::vector<std::string> Nodes::names() const
{
    std::vector<std::string> result;
    for (const auto& [name, node] : m_nodes)
        result.push_back(name);
    return result;
}

bool Nodes::awaitReady(std::int64_t timeoutMs)
{
    const auto until = nowMs() + timeoutMs;
    for (const auto& [name, node] : m_nodes) {
        while (call(readiness(name), "GET", "/ready", {}, {}, 500).status != 200) {
            if (nowMs() > until)
                return false;
            sleepMs(50);
        }
    }
    return true;
}

} // namespace review
