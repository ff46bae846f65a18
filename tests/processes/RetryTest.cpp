#include "InteractiveLoad.h"

#include <algorithm>
#include <csignal>
#include <doctest/doctest.h>
#include <thread>

namespace quay::test {

namespace {

struct RunCount {
    std::uint64_t requestsRun = 0;
    std::uint64_t retries = 0;
};

RunCount countRuns(const LocalFleet& fleet, const std::string& prefix)
{
    RunCount count;
    for (const auto& [request, runs] : runsByRequest(fleet)) {
        if (!request.starts_with(prefix))
            continue;
        ++count.requestsRun;
        count.retries += runs - 1;
    }
    return count;
}

// Returns all violations, including requests that ran more than once.
std::vector<std::string> atMostOnceViolations(
    const LocalFleet& fleet, const std::vector<RequestOutcome>& outcomes)
{
    std::map<std::string, std::uint64_t> limits;
    for (const auto& outcome : outcomes)
        limits[outcome.requestId] = 1;
    return fleet.violations(limits);
}

} // namespace

TEST_CASE(
    "half of the executors failing: retries stay within the budget and requests succeed again after ejection")
{
    constexpr std::uint64_t retryPercent = 10; // of docs/examples/base.toml
    LocalFleet fleet({ .executorsPerDomain = 4 });
    waitUntilAllEntriesAnswer(fleet);
    const auto executors = fleet.executors();
    for (std::size_t i = 0; i < executors.size(); i += 2)
        setBehaviour(executors[i], R"({"fail_all":true})");
    std::size_t sentCount = 0;
    for (int round = 0; round < 4; ++round) {
        const auto outcomes = runLoad(
            fleet, { .prefix = "half-" + std::to_string(round), .callers = 8, .requestsPerCaller = 50 });
        sentCount += outcomes.size();
        CHECK(mismatchedAnswers(outcomes).empty());
        const auto count = countRuns(fleet, "half-");
        MESSAGE("after " << sentCount << " requests: " << count.retries << " retries, "
                         << answeredCount(outcomes) << " of the last " << outcomes.size() << " answered");
        // The warm-up requests have added to the retry budget too: one token per ten requests.
        const auto warmUps = runsByRequest(fleet).at("warm-up");
        CHECK(count.retries * 100 <= (sentCount + warmUps) * retryPercent);
    }
    // Ejection removes the failing half of the executors from routing, so that later requests succeed.
    waitFor("100 idempotent requests in a row are answered", [&] {
        const auto outcomes = runLoad(fleet, { .prefix = "later", .callers = 4, .requestsPerCaller = 25 });
        return answeredCount(outcomes) == outcomes.size();
    });
    CHECK(fleet.violations().empty());
}

TEST_CASE("non-idempotent requests never run twice: killed entry VM, dropped responses, failing executors")
{
    LocalFleet fleet(
        { .domains = { "d1", "d2" }, .executorsPerDomain = 2, .slotsPerExecutor = 4, .serviceTimeMs = 10 });
    waitUntilAllEntriesAnswer(fleet);
    const auto executors = fleet.executors();
    setBehaviour(executors[0], R"({"drop_answers":true})");
    setBehaviour(executors[2], R"({"fail_all":true})");
    std::vector<RequestOutcome> outcomes;
    std::thread callers([&] {
        outcomes = runLoad(fleet,
            { .prefix = "once",
                .callers = 16,
                .requestsPerCaller = 40,
                .isIdempotent = false,
                .deadlineMs = 1000 });
    });
    waitFor("the load runs", [&] { return countRuns(fleet, "once-").requestsRun >= 100; });
    fleet.sendSignal(0, SIGKILL);
    callers.join();
    const auto count = countRuns(fleet, "once-");
    MESSAGE(count.requestsRun << " of " << outcomes.size() << " requests ran, " << answeredCount(outcomes)
                              << " were answered");
    CHECK(count.requestsRun > 100);
    CHECK(mismatchedAnswers(outcomes).empty());
    CHECK(atMostOnceViolations(fleet, outcomes).empty());
    // A refusal with disposition "not run" must be true: no ledger may contain the request.
    const auto runs = runsByRequest(fleet);
    for (const auto& outcome : outcomes) {
        if (outcome.body.find("\"not run\"") != std::string::npos)
            CHECK_MESSAGE(!runs.count(outcome.requestId), outcome.requestId, " received ", outcome.body);
    }
}

} // namespace quay::test
