#include "TestNode.h"
#include "edge/JobRows.h"
#include "edge/OrderRelay.h"
#include "edge/PeerClient.h"

#include <atomic>
#include <doctest/doctest.h>
#include <fstream>
#include <functional>
#include <regex>
#include <set>
#include <thread>

using namespace quay;
using namespace quay::test;

TEST_CASE("a node runs an accepted job to completion and refuses invalid requests with the matching status")
{
    standin::FleetPlatform platform(3);
    Node node(1, platform.storeAddress());
    CHECK(call(node.apiEndpoint(), "POST", "/q/" + jobId(1), twoStepJob).status
        == 503); // no configuration has been read yet
    platform.configure(configuration);
    waitFor(
        "the node is ready", [&] { return call(node.readinessEndpoint(), "GET", "/ready").status == 200; });
    CHECK(call(node.apiEndpoint(), "POST", "/q/" + jobId(1), twoStepJob).status == 200);
    CHECK(call(node.apiEndpoint(), "POST", "/q/" + jobId(1), twoStepJob).status
        == 200); // a repeated submission
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
        { "a different body with the same id", "POST", "/q/" + jobId(1), R"({"steps":[{"count":1}]})", "key",
            409 },
        { "an unknown queue", "POST", "/other/" + jobId(2), twoStepJob, "key", 404 },
        { "an unknown key", "POST", "/q/" + jobId(2), twoStepJob, "nobody", 401 },
        { "an invalid job id", "POST", "/q/12", twoStepJob, "key", 400 },
        { "a malformed body", "POST", "/q/" + jobId(2), "{", "key", 400 },
        { "a body larger than a row of the store", "POST", "/q/" + jobId(2),
            R"({"steps":[{"count":1}],"padding":")" + std::string(70'000, 'x') + "\"}", "key", 413 },
        { "an unsupported method", "PUT", "/q/" + jobId(2), twoStepJob, "key", 400 },
        { "the state of an unknown job", "GET", "/q/" + jobId(9), "", "key", 410 },
        { "the cancellation of an unknown job", "DELETE", "/q/" + jobId(9), "", "key", 410 },
        { "the number of waiting jobs", "GET", "/q/", "", "key", 200 },
    };
    for (const auto& row : rows) {
        CAPTURE(std::string(row.name));
        CHECK(call(node.apiEndpoint(), row.method, row.target, row.body, row.key).status == row.status);
    }
    CHECK(platform.startedRuns() == 7); // no refused request has run a task
    CHECK(platform.violations().empty());
}

TEST_CASE("jobs complete after the node that accepted and scheduled them has crashed, and no task runs twice")
{
    standin::FleetPlatform platform(3);
    platform.configure(configuration);
    platform.setTaskDuration(400ms);
    auto first = std::make_unique<Node>(2, platform.storeAddress());
    waitFor("the first node is ready",
        [&] { return call(first->readinessEndpoint(), "GET", "/ready").status == 200; });
    Node second(3, platform.storeAddress());
    waitFor("the second node is ready",
        [&] { return call(second.readinessEndpoint(), "GET", "/ready").status == 200; });
    for (int i = 1; i <= 6; ++i)
        CHECK(call(first->apiEndpoint(), "POST", "/q/" + jobId(i), twoStepJob).status == 200);
    waitFor("a task has started", [&] { return platform.startedRuns() > 0; });
    first->kill();
    for (int i = 1; i <= 6; ++i)
        waitFor("each job is completed", [&] { return isCompleted(second, jobId(i)); });
    CHECK(platform.startedRuns() == 6 * 7);
    CHECK(platform.violations().empty());
}

TEST_CASE("while the store refuses calls, jobs are refused as not run; later the same job id is accepted")
{
    standin::FleetPlatform platform(2);
    platform.configure(configuration);
    Node node(4, platform.storeAddress());
    waitFor(
        "the node is ready", [&] { return call(node.readinessEndpoint(), "GET", "/ready").status == 200; });
    platform.setStoreUnavailable(true);
    waitFor("the node reports that it is not ready",
        [&] { return call(node.readinessEndpoint(), "GET", "/ready").status == 503; });
    const auto refused = call(node.apiEndpoint(), "POST", "/q/" + jobId(1), twoStepJob);
    CHECK(refused.status == 503);
    CHECK(refused.headers.count("retry-after") == 1);
    CHECK(refused.body.find("not run") != std::string::npos);
    CHECK(platform.startedRuns() == 0);
    platform.setStoreUnavailable(false);
    waitFor("the job is accepted",
        [&] { return call(node.apiEndpoint(), "POST", "/q/" + jobId(1), twoStepJob).status == 200; });
    waitFor("the job is completed", [&] { return isCompleted(node, jobId(1)); });
    CHECK(platform.startedRuns() == 7);
}

TEST_CASE("a node rereads tables whose change history was dropped, and applies new configurations and keys")
{
    standin::FleetPlatform platform(2);
    platform.configure(configuration);
    Node node(5, platform.storeAddress());
    waitFor(
        "the node is ready", [&] { return call(node.readinessEndpoint(), "GET", "/ready").status == 200; });
    auto next = configuration;
    next.replace(next.find("\"version\":1"), 11, "\"version\":4");
    next.replace(next.find("\"key\""), 5, "\"other\"");
    platform.configure(next);
    platform.truncateHistory();
    waitFor("the new key is accepted", [&] {
        return call(node.apiEndpoint(), "POST", "/q/" + jobId(1), twoStepJob, "other").status == 200;
    });
    CHECK(call(node.apiEndpoint(), "POST", "/q/" + jobId(2), twoStepJob, "key").status == 401);
    waitFor("the job is completed", [&] {
        return call(node.apiEndpoint(), "GET", "/q/" + jobId(1), {}, "other").body.find("completed")
            != std::string::npos;
    });
}

TEST_CASE("a cancelled job's tasks are stopped")
{
    standin::FleetPlatform platform(2);
    platform.configure(configuration);
    platform.setTaskDuration(60s);
    Node node(6, platform.storeAddress());
    waitFor(
        "the node is ready", [&] { return call(node.readinessEndpoint(), "GET", "/ready").status == 200; });
    CHECK(call(node.apiEndpoint(), "POST", "/q/" + jobId(1), twoStepJob).status == 200);
    waitFor("its tasks run", [&] { return platform.startedRuns() == 5; });
    CHECK(call(node.apiEndpoint(), "DELETE", "/q/" + jobId(1)).status == 200);
    waitFor("it is shown as cancelled", [&] {
        return call(node.apiEndpoint(), "GET", "/q/" + jobId(1)).body.find("cancelled") != std::string::npos;
    });
    // The capacity of the five running tasks becomes free only when they have been stopped.
    platform.setTaskDuration(50ms);
    const std::string wideJob = R"({"steps":[{"count":16,"cpu":1000}]})";
    CHECK(call(node.apiEndpoint(), "POST", "/q/" + jobId(2), wideJob).status == 200);
    waitFor("the next job is completed", [&] { return isCompleted(node, jobId(2)); });
    CHECK(platform.violations().empty());
}

TEST_CASE("a node hands the leadership to one with a larger processor share, and takes it back only after "
          "its crash")
{
    standin::FleetPlatform platform(3);
    platform.configure(configuration);
    Node smallNode(7, platform.storeAddress(), 0.12);
    waitFor("the smaller node is the leader", [&] { return smallNode.isLeader(); });
    auto largeNode = std::make_unique<Node>(8, platform.storeAddress(), 0.5);
    waitFor("the larger node is the leader", [&] { return largeNode->isLeader(); });
    waitFor("the smaller node is no longer the leader", [&] { return !smallNode.isLeader(); });
    CHECK(call(smallNode.apiEndpoint(), "POST", "/q/" + jobId(1), twoStepJob).status == 200);
    waitFor("the job is completed", [&] { return isCompleted(smallNode, jobId(1)); });
    largeNode->kill();
    waitFor("the smaller node is the leader again", [&] { return smallNode.isLeader(); });
    CHECK(call(smallNode.apiEndpoint(), "POST", "/q/" + jobId(2), twoStepJob).status == 200);
    waitFor("the next job is completed", [&] { return isCompleted(smallNode, jobId(2)); });
    CHECK(platform.startedRuns() == 2 * 7);
    CHECK(platform.violations().empty());
}

TEST_CASE("the metrics page shows exactly the metrics that docs/METRICS.md lists")
{
    standin::FleetPlatform platform(2);
    platform.configure(configuration);
    platform.writeRow("op", "", "evacuate/a \"domain\"\n", "{}"); // which no executor is in
    Node node(9, platform.storeAddress());
    waitFor(
        "the node is ready", [&] { return call(node.readinessEndpoint(), "GET", "/ready").status == 200; });
    CHECK(call(node.apiEndpoint(), "POST", "/q/" + jobId(1), twoStepJob).status == 200);
    waitFor("the job is completed", [&] { return isCompleted(node, jobId(1)); });
    CHECK(call(node.apiEndpoint(), "POST", "/q/" + jobId(2), "{").status == 400);
    const auto page = node.metricsPage();
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
    // Values of a leader after one completed job of one team.
    for (const char* line :
        { "quay_executors{state=\"at_work\"} 2", "quay_runs{state=\"running\"} 0", "quay_open_jobs 0",
            "quay_team_cpu_used{team=\"t\"} 0", "quay_start_orders_total 7", "quay_evacuations 1",
            "quay_evacuated_domain_runs{domain=\"a \\\"domain\\\"?\"} 0", "quay_starts_held_total 0",
            "quay_wait_for_room_seconds_count 7", "quay_finish_to_shown_seconds_count 1",
            "quay_requests_refused_total{reason=\"malformed_request\"} 1" })
        CHECK_MESSAGE(page.find(line) != std::string::npos, "no line: " << line);
}

TEST_CASE("retry storm after a takeover: jobs are accepted and cancelled while the leader's partition is "
          "overloaded")
{
    standin::FleetPlatform platform(2);
    platform.configure(configuration);
    Node node(11, platform.storeAddress());
    waitFor(
        "the node is ready", [&] { return call(node.readinessEndpoint(), "GET", "/ready").status == 200; });
    CHECK(call(node.apiEndpoint(), "POST", "/q/" + jobId(1), twoStepJob).status == 200);
    waitFor("the first job is completed", [&] { return isCompleted(node, jobId(1)); });
    platform.setBusyPartition(edge::cellPartition);
    // The leader has the jobs that it can't commit yet; once it has given up, the node writes them itself.
    waitFor("a job is accepted without the leader's commit",
        [&] { return call(node.apiEndpoint(), "POST", "/q/" + jobId(2), twoStepJob).status == 200; });
    for (int i = 3; i <= 20; ++i)
        CHECK(call(node.apiEndpoint(), "POST", "/q/" + jobId(i), twoStepJob).status == 200);
    CHECK(call(node.apiEndpoint(), "POST", "/q/" + jobId(3), R"({"steps":[{"count":1}]})").status == 409);
    CHECK(call(node.apiEndpoint(), "POST", "/q/" + jobId(1), R"({"steps":[{"count":1}]})").status == 409);
    CHECK(call(node.apiEndpoint(), "GET", "/q/" + jobId(3)).body.find("queued") != std::string::npos);
    CHECK(call(node.apiEndpoint(), "DELETE", "/q/" + jobId(4)).status == 200);
    CHECK(call(node.apiEndpoint(), "DELETE", "/q/" + jobId(1)).status == 200);
    CHECK(call(node.apiEndpoint(), "DELETE", "/q/" + jobId(99)).status == 410);
    const auto startedBefore = platform.startedRuns();
    platform.setBusyPartition({});
    for (int i = 2; i <= 20; ++i) {
        if (i != 4)
            waitFor("each accepted job is completed", [&] { return isCompleted(node, jobId(i)); });
    }
    CHECK(call(node.apiEndpoint(), "GET", "/q/" + jobId(4)).body.find("cancelled") != std::string::npos);
    CHECK(platform.startedRuns() - startedBefore == 18 * 7); // none of the cancelled job
    CHECK(platform.violations().empty());
}

TEST_CASE(
    "burst of jobs on a slow store: those that the leader's next commits can't take do not wait for them")
{
    constexpr int requests = 60;
    standin::FleetPlatform platform(2);
    platform.configure(configuration);
    Node node(13, platform.storeAddress());
    waitFor(
        "the node is ready", [&] { return call(node.readinessEndpoint(), "GET", "/ready").status == 200; });
    CHECK(call(node.apiEndpoint(), "POST", "/q/" + jobId(1), twoStepJob).status == 200);
    // A node that does not lead yet writes all jobs itself.
    waitFor("the first job is completed by the leader", [&] { return isCompleted(node, jobId(1)); });
    platform.holdPartition(edge::cellPartition);
    std::atomic<int> answered = 0;
    std::vector<std::thread> threads;
    std::vector<unsigned> statuses(requests);
    threads.reserve(requests);
    for (int i = 0; i < requests; ++i)
        threads.emplace_back([&, i] {
            statuses[i] = call(node.apiEndpoint(), "POST", "/q/" + jobId(100 + i), twoStepJob).status;
            ++answered;
        });
    // No commit is executed meanwhile: their answers come from this node's own writes, or are refusals.
    waitFor("some are answered at once", [&] { return answered >= 5; });
    platform.holdPartition({});
    for (auto& it : threads)
        it.join();
    for (int i = 0; i < requests; ++i) {
        CAPTURE(i);
        CHECK((statuses[i] == 200 || statuses[i] == 503));
        if (statuses[i] == 200)
            waitFor("each accepted job is completed", [&] { return isCompleted(node, jobId(100 + i)); });
        else
            CHECK(call(node.apiEndpoint(), "GET", "/q/" + jobId(100 + i)).status == 410);
    }
    CHECK(std::count(statuses.begin(), statuses.end(), 200U) >= 40);
    CHECK(platform.violations().empty());
}

TEST_CASE("upgrade in steps: jobs in partitions that this version does not use are run after a takeover")
{
    standin::FleetPlatform platform(2);
    platform.configure(configuration);
    const edge::StoredJob job { jobId(1), "q", "t", twoStepJob };
    for (const char* partition : { "intake-a", "intake-1000", "another" })
        platform.writeRow(edge::jobTable, partition, job.id, edge::encode(job));
    const edge::StoredJob cancelled { jobId(2), "q", "t", twoStepJob };
    platform.writeRow(edge::jobTable, "intake-b", cancelled.id, edge::encode(cancelled));
    platform.writeRow(edge::jobTable, "intake-b", cancelled.id + edge::cancellationSuffix, "cancelled");
    Node node(14, platform.storeAddress());
    waitFor("the job is completed", [&] { return isCompleted(node, jobId(1)); });
    CHECK(call(node.apiEndpoint(), "GET", "/q/" + jobId(2)).body.find("cancelled") != std::string::npos);
    CHECK(platform.startedRuns() == 7);
    CHECK(platform.violations().empty());
}

TEST_CASE("malformed rows in the store: a job without a readable record is not run again, all others are")
{
    standin::FleetPlatform platform(2);
    platform.configure(configuration);
    const std::string garbage[] = { "", "{", "[1]", "null", "{\"phase\":99}", "{\"tasks\":[[1]]}",
        std::string("\xff\0\x80", 3), std::string(5000, '[') };
    int number = 100;
    for (const auto& bytes : garbage) {
        const edge::StoredJob job { jobId(++number), "q", "t", twoStepJob };
        platform.writeRow(edge::jobTable, edge::cellPartition, job.id, edge::encode(job));
        platform.writeRow(edge::recordTable, edge::cellPartition, job.id, bytes);
        platform.writeRow(edge::jobTable, edge::cellPartition, jobId(200 + number), bytes);
        platform.writeRow(edge::jobTable, edge::cellPartition, jobId(300 + number),
            encode(edge::StoredJob {
                jobId(300 + number), "q", "t", R"({"steps":[{"count":2147483647}],"times":2147483647})" }));
        platform.writeRow("servers", {}, "i-bad" + std::to_string(number), bytes);
    }
    platform.writeRow(edge::jobTable, edge::cellPartition, std::string(150, 'z'), "x");
    Node node(15, platform.storeAddress());
    waitFor(
        "the node is ready", [&] { return call(node.readinessEndpoint(), "GET", "/ready").status == 200; });
    CHECK(call(node.apiEndpoint(), "POST", "/q/" + jobId(1), twoStepJob).status == 200);
    waitFor("the job is completed", [&] { return isCompleted(node, jobId(1)); });
    for (number = 101; number < 101 + static_cast<int>(std::size(garbage)); ++number) {
        CAPTURE(number);
        CHECK(call(node.apiEndpoint(), "POST", "/q/" + jobId(number), twoStepJob).status == 200);
        CHECK(call(node.apiEndpoint(), "GET", "/q/" + jobId(number)).status == 503);
    }
    platform.configure("{\"version\":");
    CHECK(call(node.apiEndpoint(), "POST", "/q/" + jobId(2), twoStepJob).status == 200);
    waitFor("the next job is completed", [&] { return isCompleted(node, jobId(2)); });
    CHECK(platform.startedRuns() == 2 * 7);
    CHECK(platform.violations().empty());
}

TEST_CASE("the store refuses only the leader: the leader itself has another node replace it")
{
    standin::FleetPlatform platform(2);
    platform.configure(configuration);
    Node refused(16, platform.otherStoreAddress(), 0.5);
    waitFor("the first node leads", [&] { return refused.isLeader(); });
    Node other(17, platform.storeAddress(), 0.5);
    // A job of the other node accepted by the leader's commit shows that its probes have reached the leader.
    waitFor("a job through the other node is completed", [&] {
        return call(other.apiEndpoint(), "POST", "/q/" + jobId(1), twoStepJob).status == 200
            && isCompleted(other, jobId(1));
    });
    platform.refuseOtherAddress(true);
    waitFor("the other node leads", [&] { return other.isLeader(); });
    CHECK(other.metricsPage().find("\nquay_requested_takeovers_total 1\n") != std::string::npos);
    waitFor("the next job is completed", [&] {
        return call(other.apiEndpoint(), "POST", "/q/" + jobId(2), twoStepJob).status == 200
            && isCompleted(other, jobId(2));
    });
    waitFor("the refused node follows", [&] { return !refused.isLeader(); });
    CHECK(platform.startedRuns() == 2 * 7);
    CHECK(platform.violations().empty());
}

TEST_CASE("upgrade in steps: a node does not lead where rows are stored in a later format than it knows")
{
    standin::FleetPlatform platform(2);
    platform.configure(configuration);
    const edge::StoredJob job { jobId(1), "q", "t", twoStepJob };
    platform.writeRow(edge::jobTable, edge::cellPartition, job.id, edge::encode(job));
    edge::LeadershipRecord later { "n99", "127.0.0.1:1", 7, 0, edge::storedFormat + 1 };
    for (const bool isVacant : { false, true }) {
        CAPTURE(isVacant);
        later.node = isVacant ? "" : "n99";
        platform.writeRow(
            edge::leadershipTable, edge::cellPartition, edge::leadershipKey, edge::encode(later));
        Node node(18, platform.storeAddress());
        waitFor("the node has seen the format",
            [&] { return node.metricsPage().find("\nquay_may_lead 0\n") != std::string::npos; });
        CHECK_FALSE(node.isLeader());
    }
    CHECK(platform.startedRuns() == 0);
    later.format = edge::storedFormat;
    platform.writeRow(edge::leadershipTable, edge::cellPartition, edge::leadershipKey, edge::encode(later));
    Node node(18, platform.storeAddress());
    waitFor("the job is completed", [&] { return isCompleted(node, jobId(1)); });
    CHECK(platform.startedRuns() == 7);
}

TEST_CASE("malformed requests on every port of a node are refused and leave it running")
{
    standin::FleetPlatform platform(2);
    platform.configure(configuration);
    Node node(12, platform.storeAddress());
    waitFor(
        "the node is ready", [&] { return call(node.readinessEndpoint(), "GET", "/ready").status == 200; });
    const std::string bodies[] = { "", "{", "[]", "null", "{\"id\":1}", "{\"step\":{},\"workers\":[1]}",
        "{\"node\":\"x\",\"address\":7,\"share\":\"a\"}", std::string(100'000, '['),
        std::string("\xff\xfe\0\x80", 4), std::string(3000, '\xff') };
    for (const char* path : { edge::probePath, edge::acceptPath, edge::jobPath, edge::cancelPath,
             edge::statePath, edge::approvePath, edge::relayPath, edge::takeoverPath, "/", "/unknown" }) {
        for (const auto& body : bodies)
            call(node.peerEndpoint(), "POST", path, body);
    }
    for (const auto& body : bodies) {
        CHECK(call(node.apiEndpoint(), "POST", "/q/" + jobId(7), body).status == 400);
        call(node.readinessEndpoint(), "POST", "/ready", body);
    }
    CHECK(call(node.apiEndpoint(), "POST", "/q/" + jobId(1), twoStepJob).status == 200);
    waitFor("the job is completed", [&] { return isCompleted(node, jobId(1)); });
    CHECK(platform.startedRuns() == 7);
}

TEST_CASE("a burst of requests to an unresponsive store causes at most as many writes as requests")
{
    constexpr int requests = 24;
    standin::FleetPlatform platform(2);
    platform.configure(configuration);
    Node node(10, platform.storeAddress());
    waitFor(
        "the node is ready", [&] { return call(node.readinessEndpoint(), "GET", "/ready").status == 200; });
    platform.dropTransactions(true);
    // The leader accepts jobs with its commits until these have failed for too long; then the node writes the
    // jobs directly.
    waitFor("the node writes jobs directly", [&] {
        (void)call(node.apiEndpoint(), "POST", "/q/" + jobId(100), twoStepJob);
        return platform.droppedWrites("jobs") > 1;
    });
    const auto before = platform.droppedWrites("jobs");
    std::vector<std::thread> threads;
    std::vector<unsigned> answers(requests);
    threads.reserve(requests);
    for (int i = 0; i < requests; ++i)
        threads.emplace_back([&, i] {
            answers[i] = call(node.apiEndpoint(), "POST", "/q/" + jobId(200 + i), twoStepJob).status;
        });
    for (auto& it : threads)
        it.join();
    CHECK(platform.droppedWrites("jobs") - before <= requests);
    for (const auto status : answers)
        CHECK(status >= 500); // refused as not run, or of unknown outcome
    platform.dropTransactions(false);
    waitFor("jobs are accepted again",
        [&] { return call(node.apiEndpoint(), "POST", "/q/" + jobId(1), twoStepJob).status == 200; });
    waitFor("the job is completed", [&] { return isCompleted(node, jobId(1)); });
    CHECK(platform.violations().empty());
}

namespace {

// The number of executors in one of the states.
std::int64_t countExecutors(const Node& node, const std::vector<std::string>& states)
{
    const auto page = node.metricsPage();
    std::int64_t count = 0;
    for (const auto& state : states) {
        std::smatch match;
        const std::regex line("quay_executors\\{state=\"" + state + "\"\\} (\\d+)");
        if (std::regex_search(page, match, line))
            count += std::stoll(match[1]);
    }
    return count;
}

constexpr auto applyTimeout = 8s; // only fails tests

bool becomes(const std::function<bool()>& condition)
{
    const auto end = std::chrono::steady_clock::now() + applyTimeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(10ms);
    }
    return true;
}

} // namespace

// One odd entry ended nodes, was used as an executor, or made the executor that it names unusable.
TEST_CASE("an odd entry among those of the executors names none, and the node follows the others")
{
    constexpr std::size_t depth = 10'000;
    const auto nested = std::string(depth, '[') + std::string(depth, ']');
    const auto entry = [](const std::string& address, const std::string& fields = {}) {
        return R"({"service":"service","zone":"z","state":"ready","capacity":{"cpu":1000},"address":")"
            + address + "\"" + fields + "}";
    };
    const std::pair<const char*, std::string> oddValues[] = {
        { "empty", "" },
        { "not an object", "[]" },
        { "bytes", "\x01\xff" },
        { "nested", nested },
        { "nested labels", entry("127.0.0.1:9", ",\"labels\":" + nested) },
        { "a number beyond the range of a double", entry("127.0.0.1:9", ",\"born\":1e400") },
        { "a start in the far future", entry("127.0.0.1:9", ",\"born\":8000000000000000") },
        { "a capacity of 8e15", entry("127.0.0.1:9", R"(,"capacity":{"cpu":8000000000000000})") },
        { "a negative capacity", entry("127.0.0.1:9", R"(,"capacity":{"cpu":-8000000000000000})") },
        { "remaining longer than the clock's range",
            entry("127.0.0.1:9", R"(,"state":"draining","remainingMs":8000000000000000)") },
        { "no port", entry("127.0.0.1") },
        { "an empty port", entry("127.0.0.1:") },
        { "port 0", entry("127.0.0.1:0") },
        { "port -1", entry("127.0.0.1:-1") },
        { "port 65536", entry("127.0.0.1:65536") },
        { "port 99999999999", entry("127.0.0.1:99999999999") },
        { "a named port", entry("127.0.0.1:http") },
        { "a host name", entry("host:80") },
        { "an IPv6 address in brackets", entry("[::1]:80") },
        { "spaces", entry(" 127.0.0.1:9") },
        { "a line end", entry(R"(127.0.0.1:9\r\nX: y)") },
        { "a line end in the zone of an address", entry(R"(fe80::1%1\r\nX: y:9)") },
    };
    const std::string oddKeys[] = { "", "a b", "a\r\nX: y", "\xc3\xa9", std::string("a\0b", 3) };
    const std::vector<std::string> registered { "at_work", "leaving", "silent" };

    standin::FleetPlatform platform(2);
    platform.configure(configuration);
    platform.writeEncodedRow("servers", "", "before", "!!!!"); // read with the whole table
    Node node(40, platform.storeAddress());
    waitFor(
        "the node is ready", [&] { return call(node.readinessEndpoint(), "GET", "/ready").status == 200; });
    waitFor("it knows the executors", [&] { return countExecutors(node, registered) == 2; });

    int number = 0;
    for (const auto& [name, value] : oddValues)
        platform.writeRow("servers", "", "odd-" + std::to_string(++number), value);
    for (const auto& key : oddKeys)
        platform.writeRow("servers", "", key, entry("127.0.0.1:9"));
    platform.writeEncodedRow("servers", "", "odd-base64", "!!!!");
    platform.writeRow("servers", "other", "elsewhere", entry("127.0.0.1:9"));
    platform.writeRow("servers", "", "last", entry("127.0.0.1:9")); // a usable one, whose executor is silent
    CHECK(becomes([&] { return countExecutors(node, registered) >= 3; }));
    CHECK(countExecutors(node, registered) == 3);
    CHECK(call(node.apiEndpoint(), "POST", "/q/" + jobId(1), twoStepJob).status == 200);
    CHECK(becomes([&] { return isCompleted(node, jobId(1)); }));

    for (const auto& odd : oddValues) {
        CAPTURE(std::string(odd.first));
        platform.writeRow("servers", "", "i-0", odd.second);
        CHECK(becomes([&] { return countExecutors(node, { "at_work" }) == 1; }));
        platform.writeRow("servers", "", "i-0", platform.registration(0));
        CHECK(becomes([&] { return countExecutors(node, { "at_work" }) == 2; }));
    }
    platform.writeRow("servers", "other", "i-0", "");
    platform.writeRow("servers", "", "last", "");
    CHECK(becomes([&] { return countExecutors(node, { "silent" }) == 0; }));
    CHECK(countExecutors(node, { "at_work" }) == 2);
    CHECK(call(node.apiEndpoint(), "POST", "/q/" + jobId(2), twoStepJob).status == 200);
    CHECK(becomes([&] { return isCompleted(node, jobId(2)); }));
    CHECK(platform.startedRuns() == 14);
    CHECK(platform.violations().empty());
}

TEST_CASE("a row of another partition is not taken for the operator's configuration")
{
    standin::FleetPlatform platform(1);
    platform.configure(configuration);
    Node node(41, platform.storeAddress());
    waitFor(
        "the node is ready", [&] { return call(node.readinessEndpoint(), "GET", "/ready").status == 200; });
    auto other = configuration;
    other.replace(other.find("\"version\":1"), 11, "\"version\":99");
    other.replace(other.find("\"key\""), 5, "\"other\"");
    platform.writeRow("op", "other", "config", other);
    auto next = configuration;
    next.replace(next.find("\"version\":1"), 11, "\"version\":2");
    next.replace(next.find("\"key\""), 5, "\"next\"");
    platform.configure(next);
    CHECK(becomes([&] {
        return call(node.apiEndpoint(), "POST", "/q/" + jobId(1), twoStepJob, "next").status == 200;
    }));
    CHECK(call(node.apiEndpoint(), "POST", "/q/" + jobId(2), twoStepJob, "other").status == 401);
}

TEST_CASE("a node that starts while the only domain is emptied starts nothing there until it is taken back")
{
    struct Row {
        const char* name;
        Duration bound;
    };
    int number = 50;
    for (const auto& row : { Row { "with a bound", 5s }, Row { "without", {} } }) {
        CAPTURE(std::string(row.name));
        standin::FleetPlatform platform(2);
        platform.configure(configuration);
        platform.writeRow("op", "", "evacuate/z", "{}");
        Node node(number++, platform.storeAddress(), 0, row.bound);
        waitFor("the node is ready",
            [&] { return call(node.readinessEndpoint(), "GET", "/ready").status == 200; });
        CHECK(call(node.apiEndpoint(), "POST", "/q/" + jobId(1), twoStepJob).status == 200);
        waitFor("the leader has the job",
            [&] { return node.metricsPage().find("\nquay_open_jobs 1\n") != std::string::npos; });
        platform.truncateHistory(); // the requests are read anew
        platform.writeRow("op", "", "evacuate/elsewhere", "{}");
        waitFor("the next request is known",
            [&] { return node.metricsPage().find("\nquay_evacuations 2\n") != std::string::npos; });
        CHECK(platform.startedRuns() == 0);
        platform.removeRow("op", "", "evacuate/z");
        waitFor("the job is completed", [&] { return isCompleted(node, jobId(1)); });
        CHECK(platform.startedRuns() == 7);
        CHECK(platform.violations().empty());
    }
}
