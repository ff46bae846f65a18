#include "TestNode.h"
#include "edge/JobRows.h"

#include <atomic>
#include <doctest/doctest.h>
#include <vector>

// Submissions that arrive after their job was cancelled, because they were delayed on their way.
using namespace quay;
using namespace quay::test;

namespace {

// A leader and another node, both ready.
struct TwoNodes {
    explicit TwoNodes(int firstNumber, Duration retention = 120s)
        : platform(2)
    {
        platform.configure(configuration);
        leader = std::make_unique<Node>(firstNumber, platform.storeAddress(), 0.5, Duration {}, retention);
        waitFor("the first node leads", [&] { return leader->isLeader(); });
        other = std::make_unique<Node>(firstNumber + 1, platform.storeAddress(), 0.5, Duration {}, retention);
        for (const auto* node : { leader.get(), other.get() })
            waitFor("each node serves jobs", [&] { return runsJob(*node, nextWarmUp++); });
        startedBefore = platform.startedRuns();
    }

    static bool runsJob(const Node& node, int number)
    {
        if (call(node.apiEndpoint(), "POST", "/q/" + jobId(number), twoStepJob).status != 200)
            return false;
        waitFor("the job is completed", [&] { return isCompleted(node, jobId(number)); });
        return true;
    }

    // Runs a job of its own through both steps, so that whatever was to start before it has started.
    std::size_t startsBesideNextJob()
    {
        auto* node = leader ? leader.get() : other.get();
        waitFor("the next job is accepted", [&] { return runsJob(*node, nextWarmUp++); });
        startedBefore += 7;
        return platform.startedRuns() - startedBefore;
    }

    std::string find(const Node& node, int number)
    {
        const auto answer = call(node.apiEndpoint(), "GET", "/q/" + jobId(number));
        return answer.status == 200 ? answer.body : std::to_string(answer.status);
    }

    standin::FleetPlatform platform;
    std::unique_ptr<Node> leader, other;
    int nextWarmUp = 1000;
    std::size_t startedBefore = 0;
};

} // namespace

// Guards against review/11: a cancelled job ran, because the 410 for its cancelling left nothing behind.
TEST_CASE("a submission that arrives after its job was cancelled is refused as not run, wherever it arrives")
{
    enum class Trouble { None, LeaderPartitionBusy, LeaderLost, LeaderLostBefore };
    struct Row {
        const char* name;
        bool isCancelledAtLeader, isSubmittedAtLeader;
        Trouble trouble; // between the cancellation and the submission, or before both
    };
    const Row rows[] = {
        { "both at the leader", true, true, Trouble::None },
        { "cancelled at the leader", true, false, Trouble::None },
        { "submitted at the leader", false, true, Trouble::None },
        { "both at another node", false, false, Trouble::None },
        { "the leader can't commit", false, false, Trouble::LeaderPartitionBusy },
        { "the leader can't commit, submitted there", false, true, Trouble::LeaderPartitionBusy },
        { "the leader is lost in between", true, false, Trouble::LeaderLost },
        { "the leader was lost just before", false, false, Trouble::LeaderLostBefore },
    };
    int number = 60;
    for (const auto& row : rows) {
        CAPTURE(std::string(row.name));
        TwoNodes nodes(number);
        number += 2;
        if (row.trouble == Trouble::LeaderLostBefore)
            nodes.leader.reset();
        for (int i = 1; i <= 4; ++i) {
            const auto& node = row.isCancelledAtLeader ? *nodes.leader : *nodes.other;
            CHECK(call(node.apiEndpoint(), "DELETE", "/q/" + jobId(i)).status == 410);
        }
        if (row.trouble == Trouble::LeaderLost)
            nodes.leader.reset();
        if (row.trouble == Trouble::LeaderPartitionBusy)
            nodes.platform.setBusyPartition(edge::cellPartition);
        const auto& node = row.isSubmittedAtLeader ? *nodes.leader : *nodes.other;
        for (int i = 1; i <= 4; ++i) {
            const auto answer = call(node.apiEndpoint(), "POST", "/q/" + jobId(i), twoStepJob);
            // While the leader is being replaced, it is not known whether it has written the job.
            const bool mayBeUnknown = row.trouble == Trouble::LeaderLost;
            CHECK((answer.status == 410 || (mayBeUnknown && answer.status == 504)));
            if (answer.status == 410)
                CHECK(answer.body.find("\"not run\"") != std::string::npos);
            CHECK(answer.headers.count("retry-after") == (answer.status == 410 ? 0 : 1));
        }
        nodes.platform.setBusyPartition({});
        CHECK(nodes.startsBesideNextJob() == 0);
        for (int i = 1; i <= 4; ++i)
            CHECK(nodes.find(*nodes.other, i) == "410");
        CHECK(nodes.platform.violations().empty());
    }
}

// Guards against a cancellation that is answered from a state which the submission has not reached yet.
TEST_CASE("a job that is cancelled while its submission waits for the leader's commit does not run")
{
    TwoNodes nodes(80);
    nodes.platform.holdPartition(edge::cellPartition);
    constexpr int jobs = 8;
    std::vector<std::thread> callers;
    callers.reserve(jobs);
    std::vector<unsigned> statuses(jobs);
    for (int i = 0; i < jobs; ++i) {
        callers.emplace_back([&, i] {
            const auto& node = i % 2 ? *nodes.leader : *nodes.other;
            statuses[i] = call(node.apiEndpoint(), "POST", "/q/" + jobId(1 + i), twoStepJob).status;
        });
    }
    // 200 tells that the leader has the submission, 410 that it has not arrived there yet.
    std::vector<unsigned> cancelled(jobs);
    for (int i = 0; i < jobs; ++i)
        cancelled[i] = call(nodes.other->apiEndpoint(), "DELETE", "/q/" + jobId(1 + i)).status;
    nodes.platform.holdPartition({});
    for (auto& it : callers)
        it.join();
    CHECK(nodes.startsBesideNextJob() == 0);
    for (int i = 0; i < jobs; ++i) {
        CAPTURE(i);
        CHECK((cancelled[i] == 200 || cancelled[i] == 410));
        CHECK((statuses[i] == 200 || statuses[i] == 410 || statuses[i] == 504));
        const auto state = nodes.find(*nodes.other, 1 + i);
        CHECK((state == "410" || state.find("cancelled") != std::string::npos));
        if (statuses[i] == 200) // an accepted job keeps its state
            CHECK(state != "410");
    }
}

TEST_CASE("a cancellation that only the store has stops a job that a leader accepts before it reads of it")
{
    TwoNodes nodes(82);
    nodes.platform.setTaskDuration(60s);
    for (int i = 1; i <= 3; ++i) {
        nodes.platform.writeRow(edge::jobTable, edge::intakePartitionOf(jobId(i)),
            jobId(i) + edge::cancellationSuffix, "cancelled");
        const auto status = call(nodes.leader->apiEndpoint(), "POST", "/q/" + jobId(i), twoStepJob).status;
        CHECK((status == 200 || status == 410));
        const auto expected = status == 200 ? "cancelled" : "410";
        waitFor("it is cancelled",
            [&] { return nodes.find(*nodes.other, i).find(expected) != std::string::npos; });
    }
    nodes.platform.setTaskDuration(50ms);
    nodes.startsBesideNextJob(); // they have left their executors
}

TEST_CASE("a caller that submits again elsewhere and cancels nothing has its job run, once")
{
    TwoNodes nodes(84);
    CHECK(call(nodes.other->apiEndpoint(), "DELETE", "/q/" + jobId(2)).status == 410);
    for (const auto* node : { nodes.other.get(), nodes.leader.get(), nodes.other.get() })
        CHECK(call(node->apiEndpoint(), "POST", "/q/" + jobId(1), twoStepJob).status == 200);
    waitFor("the job is completed", [&] { return isCompleted(*nodes.other, jobId(1)); });
    CHECK(nodes.startsBesideNextJob() == 7);
    // A submission that repeats an accepted one is not told that the job did not run.
    CHECK(call(nodes.other->apiEndpoint(), "DELETE", "/q/" + jobId(1)).status == 200);
    CHECK(call(nodes.other->apiEndpoint(), "POST", "/q/" + jobId(1), twoStepJob).status == 200);
}

// Guards against cancellations that stay in the store and in the leader's memory for ever.
TEST_CASE("the id of a job that was cancelled but never submitted can be used again after the retention")
{
    constexpr auto retention = 1s;
    TwoNodes nodes(86, retention);
    CHECK(call(nodes.other->apiEndpoint(), "DELETE", "/q/" + jobId(1)).status == 410);
    CHECK(call(nodes.other->apiEndpoint(), "POST", "/q/" + jobId(1), twoStepJob).status == 410);
    waitFor("the cancellation is deleted", [&] {
        return nodes.leader->metricsPage().find("\nquay_cancelled_unknown_jobs 0\n") != std::string::npos;
    });
    CHECK(call(nodes.other->apiEndpoint(), "POST", "/q/" + jobId(1), twoStepJob).status == 200);
    waitFor("the job is completed", [&] { return isCompleted(*nodes.other, jobId(1)); });
}

// Guards against callers that fill the leader's memory, or take the store's writes from submissions.
TEST_CASE(
    "many cancellations of jobs that do not exist are limited, and submissions are accepted beside them")
{
    constexpr int requests = 240;
    TwoNodes nodes(88);
    std::atomic<int> acknowledged = 0, refused = 0;
    std::vector<std::thread> callers;
    callers.reserve(requests);
    for (int i = 0; i < requests; ++i) {
        callers.emplace_back([&, i] {
            const auto& node = i % 2 ? *nodes.leader : *nodes.other;
            const auto answer = call(node.apiEndpoint(), "DELETE", "/q/" + jobId(5000 + i));
            acknowledged += answer.status == 410 ? 1 : 0;
            refused += answer.status == 503 && answer.headers.count("retry-after") == 1 ? 1 : 0;
        });
    }
    for (int i = 0; i < 10; ++i)
        CHECK(call(nodes.other->apiEndpoint(), "POST", "/q/" + jobId(1 + i), twoStepJob).status == 200);
    for (auto& it : callers)
        it.join();
    CHECK(acknowledged + refused == requests);
    CHECK(acknowledged >= 100); // the burst
    for (int i = 0; i < 10; ++i)
        waitFor("each job is completed", [&] { return isCompleted(*nodes.other, jobId(1 + i)); });
}

// Guards against the cancellation of a job that only another release can read being taken for unmatched.
TEST_CASE("a job whose record can't be read is cancelled as one that exists")
{
    standin::FleetPlatform platform(2);
    platform.configure(configuration);
    const edge::StoredJob job { jobId(1), "q", "t", twoStepJob };
    platform.writeRow(edge::jobTable, edge::cellPartition, job.id, edge::encode(job));
    platform.writeRow(edge::recordTable, edge::cellPartition, job.id, "{");
    Node node(90, platform.storeAddress());
    waitFor("the node leads", [&] { return node.isLeader(); });
    waitFor(
        "the node is ready", [&] { return call(node.readinessEndpoint(), "GET", "/ready").status == 200; });
    CHECK(call(node.apiEndpoint(), "DELETE", "/q/" + jobId(1)).status == 200);
    CHECK(platform.startedRuns() == 0);
}
