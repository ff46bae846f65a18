#include "edge/CommitAttempts.h"

#include <doctest/doctest.h>
#include <vector>

using namespace quay;
using namespace quay::edge;

// Guards against TWICE: a leader whose commit was executed, but not answered, renewed leases for four seconds
// from its repetition, longer than its successor waits for them.
TEST_CASE(
    "a commit was repeated: the time of its execution counts from the first attempt that it may have been")
{
    const Instant begin { 100s };
    struct Row {
        std::vector<Duration> sentAfter;
        bool isLast;
        Duration expected;
    };
    const Row rows[] = {
        { { 0ms }, true, 0ms },
        { { 0ms }, false, 0ms },
        { { 0ms, 560ms, 1620ms }, true, 1620ms },
        { { 0ms, 560ms, 1620ms, 3300ms }, false, 0ms },
    };
    for (const auto& row : rows) {
        CommitAttempts attempts;
        for (const auto after : row.sentAfter)
            attempts.send(begin + after);
        CHECK(attempts.executedAfter(row.isLast) == begin + row.expected);
    }
}
