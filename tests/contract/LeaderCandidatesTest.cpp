#include "edge/LeaderCandidates.h"

#include <doctest/doctest.h>
#include <optional>

using namespace quay;
using namespace quay::edge;

TEST_CASE("a processor share is clearly smaller only below a ratio of the largest share")
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

TEST_CASE(
    "leader refused by the store: it asks eligible nodes of about the largest share, the last heard of first")
{
    LeaderCandidates candidates;
    const Instant now { 100s };
    CHECK(candidates.successors(now).empty());
    candidates.recordProbe("old", "old:1", 0.5, now - 1600ms);
    candidates.recordProbe("small", "small:1", 0.12, now);
    candidates.recordProbe("first", "first:1", 0.5, now - 400ms);
    candidates.recordProbe("refused too", "refused:1", 0, now - 10ms);
    candidates.recordProbe("last", "last:1", 0.45, now - 20ms);
    CHECK(candidates.successors(now) == std::vector<std::string> { "last:1", "first:1" });
    CHECK(candidates.successors(now + 1490ms) == std::vector<std::string> { "small:1" });
}

TEST_CASE("a candidate with a clearly larger share counts only after it has been eligible for some seconds")
{
    struct Row {
        const char* name;
        double own;
        Duration probedFor;
        std::optional<Duration> ineligibleAt; // when it reported a share of 0
        Duration withoutProbesFor;
        bool expectHandover;
    };
    const Row rows[] = {
        { "eligible for a long time", 0.12, 5s, {}, 0ms, true },
        { "started recently", 0.12, 1s, {}, 0ms, false },
        { "ineligible a moment ago", 0.12, 5s, 4s, 0ms, false },
        { "no probes since", 0.12, 5s, {}, 2s, false },
        { "only slightly larger", 0.45, 5s, {}, 0ms, false },
    };
    for (const auto& row : rows) {
        CAPTURE(std::string(row.name));
        LeaderCandidates candidates;
        Instant now { 100s };
        for (Duration at {}; at <= row.probedFor; at += 300ms)
            candidates.recordProbe("other", "a:1",
                row.ineligibleAt && at > *row.ineligibleAt - 300ms && at <= *row.ineligibleAt ? 0 : 0.5,
                now + at);
        now += row.probedFor + row.withoutProbesFor;
        CHECK(candidates.hasClearlyLarger(row.own, now) == row.expectHandover);
        CHECK(candidates.largestRecentShare(now) == (row.withoutProbesFor > 1500ms ? 0 : 0.5));
    }
}
