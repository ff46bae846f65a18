#include "edge/NodeStrength.h"

#include <doctest/doctest.h>
#include <optional>

using namespace quay;
using namespace quay::edge;

TEST_CASE("a node is weak only beside a clearly stronger one")
{
    struct Row {
        double own;
        double strongest;
        bool isWeak;
    };
    for (const auto& row : { Row { 0.25, 0.25, false }, Row { 0.25, 0.3, false }, Row { 0.12, 0.5, true },
             Row { 0, 0, false }, Row { 0, 0.5, true }, Row { 0.5, 0.12, false } }) {
        CAPTURE(row.own);
        CAPTURE(row.strongest);
        CHECK(isWeak(row.own, row.strongest) == row.isWeak);
    }
}

TEST_CASE("the leadership goes to a stronger node only while that one has been fit for some seconds")
{
    struct Row {
        const char* name;
        double own;
        Duration fitFor;
        std::optional<Duration> unfitAt; // it named no share then
        Duration silentFor;
        bool goes;
    };
    const Row rows[] = {
        { "fit for long", 0.12, 5s, {}, 0ms, true },
        { "just arrived", 0.12, 1s, {}, 0ms, false },
        { "not reaching the store a moment ago", 0.12, 5s, 4s, 0ms, false },
        { "silent since", 0.12, 5s, {}, 2s, false },
        { "hardly stronger", 0.45, 5s, {}, 0ms, false },
    };
    for (const auto& row : rows) {
        CAPTURE(std::string(row.name));
        NodeStrengths strengths;
        Instant now { 100s };
        for (Duration at {}; at <= row.fitFor; at += 300ms)
            strengths.heard(
                "other", row.unfitAt && at > *row.unfitAt - 300ms && at <= *row.unfitAt ? 0 : 0.5, now + at);
        now += row.fitFor + row.silentFor;
        CHECK(strengths.hasStronger(row.own, now) == row.goes);
        CHECK(strengths.strongest(now) == (row.silentFor > 1500ms ? 0 : 0.5));
    }
}
