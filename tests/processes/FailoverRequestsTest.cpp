#include "LocalFleet.h"

#include <atomic>
#include <csignal>
#include <doctest/doctest.h>
#include <mutex>
#include <thread>

using namespace quay;
using namespace quay::test;

namespace {

constexpr auto healthTimeout = 1s;

/**
 * Callers behind a load balancer: each request goes to the first entry VM, starting with index `firstEntry`,
 * whose health check passes.
 */
class LoadGenerator {
public:
    LoadGenerator(const LocalFleet& fleet, std::size_t firstEntry, std::string target, std::string key)
        : m_fleet(fleet)
        , m_firstEntry(firstEntry)
        , m_target(std::move(target))
        , m_key(std::move(key))
    {
        for (int i = 0; i < threadCount; ++i)
            m_threads.emplace_back([this, i] { run(i); });
    }

    ~LoadGenerator() { stop(); }

    void stop()
    {
        m_stop = true;
        for (auto& thread : m_threads)
            thread.join();
        m_threads.clear();
    }

    /** Number of requests that have ended, with or without a response. */
    std::size_t completed() const { return m_completed; }

    /** One line per request that got no response or anything but status 200 and its echo. */
    std::vector<std::string> failures() const
    {
        std::lock_guard lock(m_mutex);
        return m_failures;
    }

private:
    static constexpr int threadCount = 4;

    std::string healthyAddress() const
    {
        const auto& entries = m_fleet.entries();
        for (std::size_t i = 0; i < entries.size(); ++i) {
            const auto& address = entries[(m_firstEntry + i) % entries.size()].callerAddress;
            const auto health = httpCall(address, httpGet("/healthz"), healthTimeout);
            if (health && health->status == 200)
                return address;
        }
        return {};
    }

    void run(int thread)
    {
        for (int i = 0; !m_stop; ++i) {
            const auto body = std::to_string(thread) + "-" + std::to_string(i);
            const auto address = healthyAddress();
            const auto response = httpCall(address, httpPost(m_target, body, m_key));
            ++m_completed;
            if (response && response->status == 200 && response->body == "echo:" + body)
                continue;
            std::lock_guard lock(m_mutex);
            std::string failure = body;
            failure.append(" at ").append(address);
            failure += response ? ": " + std::to_string(response->status) : ": no response";
            failure += response ? " " + response->body : "";
            m_failures.push_back(std::move(failure));
        }
    }

    const LocalFleet& m_fleet;
    std::size_t m_firstEntry;
    std::string m_target;
    std::string m_key;
    std::atomic<bool> m_stop = false;
    std::atomic<std::size_t> m_completed = 0;
    mutable std::mutex m_mutex;
    std::vector<std::string> m_failures;
    std::vector<std::thread> m_threads;
};

void waitForCompletions(const LoadGenerator& load, std::size_t count)
{
    const auto target = load.completed() + count;
    waitFor("more requests are completed", [&] { return load.completed() >= target; });
}

void checkNoFailures(const LoadGenerator& load)
{
    for (const auto& failure : load.failures())
        FAIL_CHECK(failure);
}

void waitUntilEntriesAnswer(const LocalFleet& fleet, const std::string& target, const std::string& key)
{
    waitFor("every entry VM answers requests", [&] {
        for (const auto& entry : fleet.entries()) {
            const auto response = httpCall(entry.callerAddress, httpPost(target, "x", key));
            if (!response || response->status != 200)
                return false;
        }
        return true;
    });
}

constexpr auto lookupTarget = "/v1/ask?queue=lookup";
constexpr auto openQueueTarget = "/v1/ask?queue=prices";

} // namespace

TEST_CASE("SIGTERM under interactive load: no request fails and the exit code is 0")
{
    LocalFleet fleet({ .executorsPerDomain = 6, .serviceTimeMs = 50 });
    waitUntilEntriesAnswer(fleet, lookupTarget, clinicKey);
    LoadGenerator load(fleet, 0, lookupTarget, clinicKey);
    waitForCompletions(load, 50);
    fleet.sendSignal(0, SIGTERM);
    CHECK(fleet.waitForExit(0) == 0);
    waitForCompletions(load, 50);
    load.stop();
    checkNoFailures(load);
}

TEST_CASE("a second SIGTERM ends the process immediately with exit code 1 if requests are in flight")
{
    LocalFleet fleet({ .serviceTimeMs = 3000 });
    std::atomic<bool> hasStarted = false;
    // Sends the request until one runs, because a fleet that has just started may refuse the first ones.
    std::thread caller([&] {
        while (!hasStarted) {
            auto request = httpPost(lookupTarget, "slow", clinicKey);
            request.headers["Deadline-Ms"] = "20000";
            (void)httpCall(fleet.entry(0).callerAddress, std::move(request), 20s);
        }
    });
    const auto isRequestRunning = [&] {
        for (const auto& executor : fleet.executors()) {
            if (fleet.ledger(executor).at("max_busy").to_number<std::uint64_t>())
                return true;
        }
        return false;
    };
    waitFor("the request runs", isRequestRunning);
    hasStarted = true;
    fleet.sendSignal(0, SIGTERM);
    waitFor("the health check fails", [&] {
        const auto health = httpCall(fleet.entry(0).callerAddress, httpGet("/healthz"), healthTimeout);
        return health && health->status != 200;
    });
    fleet.sendSignal(0, SIGTERM);
    CHECK(fleet.waitForExit(0) == 1);
    caller.join();
}

TEST_CASE("a store outage longer than every lease with all members alive: requests and jobs continue")
{
    LocalFleet fleet({ .executorsPerDomain = 6 });
    waitUntilEntriesAnswer(fleet, openQueueTarget, {});
    constexpr auto serviceJob
        = R"({"queue":"nightly","kind":"service","idempotent":true,"payload":"{\"run_ms\":0}"})";
    const auto job = fleet.submit(0, serviceJob, agentsKey, "outage");
    const auto endTimes = [&] {
        std::vector<std::int64_t> ends;
        for (const auto& worker : fleet.workers()) {
            const auto ledger = fleet.ledger(worker);
            for (const auto& item : ledger.at("entries").as_array())
                ends.push_back(item.at("end_us").as_int64());
        }
        return ends;
    };
    waitFor("the job runs", [&] { return !endTimes().empty(); });

    fleet.setPlatformFaults(R"({"down":true})");
    const auto outageStart = std::chrono::steady_clock::now();
    LoadGenerator load(fleet, 0, openQueueTarget, {});
    // Longer than three roster leases. Not a time limit of the test.
    constexpr auto outageDuration = 20s;
    waitFor("the outage has lasted longer than every lease",
        [&] { return std::chrono::steady_clock::now() - outageStart > outageDuration; });
    waitForCompletions(load, 50);
    load.stop();
    checkNoFailures(load);
    CHECK(endTimes() == std::vector<std::int64_t> { 0 }); // the job was started once and is still running

    fleet.setPlatformFaults("{}");
    waitUntilEntriesAnswer(fleet, lookupTarget, clinicKey);
    CHECK(fleet.isRunning(0));
    CHECK(fleet.isRunning(1));
    CHECK(fleet.violations().empty());
}
