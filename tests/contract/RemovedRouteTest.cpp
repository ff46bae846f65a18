#include "TestNode.h"
#include "edge/JobRows.h"

// Jobs of a route that the operator has removed, under a leader that has never seen the route.
using namespace quay;
using namespace quay::test;

// Guards against review/4: the policy of a removed route was lost with the leader, and its jobs waited for
// ever.
TEST_CASE("an accepted job runs although its route was removed and the leader was lost before it started")
{
    struct Row {
        const char* name;
        bool isWrittenByNode; // instead of by the leader's commit
    };
    int number = 20;
    for (const auto& row : { Row { "accepted by a commit", false }, Row { "written by the node", true } }) {
        CAPTURE(std::string(row.name));
        standin::FleetPlatform platform(2);
        platform.configure(configuration);
        platform.writeRow("op", "", "evacuate/z", "{}"); // nothing starts before this is taken back
        Node leader(number++, platform.storeAddress());
        waitFor("the node leads and is ready", [&] {
            return leader.isLeader() && call(leader.readinessEndpoint(), "GET", "/ready").status == 200;
        });
        if (row.isWrittenByNode)
            platform.setBusyPartition(edge::cellPartition);
        waitFor("the job is accepted",
            [&] { return call(leader.apiEndpoint(), "POST", "/q/" + jobId(1), twoStepJob).status == 200; });
        platform.setBusyPartition({});
        leader.kill();
        auto next = configuration;
        next.replace(next.find("\"version\":1"), 11, "\"version\":2");
        const auto routes = next.find("[{\"name\":\"q\"");
        next.replace(routes, next.find("],\"services\"") - routes, "[");
        platform.configure(next);
        Node successor(number++, platform.storeAddress());
        waitFor("the other node leads", [&] { return successor.isLeader(); });
        CHECK(call(successor.apiEndpoint(), "GET", "/q/" + jobId(1)).status == 404);
        CHECK(platform.startedRuns() == 0);
        platform.removeRow("op", "", "evacuate/z");
        waitFor("both of its steps have run", [&] { return platform.startedRuns() == 7; });
        CHECK(platform.violations().empty());
    }
}
