#include "quay-bench/Result.h"

#include <doctest/doctest.h>

using namespace quay;
using namespace quay::bench;

namespace {

constexpr std::int64_t second = 1'000'000;

Experiment oneTeam()
{
    Experiment experiment;
    experiment.name = "planted <run>";
    experiment.fleet.domains = 1;
    experiment.fleet.workersPerDomain = 1;
    experiment.fleet.worker = { 4000, 4096, 0 };
    experiment.teams["clinic"] = { 1, 10, 10 };
    LoadSpec load;
    load.name = "reconciles";
    load.team = "clinic";
    load.kind = LoadKind::Batch;
    load.tasks = 2;
    experiment.loads.push_back(load);
    return experiment;
}

// One job of two tasks that arrives at second 2: the first task starts 0.5 s later, the second never starts.
Observation oneJob()
{
    Observation observation;
    observation.window = { 0, 10 * second };
    observation.before.entries["v1"] = { 7, 1.0, 20 };
    observation.after.entries["v1"] = { 7, 1.5, 21 };
    observation.after.storeTransactions = 50;
    observation.leads["d1"] = "v1";
    TaskRun run;
    run.worker = "w0";
    run.task = "j1/0";
    run.team = "clinic";
    run.size = { 1000, 512, 0 };
    run.startUs = 2 * second + second / 2;
    run.endReason = "done";
    observation.ledgers.runs.push_back(run);
    LoadOutcome outcome;
    outcome.arrivals = 1;
    outcome.answered = 1;
    outcome.waitsBySecond.resize(11);
    outcome.jobs.push_back({ "j1", "clinic", 2 * second, 2, { 1000, 512, 0 } });
    observation.loads.push_back(outcome);
    observation.callers.upperLimits["clinic"] = 10;
    return observation;
}

} // namespace

TEST_CASE("bench: a task that never started counts with its waiting time")
{
    const auto result = makeResult(oneTeam(), oneJob());
    const auto& load = result.at("loads").at(0);
    CHECK(load.at("tasks_started").to_number<int>() == 1);
    CHECK(load.at("tasks_not_started").to_number<int>() == 1);
    CHECK(load.at("waiting").at("count").to_number<int>() == 2);
    CHECK(load.at("waiting").at("max_ms").to_number<double>() == doctest::Approx(8000));
}

TEST_CASE(
    "bench: CPU use is the difference over the window, and counts from process start for a restarted VM")
{
    struct Row {
        const char* name;
        pid_t pidAfter;
        double expected; // percent of a core over 10 s
    };
    const std::vector<Row> rows { { "same process", 7, 5 }, { "restarted", 8, 15 } };
    for (const auto& row : rows) {
        CAPTURE(row.name);
        auto observation = oneJob();
        observation.after.entries["v1"].pid = row.pidAfter;
        const auto result = makeResult(oneTeam(), observation);
        const auto& entry = result.at("control").at(0);
        CHECK(entry.at("cpu_percent_of_core").to_number<double>() == doctest::Approx(row.expected));
        CHECK(entry.at("leads").as_bool());
        CHECK(result.at("store").at("transactions_per_s").to_number<double>() == doctest::Approx(5));
    }
}

TEST_CASE("bench: table and page show the violations, and the page has no external resources")
{
    auto observation = oneJob();
    observation.ledgers.capacityRefusals["w0"] = 3;
    observation.faults.push_back({ 4, "kill d1-entry1" });
    const auto result = makeResult(oneTeam(), observation);
    CHECK(result.at("violations").as_array().size() == 1);
    const auto table = formatTable(result);
    const auto page = formatHtml(result);
    for (const auto* wanted : { "w0 was sent 3 starts", "kill d1-entry1", "reconciles" }) {
        CAPTURE(wanted);
        CHECK(table.find(wanted) != std::string::npos);
        CHECK(page.find(wanted) != std::string::npos);
    }
    CHECK(page.find("planted &lt;run>") != std::string::npos);
    CHECK(page.find("http") == std::string::npos);
    CHECK(page.find("src=") == std::string::npos);
}
