#include "LocalFleet.h"

#include "tableservice/ServerListCodec.h"

#include <csignal>
#include <doctest/doctest.h>

using namespace quay;
using namespace quay::test;

namespace {

constexpr auto idempotentJob
    = R"({"queue":"nightly","tasks":3,"idempotent":true,"cpu_milli":500,"payload":"{\"run_ms\":1500}"})";
constexpr auto nonIdempotentJob
    = R"({"queue":"nightly","tasks":3,"cpu_milli":500,"payload":"{\"run_ms\":1500}"})";
constexpr int jobsOfEachKind = 3;

struct SubmittedJob {
    std::string job;
    bool isIdempotent = false;
};

std::vector<SubmittedJob> submitJobs(LocalFleet& fleet, std::size_t entry, const std::string& prefix)
{
    std::vector<SubmittedJob> jobs;
    for (int i = 0; i < jobsOfEachKind; ++i) {
        const auto name = prefix + std::to_string(i);
        jobs.push_back({ fleet.submit(entry, idempotentJob, agentsKey, name + "-idempotent"), true });
        jobs.push_back({ fleet.submit(entry, nonIdempotentJob, agentsKey, name + "-single"), false });
    }
    return jobs;
}

std::map<std::string, int> startsByTask(const LocalFleet& fleet)
{
    std::map<std::string, int> starts;
    for (const auto& worker : fleet.workers()) {
        const auto ledger = fleet.ledger(worker);
        for (const auto& item : ledger.at("entries").as_array())
            ++starts[std::string(item.at("task").as_string())];
    }
    return starts;
}

bool belongsTo(const std::string& task, const std::string& job) { return task.starts_with(job); }

// Checks that no job was lost: all jobs end, idempotent ones succeed, and no task of the others ran twice.
void checkJobOutcomes(LocalFleet& fleet, std::size_t viewer, const std::vector<SubmittedJob>& jobs)
{
    for (const auto& submitted : jobs) {
        const std::string job = submitted.job;
        CAPTURE(job);
        waitFor("job " + job + " has ended", [&] {
            const auto state = fleet.jobState(viewer, job, agentsKey);
            return !state.empty() && state != "active";
        });
        if (submitted.isIdempotent)
            CHECK(fleet.jobState(viewer, job, agentsKey) == "succeeded");
    }
    for (const auto& [name, starts] : startsByTask(fleet)) {
        const std::string task = name;
        for (const auto& [job, isIdempotent] : jobs) {
            if (!isIdempotent && belongsTo(task, job))
                CHECK_MESSAGE(starts == 1, task);
        }
    }
    for (const auto& violation : fleet.violations())
        FAIL_CHECK(violation);
}

std::size_t otherEntry(std::size_t entry) { return entry == 0 ? 1 : 0; }

std::size_t leaderIndex(LocalFleet& fleet, std::size_t viewer)
{
    std::optional<std::size_t> leader;
    waitFor("the domain has a leader", [&] { return (leader = fleet.leaderOf("d1", viewer)).has_value(); });
    return *leader;
}

void waitForNewLeader(LocalFleet& fleet, std::size_t viewer, std::size_t oldLeader)
{
    waitFor("another entry VM is the leader", [&] {
        const auto leader = fleet.leaderOf("d1", viewer);
        return leader && *leader != oldLeader;
    });
}

std::size_t memberCount(LocalFleet& fleet, std::size_t viewer)
{
    const auto view = fleet.fleetView(viewer);
    return view.is_object() ? view.at("members").as_array().size() : 0;
}

void waitForMembers(LocalFleet& fleet, std::size_t viewer, std::size_t count)
{
    waitFor(std::to_string(count) + " members are in the roster",
        [&] { return memberCount(fleet, viewer) == count; });
}

} // namespace

TEST_CASE("SIGKILL of the leader: another entry VM takes over, no job is lost, no runs of a task overlap")
{
    LocalFleet fleet({ .entriesPerDomain = 3 });
    const auto leader = leaderIndex(fleet, 0);
    const auto viewer = otherEntry(leader);
    const auto jobs = submitJobs(fleet, viewer, "killed-");
    waitFor("tasks run", [&] { return !startsByTask(fleet).empty(); });
    fleet.sendSignal(leader, SIGKILL);
    waitForNewLeader(fleet, viewer, leader);
    checkJobOutcomes(fleet, viewer, jobs);

    fleet.restart(leader);
    waitForMembers(fleet, viewer, 3);
    checkJobOutcomes(fleet, leader, submitJobs(fleet, leader, "after-"));
}

TEST_CASE("a leader that was paused beyond its lease causes no violations and exits with code 3")
{
    LocalFleet fleet({ .entriesPerDomain = 3 });
    const auto leader = leaderIndex(fleet, 0);
    const auto viewer = otherEntry(leader);
    const auto jobs = submitJobs(fleet, viewer, "stopped-");
    waitFor("tasks run", [&] { return !startsByTask(fleet).empty(); });
    fleet.sendSignal(leader, SIGSTOP);
    waitForNewLeader(fleet, viewer, leader);
    fleet.sendSignal(leader, SIGCONT);
    CHECK(fleet.waitForExit(leader) == 3);
    checkJobOutcomes(fleet, viewer, jobs);

    fleet.restart(leader);
    waitForMembers(fleet, viewer, 3);
}

TEST_CASE("a draining leader hands over while its jobs run")
{
    LocalFleet fleet({ .entriesPerDomain = 2 });
    const auto leader = leaderIndex(fleet, 0);
    const auto viewer = otherEntry(leader);
    const auto jobs = submitJobs(fleet, viewer, "drained-");
    waitFor("tasks run", [&] { return !startsByTask(fleet).empty(); });
    fleet.sendSignal(leader, SIGTERM);
    CHECK(fleet.waitForExit(leader) == 0);
    waitForMembers(fleet, viewer, 1);
    checkJobOutcomes(fleet, viewer, jobs);
}

TEST_CASE("an entry VM that the VM list marks as leaving drains without a signal")
{
    LocalFleet fleet({});
    const auto leader = leaderIndex(fleet, 0);
    const auto viewer = otherEntry(leader);
    const auto& vm = fleet.entry(leader);
    const auto list = [&](bool leaving) {
        ServerInfo row;
        row.id = ServerId { vm.name };
        row.kind = ServerKind::Entry;
        row.domain = DomainId { vm.domain };
        row.address = vm.peerAddress;
        row.leaving = leaving;
        return httpCall(fleet.platformAddress(), httpPost("/v1/vms", encodeServer(row)));
    };
    const auto added = list(false);
    REQUIRE(added);
    REQUIRE_MESSAGE(added->status == 200, added->body);
    waitFor("the VM list shows the entry VM", [&] {
        const auto view = fleet.fleetView(leader);
        return view.is_object() && view.at("servers_by_domain").at("d1").as_int64() == 6;
    });
    REQUIRE(list(true));
    CHECK(fleet.waitForExit(leader) == 0);
    waitForNewLeader(fleet, viewer, leader);
    waitForMembers(fleet, viewer, 1);
}
