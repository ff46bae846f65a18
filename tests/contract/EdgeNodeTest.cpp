#include "edge/EdgeNode.h"
#include "FleetPlatform.h"
#include "net/HttpClient.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>
#include <fstream>
#include <regex>
#include <set>
#include <thread>
#include <unistd.h>

// Whole nodes against the stand-in of the platform, in one process: each node on a loopback address of its
// own.
using namespace quay;

namespace {

constexpr auto generous = 30s; // no verdict depends on it but that of a test that hangs

const std::string configuration
    = R"({"version":1,"routes":[{"name":"q","host":"h","prefix":"/q/","service":"service","attempts":3,"sloMs":300,)"
      R"("advice":{"decisionMs":1,"perItemMs":0.1,"validMs":2000}}],)"
      R"("services":[{"name":"service"}],"tenants":[{"name":"t","apiKeys":["key"],"weight":1,"maxCount":{}}]})";

template <typename Condition> void waitFor(const char* what, Condition condition)
{
    const auto end = std::chrono::steady_clock::now() + generous;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            FAIL(what);
        std::this_thread::sleep_for(10ms);
    }
}

// Status 0: no answer.
HttpResponse call(const std::string& address, const std::string& method, const std::string& target,
    const std::string& body = {}, const std::string& key = "key")
{
    boost::asio::io_context context;
    HttpClient client(context, 1, 1 << 20);
    HttpRequest request = jsonPost(target, body);
    request.method = method;
    request.headers["host"] = "h";
    request.headers["authorization"] = "Bearer " + key;
    HttpResponse answer;
    answer.status = 0;
    client.send(address, request, 5s, [&](HttpResult result) {
        if (result.response)
            answer = *result.response;
    });
    context.run();
    return answer;
}

// Of this process alone: the port of the metrics is the same on all nodes, also on those of another run of
// the tests.
std::string loopback(int number)
{
    constexpr int values = 250; // of one part of an address, without its ends
    const int process = getpid();
    return "127." + std::to_string(1 + process / values % values) + "." + std::to_string(1 + process % values)
        + "." + std::to_string(number);
}

class Node {
public:
    Node(int number, const std::string& store, double processorShare = 0)
        : m_address(loopback(number))
        , m_port(20000 + (getpid() * 8) % 20000)
    {
        platform::NodeSettings settings;
        settings.node = "n" + std::to_string(number);
        settings.ip = m_address;
        settings.zone = "z";
        settings.jobApiAddress = callers();
        settings.readinessAddress = m_address + ":" + std::to_string(m_port + 1);
        settings.firstPeerPort = static_cast<std::uint16_t>(m_port + 2);
        settings.storeAddress = settings.approvalAddress = store;
        settings.longestLease = 6000ms;
        settings.stopTime = 900ms;
        settings.terminationGracePeriod = 6s;
        settings.processorShare = processorShare;
        settings.keepFinished = 120s;
        m_node = std::make_unique<edge::EdgeNode>(settings);
        m_thread = std::thread([this] { m_node->run(); });
    }
    ~Node() { kill(); }

    void kill()
    {
        if (!m_thread.joinable())
            return;
        m_node->halt();
        m_thread.join();
        m_node.reset();
    }

    std::string callers() const { return m_address + ":" + std::to_string(m_port); }
    std::string readiness() const { return m_address + ":" + std::to_string(m_port + 1); }
    std::string metrics() const { return call(m_address + ":9464", "GET", "/metrics").body; }
    bool leads() const { return metrics().find("\nquay_leads 1\n") != std::string::npos; }

private:
    std::string m_address;
    int m_port;
    std::unique_ptr<edge::EdgeNode> m_node;
    std::thread m_thread;
};

std::string jobId(int number)
{
    char text[17];
    std::snprintf(text, sizeof text, "%016x", number);
    return text;
}

bool isCompleted(const Node& node, const std::string& id)
{
    return call(node.callers(), "GET", "/q/" + id).body.find("completed") != std::string::npos;
}

const std::string twoSteps
    = R"({"spec":"x","steps":[{"count":5,"cpu":1000,"memMb":10,"estimateMs":50},{"count":2,"cpu":500,"after":[0]}]})";

} // namespace

TEST_CASE("a node serves a job from its acceptance to its end, and answers what is wrong with a request")
{
    standin::FleetPlatform platform(3);
    Node node(1, platform.storeAddress());
    CHECK(call(node.callers(), "POST", "/q/" + jobId(1), twoSteps).status == 503); // no configuration yet
    platform.configure(configuration);
    waitFor("the node is ready", [&] { return call(node.readiness(), "GET", "/ready").status == 200; });
    CHECK(call(node.callers(), "POST", "/q/" + jobId(1), twoSteps).status == 200);
    CHECK(call(node.callers(), "POST", "/q/" + jobId(1), twoSteps).status == 200); // the same job again
    waitFor("the job is completed", [&] { return isCompleted(node, jobId(1)); });
    CHECK(platform.startedRuns() == 7);
    struct Row {
        const char* name;
        const char* method;
        std::string target, body;
        const char* key;
        unsigned status;
    };
    const Row rows[] = {
        { "another body under the same id", "POST", "/q/" + jobId(1), R"({"steps":[{"count":1}]})", "key",
            409 },
        { "no such queue", "POST", "/other/" + jobId(2), twoSteps, "key", 404 },
        { "unknown key", "POST", "/q/" + jobId(2), twoSteps, "nobody", 401 },
        { "an id of another form", "POST", "/q/12", twoSteps, "key", 400 },
        { "a malformed body", "POST", "/q/" + jobId(2), "{", "key", 400 },
        { "a body that no row of the store holds", "POST", "/q/" + jobId(2),
            R"({"steps":[{"count":1}],"padding":")" + std::string(70'000, 'x') + "\"}", "key", 413 },
        { "another method", "PUT", "/q/" + jobId(2), twoSteps, "key", 400 },
        { "state of an unknown job", "GET", "/q/" + jobId(9), "", "key", 410 },
        { "cancel of an unknown job", "DELETE", "/q/" + jobId(9), "", "key", 410 },
        { "count of waiting jobs", "GET", "/q/", "", "key", 200 },
    };
    for (const auto& row : rows) {
        CAPTURE(std::string(row.name));
        CHECK(call(node.callers(), row.method, row.target, row.body, row.key).status == row.status);
    }
    CHECK(platform.startedRuns() == 7); // nothing of the refused requests ran
    CHECK(platform.violations().empty());
}

TEST_CASE("a job outlives the nodes that accepted and scheduled it, and no task runs twice")
{
    standin::FleetPlatform platform(3);
    platform.configure(configuration);
    platform.setTaskDuration(400ms);
    auto first = std::make_unique<Node>(2, platform.storeAddress());
    waitFor(
        "the first node is ready", [&] { return call(first->readiness(), "GET", "/ready").status == 200; });
    Node second(3, platform.storeAddress());
    waitFor(
        "the second node is ready", [&] { return call(second.readiness(), "GET", "/ready").status == 200; });
    for (int i = 1; i <= 6; ++i)
        CHECK(call(first->callers(), "POST", "/q/" + jobId(i), twoSteps).status == 200);
    waitFor("work has begun", [&] { return platform.startedRuns() > 0; });
    first->kill();
    for (int i = 1; i <= 6; ++i)
        waitFor("each job is completed", [&] { return isCompleted(second, jobId(i)); });
    CHECK(platform.startedRuns() == 6 * 7);
    CHECK(platform.violations().empty());
}

TEST_CASE("while the store refuses, jobs are refused as not run; afterwards the same id is taken")
{
    standin::FleetPlatform platform(2);
    platform.configure(configuration);
    Node node(4, platform.storeAddress());
    waitFor("the node is ready", [&] { return call(node.readiness(), "GET", "/ready").status == 200; });
    platform.setStoreUnavailable(true);
    waitFor("the node says that it is not ready",
        [&] { return call(node.readiness(), "GET", "/ready").status == 503; });
    const auto refused = call(node.callers(), "POST", "/q/" + jobId(1), twoSteps);
    CHECK(refused.status == 503);
    CHECK(refused.headers.count("retry-after") == 1);
    CHECK(refused.body.find("not run") != std::string::npos);
    CHECK(platform.startedRuns() == 0);
    platform.setStoreUnavailable(false);
    waitFor("the job is taken",
        [&] { return call(node.callers(), "POST", "/q/" + jobId(1), twoSteps).status == 200; });
    waitFor("the job is completed", [&] { return isCompleted(node, jobId(1)); });
    CHECK(platform.startedRuns() == 7);
}

TEST_CASE("a node reads anew when the store's history is dropped, and follows new configurations and keys")
{
    standin::FleetPlatform platform(2);
    platform.configure(configuration);
    Node node(5, platform.storeAddress());
    waitFor("the node is ready", [&] { return call(node.readiness(), "GET", "/ready").status == 200; });
    auto next = configuration;
    next.replace(next.find("\"version\":1"), 11, "\"version\":4");
    next.replace(next.find("\"key\""), 5, "\"other\"");
    platform.configure(next);
    platform.truncateHistory();
    waitFor("the new key is in force",
        [&] { return call(node.callers(), "POST", "/q/" + jobId(1), twoSteps, "other").status == 200; });
    CHECK(call(node.callers(), "POST", "/q/" + jobId(2), twoSteps, "key").status == 401);
    waitFor("the job is completed", [&] {
        return call(node.callers(), "GET", "/q/" + jobId(1), {}, "other").body.find("completed")
            != std::string::npos;
    });
}

TEST_CASE("a cancelled job's tasks are stopped")
{
    standin::FleetPlatform platform(2);
    platform.configure(configuration);
    platform.setTaskDuration(60s);
    Node node(6, platform.storeAddress());
    waitFor("the node is ready", [&] { return call(node.readiness(), "GET", "/ready").status == 200; });
    CHECK(call(node.callers(), "POST", "/q/" + jobId(1), twoSteps).status == 200);
    waitFor("its tasks run", [&] { return platform.startedRuns() == 5; });
    CHECK(call(node.callers(), "DELETE", "/q/" + jobId(1)).status == 200);
    waitFor("it is shown as cancelled", [&] {
        return call(node.callers(), "GET", "/q/" + jobId(1)).body.find("cancelled") != std::string::npos;
    });
    // Room for five tasks of the same size comes free only when the first five have been stopped.
    platform.setTaskDuration(50ms);
    const std::string wide = R"({"steps":[{"count":16,"cpu":1000}]})";
    CHECK(call(node.callers(), "POST", "/q/" + jobId(2), wide).status == 200);
    waitFor("the next job is completed", [&] { return isCompleted(node, jobId(2)); });
    CHECK(platform.violations().empty());
}

TEST_CASE("a weak node hands the leadership to a stronger one, and takes it back only when that one is gone")
{
    standin::FleetPlatform platform(3);
    platform.configure(configuration);
    Node weak(7, platform.storeAddress(), 0.12);
    waitFor("the weak node leads", [&] { return weak.leads(); });
    auto strong = std::make_unique<Node>(8, platform.storeAddress(), 0.5);
    waitFor("the strong node leads", [&] { return strong->leads(); });
    waitFor("the weak one leads no more", [&] { return !weak.leads(); });
    CHECK(call(weak.callers(), "POST", "/q/" + jobId(1), twoSteps).status == 200);
    waitFor("the job is completed", [&] { return isCompleted(weak, jobId(1)); });
    strong->kill();
    waitFor("the weak node leads again", [&] { return weak.leads(); });
    CHECK(call(weak.callers(), "POST", "/q/" + jobId(2), twoSteps).status == 200);
    waitFor("the next job is completed", [&] { return isCompleted(weak, jobId(2)); });
    CHECK(platform.startedRuns() == 2 * 7);
    CHECK(platform.violations().empty());
}

TEST_CASE("the page of metrics shows what docs/METRICS.md lists, no more and no less")
{
    standin::FleetPlatform platform(2);
    platform.configure(configuration);
    Node node(9, platform.storeAddress());
    waitFor("the node is ready", [&] { return call(node.readiness(), "GET", "/ready").status == 200; });
    CHECK(call(node.callers(), "POST", "/q/" + jobId(1), twoSteps).status == 200);
    waitFor("the job is completed", [&] { return isCompleted(node, jobId(1)); });
    CHECK(call(node.callers(), "POST", "/q/" + jobId(2), "{").status == 400);
    const auto page = node.metrics();
    std::set<std::string> shown;
    const std::regex family("# HELP (\\S+) (.*)\n# TYPE \\S+ (\\S+)");
    for (std::sregex_iterator it(page.begin(), page.end(), family), end; it != end; ++it)
        shown.insert("| " + (*it)[1].str() + " | " + (*it)[3].str() + " | " + (*it)[2].str() + " |");
    std::set<std::string> listed;
    std::ifstream file(QUAY_SOURCE_DIR "/docs/METRICS.md");
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with("| quay_"))
            listed.insert(line);
    }
    CHECK(!shown.empty());
    for (const auto& it : shown)
        CHECK_MESSAGE(listed.count(it) == 1, "not listed: " << it);
    for (const auto& it : listed)
        CHECK_MESSAGE(shown.count(it) == 1, "not shown: " << it);
    // Values of a node that leads one team's finished job.
    for (const char* line : { "quay_executors{state=\"at_work\"} 2", "quay_runs{state=\"running\"} 0",
             "quay_open_jobs 0", "quay_team_cpu_used{team=\"t\"} 0", "quay_start_orders_total 7",
             "quay_wait_for_room_seconds_count 7", "quay_finish_to_shown_seconds_count 1",
             "quay_requests_refused_total{reason=\"malformed_request\"} 1" })
        CHECK_MESSAGE(page.find(line) != std::string::npos, "no line: " << line);
}

TEST_CASE("repeats of writes without an answer never outgrow the requests")
{
    constexpr int requests = 24;
    standin::FleetPlatform platform(2);
    platform.configure(configuration);
    Node node(10, platform.storeAddress());
    waitFor("the node is ready", [&] { return call(node.readiness(), "GET", "/ready").status == 200; });
    platform.dropTransactions(true);
    // Jobs wait for the leader's commit until the leader is unusable; from then on the node writes them
    // itself.
    waitFor("the node writes for itself", [&] {
        (void)call(node.callers(), "POST", "/q/" + jobId(100), twoSteps);
        return platform.droppedWrites("jobs") > 1;
    });
    const auto before = platform.droppedWrites("jobs");
    std::vector<std::thread> callers;
    std::vector<unsigned> answers(requests);
    callers.reserve(requests);
    for (int i = 0; i < requests; ++i)
        callers.emplace_back(
            [&, i] { answers[i] = call(node.callers(), "POST", "/q/" + jobId(200 + i), twoSteps).status; });
    for (auto& it : callers)
        it.join();
    CHECK(platform.droppedWrites("jobs") - before <= requests);
    for (const auto status : answers)
        CHECK(status >= 500); // refused as not run, or its outcome is unknown
    platform.dropTransactions(false);
    waitFor("jobs are taken again",
        [&] { return call(node.callers(), "POST", "/q/" + jobId(1), twoSteps).status == 200; });
    waitFor("the job is completed", [&] { return isCompleted(node, jobId(1)); });
    CHECK(platform.violations().empty());
}
