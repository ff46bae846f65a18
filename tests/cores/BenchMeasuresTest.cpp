#include "quay-bench/Histogram.h"
#include "quay-bench/Sharing.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>

using namespace quay;
using namespace quay::bench;

namespace {

constexpr std::int64_t second = 1'000'000;

TaskRun taskRun(const char* team, const char* worker, std::int64_t start, std::int64_t end, std::int64_t cpu)
{
    TaskRun run;
    run.team = team;
    run.worker = worker;
    run.task = std::string(team) + "-job/0";
    run.size = { cpu, 0, 0 };
    run.startUs = start;
    run.endUs = end;
    run.why = "done";
    return run;
}

} // namespace

TEST_CASE("bench: percentiles of known values")
{
    struct Row {
        const char* name;
        std::vector<std::int64_t> values;
        double percent;
        std::int64_t expected;
    };
    std::vector<std::int64_t> toHundred;
    for (int i = 1; i <= 100; ++i)
        toHundred.push_back(i);
    const std::vector<Row> rows { { "none", {}, 99, 0 }, { "one", { 42 }, 50, 42 },
        { "median", { 1, 2, 3, 4, 5 }, 50, 3 }, { "top of two", { 10, 20 }, 99, 20 },
        { "99 of 100", toHundred, 99, 99 }, { "99.9 of 100", toHundred, 99.9, 100 },
        { "negative counts as none", { -5 }, 50, 0 },
        { "one stall", { 10, 10, 10, 5'000'000 }, 99, 5'000'000 } };
    for (const auto& row : rows) {
        CAPTURE(row.name);
        Histogram histogram;
        for (const auto value : row.values)
            histogram.add(value);
        CHECK(histogram.percentile(row.percent) == row.expected);
        CHECK(histogram.count() == row.values.size());
    }
}

TEST_CASE("bench: a percentile is at most 1/32 above the exact one and never below it")
{
    std::mt19937_64 random(5);
    std::lognormal_distribution<double> distribution(8, 2);
    Histogram histogram;
    std::vector<std::int64_t> values;
    for (int i = 0; i < 20'000; ++i) {
        values.push_back(static_cast<std::int64_t>(distribution(random)));
        histogram.add(values.back());
    }
    std::sort(values.begin(), values.end());
    for (const double percent : { 10.0, 50.0, 90.0, 99.0, 99.9 }) {
        CAPTURE(percent);
        const auto exact = values[static_cast<std::size_t>(std::ceil(20'000 * percent / 100)) - 1];
        CHECK(histogram.percentile(percent) >= exact);
        CHECK(histogram.percentile(percent) <= exact + exact / 32 + 1);
    }
}

TEST_CASE("bench: weighted max-min shares")
{
    struct Row {
        const char* name;
        double total;
        std::vector<double> weights;
        std::vector<double> demands;
        std::vector<double> expected;
    };
    const std::vector<Row> rows { { "all hungry", 1, { 3, 1 }, { 9, 9 }, { 0.75, 0.25 } },
        { "what one leaves goes to the other", 1, { 1, 1 }, { 0.2, 2 }, { 0.2, 0.8 } },
        { "it goes by weight", 1, { 2, 1, 1 }, { 0.1, 9, 9 }, { 0.1, 0.45, 0.45 } },
        { "enough for all", 1, { 1, 5 }, { 0.3, 0.2 }, { 0.3, 0.2 } },
        { "no demand", 1, { 1, 1 }, { 0, 0.4 }, { 0, 0.4 } },
        { "nothing to divide", 0, { 1, 1 }, { 1, 1 }, { 0, 0 } } };
    for (const auto& row : rows) {
        CAPTURE(row.name);
        const auto shares = maxMinShares(row.total, row.weights, row.demands);
        REQUIRE(shares.size() == row.expected.size());
        for (std::size_t i = 0; i < shares.size(); ++i)
            CHECK(shares[i] == doctest::Approx(row.expected[i]));
    }
}

TEST_CASE("bench: share error of given divisions")
{
    struct Row {
        const char* name;
        std::int64_t cpuA;
        std::int64_t cpuB;
        std::uint32_t wantedB; // tasks of the same size as its running one
        double expected;
    };
    // Weights 3 and 1 on 1000 thousandths of a core; A wants everything.
    const std::vector<Row> rows { { "as declared", 750, 250, 9, 0 }, { "all to A", 1000, 0, 9, 0.25 },
        { "turned round", 250, 750, 9, 0.5 }, { "B wants little", 900, 100, 1, 0 } };
    for (const auto& row : rows) {
        CAPTURE(row.name);
        std::vector<TaskRun> runs { taskRun("a", "w0", 0, 0, row.cpuA) };
        if (row.cpuB)
            runs.push_back(taskRun("b", "w0", 0, 0, row.cpuB));
        const std::vector<Demand> demands { { "a-job", "a", 0, 9, { 1000, 0, 0 } },
            { "b-job", "b", 0, row.wantedB, { row.cpuB ? row.cpuB : 1000, 0, 0 } } };
        const auto error
            = shareError(runs, demands, { { "a", 3 }, { "b", 1 } }, { 1000, 0, 0 }, { 0, second });
        CHECK(error.mean == doctest::Approx(row.expected));
        CHECK(error.max == doctest::Approx(row.expected));
    }
}

TEST_CASE("bench: packing of a known ledger")
{
    const std::vector<TaskRun> runs { taskRun("a", "w0", 0, 0, 1000), taskRun("b", "w0", 0, second / 2, 500),
        taskRun("b", "w1", 0, second / 2, 500) };
    const auto result = packing(runs, { 2000, 0, 0 }, 4, { 0, second });
    CHECK(result.capacityInUse == doctest::Approx((0.25 + 0.125) / 2));
    CHECK(result.workersInUse == doctest::Approx(1.5));
    CHECK(result.inUseOnThem == doctest::Approx(0.5));
}
