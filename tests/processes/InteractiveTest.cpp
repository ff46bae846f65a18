#include "InteractiveLoad.h"

#include "tableservice/ServerListCodec.h"

#include <doctest/doctest.h>
#include <map>
#include <set>

namespace quay::test {

namespace {

void setLeaving(const LocalFleet& fleet, const std::string& server)
{
    const auto response = httpCall(fleet.platformAddress(), httpGet("/v1/vms"));
    REQUIRE(response);
    Reason reason;
    const auto list = decodeServerList(response->body, reason);
    REQUIRE(list);
    for (auto info : list->servers) {
        if (info.id.text != server)
            continue;
        info.leaving = true;
        const auto posted = httpCall(fleet.platformAddress(), httpPost("/v1/vms", encodeServer(info)));
        REQUIRE(posted);
        REQUIRE(posted->status == 200);
    }
}

std::uint64_t servedCount(const LocalFleet& fleet, const BackendServer& executor)
{
    return fleet.ledger(executor).at("served").to_number<std::uint64_t>();
}

} // namespace

TEST_CASE("no executor exceeds its slots and every response belongs to its request")
{
    // Each domain has two entry VMs and one executor, so one entry VM per domain owns no executor and has to
    // forward its requests.
    LocalFleet fleet(
        { .domains = { "d1", "d2" }, .executorsPerDomain = 1, .slotsPerExecutor = 4, .serviceTimeMs = 5 });
    waitUntilAllEntriesAnswer(fleet);
    const auto outcomes = runLoad(fleet, { .prefix = "crowd", .callers = 24, .requestsPerCaller = 60 });
    CHECK(mismatchedAnswers(outcomes).empty());
    CHECK(fleet.violations().empty());
    std::map<std::string, std::size_t> refusals;
    for (const auto& outcome : outcomes) {
        if (outcome.status != 200)
            ++refusals[outcome.body.substr(0, outcome.body.find(",\"message\""))];
    }
    for (const auto& [kind, count] : refusals)
        MESSAGE(std::to_string(count), " refused: ", kind);
    // There are three times as many callers as slots; the queues hold the excess, so over 90 % are answered.
    CHECK(answeredCount(outcomes) * 10 > outcomes.size() * 9);
    std::set<std::size_t> answeringEntries;
    for (const auto& outcome : outcomes) {
        const bool isAnswerOrError
            = outcome.status == 200 || outcome.body.find("\"error\"") != std::string::npos;
        CHECK_MESSAGE(isAnswerOrError, outcome.requestId, " received ", outcome.status, " ", outcome.body);
        if (outcome.status == 200)
            answeringEntries.insert(outcome.entry);
    }
    CHECK(answeringEntries.size() == fleet.entries().size());
    for (const auto& executor : fleet.executors())
        CHECK(servedCount(fleet, executor) > 0);
}

TEST_CASE("no executor exceeds its slots while its owner changes")
{
    LocalFleet fleet(
        { .entriesPerDomain = 3, .executorsPerDomain = 3, .slotsPerExecutor = 4, .serviceTimeMs = 20 });
    waitUntilAllEntriesAnswer(fleet);
    for (std::size_t restartedEntry = 1; restartedEntry < fleet.entries().size(); ++restartedEntry) {
        const auto before = runLoad(fleet,
            { .prefix = "before" + std::to_string(restartedEntry), .callers = 12, .requestsPerCaller = 10 });
        CHECK(mismatchedAnswers(before).empty());
        fleet.restart(restartedEntry); // SIGKILL and rejoin as a new member, so executors change owner twice
        const auto after = runLoad(fleet,
            { .prefix = "after" + std::to_string(restartedEntry), .callers = 12, .requestsPerCaller = 30 });
        CHECK(mismatchedAnswers(after).empty());
        CHECK(fleet.violations().empty());
        waitUntilAllEntriesAnswer(fleet);
    }
    CHECK(fleet.violations().empty());
}

TEST_CASE("a leaving executor receives no new requests")
{
    LocalFleet fleet({ .executorsPerDomain = 3 });
    waitUntilAllEntriesAnswer(fleet);
    const auto leavingExecutor = fleet.executors().front();
    waitFor("the executor has served a request", [&] {
        runLoad(fleet, { .prefix = "use", .callers = 4, .requestsPerCaller = 10 });
        return servedCount(fleet, leavingExecutor) > 0;
    });
    setLeaving(fleet, leavingExecutor.id);
    // When 40 requests over all entry VMs avoid the executor, every entry VM has received the new list.
    waitFor("40 requests in a row are served by other executors", [&] {
        const auto before = servedCount(fleet, leavingExecutor);
        runLoad(fleet, { .prefix = "leaving", .callers = 4, .requestsPerCaller = 10 });
        return servedCount(fleet, leavingExecutor) == before;
    });
    const auto before = servedCount(fleet, leavingExecutor);
    const auto outcomes = runLoad(fleet, { .prefix = "left", .callers = 8, .requestsPerCaller = 50 });
    CHECK(servedCount(fleet, leavingExecutor) == before);
    CHECK(answeredCount(outcomes) == outcomes.size());
    CHECK(fleet.violations().empty());
}

} // namespace quay::test
