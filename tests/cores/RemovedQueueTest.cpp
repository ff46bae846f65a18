#include "HandFleet.h"

// Policies of queues that are no longer configured.
using namespace quay;
using namespace quay::fleet;
using namespace quay::fleet::test;

namespace {

QueuePolicy policyOn(const std::string& service)
{
    return { "removed", "h", "/r/", service, 0, 3, 1, 300, true, {} };
}

FleetConfiguration configurationWith(const std::string& service) // empty: without the queue
{
    FleetConfiguration configuration;
    configuration.queues = { { "q", "h", "/", "service", 0, 3, 1, 300, true, {} } };
    if (!service.empty())
        configuration.queues.push_back(policyOn(service));
    return configuration;
}

} // namespace

TEST_CASE("a job runs by its queue's policy; once that is removed, by the one under which it was accepted")
{
    struct Row {
        const char* name;
        std::string accepted; // service of the policy stored with the job; empty: none
        std::string last; // of the policy in the configuration before; empty: the queue was not there
        std::string current;
        std::string expected; // service whose executor gets the start; empty: none does
    };
    const Row rows[] = {
        { "configured", "accepted", "last", "current", "current" },
        { "removed under this leader", "accepted", "last", "", "accepted" },
        { "removed under an earlier leader", "accepted", "", "", "accepted" },
        { "back after its removal", "accepted", "", "current", "current" },
        { "accepted by an earlier release, configured", "", "last", "current", "current" },
        { "accepted by an earlier release, removed", "", "last", "", "last" },
        { "accepted by an earlier release, removed under an earlier leader", "", "", "", "" },
    };
    for (const auto& row : rows) {
        CAPTURE(std::string(row.name));
        HandFleet fleet;
        std::int64_t started = 1000;
        for (const char* service : { "accepted", "last", "current" }) {
            fleet.entry.id = fleet.entry.service = service;
            fleet.entry.startedUnixMs = started += 1000;
            fleet.scheduler.executorRegistered(fleet.entry, fleet.now);
        }
        JobRequest request = jobOf("00000000000000aa", 1);
        request.queue = "removed";
        if (!row.accepted.empty())
            request.acceptedPolicy = executionPolicy(policyOn(row.accepted));
        fleet.scheduler.configure(configurationWith(row.last));
        fleet.scheduler.restore(request, {}, fleet.now);
        fleet.scheduler.configure(configurationWith(row.current));
        fleet.pump();
        started = 1000;
        for (const char* service : { "accepted", "last", "current" })
            fleet.answerAll(started += 1000, {}, {}, service);
        for (int i = 0; i < 10; ++i)
            fleet.pump();
        REQUIRE(fleet.starts.size() == (row.expected.empty() ? 0 : 1));
        if (!row.expected.empty())
            CHECK(fleet.starts.front().executor == row.expected);
    }
}
