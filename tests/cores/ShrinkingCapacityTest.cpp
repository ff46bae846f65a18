#include "FleetSimulation.h"

#include <doctest/doctest.h>

// Executors whose capacity shrinks and grows again while they run tasks.
using namespace quay;
using namespace quay::fleet;
using namespace quay::fleet::test;

TEST_CASE("a capacity that shrinks after the placement: the start is not sent until there is room again")
{
    struct Row {
        const char* name;
        bool isSentBefore; // a start was sent before, which had no answer
        std::size_t startsWhileSmall;
        std::size_t stopsWhileSmall;
    };
    const Row rows[] = {
        { "before the start is sent", false, 0, 0 },
        { "while a start is unanswered", true, 1, 1 },
    };
    for (const auto& row : rows) {
        CAPTURE(std::string(row.name));
        Instant now { 100s };
        FleetScheduler scheduler({}, now, now);
        FleetConfiguration configuration;
        configuration.queues = { { "q", "h", "/", "service", 0, 3, 1, 300, true, {} } };
        scheduler.configure(configuration);
        ExecutorEntry entry;
        entry.id = "e";
        entry.startedUnixMs = 1000;
        entry.service = "service";
        entry.address = "a:1";
        entry.capacity = { 1000, 1000, 0 };
        scheduler.executorRegistered(entry, now);
        std::vector<StartAction> starts;
        std::vector<StopAction> stops;
        const auto pump = [&] {
            now += 10ms;
            SchedulerActions actions;
            scheduler.pump(now, 0, actions);
            if (actions.commit)
                scheduler.committed(actions.commit->number, now, now);
            starts.insert(starts.end(), actions.starts.begin(), actions.starts.end());
            for (const auto& it : actions.stops) {
                stops.push_back(it);
                scheduler.stopAnswered(it.incarnation, it.task, it.run, OrderResult::Ok, now);
            }
            for (const auto& it : actions.heartbeats)
                scheduler.heartbeatAnswered(it.incarnation, OrderResult::Ok,
                    ExecutorReport { toMilliseconds(now.time_since_epoch()), 1000, {}, {} }, now, now);
        };
        const auto resize = [&](std::int64_t cpuMilli) {
            entry.capacity.cpuMilli = cpuMilli;
            scheduler.executorRegistered(entry, now);
        };
        pump();
        scheduler.submit(jobOf("00000000000000aa", 1), now);
        pump(); // places the task and commits its record
        if (row.isSentBefore) {
            pump();
            REQUIRE(starts.size() == 1);
            scheduler.startAnswered(starts[0].incarnation, starts[0].task, 1, OrderResult::NoAnswer, now);
        }
        resize(500);
        for (int i = 0; i < 20; ++i)
            pump();
        CHECK(starts.size() == row.startsWhileSmall);
        CHECK(stops.size() == row.stopsWhileSmall);
        resize(1000);
        for (int i = 0; i < 20; ++i)
            pump();
        CHECK(starts.size() == row.startsWhileSmall + 1);
    }
}
