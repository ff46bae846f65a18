#include "quay/core/OutlierEjection.h"

#include <doctest/doctest.h>
#include <string>

using namespace quay;

namespace {

OutlierState makeTrackedServers(int n)
{
    std::vector<ServerId> ids;
    ids.reserve(static_cast<std::size_t>(n));
    for (int i = 0; i < n; ++i)
        ids.emplace_back("s" + std::to_string(i));
    OutlierState state;
    setTrackedServers(state, ids);
    return state;
}

void record(OutlierState& state, int server, int successes, int failures)
{
    for (int i = 0; i < successes; ++i)
        recordOutcome(state, ServerId { "s" + std::to_string(server) }, true);
    for (int i = 0; i < failures; ++i)
        recordOutcome(state, ServerId { "s" + std::to_string(server) }, false);
}

} // namespace

TEST_CASE("servers with a high failure rate relative to the fleet are ejected, up to the maximum percentage")
{
    struct Row {
        const char* name;
        int broken; // of ten servers
        int brokenFailures, othersFailures; // of ten outcomes each
        std::size_t ejected;
    };
    const Row rows[] = {
        { "no failures", 0, 0, 0, 0 },
        { "one fails all requests", 1, 10, 0, 1 },
        { "one is slightly worse", 1, 2, 0, 0 },
        { "the whole fleet fails", 0, 0, 8, 0 },
        { "half fail all requests", 5, 10, 0, 5 },
        { "more than half: limited to 50 %", 6, 10, 0, 5 },
    };
    for (const Row& row : rows) {
        CAPTURE(std::string(row.name));
        OutlierState state = makeTrackedServers(10);
        for (int i = 0; i < 10; ++i) {
            const int failures = i < row.broken ? row.brokenFailures : row.othersFailures;
            record(state, i, 10 - failures, failures);
        }
        CHECK(checkOutliers(state, Instant {}).size() == row.ejected);
    }
}

TEST_CASE("a server with few requests is ejected after consecutive failures")
{
    struct Row {
        const char* name;
        int failing; // of six servers
        int failures; // one every ten seconds, so that samples decay between them
        bool succeedsBetween;
        std::size_t ejected;
    };
    const Row rows[] = {
        { "two failures", 1, 2, false, 0 },
        { "three failures", 1, 3, false, 1 },
        { "three failures with successes between", 1, 3, true, 0 },
        { "a third of the fleet", 2, 3, false, 2 },
        { "half of the fleet: caused by the requests", 3, 3, false, 0 },
    };
    for (const auto& row : rows) {
        CAPTURE(row.name);
        auto state = makeTrackedServers(6);
        Instant now {};
        for (int i = 0; i < row.failures; ++i) {
            for (int server = 0; server < row.failing; ++server)
                record(state, server, row.succeedsBetween ? 1 : 0, 1);
            for (int second = 0; second < 10 && i + 1 < row.failures; ++second)
                checkOutliers(state, now += 1s);
        }
        CHECK(checkOutliers(state, now += 1s).size() == row.ejected);
    }
}

TEST_CASE("probation needs fewer samples, and each further ejection lasts twice as long")
{
    OutlierState state = makeTrackedServers(4);
    for (int i = 1; i < 4; ++i)
        record(state, i, 20, 0);
    record(state, 0, 0, 10);
    Instant now {};
    const ServerId broken { "s0" };
    for (Duration length = 5s; length <= 80s; length *= 2) {
        REQUIRE(checkOutliers(state, now) == std::vector<HealthChange> { { broken, HealthState::Ejected } });
        CHECK(checkOutliers(state, now + length - 1ms).empty());
        now += length;
        REQUIRE(
            checkOutliers(state, now) == std::vector<HealthChange> { { broken, HealthState::Probation } });
        record(state, 0, 0, 4);
    }
    state.servers.at(broken).samples = 0;
    state.servers.at(broken).failures = 0;
    record(state, 0, 10, 0);
    CHECK(checkOutliers(state, now).empty());
    CHECK(state.servers.at(broken).state == HealthState::Healthy);
    CHECK(state.servers.at(broken).ejections == 0);
}
