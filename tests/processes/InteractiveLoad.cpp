#include "InteractiveLoad.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <thread>

namespace quay::test {

RequestOutcome sendRequest(const LocalFleet& fleet, std::size_t entry, const std::string& requestId,
    bool isIdempotent, std::uint32_t deadlineMs)
{
    auto request = httpPost("/v1/ask?queue=lookup", requestId, clinicKey);
    request.headers["Request-Id"] = requestId;
    request.headers["Idempotent"] = isIdempotent ? "true" : "false";
    request.headers["Deadline-Ms"] = std::to_string(deadlineMs);
    RequestOutcome outcome { requestId, entry, 0, {} };
    const auto response = httpCall(fleet.entry(entry).callerAddress, std::move(request), 30s);
    if (!response)
        return outcome;
    outcome.status = response->status;
    outcome.body = response->body;
    return outcome;
}

std::vector<RequestOutcome> runLoad(const LocalFleet& fleet, const RequestLoad& load)
{
    std::vector<std::vector<RequestOutcome>> byCaller(load.callers);
    std::vector<std::thread> threads;
    for (unsigned caller = 0; caller < load.callers; ++caller) {
        threads.emplace_back([&, caller] {
            for (unsigned i = 0; i < load.requestsPerCaller; ++i) {
                const auto id = load.prefix + "-" + std::to_string(caller) + "-" + std::to_string(i);
                const auto entry = (caller + i) % fleet.entries().size();
                byCaller[caller].push_back(sendRequest(fleet, entry, id, load.isIdempotent, load.deadlineMs));
            }
        });
    }
    for (auto& thread : threads)
        thread.join();
    std::vector<RequestOutcome> outcomes;
    for (const auto& part : byCaller)
        outcomes.insert(outcomes.end(), part.begin(), part.end());
    return outcomes;
}

std::vector<std::string> mismatchedAnswers(const std::vector<RequestOutcome>& outcomes)
{
    std::vector<std::string> found;
    for (const auto& outcome : outcomes) {
        if (outcome.status == 200 && outcome.body != "echo:" + outcome.requestId)
            found.push_back(outcome.requestId + " received " + outcome.body);
    }
    return found;
}

std::size_t answeredCount(const std::vector<RequestOutcome>& outcomes)
{
    return static_cast<std::size_t>(std::count_if(
        outcomes.begin(), outcomes.end(), [](const auto& outcome) { return outcome.status == 200; }));
}

std::map<std::string, std::uint64_t> runsByRequest(const LocalFleet& fleet)
{
    std::map<std::string, std::uint64_t> runs;
    for (const auto& executor : fleet.executors()) {
        const auto ledger = fleet.ledger(executor);
        for (const auto& field : ledger.at("runs_by_request").as_object())
            runs[std::string(field.key())] += field.value().to_number<std::uint64_t>();
    }
    return runs;
}

void waitUntilAllEntriesAnswer(const LocalFleet& fleet)
{
    for (std::size_t entry = 0; entry < fleet.entries().size(); ++entry) {
        waitFor("a successful response through " + fleet.entry(entry).name,
            [&] { return sendRequest(fleet, entry, "warm-up", true, 2000).status == 200; });
    }
}

void setBehaviour(const BackendServer& executor, const std::string& json)
{
    const auto response = httpCall(executor.address, httpPost("/admin/behaviour", json));
    REQUIRE(response);
    REQUIRE(response->status == 200);
}

} // namespace quay::test
