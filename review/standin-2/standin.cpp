// Stand-ins for the users' platform, an executor and a caller, for the scripts review/6 to review/10. They
// follow the users' pages: store and approval service (role "store"), one executor per process (role
// "executor"), requests of callers (roles "call" and "load").
#include <arpa/inet.h>
#include <atomic>
#include <boost/json.hpp>
#include <charconv>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <mutex>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <sstream>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace json = boost::json;
using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

namespace {

std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch())
        .count();
}

// One line of the record, written with one call so that lines of several processes don't mix.
void record(const std::string& path, const std::string& text)
{
    if (path.empty())
        return;
    const auto line = std::to_string(unixMs()) + " " + text + "\n";
    const int fd = open(path.c_str(), O_WRONLY | O_APPEND | O_CREAT, 0644);
    if (fd >= 0) {
        (void)!write(fd, line.data(), line.size());
        close(fd);
    }
}

// ---- HTTP ----

struct Request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; // lower-case names
    std::string body;
};

struct Response {
    int status = 200;
    std::string body = "{}";
};

std::string unescape(std::string_view text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned value = 0;
        if (text[i] == '%' && i + 2 < text.size()
            && std::from_chars(text.data() + i + 1, text.data() + i + 3, value, 16).ec == std::errc()) {
            result += static_cast<char>(value);
            i += 2;
        } else {
            result += text[i];
        }
    }
    return result;
}

sockaddr_in socketAddress(const std::string& address)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    const auto colon = address.rfind(':');
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
    result.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    return result;
}

// Reads one message: the first line, the headers and the body. False at the end of the connection.
bool readMessage(int fd, std::string& buffer, std::string& first, std::map<std::string, std::string>& headers,
    std::string& body, Clock::time_point until)
{
    const auto more = [&] {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now()).count();
        pollfd waiting { fd, POLLIN, 0 };
        if (left <= 0 || poll(&waiting, 1, static_cast<int>(std::min<long>(left, 1'000'000))) <= 0)
            return false;
        char bytes[16384];
        const auto count = recv(fd, bytes, sizeof bytes, 0);
        if (count <= 0)
            return false;
        buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    };
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!more())
            return false;
    }
    std::istringstream head(buffer.substr(0, end));
    buffer.erase(0, end + 4);
    std::getline(head, first);
    headers.clear();
    for (std::string line; std::getline(head, line);) {
        while (!line.empty() && line.back() == '\r')
            line.pop_back();
        const auto colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        std::string name = line.substr(0, colon);
        for (auto& c : name)
            c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        const auto start = line.find_first_not_of(' ', colon + 1);
        headers[name] = start == std::string::npos ? std::string() : line.substr(start);
    }
    const std::size_t length = headers.count("content-length") ? std::stoul(headers["content-length"]) : 0;
    while (buffer.size() < length) {
        if (!more())
            return false;
    }
    body = buffer.substr(0, length);
    buffer.erase(0, length);
    return true;
}

void serveConnection(int fd, const std::function<Response(const Request&)>& handler)
{
    std::string buffer;
    std::string first;
    Request request;
    while (readMessage(fd, buffer, first, request.headers, request.body, Clock::now() + 1h)) {
        std::istringstream line(first);
        std::string target;
        line >> request.method >> target;
        const auto mark = target.find('?');
        request.path = target.substr(0, mark);
        request.query.clear();
        if (mark != std::string::npos) {
            std::istringstream words(target.substr(mark + 1));
            for (std::string word; std::getline(words, word, '&');) {
                const auto equals = word.find('=');
                if (equals != std::string::npos)
                    request.query[word.substr(0, equals)] = unescape(word.substr(equals + 1));
            }
        }
        Response response;
        try {
            response = handler(request);
        } catch (const std::exception& error) {
            response = { 400, json::serialize(json::object { { "error", error.what() } }) };
        }
        const auto bytes = "HTTP/1.1 " + std::to_string(response.status)
            + " X\r\nContent-Type: application/json\r\nContent-Length: "
            + std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
        if (send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(bytes.size()))
            break;
    }
    close(fd);
}

// Serves until the process ends. Exits with 2 if the address is taken.
void serve(const std::string& address, std::function<Response(const Request&)> handler)
{
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    const auto where = socketAddress(address);
    if (bind(listener, reinterpret_cast<const sockaddr*>(&where), sizeof where) != 0 || listen(listener, 512)) {
        std::cerr << "can't listen at " << address << "\n";
        _exit(2);
    }
    while (true) {
        const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0)
            continue;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        std::thread(serveConnection, fd, handler).detach();
    }
}

// Sends one request on a new connection. Status 0: no answer in time.
Response call(const std::string& address, const std::string& method, const std::string& target,
    const std::vector<std::pair<std::string, std::string>>& headers, const std::string& body, std::chrono::milliseconds timeout)
{
    const auto until = Clock::now() + timeout;
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto where = socketAddress(address);
    const timeval limit { static_cast<time_t>(timeout.count() / 1000),
        static_cast<suseconds_t>(timeout.count() % 1000 * 1000) };
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit); // bounds connect() too
    Response response { 0, {} };
    if (connect(fd, reinterpret_cast<const sockaddr*>(&where), sizeof where) == 0) {
        std::string bytes = method + " " + target + " HTTP/1.1\r\n";
        for (const auto& [name, value] : headers)
            bytes += name + ": " + value + "\r\n";
        bytes += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size())
            + "\r\n\r\n" + body;
        std::string buffer;
        std::string first;
        std::map<std::string, std::string> answerHeaders;
        if (send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size())
            && readMessage(fd, buffer, first, answerHeaders, response.body, until)) {
            std::istringstream line(first);
            std::string version;
            line >> version >> response.status;
        }
    }
    close(fd);
    return response;
}

std::string textOf(const json::object& object, std::string_view name)
{
    const auto* it = object.if_contains(name);
    return it && it->is_string() ? std::string(it->get_string()) : std::string();
}

std::int64_t numberOf(const json::object& object, std::string_view name)
{
    const auto* it = object.if_contains(name);
    return it && it->is_number() ? it->to_number<std::int64_t>() : 0;
}

// ---- store and approval service ----

std::string base64(const std::string& bytes)
{
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned value = 0;
        for (std::size_t k = 0; k < 3; ++k)
            value = value << 8U | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            text += i + k > bytes.size() ? '=' : digits[value >> (18 - 6 * k) & 63U];
    }
    return text;
}

class Store {
public:
    Response handle(const Request& request)
    {
        if (request.path == "/beat")
            return beat(request);
        if (request.path == "/operator-config") {
            put({ "op", "", "config" }, base64(request.body));
            return {};
        }
        if (request.path == "/advise")
            return advise(request);
        if (request.path == "/rows-feed")
            return feed(request);
        if (request.path == "/rows-tx")
            return transact(request);
        std::this_thread::sleep_for(4ms);
        if (request.path == "/rows-get")
            return rows(request);
        if (request.path == "/rows-parts")
            return parts(request);
        return { 404, "{}" };
    }

    // An entry is removed after three ping intervals of silence.
    void expire()
    {
        const std::lock_guard lock(m_mutex);
        for (auto it = m_beats.begin(); it != m_beats.end();) {
            if (Clock::now() - it->second < 4500ms) {
                ++it;
                continue;
            }
            drop({ "servers", "", it->first });
            it = m_beats.erase(it);
        }
    }

private:
    using Name = std::tuple<std::string, std::string, std::string>; // table, part, key
    struct Row {
        std::string value;
        std::int64_t version = 0;
        bool isDropped = false;
    };

    void put(const Name& name, const std::string& value)
    {
        const std::lock_guard lock(m_mutex);
        change(name, { value, ++m_version, false });
    }
    void drop(const Name& name) { change(name, { {}, ++m_version, true }); }
    void change(const Name& name, Row row)
    {
        m_rows[name] = std::move(row);
        m_changed.notify_all();
    }

    Response beat(const Request& request)
    {
        const auto body = json::parse(request.body).as_object();
        const auto id = textOf(body, "id");
        if (const auto* entry = body.if_contains("entry")) {
            put({ "servers", "", id }, base64(json::serialize(*entry)));
            const std::lock_guard lock(m_mutex);
            m_beats[id] = Clock::now();
        } else {
            const std::lock_guard lock(m_mutex);
            drop({ "servers", "", id });
            m_beats.erase(id);
        }
        return {};
    }

    static Response advise(const Request& request)
    {
        json::array approved;
        const auto body = json::parse(request.body);
        for (const auto& it : body.as_object().at("workers").as_array())
            approved.push_back(json::array { it, "ticket" });
        return { 200, json::serialize(json::object { { "approved", approved }, { "validMs", 2000 } }) };
    }

    static Name nameOf(const json::value& value)
    {
        const auto& row = value.as_object();
        return { textOf(row, "table"), textOf(row, "part"), textOf(row, "key") };
    }

    json::object encode(const Name& name, const Row& row) const
    {
        json::object result { { "table", std::get<0>(name) }, { "part", std::get<1>(name) },
            { "key", std::get<2>(name) }, { "value", row.value }, { "ver", row.isDropped ? 0 : row.version } };
        if (row.isDropped)
            result["tombstone"] = true;
        return result;
    }

    Response transact(const Request& request)
    {
        const auto body = json::parse(request.body).as_object();
        std::set<std::string> parts;
        std::size_t entries = 0;
        for (const char* list : { "precondition", "puts", "drop" }) {
            if (!body.if_contains(list))
                continue;
            for (const auto& it : body.at(list).as_array()) {
                const auto name = nameOf(it);
                parts.insert(std::get<1>(name));
                ++entries;
                if (std::strcmp(list, "precondition") != 0
                    && (std::get<0>(name) == "op" || std::get<0>(name) == "servers"))
                    return { 403, "{}" };
            }
        }
        if (entries > 100 || parts.size() > 1 || request.body.size() > 1'000'000)
            return { 400, "{\"error\":\"too large, or more than one part\"}" };
        for (const auto& it : body.at("puts").as_array()) {
            if (textOf(it.as_object(), "value").size() > 65536 / 3 * 4 + 4)
                return { 400, "{\"error\":\"a value is larger than rowBytes\"}" };
        }
        std::this_thread::sleep_for(8ms);
        const std::lock_guard lock(m_mutex);
        json::array current;
        bool holds = true;
        for (const auto& it : body.at("precondition").as_array()) {
            const auto name = nameOf(it);
            const auto found = m_rows.find(name);
            const Row row = found == m_rows.end() || found->second.isDropped ? Row {} : found->second;
            holds = holds && row.version == numberOf(it.as_object(), "ver");
            current.push_back(encode(name, row));
        }
        if (!holds)
            return { 412, json::serialize(json::object { { "rows", current }, { "ver", m_version } }) };
        ++m_version;
        for (const auto& it : body.at("puts").as_array())
            m_rows[nameOf(it)] = { textOf(it.as_object(), "value"), m_version, false };
        for (const auto& it : body.at("drop").as_array()) {
            const auto found = m_rows.find(nameOf(it));
            if (found != m_rows.end() && !found->second.isDropped)
                found->second = { {}, m_version, true };
        }
        m_changed.notify_all();
        return { 200, json::serialize(json::object { { "ver", m_version } }) };
    }

    Response rows(const Request& request)
    {
        const auto get = [&](const char* name) {
            const auto it = request.query.find(name);
            return it == request.query.end() ? std::string() : it->second;
        };
        const std::size_t limit = get("limit").empty() ? 500 : std::min<std::size_t>(500, std::stoul(get("limit")));
        const std::lock_guard lock(m_mutex);
        json::array found;
        bool hasMore = false;
        for (auto it = m_rows.lower_bound({ get("table"), get("part"), get("from") }); it != m_rows.end(); ++it) {
            if (std::get<0>(it->first) != get("table") || std::get<1>(it->first) != get("part")
                || (!get("to").empty() && std::get<2>(it->first) >= get("to")))
                break;
            if (it->second.isDropped)
                continue;
            if (found.size() >= limit) {
                hasMore = true;
                break;
            }
            found.push_back(encode(it->first, it->second));
        }
        return { 200,
            json::serialize(json::object { { "rows", found }, { "hasMore", hasMore }, { "ver", m_version } }) };
    }

    Response parts(const Request& request)
    {
        const auto after = request.query.find("after");
        const std::lock_guard lock(m_mutex);
        std::set<std::string> found;
        for (const auto& [name, row] : m_rows) {
            if (std::get<0>(name) == request.query.at("table") && !row.isDropped
                && (after == request.query.end() || std::get<1>(name) > after->second))
                found.insert(std::get<1>(name));
        }
        json::array list;
        for (const auto& it : found) {
            if (list.size() < 1000)
                list.emplace_back(it);
        }
        return { 200, json::serialize(json::object { { "parts", list }, { "ver", m_version } }) };
    }

    Response feed(const Request& request)
    {
        const auto& table = request.query.at("table");
        const auto after = std::stoll(request.query.at("after"));
        const auto until = Clock::now() + std::chrono::milliseconds(std::stol(request.query.at("waitMs")));
        std::this_thread::sleep_for(4ms);
        std::unique_lock lock(m_mutex);
        while (true) {
            std::vector<std::pair<std::int64_t, Name>> changed;
            for (auto it = m_rows.lower_bound({ table, "", "" });
                 it != m_rows.end() && std::get<0>(it->first) == table; ++it) {
                if (it->second.version > after)
                    changed.emplace_back(it->second.version, it->first);
            }
            if (!changed.empty() || Clock::now() >= until) {
                std::sort(changed.begin(), changed.end());
                json::array rows;
                for (const auto& [version, name] : changed)
                    rows.push_back(encode(name, m_rows[name]));
                return { 200, json::serialize(json::object { { "rows", rows }, { "ver", m_version } }) };
            }
            m_changed.wait_until(lock, until);
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<Name, Row> m_rows;
    std::map<std::string, Clock::time_point> m_beats;
    std::int64_t m_version = 0;
};

int runStore(const std::string& listen)
{
    Store store;
    std::thread([&store] {
        while (true) {
            std::this_thread::sleep_for(100ms);
            store.expire();
        }
    }).detach();
    serve(listen, [&store](const Request& request) { return store.handle(request); });
    return 0;
}

// ---- executor ----

std::atomic<bool> isTerminating { false };
std::atomic<bool> isHanging { false }; // set by SIGUSR1, cleared by SIGUSR2

struct ExecutorOptions {
    std::string id;
    std::string listen;
    std::string store;
    std::string service;
    std::string zone;
    std::int64_t cpu = 0;
    std::vector<std::string> labels; // the kind and the rack
    std::string recordPath;
    std::int64_t maxHoldMs = 6000;
    std::int64_t drainMs = 2000; // serves so long after its report of draining
    std::int64_t lingerMs = 0; // and this much longer
};

// A task's spec tells how long it runs: "run MS", "fail MS" or "lasts". "save MS LENGTH" saves a checkpoint of that
// length each half second; these tasks take between a tenth of MS and all of it.
class Executor {
public:
    explicit Executor(ExecutorOptions options)
        : m_options(std::move(options))
    {
        note("up labels=" + m_options.labels.front() + " cpu=" + std::to_string(m_options.cpu));
    }

    Response handle(const Request& request)
    {
        if (request.method == "GET")
            return {}; // the health check
        // A failing executor does nothing with the request and never answers it.
        if (isHanging) {
            while (true)
                std::this_thread::sleep_for(1h);
        }
        std::unique_lock lock(m_mutex);
        const auto instance = request.headers.find("expected-instance");
        if (instance != request.headers.end() && instance->second != m_options.id)
            return { 421, "{}" };
        const auto body = json::parse(request.body).as_object();
        advance();
        const auto fence = numberOf(body, "fence");
        if (fence < m_fence)
            return refuse("fence");
        m_fence = fence;
        if (request.path == "/run-start")
            return start(body);
        if (request.path == "/run-stop")
            return stop(body);
        if (request.path == "/pace")
            return answer({});
        if (request.path == "/hold")
            return hold(body, lock);
        return { 404, "{}" };
    }

    void tick()
    {
        const std::lock_guard lock(m_mutex);
        advance();
    }

    std::string entry(bool isDraining)
    {
        const std::lock_guard lock(m_mutex);
        json::array labels;
        for (const auto& it : m_options.labels)
            labels.emplace_back(it);
        json::object entry { { "service", m_options.service }, { "address", m_options.listen },
            { "zone", m_options.zone }, { "version", "v1" }, { "slots", 8 },
            { "state", isDraining ? "draining" : "ready" }, { "coldLeftMs", 0 }, { "seq", ++m_sequence },
            { "born", m_born }, { "clockMs", clockMs() },
            { "capacity", json::object { { "cpu", m_options.cpu }, { "memMb", 65536 }, { "gpu", 0 } } },
            { "labels", labels } };
        if (isDraining)
            entry["remainingMs"] = m_options.drainMs;
        return json::serialize(json::object { { "id", m_options.id }, { "entry", entry } });
    }

    void note(const std::string& text)
    {
        record(m_options.recordPath,
            "executor " + m_options.id + " born=" + std::to_string(m_born) + " " + text);
    }

private:
    struct Run {
        std::int64_t number = 0;
        std::string spec;
        Clock::time_point startedAt;
    };
    struct End {
        std::int64_t number = 0;
        std::string task;
        std::int64_t run = 0;
        std::string how;
    };

    std::int64_t clockMs() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - m_startedAt).count() + 1;
    }

    Response answer(json::object body) const
    {
        body["clockMs"] = clockMs();
        body["born"] = m_born;
        return { 200, json::serialize(body) };
    }
    Response refuse(const char* reason) const
    {
        return { 409,
            json::serialize(json::object { { "clockMs", clockMs() }, { "born", m_born }, { "reason", reason } }) };
    }

    void end(const std::string& task, const std::string& how)
    {
        const auto it = m_running.find(task);
        note("end task=" + task + " run=" + std::to_string(it->second.number) + " how=" + how);
        m_ended.push_back({ ++m_lastEnd, task, it->second.number, how });
        m_highestEnded[task] = std::max(m_highestEnded[task], it->second.number);
        m_running.erase(it);
        m_changed.notify_all();
    }

    // Ends the runs whose time or whose lease is over.
    void advance()
    {
        const bool isLapsed = clockMs() > m_leaseUntil;
        if (isLapsed && !std::exchange(m_isLapsed, isLapsed))
            note("lapse");
        m_isLapsed = isLapsed;
        std::vector<std::pair<std::string, std::string>> over;
        for (const auto& [task, run] : m_running) {
            std::istringstream words(run.spec);
            std::string kind;
            long ms = 0;
            words >> kind >> ms;
            if (kind == "save")
                ms = ms * (10 + static_cast<long>(std::hash<std::string>()(task) % 91)) / 100;
            if (clockMs() > m_leaseUntil)
                over.emplace_back(task, "lapsed");
            else if (kind != "lasts" && Clock::now() >= run.startedAt + std::chrono::milliseconds(ms))
                over.emplace_back(task, kind == "fail" ? "failed" : "done");
        }
        for (const auto& [task, how] : over)
            end(task, how);
    }

    std::string checkpointOf(const std::string& task, const Run& run) const
    {
        std::istringstream words(run.spec);
        std::string kind;
        long ms = 0;
        std::size_t length = 0;
        words >> kind >> ms >> length;
        const auto saved = (Clock::now() - run.startedAt) / 500ms;
        if (kind != "save" || saved == 0)
            return {};
        auto text = task + "." + std::to_string(saved) + ".";
        while (text.size() < length)
            text += "0123456789abcdef"[(text.size() * 7 + task.size()) % 16];
        return text.substr(0, length);
    }

    void extendLease(std::int64_t deadlineMs)
    {
        m_leaseUntil = std::max(m_leaseUntil, std::min(deadlineMs, clockMs() + m_options.maxHoldMs));
    }

    Response start(const json::object& body)
    {
        const auto task = textOf(body, "task");
        const auto run = numberOf(body, "run");
        const auto deadlineMs = numberOf(body, "deadlineMs");
        extendLease(deadlineMs);
        if (const auto it = m_running.find(task); it != m_running.end())
            return it->second.number == run ? answer({}) : refuse("old");
        if (run <= m_highestEnded[task])
            return refuse("old");
        if (deadlineMs < clockMs())
            return refuse("late");
        m_running[task] = { run, textOf(body, "spec"), Clock::now() };
        note("start task=" + task + " run=" + std::to_string(run) + " labels=" + m_options.labels.front()
            + " fence=" + std::to_string(m_fence));
        return answer({});
    }

    Response stop(const json::object& body)
    {
        const auto task = textOf(body, "task");
        const auto run = numberOf(body, "run");
        if (const auto it = m_running.find(task); it != m_running.end() && it->second.number == run)
            end(task, "stopped");
        m_highestEnded[task] = std::max(m_highestEnded[task], run);
        return answer({});
    }

    Response hold(const json::object& body, std::unique_lock<std::mutex>& lock)
    {
        extendLease(numberOf(body, "deadlineMs"));
        const auto seen = numberOf(body, "seenUpto");
        std::erase_if(m_ended, [&](const End& it) {
            if (it.number <= seen)
                note("seen task=" + it.task + " run=" + std::to_string(it.run) + " how=" + it.how);
            return it.number <= seen;
        });
        const auto until = Clock::now() + std::chrono::milliseconds(std::min<std::int64_t>(2000, numberOf(body, "waitMs")));
        while (m_ended.empty() && Clock::now() < until)
            m_changed.wait_until(lock, until);
        json::array running;
        for (const auto& [task, run] : m_running)
            running.push_back(json::array { task, run.number, checkpointOf(task, run), 100, 0 });
        json::array finished;
        for (const auto& it : m_ended) {
            if (finished.size() < 500)
                finished.push_back(json::array { it.number, it.task, it.run, it.how, "" });
        }
        return answer({ { "running", running }, { "finished", finished } });
    }

    ExecutorOptions m_options;
    const std::int64_t m_born = unixMs();
    const Clock::time_point m_startedAt = Clock::now();
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Run> m_running;
    std::map<std::string, std::int64_t> m_highestEnded;
    std::vector<End> m_ended;
    std::int64_t m_fence = 0;
    std::int64_t m_leaseUntil = 0;
    bool m_isLapsed = true;
    std::int64_t m_lastEnd = 0;
    std::int64_t m_sequence = 0;
};

int runExecutor(const ExecutorOptions& options)
{
    Executor executor(options);
    std::signal(SIGTERM, [](int) { isTerminating = true; });
    std::signal(SIGUSR1, [](int) { isHanging = true; });
    std::signal(SIGUSR2, [](int) { isHanging = false; });
    std::thread([&] {
        while (true) {
            std::this_thread::sleep_for(5ms);
            executor.tick();
        }
    }).detach();
    std::thread([&] {
        auto nextBeat = Clock::now();
        Clock::time_point exitAt {};
        while (true) {
            const bool isDraining = isTerminating;
            if (isDraining && exitAt == Clock::time_point {})
                nextBeat = Clock::now();
            if (Clock::now() >= nextBeat) {
                nextBeat = Clock::now() + 1500ms;
                const auto answer = call(options.store, "POST", "/beat", { { "Host", "store" } },
                    executor.entry(isDraining), 1000ms);
                if (isDraining && answer.status == 200 && exitAt == Clock::time_point {}) {
                    executor.note("draining");
                    exitAt = Clock::now() + std::chrono::milliseconds(options.drainMs + options.lingerMs);
                }
            }
            if (exitAt != Clock::time_point {} && Clock::now() >= exitAt) {
                call(options.store, "POST", "/beat", { { "Host", "store" } },
                    json::serialize(json::object { { "id", options.id } }), 500ms);
                executor.note("exit");
                _exit(0);
            }
            std::this_thread::sleep_for(20ms);
        }
    }).detach();
    serve(options.listen, [&](const Request& request) { return executor.handle(request); });
    return 0;
}

// ---- callers ----

struct Caller {
    std::vector<std::string> nodes;
    std::string host;
    std::string prefix;
    std::string key;
    std::string recordPath;
};

// Hands in a job. Sends it again, at the next node, after a refusal or without an answer, four times at most.
void submit(const Caller& caller, const std::string& id, const std::string& body, std::size_t first)
{
    Response answer;
    for (std::size_t attempt = 0; attempt < 5; ++attempt) {
        if (attempt > 0)
            std::this_thread::sleep_for(300ms);
        answer = call(caller.nodes[(first + attempt) % caller.nodes.size()], "POST", caller.prefix + id,
            { { "Host", caller.host }, { "Authorization", "Bearer " + caller.key }, { "Deadline-Ms", "3000" } },
            body, 3000ms);
        record(caller.recordPath, "post " + id + " -> " + std::to_string(answer.status));
        if (answer.status != 0 && answer.status != 429 && answer.status < 500)
            break;
    }
}

std::string jobId(const std::string& tag, int number)
{
    char text[17];
    std::snprintf(text, sizeof text, "%s%0*x", tag.c_str(), static_cast<int>(16 - tag.size()), number);
    return text;
}

int runLoad(const Caller& caller, const std::string& tag, double perSecond, double seconds, const std::string& body)
{
    const auto begin = Clock::now();
    std::vector<std::thread> threads;
    for (int i = 0; i < perSecond * seconds; ++i) {
        std::this_thread::sleep_until(
            begin + std::chrono::microseconds(static_cast<long long>(i * 1e6 / perSecond)));
        threads.emplace_back([&caller, &body, id = jobId(tag, i), i] { submit(caller, id, body, static_cast<std::size_t>(i)); });
    }
    for (auto& it : threads)
        it.join();
    return 0;
}

std::string fileText(const std::string& path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::vector<std::string> split(const std::string& text)
{
    std::vector<std::string> words;
    std::istringstream stream(text);
    for (std::string word; std::getline(stream, word, ',');)
        words.push_back(word);
    return words;
}

int run(int argc, char** argv)
{
    std::vector<std::string> args(argv + 1, argv + argc);
    args.resize(std::max<std::size_t>(args.size(), 10));
    const auto& role = args[0];
    if (role == "store") // LISTEN
        return runStore(args[1]);
    if (role == "executor") // ID LISTEN STORE SERVICE ZONE CPU LABELS RECORD [LINGER_MS]
        return runExecutor({ args[1], args[2], args[3], args[4], args[5], std::stol(args[6]), split(args[7]),
            args[8], 6000, 2000, args[9].empty() ? 0 : std::stol(args[9]) });
    if (role == "operator") // STORE FILE
        return call(args[1], "POST", "/operator-config", { { "Host", "store" } }, fileText(args[2]), 3000ms).status
                == 200
            ? 0
            : 1;
    if (role == "call") { // METHOD NODE TARGET HOST KEY [BODY]: prints status and body
        const auto answer = call(args[2], args[1], args[3],
            { { "Host", args[4] }, { "Authorization", "Bearer " + args[5] }, { "Deadline-Ms", "3000" } },
            args[6], 3000ms);
        std::cout << answer.status << " " << answer.body << "\n";
        return answer.status / 100 == 2 ? 0 : 1;
    }
    if (role == "load") // NODES HOST PREFIX KEY RECORD TAG PER_SECOND SECONDS BODY
        return runLoad({ split(args[1]), args[2], args[3], args[4], args[5] }, args[6], std::stod(args[7]),
            std::stod(args[8]), args[9]);
    std::cerr << "roles: store, executor, operator, call, load\n";
    return 2;
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    try {
        return run(argc, argv);
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return 2;
    }
}
