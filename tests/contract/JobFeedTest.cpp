#include "TestNode.h"
#include "edge/JobRows.h"

// Changes of the jobs that the leader learns from the store only.
using namespace quay;
using namespace quay::test;

// Guards against the UNASKED of issue 55: a leader that was behind in the changes of the jobs paused after
// each answer, and started the tasks of jobs that had been cancelled seconds before.
TEST_CASE("a leader that is behind in the changes of the jobs reads them without a pause")
{
    constexpr int answers = 60; // of the feed; with a pause of 700 ms after each, more than twice the task
    constexpr int rowsPerAnswer = 200;
    standin::FleetPlatform platform(2);
    platform.configure(configuration);
    Node leader(95, platform.storeAddress());
    waitFor("the node leads", [&] { return leader.isLeader(); });
    platform.setTaskDuration(20s); // a busy machine reads all answers within a fraction of it
    waitFor("the job is accepted",
        [&] { return call(leader.apiEndpoint(), "POST", "/q/" + jobId(1), twoStepJob).status == 200; });
    waitFor("its first step has started", [&] { return platform.startedRuns() == 5; });
    for (int i = 0; i < answers * rowsPerAnswer; ++i) {
        platform.writeRow(edge::jobTable, "intake-0", jobId(1000 + i), "");
        platform.removeRow(edge::jobTable, "intake-0", jobId(1000 + i));
    }
    platform.writeRow(
        edge::jobTable, edge::intakePartitionOf(jobId(1)), jobId(1) + edge::cancellationSuffix, "");
    waitFor("the job has ended", [&] {
        const auto state = call(leader.apiEndpoint(), "GET", "/q/" + jobId(1)).body;
        return state.find("cancelled") != std::string::npos || state.find("completed") != std::string::npos;
    });
    CHECK(platform.startedRuns() == 5); // none of the second step
}
