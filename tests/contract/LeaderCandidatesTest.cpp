#include "edge/LeaderCandidates.h"

#include <doctest/doctest.h>
#include <optional>

using namespace quay;
using namespace quay::edge;

TEST_CASE("a node is weak only beside a clearly stronger one")
{
    struct Row {
        double own;
        double largest;
        bool isClearlySmaller;
    };
    for (const auto& row : { Row { 0.25, 0.25, false }, Row { 0.25, 0.3, false }, Row { 0.12, 0.5, true },
             Row { 0, 0, false }, Row { 0, 0.5, true }, Row { 0.5, 0.12, false } }) {
        CAPTURE(row.own);
        CAPTURE(row.largest);
        CHECK(isClearlySmaller(row.own, row.largest) == row.isClearlySmaller);
    }
}

TEST_CASE("the leadership goes to a stronger node only while that one has been fit for some seconds")
{
    struct Row {
        const char* name;
        double own;
        Duration probedFor;
        std::optional<Duration> ineligibleAt; // it named no share then
        Duration silentFor;
        bool expectHandover;
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
        LeaderCandidates candidates;
        Instant now { 100s };
        for (Duration at {}; at <= row.probedFor; at += 300ms)
            candidates.recordProbe("other",
                row.ineligibleAt && at > *row.ineligibleAt - 300ms && at <= *row.ineligibleAt ? 0 : 0.5,
                now + at);
        now += row.probedFor + row.silentFor;
        CHECK(candidates.hasClearlyLarger(row.own, now) == row.expectHandover);
        CHECK(candidates.largestRecentShare(now) == (row.silentFor > 1500ms ? 0 : 0.5));
    }
}
