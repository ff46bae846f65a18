#include "Executor.h"
#include "StandinThread.h"
#include "Worker.h"
#include "service/BackendLink.h"

#include <doctest/doctest.h>
#include <thread>

using namespace quay;
using namespace quay::test;

namespace {

using WorkerThread = StandinThread<standin::Worker>;
using ExecutorThread = StandinThread<standin::Executor>;

ServerInfo workerInfo()
{
    ServerInfo info;
    info.id = ServerId { "w" };
    info.capacity = { 1000, 1000, 1 };
    return info;
}

SendStart makeStart(const std::string& task, std::uint32_t attempt, std::uint64_t epoch, Resources size,
    const std::string& payload = R"({"run_ms":0})")
{
    SendStart message;
    message.worker = ServerId { "w" };
    message.attempt = { TaskId { task }, attempt };
    message.epoch = epoch;
    message.leaseMs = 60'000;
    message.size = size;
    message.payload = payload;
    return message;
}

StartAnswer startTask(BackendLink& link, const std::string& address, SendStart message)
{
    return await<StartAnswer>([&](auto done) { link.startTask(address, std::move(message), done); });
}

WorkerReport report(BackendLink& link, const std::string& address)
{
    return await<std::optional<WorkerReport>>([&](auto done) {
        link.report(address, ServerId { "w" }, done);
    }).value();
}

// Polls the worker's report until the predicate holds. If it never does, the timeout of the test suite ends
// the test.
template <typename Predicate>
WorkerReport reportUntil(BackendLink& link, const std::string& address, Predicate predicate)
{
    while (true) {
        auto current = report(link, address);
        if (predicate(current))
            return current;
        std::this_thread::sleep_for(10ms);
    }
}

} // namespace

TEST_CASE("a worker accepts a repeated start and refuses one with a lower epoch or beyond its capacity")
{
    WorkerThread worker(workerInfo(), "127.0.0.1:0", Duration::zero());
    const auto& address = worker.get().info().address;
    BackendLink link;
    link.start();
    struct Row {
        const char* name;
        SendStart message;
        StartOutcome expected;
    };
    const Row rows[] = {
        { "first start", makeStart("a", 1, 5, { 600, 100, 0 }), StartOutcome::Accepted },
        { "repeated start", makeStart("a", 1, 5, { 600, 100, 0 }), StartOutcome::Accepted },
        { "beyond the capacity", makeStart("b", 1, 5, { 600, 100, 0 }), StartOutcome::Refused },
        { "lower epoch", makeStart("c", 1, 4, { 100, 100, 0 }), StartOutcome::Refused },
        { "fits into the remaining capacity", makeStart("d", 1, 5, { 400, 100, 1 }), StartOutcome::Accepted },
    };
    for (const auto& row : rows) {
        CAPTURE(row.name);
        CHECK(startTask(link, address, row.message).outcome == row.expected);
    }
    CHECK(report(link, address).running.size() == 2);
    CHECK(report(link, address).epoch == 5);
}

TEST_CASE("an ended attempt is reported until acknowledged, and is not started again")
{
    WorkerThread worker(workerInfo(), "127.0.0.1:0", Duration::zero());
    const auto& address = worker.get().info().address;
    BackendLink link;
    link.start();
    const auto message = makeStart("a", 1, 1, { 100, 100, 0 }, R"({"run_ms":1,"output":"done"})");
    CHECK(startTask(link, address, message).outcome == StartOutcome::Accepted);
    const auto ended = reportUntil(link, address, [](const auto& current) { return !current.ended.empty(); });
    CHECK(ended.ended.front() == EndedTask { message.attempt, true, "done" });
    CHECK(startTask(link, address, message).outcome == StartOutcome::Refused);
    link.acknowledge(address, SendAck { ServerId { "w" }, { message.attempt } });
    reportUntil(link, address, [](const auto& current) { return current.ended.empty(); });
    CHECK(startTask(link, address, message).outcome == StartOutcome::Refused);
}

TEST_CASE(
    "a refused or stopped attempt never starts later, and a new worker refuses starts for a grace period")
{
    WorkerThread worker(workerInfo(), "127.0.0.1:0", Duration::zero());
    const auto& address = worker.get().info().address;
    BackendLink link;
    link.start();
    const auto large = makeStart("large", 1, 1, { 900, 100, 0 });
    const auto other = makeStart("other", 1, 1, { 900, 100, 0 });
    CHECK(startTask(link, address, other).outcome == StartOutcome::Accepted);
    CHECK(startTask(link, address, large).outcome == StartOutcome::Refused);
    link.stopTask(address, SendStop { ServerId { "w" }, other.attempt });
    reportUntil(link, address, [](const auto& current) { return current.running.empty(); });
    CHECK(startTask(link, address, large).outcome
        == StartOutcome::Refused); // although the capacity is free now

    const auto early = makeStart("early", 1, 1, { 100, 100, 0 });
    CHECK(postTo(address, "/v1/stop", R"({"task":"early","attempt":1})")
        == 200); // the stop is complete before the start is sent
    CHECK(startTask(link, address, early).outcome == StartOutcome::Refused);

    WorkerThread fresh(workerInfo(), "127.0.0.1:0", std::chrono::hours(1));
    CHECK(startTask(link, fresh.get().info().address, early).outcome == StartOutcome::Refused);
}

TEST_CASE("a task ends when it is stopped and when its lease expires")
{
    WorkerThread worker(workerInfo(), "127.0.0.1:0", Duration::zero());
    const auto& address = worker.get().info().address;
    BackendLink link;
    link.start();
    const auto stopped = makeStart("a", 1, 1, { 100, 100, 0 });
    auto lapsing = makeStart("b", 1, 1, { 100, 100, 0 });
    lapsing.leaseMs = 50;
    CHECK(startTask(link, address, stopped).outcome == StartOutcome::Accepted);
    CHECK(startTask(link, address, lapsing).outcome == StartOutcome::Accepted);
    link.stopTask(address, SendStop { ServerId { "w" }, stopped.attempt });
    const auto ended
        = reportUntil(link, address, [](const auto& current) { return current.ended.size() == 2; });
    for (const auto& task : ended.ended)
        CHECK_FALSE(task.ok);
}

TEST_CASE("a start that was certainly not delivered is refused, not unknown")
{
    BackendLink link;
    link.start();
    // Nothing listens on port 1 of this machine, so the connection is refused before any byte is sent.
    CHECK(startTask(link, "127.0.0.1:1", makeStart("a", 1, 1, {})).outcome == StartOutcome::Refused);
    CHECK(startTask(link, "nowhere", makeStart("a", 1, 1, {})).outcome == StartOutcome::Refused);
}

TEST_CASE("an executor echoes a large body and refuses requests beyond its slots")
{
    ServerInfo info;
    info.id = ServerId { "x" };
    info.slots = 1;
    standin::ExecutorBehaviour slow;
    slow.serviceTimeMs = 300;
    ExecutorThread executor(info, "127.0.0.1:0", slow);
    const auto& address = executor.get().info().address;
    BackendLink link;
    link.start();
    auto first = std::make_shared<std::promise<HttpResult>>();
    const std::string body(200'000, 'x');
    link.execute(address, { TeamId { "t" }, "r1", "", body }, 10s,
        [first](HttpResult result) { first->set_value(std::move(result)); });
    const auto second = await<HttpResult>([&](auto done) {
        link.execute(address, { TeamId { "t" }, "r2", "", "y" }, 10s, done);
    });
    const auto answer = first->get_future().get();
    REQUIRE(answer.response);
    REQUIRE(second.response);
    // The request that arrived first got the slot, and the other one was refused.
    CHECK(answer.response->status + second.response->status == 200 + 503);
    if (answer.response->status == 200)
        CHECK(answer.response->body == "echo:" + body);
}
