#include "TestNode.h"

#include <algorithm>
#include <string>
#include <vector>

// Nodes whose configuration is not known to be the newest. At its other address the store may refuse calls,
// or hold reads, while the rest of its callers are served.
using namespace quay;
using namespace quay::test;

namespace {

// Version 4: the queue at /q/ is gone, the one at /r/ is new, and the key is another one.
std::string nextConfiguration()
{
    auto next = configuration;
    const auto replace = [&](const std::string& from, const std::string& to) {
        next.replace(next.find(from), from.size(), to);
    };
    replace("\"version\":1", "\"version\":4");
    replace("\"name\":\"q\"", "\"name\":\"r\"");
    replace("/q/", "/r/");
    replace("\"key\"", "\"other\"");
    return next;
}

bool isReady(const Node& node) { return call(node.readinessEndpoint(), "GET", "/ready").status == 200; }

double metric(const Node& node, const std::string& name)
{
    const auto page = node.metricsPage();
    const auto at = page.find("\n" + name + " ");
    return at == std::string::npos ? 0 : std::stod(page.substr(at + name.size() + 2));
}

// Requests that version 1 and version 4 answer differently.
struct Request {
    const char* method;
    const char* path;
    const char* key;
    unsigned newStatus;
};

const std::vector<Request> requests {
    { "POST", "/r/", "other", 200 }, // 404 by version 1
    { "GET", "/r/", "other", 200 }, // 404
    { "POST", "/q/", "key", 404 }, // 200
    { "GET", "/q/", "key", 404 }, // 200
    { "DELETE", "/q/", "other", 404 }, // 401
    { "POST", "/r/", "key", 401 }, // 404
};

unsigned statusOf(const Node& node, const Request& request, int job)
{
    return call(node.apiEndpoint(), request.method, request.path + jobId(job),
        std::string(request.method) == "POST" ? twoStepJob : std::string(), request.key)
        .status;
}

// Lets the node miss a change of the configuration: the store refuses it meanwhile, forgets the change, and
// holds the node's next full read.
void missNextConfiguration(standin::FleetPlatform& platform, const Node& node)
{
    platform.refuseOtherAddress(true);
    waitFor("the node is not ready", [&] { return !isReady(node); });
    platform.configure(nextConfiguration());
    platform.truncateHistory();
    platform.holdOtherReads("op");
    waitFor("the configuration is old", [&] { return metric(node, "quay_configuration_age_seconds") > 2; });
    platform.refuseOtherAddress(false);
}

} // namespace

// Guards against issue 55: "history is gone" made a node ready, which then answered by a version that had
// been replaced many seconds before.
TEST_CASE("a node whose history is gone is not ready and gives no final answer before it has read again")
{
    standin::FleetPlatform platform(2);
    platform.configure(configuration);
    Node node(1, platform.otherStoreAddress());
    waitFor("the node is ready", [&] { return isReady(node); });
    missNextConfiguration(platform, node);
    const std::string historyGone = "quay_store_calls_total{call=\"changes\",outcome=\"history gone\"}";
    waitFor("a poll is told that the history is gone", [&] { return metric(node, historyGone) > 0; });
    CHECK_FALSE(isReady(node));
    int job = 1;
    for (const auto& request : requests) {
        CAPTURE(request.method);
        CAPTURE(request.path);
        CAPTURE(request.key);
        CHECK(statusOf(node, request, job++) == 503);
        CHECK_FALSE(isReady(node));
    }
    platform.holdOtherReads("");
    waitFor("the node is ready again", [&] { return isReady(node); });
    waitFor("it answers by the new version",
        [&] { return statusOf(node, requests.front(), job) == requests.front().newStatus; });
    for (const auto& request : requests) {
        CAPTURE(request.method);
        CAPTURE(request.path);
        CAPTURE(request.key);
        CHECK(statusOf(node, request, job) == request.newStatus);
    }
}

// Guards against the same fault in the election: a node took the lead with a configuration that had been
// replaced.
TEST_CASE("a node that can't show that its configuration is current does not take the lead")
{
    standin::FleetPlatform platform(2);
    platform.configure(configuration);
    Node leader(1, platform.storeAddress());
    waitFor("the first node leads", [&] { return leader.isLeader(); });
    Node node(2, platform.otherStoreAddress());
    waitFor("the second node is ready", [&] { return isReady(node); });
    platform.refuseOtherAddress(true); // before it can take the lead
    leader.kill();
    missNextConfiguration(platform, node);
    // Each time it reads the leadership row; it would take the lead after a few.
    const std::string reads = "quay_store_calls_total{call=\"read\",outcome=\"ok\"}";
    const auto before = metric(node, reads);
    waitFor("it has read the leadership row often, or leads",
        [&] { return metric(node, reads) > before + 20 || node.isLeader(); });
    CHECK_FALSE(node.isLeader());
    platform.holdOtherReads("");
    waitFor("it leads", [&] { return node.isLeader(); });
}

// Guards against the same fault in office: a leader that could not read the configuration for 22 s, and whose
// commits succeeded, scheduled by the replaced one.
TEST_CASE("a leader whose configuration may have been replaced hands over to a node that has the newest one")
{
    struct Row {
        const char* name;
        bool hasCurrentPeer;
    };
    const Row rows[] = {
        { "a peer has the newest one", true },
        { "no peer has it", false },
    };
    int number = 10;
    for (const auto& row : rows) {
        CAPTURE(std::string(row.name));
        standin::FleetPlatform platform(2);
        platform.configure(configuration);
        Node leader(number++, platform.otherStoreAddress(), 0.5);
        waitFor("the first node leads", [&] { return leader.isLeader() && isReady(leader); });
        Node peer(number++, row.hasCurrentPeer ? platform.storeAddress() : platform.otherStoreAddress(), 0.5);
        waitFor("the other node is ready", [&] { return isReady(peer); });
        platform.holdOtherReads("op");
        const std::vector<const Node*> lagging = row.hasCurrentPeer
            ? std::vector<const Node*> { &leader }
            : std::vector<const Node*> { &leader, &peer };
        waitFor("the full reads of the nodes that lag are held", [&] {
            platform.truncateHistory();
            return std::ranges::all_of(
                lagging, [](const Node* it) { return metric(*it, "quay_configuration_age_seconds") > 2; });
        });
        platform.configure(nextConfiguration());
        if (row.hasCurrentPeer) {
            waitFor("the other node leads", [&] { return peer.isLeader(); });
            waitFor("it accepts a job of the new queue",
                [&] { return statusOf(peer, requests.front(), 1) == 200; });
            waitFor("the job runs", [&] { return platform.startedRuns() == 7; });
            CHECK_FALSE(leader.isLeader());
        } else {
            waitFor("the configuration is as old as the leader's may be and older",
                [&] { return metric(leader, "quay_configuration_age_seconds") > 6; });
            CHECK(leader.isLeader()); // tasks that run need a leader
        }
        platform.holdOtherReads("");
        waitFor("the first node is ready again", [&] { return isReady(leader); });
        CHECK(platform.violations().empty());
    }
}

// Guards against answers by an old version from a node that the store refuses while its peers know better.
TEST_CASE("a node that the store refuses gets the configuration from the leader and serves on by it")
{
    standin::FleetPlatform platform(2);
    platform.configure(configuration);
    Node leader(1, platform.storeAddress(), 0.5);
    waitFor("the leader leads", [&] { return leader.isLeader() && isReady(leader); });
    Node refused(2, platform.otherStoreAddress(), 0.1);
    waitFor("the other node is ready", [&] { return isReady(refused); });
    waitFor("it reaches the leader",
        [&] { return call(refused.apiEndpoint(), "POST", "/q/" + jobId(1), twoStepJob).status == 200; });
    platform.refuseOtherAddress(true);
    waitFor("the other node is not ready", [&] { return !isReady(refused); });
    platform.configure(nextConfiguration());
    waitFor(
        "the leader has the new version", [&] { return metric(leader, "quay_configuration_version") == 4; });
    waitFor("the other node has it too", [&] { return metric(refused, "quay_configuration_version") == 4; });
    int job = 2;
    for (const auto& request : requests) {
        CAPTURE(request.method);
        CAPTURE(request.path);
        CAPTURE(request.key);
        const auto status = statusOf(refused, request, std::string(request.path) == "/r/" ? 2 : job++);
        CHECK(status == request.newStatus);
    }
    CHECK_FALSE(isReady(refused)); // new callers are better served elsewhere
    waitFor("its configuration is known to be current well after the store's last answer",
        [&] { return metric(refused, "quay_configuration_age_seconds") < 2; });
    platform.refuseOtherAddress(false);
    waitFor("it is ready again", [&] { return isReady(refused); });
}
