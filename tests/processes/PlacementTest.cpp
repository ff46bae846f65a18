#include "LocalFleet.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <fstream>
#include <iterator>

namespace quay::test {

namespace {

namespace json = boost::json;

// Returns the entries of a worker's ledger that belong to tasks of the job.
std::vector<json::object> runsOf(const LocalFleet& fleet, const BackendServer& worker, const std::string& job)
{
    std::vector<json::object> runs;
    const auto ledger = fleet.ledger(worker);
    for (const auto& entry : ledger.at("entries").as_array()) {
        if (std::string(entry.at("task").as_string()).starts_with(job + "/"))
            runs.push_back(entry.as_object());
    }
    return runs;
}

std::size_t runningCount(const LocalFleet& fleet, const std::string& job)
{
    std::size_t running = 0;
    for (const auto& worker : fleet.workers()) {
        for (const auto& run : runsOf(fleet, worker, job))
            running += run.at("end_us").as_int64() == 0 ? 1 : 0;
    }
    return running;
}

std::string explanationOf(const LocalFleet& fleet, const std::string& job)
{
    const auto response
        = httpCall(fleet.entry(0).callerAddress, httpGet("/v1/jobs/" + job + "/explain", agentsKey));
    return response ? response->body : std::string();
}

} // namespace

TEST_CASE("a gang starts all its tasks at once, and until then explain shows why it waits")
{
    LocalFleet fleet({ .workersPerDomain = 3, .workerCpuMilli = 8000 });
    // Uses half of the CPU of one worker until it is cancelled.
    const auto fillerJob = fleet.submit(0,
        R"({"queue":"nightly","kind":"service","cpu_milli":4000,"payload":"{\"run_ms\":0}"})", agentsKey,
        "filler");
    waitFor("the service runs", [&] { return runningCount(fleet, fillerJob) == 1; });
    const auto gang = fleet.submit(0,
        R"({"queue":"nightly","kind":"gang","tasks":6,"cpu_milli":4000,"payload":"{\"run_ms\":0}"})",
        agentsKey, "gang");
    waitFor("the gang's wait is explained",
        [&] { return explanationOf(fleet, gang).find("no worker has room now") != std::string::npos; });
    for (const auto& worker : fleet.workers())
        CHECK(runsOf(fleet, worker, gang).empty());
    REQUIRE(
        httpCall(fleet.entry(0).callerAddress, httpPost("/v1/jobs/" + fillerJob + "/cancel", "", agentsKey)));
    waitFor("all tasks of the gang run at the same time", [&] { return runningCount(fleet, gang) == 6; });
    for (const auto& worker : fleet.workers())
        CHECK(runsOf(fleet, worker, gang).size() == 2);
    CHECK(fleet.violations().empty());
}

TEST_CASE("placement avoids a worker that fails all its tasks")
{
    LocalFleet fleet({ .workersPerDomain = 3, .workerCpuMilli = 8000 });
    const auto failingWorker = fleet.workers().front();
    REQUIRE(httpCall(failingWorker.address, httpPost("/admin/faults", R"({"fail_all":true})")));
    int number = 0;
    // Six tasks fill three workers. A job that succeeds without a run on the failing worker shows that
    // placement avoids it.
    waitFor("a job of six tasks succeeds without the failing worker", [&] {
        const auto job = fleet.submit(0,
            R"({"queue":"nightly","tasks":6,"cpu_milli":4000,"idempotent":true,"max_attempts":8})", agentsKey,
            "avoid-" + std::to_string(number++));
        waitFor("the job has succeeded", [&] { return fleet.jobState(0, job, agentsKey) == "succeeded"; });
        return runsOf(fleet, failingWorker, job).empty();
    });
    CHECK(!fleet.ledger(failingWorker).at("entries").as_array().empty());
    CHECK(fleet.violations().empty());
}

TEST_CASE("tasks beyond the upper limit of their team wait, and explain shows the limit")
{
    std::ifstream file(QUAY_SOURCE_DIR "/docs/examples/base.toml");
    std::string configuration((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    const auto replaceOnce = [&configuration](const std::string& from, const std::string& to) {
        const auto place = configuration.find(from);
        REQUIRE(place != std::string::npos);
        configuration.replace(place, from.size(), to);
    };
    replaceOnce("upper_limit = 200", "upper_limit = 4"); // of team agents
    replaceOnce("fleet_units = 400", "fleet_units = 10"); // the team's share of 40 % is four units
    LocalFleet fleet({ .entriesPerDomain = 1, .configuration = configuration });
    const auto job = fleet.submit(0,
        R"({"queue":"nightly","kind":"batch","tasks":10,"cpu_milli":100,"payload":"{\"run_ms\":0}"})",
        agentsKey, "limited");
    waitFor("four tasks run", [&] { return runningCount(fleet, job) == 4; });
    waitFor("explain shows the limit",
        [&] { return explanationOf(fleet, job).find("upper limit is in use") != std::string::npos; });
    CHECK(runningCount(fleet, job) == 4);
    CHECK(fleet.violations().empty());
}

} // namespace quay::test
