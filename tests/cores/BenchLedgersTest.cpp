#include "quay-bench/Experiment.h"
#include "quay-bench/Ledgers.h"

#include <doctest/doctest.h>
#include <functional>

using namespace quay;
using namespace quay::bench;

namespace {

constexpr std::int64_t ms = 1000;
const Resources workerSize { 4000, 8192, 1 };

TaskRun taskRun(const std::string& task, const std::string& worker, std::int64_t start, std::int64_t end,
    const std::string& endReason = "done")
{
    TaskRun run;
    run.task = task;
    run.worker = worker;
    run.team = "clinic";
    run.size = { 1000, 1024, 0 };
    run.startUs = start;
    run.endUs = end;
    run.endReason = endReason;
    return run;
}

// Input without violations: concurrent tasks, a task that ran again after it was stopped, a request that
// isn't idempotent and ran once (r1), and an idempotent one that ran on two executors (r2).
struct CheckInput {
    Ledgers ledgers;
    CallerRecord callers;
};

CheckInput inputWithoutViolations()
{
    CheckInput input;
    input.ledgers.runs = { taskRun("j1/0", "w0", 0, 10 * ms), taskRun("j1/1", "w0", 0, 10 * ms),
        taskRun("j2/0", "w1", 5 * ms, 8 * ms, "stopped"), taskRun("j2/0", "w0", 10 * ms, 20 * ms) };
    input.ledgers.executors = { { "x0", 2, 0, { { "r1", 1 }, { "r2", 1 } }, { { "clinic", 2 } } },
        { "x1", 1, 0, { { "r2", 1 } }, { { "clinic", 1 } } } };
    input.callers.upperLimits = { { "clinic", 3 } };
    input.callers.nonIdempotentRequests = { "r1" };
    input.callers.nonIdempotentJobs = { "j1", "j2" };
    input.callers.refusedRequests = { { "r9", "queue_full" } };
    return input;
}

} // namespace

TEST_CASE("bench: the checks accept a correct ledger and find each violation")
{
    struct Row {
        const char* name;
        std::function<void(CheckInput&)> injectViolation;
        const char* expected; // part of the only violation; empty: none
    };
    const std::vector<Row> rows { { "no violation", [](CheckInput&) {}, "" },
        { "worker refused for capacity", [](CheckInput& s) { s.ledgers.capacityRefusals["w0"] = 2; },
            "can't hold" },
        { "worker over its capacity",
            [](CheckInput& s) {
                s.ledgers.runs[0].size = { 3500, 0, 0 };
            },
            "more than its capacity" },
        { "same task on two workers", [](CheckInput& s) { s.ledgers.runs[2].endUs = 11 * ms; },
            "two places at once" },
        { "same task still running elsewhere", [](CheckInput& s) { s.ledgers.runs[2].endUs = 0; },
            "two places at once" },
        { "non-idempotent task again after its lease lapsed",
            [](CheckInput& s) { s.ledgers.runs[2].endReason = "lease lapsed"; }, "ran again" },
        { "non-idempotent task again after success",
            [](CheckInput& s) { s.ledgers.runs[2].endReason = "done"; }, "ran again" },
        { "idempotent task again",
            [](CheckInput& s) {
                s.ledgers.runs[2].endReason = "lease lapsed";
                s.callers.nonIdempotentJobs.clear();
            },
            "" },
        { "team over its limit", [](CheckInput& s) { s.callers.upperLimits["clinic"] = 2; },
            "its limit is 2" },
        { "team over its limit at a single executor",
            [](CheckInput& s) { s.ledgers.executors[0].maxBusyByTeam["clinic"] = 4; }, "at executor x0" },
        { "slots", [](CheckInput& s) { s.ledgers.executors[1].slotViolations = 1; }, "beyond its slots" },
        { "non-idempotent request on two executors",
            [](CheckInput& s) { s.ledgers.executors[1].runsByRequest["r1"] = 1; }, "ran 2 times" },
        { "refused with not run and ran",
            [](CheckInput& s) { s.callers.refusedRequests["r2"] = "queue_full"; },
            "refused with 'not run' (queue_full)" },
        { "response of another request",
            [](CheckInput& s) { s.callers.mismatchedAnswers.push_back("r1 got 'echo:r2'"); },
            "wrong answer" } };
    for (const auto& row : rows) {
        CAPTURE(row.name);
        auto input = inputWithoutViolations();
        row.injectViolation(input);
        const auto found = findViolations(input.ledgers, input.callers, workerSize);
        const std::string wanted = row.expected;
        REQUIRE(found.size() == (wanted.empty() ? 0 : 1));
        if (!wanted.empty())
            CHECK(found.front().find(wanted) != std::string::npos);
    }
}

TEST_CASE("bench: ledgers in the format of the stand-ins are parsed")
{
    Ledgers ledgers;
    Reason reason;
    CHECK(addWorkerLedger(ledgers,
        R"({"id":"w0","capacity_violations":1,"entries":[{"task":"j/0","attempt":2,"epoch":3,"team":"t",
        "cpu_milli":5,"memory_mb":6,"accelerators":7,"start_us":8,"end_us":9,"succeeded":true,"why":"done"}]})",
        reason));
    REQUIRE(ledgers.runs.size() == 1);
    CHECK(ledgers.runs[0] == TaskRun { "w0", "j/0", 2, "t", { 5, 6, 7 }, 8, 9, "done" });
    CHECK(ledgers.capacityRefusals["w0"] == 1);
    CHECK(addExecutorLedger(ledgers,
        R"({"id":"x0","served":3,"max_busy":2,"slot_violations":1,"runs_by_request":{"r":2},
        "max_busy_by_team":{"t":1}})",
        reason));
    CHECK(ledgers.executors.front() == ExecutorCounts { "x0", 3, 1, { { "r", 2 } }, { { "t", 1 } } });
    CHECK_FALSE(addWorkerLedger(ledgers, "{}", reason));
    CHECK_FALSE(addExecutorLedger(ledgers, "no JSON", reason));
    CHECK(reason.kind == ErrorKind::MalformedRequest);
}

TEST_CASE("bench: unknown fields and invalid values of an experiment are rejected")
{
    struct Row {
        const char* text;
        std::vector<std::string> overrides;
        const char* detail; // part of the error; empty: valid
    };
    const std::string team = "[teams.a]\nshare = 2\nupper_limit = 5\n";
    const std::vector<Row> rows { { "", {}, "" }, { "duration_s = 3", { "fleet.domains=3" }, "" },
        { "speed = 3", {}, "speed" }, { "[fleet]\ndomain = 3", {}, "fleet.domain" },
        { "[[load]]\nteam = 'a'\nkind = 'batch'", {}, "" },
        { "[[load]]\nteam = 'b'\nkind = 'batch'", {}, "no team" },
        { "[[load]]\nteam = 'a'\nkind = 'slow'", {}, "slow" },
        { "[[faults]]\nkind = 'kill'\nentry = 'd1-entry1'", {}, "" },
        { "[[faults]]\nkind = 'melt'", {}, "melt" }, { "", { "nothing" }, "PATH=VALUE" }, { "x =", {}, "" } };
    for (const auto& row : rows) {
        CAPTURE(row.text);
        Reason reason;
        const bool isSyntaxError = std::string(row.text) == "x =";
        const auto experiment = parseExperiment(std::string(row.text) + "\n" + team, row.overrides, reason);
        CHECK(experiment.has_value() == (std::string(row.detail).empty() && !isSyntaxError));
        if (!experiment)
            CHECK(reason.detail.find(row.detail) != std::string::npos);
    }
}

TEST_CASE("bench: an override sets array elements, and the configuration has keys for teams and the operator")
{
    Reason reason;
    const auto experiment
        = parseExperiment("[teams.a]\nshare = 2\n[[load]]\nteam = 'a'\nkind = 'gang'\nrate = 1",
            { "load.0.rate=500", "teams.a.upper_limit=7" }, reason);
    REQUIRE(experiment.has_value());
    CHECK(experiment->loads[0].rate == 500);
    CHECK(experiment->loads[0].name == "a gang");
    const auto configuration = configurationOf(*experiment);
    CHECK(configuration.teams.at(TeamId { "a" }).upperLimit == 7);
    CHECK(matchKey(configuration, teamKey("a"))->team == TeamId { "a" });
    CHECK(matchKey(configuration, operatorKey())->role == KeyRole::Operator);
}
