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
    const std::string& why = "done")
{
    TaskRun run;
    run.task = task;
    run.worker = worker;
    run.team = "clinic";
    run.size = { 1000, 1024, 0 };
    run.startUs = start;
    run.endUs = end;
    run.why = why;
    return run;
}

// Ledgers without a violation: concurrent tasks of two jobs, a task that runs again after it was stopped, and
// interactive requests.
struct Scene {
    Ledgers ledgers;
    CallerView callers;
};

Scene goodScene()
{
    Scene scene;
    scene.ledgers.runs = { taskRun("j1/0", "w0", 0, 10 * ms), taskRun("j1/1", "w0", 0, 10 * ms),
        taskRun("j2/0", "w1", 5 * ms, 8 * ms, "stopped"), taskRun("j2/0", "w0", 10 * ms, 20 * ms) };
    scene.ledgers.executors = { { "x0", 2, 0, { { "r1", 1 }, { "r2", 1 } }, { { "clinic", 2 } } },
        { "x1", 1, 0, { { "r2", 1 } }, { { "clinic", 1 } } } };
    scene.callers.upperLimits = { { "clinic", 3 } };
    scene.callers.onceRequests = { "r1" };
    scene.callers.onceJobs = { "j1", "j2" };
    scene.callers.notRunRequests = { { "r9", "queue_full" } };
    return scene;
}

} // namespace

TEST_CASE("bench: the checks accept a correct ledger and find each injected violation")
{
    struct Row {
        const char* name;
        std::function<void(Scene&)> plant;
        const char* expected; // part of the only reported line; empty: no line
    };
    const std::vector<Row> rows { { "right", [](Scene&) {}, "" },
        { "worker refused for capacity", [](Scene& s) { s.ledgers.refusedForCapacity["w0"] = 2; },
            "can't hold" },
        { "worker over its capacity",
            [](Scene& s) {
                s.ledgers.runs[0].size = { 3500, 0, 0 };
            },
            "more than its capacity" },
        { "same task on two workers", [](Scene& s) { s.ledgers.runs[2].endUs = 11 * ms; },
            "two places at once" },
        { "same task still running elsewhere", [](Scene& s) { s.ledgers.runs[2].endUs = 0; },
            "two places at once" },
        { "non-idempotent task again after its lease expired",
            [](Scene& s) { s.ledgers.runs[2].why = "lease lapsed"; }, "ran again" },
        { "non-idempotent task again after success", [](Scene& s) { s.ledgers.runs[2].why = "done"; },
            "ran again" },
        { "idempotent task again",
            [](Scene& s) {
                s.ledgers.runs[2].why = "lease lapsed";
                s.callers.onceJobs.clear();
            },
            "" },
        { "team over its limit", [](Scene& s) { s.callers.upperLimits["clinic"] = 2; }, "its limit is 2" },
        { "team over its limit at one executor",
            [](Scene& s) { s.ledgers.executors[0].maxBusyByTeam["clinic"] = 4; }, "at executor x0" },
        { "slots", [](Scene& s) { s.ledgers.executors[1].slotViolations = 1; }, "beyond its slots" },
        { "non-idempotent request on two executors",
            [](Scene& s) { s.ledgers.executors[1].runsByRequest["r1"] = 1; }, "ran 2 times" },
        { "refused with not run and ran", [](Scene& s) { s.callers.notRunRequests["r2"] = "queue_full"; },
            "refused with 'not run' (queue_full)" },
        { "another's answer", [](Scene& s) { s.callers.wrongAnswers.push_back("r1 got 'echo:r2'"); },
            "wrong answer" } };
    for (const auto& row : rows) {
        CAPTURE(row.name);
        auto scene = goodScene();
        row.plant(scene);
        const auto found = violations(scene.ledgers, scene.callers, workerSize);
        const std::string wanted = row.expected;
        REQUIRE(found.size() == (wanted.empty() ? 0 : 1));
        if (!wanted.empty())
            CHECK(found.front().find(wanted) != std::string::npos);
    }
}

TEST_CASE("bench: ledgers are read as the stand-ins write them")
{
    Ledgers ledgers;
    Reason reason;
    CHECK(addWorkerLedger(ledgers,
        R"({"id":"w0","capacity_violations":1,"entries":[{"task":"j/0","attempt":2,"epoch":3,"team":"t",
        "cpu_milli":5,"memory_mb":6,"accelerators":7,"start_us":8,"end_us":9,"succeeded":true,"why":"done"}]})",
        reason));
    REQUIRE(ledgers.runs.size() == 1);
    CHECK(ledgers.runs[0] == TaskRun { "w0", "j/0", 2, "t", { 5, 6, 7 }, 8, 9, "done" });
    CHECK(ledgers.refusedForCapacity["w0"] == 1);
    CHECK(addExecutorLedger(ledgers,
        R"({"id":"x0","served":3,"max_busy":2,"slot_violations":1,"runs_by_request":{"r":2},
        "max_busy_by_team":{"t":1}})",
        reason));
    CHECK(ledgers.executors.front() == ExecutorCounts { "x0", 3, 1, { { "r", 2 } }, { { "t", 1 } } });
    CHECK_FALSE(addWorkerLedger(ledgers, "{}", reason));
    CHECK_FALSE(addExecutorLedger(ledgers, "no JSON", reason));
    CHECK(reason.kind == ErrorKind::MalformedRequest);
}

TEST_CASE("bench: experiments are read strictly")
{
    struct Row {
        const char* text;
        std::vector<std::string> overrides;
        const char* detail; // part of the error; empty: it is right
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

TEST_CASE("bench: an override reaches into arrays, and the configuration holds keys for all")
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
