#include "LocalFleet.h"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>

using namespace quay;
using namespace quay::test;

namespace json = boost::json;

TEST_CASE("interactive requests and batch, gang and service jobs run on real processes")
{
    LocalFleet fleet({ .domains = { "d1", "d2" } });

    waitFor("an interactive request is answered through every entry VM", [&] {
        for (const auto& entry : fleet.entries()) {
            const auto response
                = httpCall(entry.callerAddress, httpPost("/v1/ask?queue=lookup", "term", clinicKey));
            if (!response || response->status != 200 || response->body != "echo:term")
                return false;
        }
        return true;
    });

    struct Row {
        const char* body;
        const char* domain;
        const char* state;
    };
    const Row rows[] = {
        { R"({"queue":"nightly","tasks":4,"cpu_milli":500,"memory_mb":64})", "d1", "succeeded" },
        { R"({"queue":"nightly","kind":"gang","tasks":3,"cpu_milli":500})", "d2", "succeeded" },
        { R"({"queue":"nightly","tasks":2,"payload":"{\"fail\":true}","max_attempts":2})", "d1", "failed" },
    };
    int number = 0;
    for (const auto& row : rows) {
        CAPTURE(row.body);
        const auto job
            = fleet.submit(0, row.body, agentsKey, "whole-" + std::to_string(number++), row.domain);
        waitFor("the job has ended", [&] {
            const auto state = fleet.jobState(1, job, agentsKey);
            return !state.empty() && state != "active";
        });
        CHECK(fleet.jobState(3, job, agentsKey) == row.state);
    }

    const auto service = fleet.submit(
        2, R"({"queue":"nightly","kind":"service","payload":"{\"run_ms\":0}"})", agentsKey, "watch", "d1");
    const auto running = [&] {
        const auto response
            = httpCall(fleet.entry(0).callerAddress, httpGet("/v1/jobs/" + service, agentsKey));
        return response && response->body.find("\"running\"") != std::string::npos;
    };
    waitFor("the service runs", running);
    const auto cancelled
        = httpCall(fleet.entry(0).callerAddress, httpPost("/v1/jobs/" + service + "/cancel", "", agentsKey));
    REQUIRE(cancelled);
    waitFor(
        "the service was cancelled", [&] { return fleet.jobState(0, service, agentsKey) == "cancelled"; });

    CHECK(fleet.violations().empty());
}

TEST_CASE("a submission that is sent repeatedly creates one job")
{
    LocalFleet fleet({});
    const std::string body = R"({"queue":"nightly","tasks":1})";
    const auto first = fleet.submit(0, body, agentsKey, "same");
    CHECK(fleet.submit(0, body, agentsKey, "same") == first);
    CHECK(fleet.submit(1, body, agentsKey, "same") == first);
    auto other = httpPost("/v1/jobs", R"({"queue":"nightly","tasks":2})", agentsKey);
    other.headers["Request-Id"] = "same";
    const auto refused = httpCall(fleet.entry(1).callerAddress, std::move(other));
    REQUIRE(refused);
    CHECK(refused->status == 409);
    CHECK(refused->body.find("request_id_reused") != std::string::npos);
}

TEST_CASE("invalid requests get their exact error kind and start no task")
{
    LocalFleet fleet({});
    struct Row {
        const char* method;
        const char* target;
        const char* key;
        const char* requestId;
        std::string body;
        unsigned status;
        const char* kind;
    };
    const std::string job = R"({"queue":"nightly"})";
    const Row rows[] = {
        { "POST", "/v1/ask?queue=lookup", "", "", "x", 401, "missing_key" },
        { "POST", "/v1/ask?queue=lookup", "wrong", "", "x", 401, "invalid_key" },
        { "POST", "/v1/ask?queue=nowhere", clinicKey, "", "x", 404, "unknown_queue" },
        { "POST", "/v1/ask", clinicKey, "", "x", 404, "unknown_queue" },
        { "POST", "/v1/ask?queue=lookup", clinicKey, "", std::string(2 * 1024 * 1024, 'x'), 413,
            "too_large" },
        { "POST", "/v1/jobs", clinicKey, "r1", job, 403, "wrong_team" },
        { "POST", "/v1/jobs", agentsKey, "", job, 400, "missing_request_id" },
        { "POST", "/v1/jobs", agentsKey, "a/b", job, 400, "missing_request_id" },
        { "POST", "/v1/jobs", agentsKey, "r2", "{", 400, "malformed_request" },
        { "POST", "/v1/jobs", agentsKey, "r3", R"({"queue":"nightly","colour":1})", 400, "unknown_field" },
        { "POST", "/v1/jobs", agentsKey, "r4", R"({"queue":"nightly","cpu_milli":900000})", 422,
            "never_runnable" },
        { "GET", "/v1/jobs/d1.nothing", agentsKey, "", "", 404, "unknown_job" },
        { "GET", "/v1/jobs/nothing", agentsKey, "", "", 404, "unknown_job" },
        { "GET", "/v1/nothing", agentsKey, "", "", 404, "not_found" },
        { "GET", "/v1/fleet", agentsKey, "", "", 403, "not_operator" },
        { "POST", "/v1/config", operatorKey, "", "{}", 422, "invalid_configuration" },
    };
    for (const auto& row : rows) {
        CAPTURE(row.target);
        CAPTURE(row.kind);
        auto request = httpPost(row.target, row.body, row.key);
        request.method = row.method;
        if (*row.requestId)
            request.headers["Request-Id"] = row.requestId;
        const auto response = httpCall(fleet.entry(0).callerAddress, std::move(request));
        REQUIRE(response);
        CHECK(response->status == row.status);
        const auto error = json::parse(response->body).at("error");
        CHECK(error.at("kind").as_string() == row.kind);
        CHECK_FALSE(error.at("remedy").as_string().empty());
    }
    for (const auto& worker : fleet.workers())
        CHECK(fleet.ledger(worker).at("entries").as_array().empty());
}

TEST_CASE("a watch reports the end of every job and resumes from its cursor at another entry VM")
{
    LocalFleet fleet({});
    const auto page = [&](std::size_t entry, std::uint64_t cursor) -> json::value {
        const auto response = httpCall(fleet.entry(entry).callerAddress,
            httpGet("/v1/watch?cursor=" + std::to_string(cursor) + "&wait_ms=1000", agentsKey));
        if (!response || response->status != 200)
            return nullptr;
        return json::parse(response->body);
    };
    std::array<std::string, 5> jobs;
    for (std::size_t i = 0; i < jobs.size(); ++i)
        jobs[i] = fleet.submit(0, R"({"queue":"nightly"})", agentsKey, "watch-" + std::to_string(i));
    std::map<std::string, std::string> states;
    std::uint64_t cursor = 0;
    std::size_t entry = 0;
    waitFor("the watch has reported the end of all jobs", [&] {
        const auto view = page(entry++ % fleet.entries().size(), cursor);
        if (!view.is_object())
            return false;
        cursor = view.at("cursor").to_number<std::uint64_t>();
        for (const auto& event : view.at("events").as_array())
            states[std::string(event.at("job").as_string())] = std::string(event.at("state").as_string());
        return std::all_of(
            jobs.begin(), jobs.end(), [&](const auto& job) { return states[job] == "succeeded"; });
    });
    const auto other = httpCall(fleet.entry(0).callerAddress, httpGet("/v1/watch?cursor=x", agentsKey));
    REQUIRE(other);
    CHECK(other->status == 400);
    const auto otherTeamEvents = httpCall(fleet.entry(0).callerAddress, httpGet("/v1/watch", clinicKey));
    REQUIRE(otherTeamEvents);
    CHECK(json::parse(otherTeamEvents->body).at("events").as_array().empty());
}
