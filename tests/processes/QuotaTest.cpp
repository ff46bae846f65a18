#include "LocalFleet.h"

#include <atomic>
#include <csignal>
#include <doctest/doctest.h>
#include <iostream>
#include <thread>

using namespace quay;
using namespace quay::test;

namespace json = boost::json;

namespace {

constexpr std::int64_t upperLimit = 12;
constexpr unsigned serviceCount = 5;

constexpr auto configuration = R"(
shares_sum = 100
fleet_units = 20
[teams.clinic]
share = 50
upper_limit = 12
[teams.agents]
share = 50
upper_limit = 12
[queues.lookup]
kind = "interactive"
teams = ["clinic", "agents"]
deadline_ms = 2000
idempotent = true
[queues.nightly]
kind = "any"
teams = ["agents"]
[[keys]]
id = "agents-1"
team = "agents"
hash = "sha256:22c2c739743e0315748174622af453faf75939a7fab6e7df496cf72a13e3d454"
[[keys]]
id = "op-1"
role = "operator"
hash = "sha256:c9736463f555cdb7d2a78cfd7aa8b8c4f09d906d78f8dab9228eda30a28c2818"
)";

// Sends requests of one team through every entry VM until the object is destroyed.
class TeamLoad {
public:
    TeamLoad(const LocalFleet& fleet, unsigned callersPerEntry)
    {
        for (const auto& entry : fleet.entries()) {
            for (unsigned i = 0; i < callersPerEntry; ++i)
                m_callers.emplace_back([this, address = entry.callerAddress] { call(address); });
        }
    }
    ~TeamLoad()
    {
        m_stop = true;
        for (auto& caller : m_callers)
            caller.join();
    }

    std::uint64_t served() const { return m_served; }

private:
    void call(const std::string& address)
    {
        while (!m_stop) {
            const auto response = httpCall(address, httpPost("/v1/ask?queue=lookup", "term", agentsKey), 3s);
            if (response && response->status == 200)
                ++m_served;
            else
                std::this_thread::sleep_for(20ms);
        }
    }

    std::atomic<bool> m_stop = false;
    std::atomic<std::uint64_t> m_served = 0;
    std::vector<std::thread> m_callers;
};

// Returns a field of team agents in GET /v1/teams at an entry VM; 0 if the VM doesn't answer.
std::int64_t teamField(const LocalFleet& fleet, std::size_t entry, const char* field)
{
    const auto response = httpCall(fleet.entry(entry).callerAddress, httpGet("/v1/teams", operatorKey), 2s);
    if (!response || response->status != 200)
        return 0;
    const auto answer = json::parse(response->body);
    for (const auto& team : answer.at("teams").as_array()) {
        if (team.at("team").as_string() == "agents")
            return team.at(field).to_number<std::int64_t>();
    }
    return 0;
}

// Returns the largest number of tasks that ran at the same time on all workers together.
std::int64_t maxConcurrentTasks(const LocalFleet& fleet)
{
    std::multimap<std::int64_t, int> changes;
    for (const auto& worker : fleet.workers()) {
        const auto ledger = fleet.ledger(worker);
        for (const auto& entry : ledger.at("entries").as_array()) {
            changes.emplace(entry.at("start_us").to_number<std::int64_t>(), 1);
            if (const auto end = entry.at("end_us").to_number<std::int64_t>())
                changes.emplace(end, -1);
        }
    }
    std::int64_t now = 0;
    std::int64_t most = 0;
    for (const auto& [at, change] : changes) {
        now += change;
        most = std::max(most, now);
    }
    return most;
}

std::int64_t runningTasks(const LocalFleet& fleet)
{
    std::int64_t running = 0;
    for (const auto& worker : fleet.workers()) {
        const auto ledger = fleet.ledger(worker);
        for (const auto& entry : ledger.at("entries").as_array())
            running += entry.at("end_us").to_number<std::int64_t>() == 0;
    }
    return running;
}

// Returns the largest number of requests of team agents that the executor ran at the same time.
std::int64_t maxConcurrentRequests(const LocalFleet& fleet)
{
    const auto executors = fleet.executors();
    // The maxima of several executors could be from different times, so their sum would mean nothing.
    REQUIRE(executors.size() == 1);
    const auto teams = fleet.ledger(executors.front()).at("max_busy_by_team").as_object();
    const auto* most = teams.if_contains("agents");
    return most ? most->to_number<std::int64_t>() : 0;
}

} // namespace

TEST_CASE("a team never exceeds its upper limit, even if an entry VM is killed under load")
{
    LocalFleet fleet({ .entriesPerDomain = 3,
        .executorsPerDomain = 1,
        .slotsPerExecutor = 32,
        .serviceTimeMs = 30,
        .configuration = configuration });
    // The services run throughout the test, so concurrent requests and services add up in the usage.
    const auto body = R"({"queue":"nightly","kind":"service","tasks":)" + std::to_string(serviceCount)
        + R"(,"payload":"{\"run_ms\":0}"})";
    fleet.submit(0, body, agentsKey, "services");
    waitFor("the services run", [&] { return runningTasks(fleet) == serviceCount; });

    TeamLoad load(fleet, 4);
    waitFor("requests are served", [&] { return load.served() > 100; });
    const auto leader = fleet.leaderOf("d1", 0);
    REQUIRE(leader);
    const auto killedEntry = (*leader + 1) % fleet.entries().size();
    waitFor("the entry VM to be killed holds a grant and uses it", [&] {
        return teamField(fleet, killedEntry, "granted_here") > 0
            && teamField(fleet, killedEntry, "running_here") > 0;
    });
    fleet.sendSignal(killedEntry, SIGKILL);
    fleet.waitForExit(killedEntry);
    waitFor("the leader has inherited the grant of the killed member and counts it as used",
        [&] { return teamField(fleet, *leader, "inherited_here") > 0; });
    const auto before = load.served();
    waitFor("requests are served from the remaining grants", [&] { return load.served() > before + 50; });

    CHECK(runningTasks(fleet) == serviceCount);
    CHECK(maxConcurrentTasks(fleet) <= upperLimit);
    CHECK(maxConcurrentRequests(fleet) > 0);
    CHECK(maxConcurrentRequests(fleet) + serviceCount <= upperLimit);
    CHECK(teamField(fleet, *leader, "granted") <= upperLimit);
}

TEST_CASE("a lowered limit is accepted only once the usage of the team is within it")
{
    LocalFleet fleet({ .entriesPerDomain = 2, .executorsPerDomain = 1, .configuration = configuration });
    const auto services
        = fleet.submit(0, R"({"queue":"nightly","kind":"service","tasks":11,"payload":"{\"run_ms\":0}"})",
            agentsKey, "services");
    waitFor("the services run", [&] { return runningTasks(fleet) == 11; });

    std::string lowered = configuration;
    lowered.replace(lowered.rfind("upper_limit = 12"), 16, "upper_limit = 10");
    std::optional<HttpResponse> answer;
    std::thread applying([&] {
        answer = fleet.applyConfiguration(0, lowered);
        if (!answer || answer->status != 200)
            std::cerr << "configuration change refused: " << (answer ? answer->body : "no response") << "\n";
    });
    waitFor("the lower limit is shown as the target", [&] { return teamField(fleet, 0, "target") == 10; });
    CHECK(teamField(fleet, 0, "limit") > 10);
    const auto cancelled
        = httpCall(fleet.entry(0).callerAddress, httpPost("/v1/jobs/" + services + "/cancel", "", agentsKey));
    applying.join();
    REQUIRE(cancelled);
    waitFor("the lowered limit is in force", [&] { return teamField(fleet, 0, "limit") == 10; });
    waitFor("the configuration with the lowered limit is accepted", [&] {
        const auto now = httpCall(fleet.entry(1).callerAddress, httpGet("/v1/config", operatorKey));
        return now && now->body.find("\"upper_limit\":10") != std::string::npos;
    });
}
