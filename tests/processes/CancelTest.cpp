#include "LocalFleet.h"

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
