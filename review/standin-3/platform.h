// Stand-ins of the users' platform for the scripts of this review: the metadata store, executors and callers,
// each on a loopback address and the real clock, and the nodes as processes of their own.
#pragma once

#include <atomic>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

namespace review {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;
using tcp = asio::ip::tcp;

// Milliseconds since the start of the script.
std::int64_t nowMs();
void sleepMs(std::int64_t ms);
// Writes a line with the time to record.txt.
void record(const std::string& line);
void openRecord(const std::string& path);

std::string encodeBase64(const std::string& bytes);
std::string decodeBase64(const std::string& text);

struct Request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; // lower case names
    std::string body;
};

struct Response {
    unsigned status = 200;
    std::string body = "{}";
    bool isWithheld = false; // no response, and nothing further on this channel
};

// An HTTP server with a thread for each connection.
class Server {
public:
    using Handler = std::function<Response(const Request&)>;
    Server(const std::string& ip, std::uint16_t port, Handler handler);
    std::string address() const { return m_address; }
    // Closes all channels and refuses new ones until it is started again at the same address.
    void stop();
    void start();
    // Refuses new channels; the open ones stay.
    void stopListening();

private:
    void acceptLoop(std::shared_ptr<tcp::acceptor> acceptor);
    void serve(std::shared_ptr<tcp::socket> socket);

    std::string m_ip;
    std::uint16_t m_port;
    std::string m_address;
    Handler m_handler;
    asio::io_context m_context;
    std::shared_ptr<tcp::acceptor> m_acceptor;
    std::mutex m_mutex;
    std::set<std::shared_ptr<tcp::socket>> m_sockets;
};

// One call; nothing if there was no response within the time.
struct Answer {
    unsigned status = 0; // 0: no response
    std::string body;
};
Answer call(const std::string& address, const std::string& method, const std::string& path,
    const std::map<std::string, std::string>& headers, const std::string& body, std::int64_t timeoutMs);

// The platform's metadata store (form "table").
class Store {
public:
    // What happens to a transaction: it is executed after `delayMs`, and answered unless `isAnswerLost`.
    struct Fate {
        std::int64_t delayMs = 0;
        bool isAnswerLost = false;
    };

    explicit Store(const std::string& ip);
    std::string address() const { return m_server->address(); }
    void put(
        const std::string& table, const std::string& part, const std::string& key, const std::string& value);
    void drop(const std::string& table, const std::string& part, const std::string& key);
    // Decides the fate of each transaction; by default it is executed and answered.
    void setFate(std::function<Fate(const json::object&)> fate);
    // The node that last wrote under a condition on a row that names a node in its value.
    std::string lastConditionalWriter() const;

private:
    struct Row {
        std::string value;
        std::int64_t version = 0;
        bool isDropped = false;
    };
    using Name = std::tuple<std::string, std::string, std::string>;

    Response serve(const Request& request);
    Response transact(const json::object& body);
    Response feed(const Request& request);
    json::object encode(const Name& name, const Row& row, bool isFeed) const;

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<Name, Row> m_rows;
    std::int64_t m_version = 0;
    std::function<Fate(const json::object&)> m_fate;
    std::string m_lastWriter;
    std::unique_ptr<Server> m_server;
};

// A start, an end, or an end that was taken note of, as seen by an executor.
struct RunEvent {
    enum Kind { Start, End, Noted } kind = Start;
    std::int64_t atMs = 0;
    std::string task; // ID.K.STEP.INDEX
    std::int64_t run = 0;
    std::string how;
    std::string executor;
    std::string executorKind; // the executor's first label; only of starts
};

class Executor;

// All executors share the log of runs.
class Fleet {
public:
    explicit Fleet(Store& store)
        : m_store(store)
    {
    }
    Executor& add(const std::string& id, const std::string& ip, const std::string& service, std::int64_t cpu,
        const std::string& kind = "a");
    std::vector<RunEvent> events() const;
    std::size_t running(const std::string& taskPrefix) const; // on executors that are up
    Store& store() { return m_store; }
    std::vector<std::unique_ptr<Executor>>& executors() { return m_executors; }
    // Called with each start, after it was answered by the executor.
    std::function<void(Executor&, const std::string& task, std::int64_t run)> onStart;

private:
    friend class Executor;
    void log(RunEvent event);

    Store& m_store;
    mutable std::mutex m_mutex;
    std::vector<RunEvent> m_events;
    std::vector<std::unique_ptr<Executor>> m_executors;
};

// One executor. How long a task works stands in the spec, a list of milliseconds by step; 0: it lasts.
class Executor {
public:
    Executor(Fleet& fleet, std::string id, const std::string& ip, std::string service, std::int64_t cpu,
        std::string kind);
    const std::string& id() const { return m_id; }
    // Ends all runs without a word and closes its port.
    void crash();
    // Starts again under the same id: it knows nothing of before. `kind` is its first label.
    void startAgain(const std::string& kind = "a");
    bool isUp() const { return m_isUp; }
    // While it is cut off, nothing that is sent on open channels arrives, new ones are refused, and it says
    // nothing of itself.
    void cutOff(bool isCut);

private:
    friend class Fleet;
    struct Run {
        std::int64_t number = 0;
        std::int64_t endsAt = 0; // 0: it lasts
    };
    struct End {
        std::int64_t number = 0;
        std::string task;
        std::int64_t run = 0;
        std::string how;
    };

    std::int64_t clockMs() const { return nowMs() - m_startedAt + 1; }
    void registerSelf();
    void work(); // ends runs that are done or whose lease has expired, and beats
    void endRun(const std::string& task, const std::string& how);
    Response serve(const Request& request);
    Response start(const json::object& body);
    Response stop(const json::object& body);
    Response hold(const json::object& body, std::unique_lock<std::mutex>& lock);
    void extend(const json::object& body);

    Fleet& m_fleet;
    std::string m_id;
    std::string m_service;
    std::int64_t m_cpu;
    mutable std::mutex m_mutex;
    std::condition_variable m_ended;
    std::atomic<bool> m_isUp = false;
    bool m_isCut = false;
    std::string m_kind = "a";
    std::int64_t m_startedAt = 0;
    std::int64_t m_born = 0;
    std::int64_t m_seq = 0;
    std::int64_t m_nextBeat = 0;
    std::int64_t m_lastBeat = 0; // that the platform has received; 0: it has no entry
    std::int64_t m_fence = 0;
    std::int64_t m_leaseUntil = 0; // on its clock
    std::int64_t m_lastEnd = 0;
    std::map<std::string, Run> m_running;
    std::map<std::string, std::int64_t> m_highestEnded;
    std::vector<End> m_ends;
    std::unique_ptr<Server> m_server;
};

// The nodes, as processes that run the command of the deploy file.
class Nodes {
public:
    Nodes(std::string program, std::string folder)
        : m_program(std::move(program))
        , m_folder(std::move(folder))
    {
    }
    ~Nodes();
    void add(
        const std::string& name, const std::string& ip, const std::string& zone, const std::string& store);
    void start(const std::string& name);
    void signal(const std::string& name, int signal);
    void await(const std::string& name); // until the process has ended
    void endAll();
    std::string front(const std::string& name) const;
    std::string readiness(const std::string& name) const;
    std::vector<std::string> names() const;
    bool awaitReady(std::int64_t timeoutMs);

private:
    struct Node {
        std::string ip;
        std::string settings;
        int pid = 0;
    };
    std::string m_program;
    std::string m_folder;
    std::map<std::string, Node> m_nodes;
};

} // namespace review
