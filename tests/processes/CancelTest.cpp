#include "LocalFleet.h"

#include "net/HttpMessage.h"
#include "quay/core/Job.h"
#include "tableservice/TableCodec.h"

#include <doctest/doctest.h>

// Cancellations of durable jobs on real processes.
using namespace quay;
using namespace quay::test;

namespace {

constexpr auto serviceJob = R"({"queue":"nightly","kind":"service","payload":"{\"run_ms\":0}"})";

std::optional<HttpResponse> cancelJob(LocalFleet& fleet, std::size_t entry, const std::string& job)
{
    return httpCall(fleet.entry(entry).callerAddress, httpPost("/v1/jobs/" + job + "/cancel", "", agentsKey));
}

} // namespace

// Guards against a cancellation that is acknowledged and lost with the leader, the only process that knew it.
TEST_CASE("a cancellation is acknowledged only once it is stored")
{
    LocalFleet fleet({});
    const auto job = fleet.submit(0, serviceJob, agentsKey, "service");
    fleet.setPlatformFaults(R"({"down":true})");
    const auto unstored = cancelJob(fleet, 0, job);
    REQUIRE(unstored);
    CHECK(unstored->status >= 500);
    CHECK(unstored->body.find("cancel_requested") == std::string::npos);
    fleet.setPlatformFaults("{}");
    waitFor("the cancellation is acknowledged", [&] {
        const auto stored = cancelJob(fleet, 0, job);
        return stored && stored->status == 200;
    });
    waitFor("the service is cancelled", [&] { return fleet.jobState(0, job, agentsKey) == "cancelled"; });
    CHECK(fleet.violations().empty());
}

// Guards against a job that runs after its cancellation was answered with unknown_job: it was stored, but its
// leader looks for inserts without an answer every ten seconds only.
TEST_CASE("a job whose insert was not answered is known to a cancellation and to a query of its state")
{
    LocalFleet fleet({});
    const auto accepted = fleet.submit(0, serviceJob, agentsKey, "first");
    const auto insertJob = [&](const std::string& id) {
        JobRecord record;
        record.id = JobId { id };
        record.domain = DomainId { "d1" };
        record.spec.team = TeamId { "agents" };
        record.spec.queue = QueueId { "nightly" };
        record.spec.kind = JobKind::Service;
        record.spec.payload = R"({"run_ms":0})";
        record.spec.taskCount = 1;
        record.spec.perTask.cpuMilli = 100;
        record.tasks.resize(1);
        Transaction transaction;
        transaction.checks.push_back({ "job/d1/" + id, 0 });
        transaction.puts.push_back({ "job/d1/" + id, toJson(record) });
        const auto answer
            = httpCall(fleet.platformAddress(), httpPost("/v1/txn", encodeTransaction(transaction)));
        REQUIRE(answer);
        REQUIRE(answer->status == 200);
    };
    for (int i = 0; i < 5; ++i) {
        const auto id = "d1.unanswered-" + std::to_string(i);
        CAPTURE(id);
        insertJob(id);
        if (i % 2) {
            CHECK(fleet.jobState(0, id, agentsKey) == "active");
            continue;
        }
        const auto cancelled = cancelJob(fleet, 0, id);
        REQUIRE(cancelled);
        CHECK(cancelled->status == 200);
        waitFor("the job is cancelled", [&] { return fleet.jobState(0, id, agentsKey) == "cancelled"; });
    }
    CHECK(cancelJob(fleet, 0, "d1.never-submitted")->status == 404);
    CHECK(fleet.jobState(0, accepted, agentsKey) == "active");
    CHECK(fleet.violations().empty());
}
