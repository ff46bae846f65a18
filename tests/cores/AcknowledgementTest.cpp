#include "HandFleet.h"

#include <cstdio>

// Acknowledgements of ends beside starts, whose outcome they wait for.
using namespace quay;
using namespace quay::fleet;
using namespace quay::fleet::test;

namespace {

const std::string job = "00000000000000aa";
const std::string otherJob = "00000000000000bb";

// An executor with room for many tasks, on which the first of them has ended.
struct EndedFleet : HandFleet {
    explicit EndedFleet(int tasks = 1)
    {
        entry.capacity = { 1'000'000, 1'000'000, 0 };
        scheduler.executorRegistered(entry, now);
        pump();
        answerAll(1000);
        scheduler.submit(jobOf(job, tasks), now);
        pumpUntilStarted(tasks);
        for (int i = 0; i < tasks; ++i) {
            acceptStart(i);
            ends.push_back({ i + 1, starts[i].task, 1, RunOutcome::Done, {} });
        }
    }

    // The highest end that a heartbeat without an answer acknowledges.
    std::int64_t acknowledged() const
    {
        std::int64_t highest = 0;
        for (const auto& it : heartbeats)
            highest = std::max(highest, it.acknowledgedEnd);
        return highest;
    }

    std::vector<EndedTask> ends;
};

} // namespace

TEST_CASE("starts are in flight all the time: ends are acknowledged within a second")
{
    struct Row {
        const char* name;
        OrderResult answer;
        Duration answerAfter;
        int newJobEvery; // in steps of 5 ms; 0: there is one
    };
    const Row rows[] = {
        { "one start that never gets an answer", OrderResult::NoAnswer, 300ms, 0 },
        { "a new one before the last is answered", OrderResult::Ok, 30ms, 4 },
    };
    for (const auto& row : rows) {
        CAPTURE(std::string(row.name));
        EndedFleet fleet;
        fleet.scheduler.submit(jobOf(otherJob, 1), fleet.now);
        fleet.pumpUntilStarted(2);
        fleet.pump();
        fleet.answerAll(1000, {}, fleet.ends);
        const auto reportedAt = fleet.now;
        std::vector<std::pair<std::size_t, Instant>> open;
        std::size_t seen = 1;
        int jobs = 0;
        for (int i = 0; i < 2000 && fleet.acknowledged() == 0; ++i) {
            fleet.answerAll(1000, {}, fleet.ends);
            if (row.newJobEvery > 0 && i % row.newJobEvery == 0) {
                char id[17];
                std::snprintf(id, sizeof id, "%016x", 1000 + jobs++);
                fleet.scheduler.submit(jobOf(id, 1), fleet.now);
            }
            fleet.pump(5ms);
            for (; seen < fleet.starts.size(); ++seen)
                open.emplace_back(seen, fleet.now + row.answerAfter);
            std::erase_if(open, [&](const auto& it) {
                if (it.second > fleet.now)
                    return false;
                const auto& start = fleet.starts[it.first];
                fleet.scheduler.startAnswered(start.incarnation, start.task, start.run,
                    { row.answer, toMilliseconds(fleet.now.time_since_epoch()) }, fleet.now);
                return true;
            });
        }
        CHECK(fleet.acknowledged() == 1);
        CHECK(fleet.now - reportedAt <= 1s);
    }
}

TEST_CASE("a truncated report omits the end of a start without an answer: its ends are acknowledged")
{
    EndedFleet fleet(500);
    fleet.scheduler.submit(jobOf(otherJob, 1), fleet.now);
    fleet.pumpUntilStarted(501);
    const auto lost = fleet.starts[500]; // carried out; its end is the 501st
    fleet.scheduler.startAnswered(lost.incarnation, lost.task, 1, OrderResult::NoAnswer, fleet.now);
    std::size_t starts = 501;
    std::size_t stops = 0;
    for (int i = 0; i < 100 && fleet.acknowledged() == 0; ++i) {
        fleet.answerAll(1000, {}, fleet.ends);
        fleet.pump(50ms);
        for (; starts < fleet.starts.size(); ++starts)
            fleet.scheduler.startAnswered(
                lost.incarnation, lost.task, fleet.starts[starts].run, OrderResult::Outdated, fleet.now);
        for (; stops < fleet.stops.size(); ++stops)
            fleet.scheduler.stopAnswered(
                lost.incarnation, lost.task, fleet.stops[stops].run, OrderResult::Ok, fleet.now);
    }
    CHECK(fleet.acknowledged() == 500);
}

// Guards against TWICE: an acknowledgement was sent beside a start in flight whose run was to be stopped.
TEST_CASE("a start is in flight and its run is to be stopped: no end is acknowledged beside it")
{
    EndedFleet fleet;
    fleet.pump();
    fleet.answerAll(1000, {}, fleet.ends);
    fleet.scheduler.submit(jobOf(otherJob, 1), fleet.now);
    for (int i = 0; i < 5 && fleet.starts.size() < 2; ++i)
        fleet.pump(5ms);
    REQUIRE(fleet.starts.size() == 2);
    fleet.heartbeats.clear();
    fleet.scheduler.cancel(otherJob, fleet.now);
    fleet.pump(20ms);
    fleet.pump(80ms);
    CHECK(fleet.acknowledged() == 0);
}
