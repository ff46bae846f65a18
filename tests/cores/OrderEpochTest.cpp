#include "HandFleet.h"

// Epochs of the orders to an executor, which bar earlier orders that may still be carried out.
using namespace quay;
using namespace quay::fleet;
using namespace quay::fleet::test;

namespace {

const std::string job = "00000000000000aa";

// A fleet of one executor that has answered its first heartbeat, with the start of a task that was sent.
struct StartedFleet : HandFleet {
    StartedFleet()
    {
        scheduler.executorRegistered(entry, now);
        pump();
        answerAll(1000);
        scheduler.submit(jobOf(job, 1), now);
        pumpUntilStarted(1);
        task = starts[0].task;
    }

    void failStart(std::size_t index)
    {
        scheduler.startAnswered(starts.at(index).incarnation, task, 1, OrderResult::NoAnswer, now);
    }

    TaskRef task;
};

} // namespace

TEST_CASE("a fencing token rises with the term, and with the epoch within a term")
{
    struct Row {
        std::int64_t term;
        std::int64_t epoch;
    };
    const Row rising[] = { { 1, 0 }, { 1, 1 }, { 1, maxEpoch }, { 2, 0 }, { 2, 5 }, { 100'000'000, 0 } };
    for (std::size_t i = 1; i < std::size(rising); ++i)
        CHECK(fencingToken(rising[i - 1].term, rising[i - 1].epoch)
            < fencingToken(rising[i].term, rising[i].epoch));
    CHECK(fencingToken(1, maxEpoch + 7) == fencingToken(1, maxEpoch));
}

TEST_CASE("an order gets no answer: later orders to the executor have a higher epoch")
{
    struct Row {
        const char* name;
        void (*fail)(StartedFleet&);
    };
    const Row rows[] = {
        { "start", [](StartedFleet& fleet) { fleet.failStart(0); } },
        { "heartbeat", [](StartedFleet& fleet) { fleet.failAll(); } },
        { "stop",
            [](StartedFleet& fleet) {
                fleet.acceptStart(0);
                fleet.scheduler.cancel(job, fleet.now);
                fleet.pump();
                REQUIRE(fleet.hasStop(1));
                fleet.scheduler.stopAnswered(0, fleet.task, 1, OrderResult::NoAnswer, fleet.now);
            } },
    };
    for (const auto& row : rows) {
        CAPTURE(std::string(row.name));
        StartedFleet fleet;
        fleet.pump();
        row.fail(fleet);
        fleet.answerAll(1000);
        fleet.heartbeats.clear();
        fleet.pump(1s);
        REQUIRE(fleet.heartbeats.size() == 1);
        CHECK(fleet.heartbeats[0].epoch == 1);
    }
}

TEST_CASE("orders in flight are not answered: they raise the epoch once")
{
    StartedFleet fleet;
    fleet.pump();
    fleet.failStart(0);
    fleet.failAll();
    fleet.pump(1s);
    REQUIRE(fleet.heartbeats.size() == 1);
    CHECK(fleet.heartbeats[0].epoch == 1);
}

// Guards against runs that are given up before the lease of their executor has ended: a late heartbeat to the
// previous process prolonged the lease of the next one.
TEST_CASE("an executor starts again: it refuses late orders to its previous process once it has answered")
{
    struct Row {
        const char* name;
        void (*restart)(StartedFleet&);
    };
    const Row rows[] = {
        { "its registration tells",
            [](StartedFleet& fleet) {
                fleet.entry.startedUnixMs = 5000;
                fleet.scheduler.executorRegistered(fleet.entry, fleet.now);
            } },
        { "a heartbeat tells",
            [](StartedFleet& fleet) {
                fleet.pump(500ms);
                fleet.answerAll(5000);
            } },
        { "it was closed before",
            [](StartedFleet& fleet) {
                fleet.scheduler.executorDeregistered("e", fleet.now);
                for (int i = 0; i < 400; ++i) {
                    fleet.failAll();
                    fleet.pump(100ms);
                }
                fleet.failAll();
                fleet.entry.startedUnixMs = 50'000;
                fleet.scheduler.executorRegistered(fleet.entry, fleet.now);
            } },
    };
    for (const auto& row : rows) {
        CAPTURE(std::string(row.name));
        StartedFleet fleet;
        fleet.acceptStart(0);
        fleet.pump();
        REQUIRE(fleet.heartbeats.size() == 1);
        const auto late = fleet.heartbeats[0];
        REQUIRE(late.leaseUntilClockMs > 0);
        fleet.failAll(); // carries a deadline on the clock of the first process
        row.restart(fleet);
        fleet.heartbeats.clear();
        fleet.pump(500ms);
        REQUIRE(!fleet.heartbeats.empty());
        const auto& next = fleet.heartbeats.back();
        CHECK(next.incarnation != late.incarnation);
        CHECK(fencingToken(1, next.epoch) > fencingToken(1, late.epoch));
    }
}

// Guards against TWICE: the next process of an executor ran a late start, and a late acknowledgement to the
// previous process discarded the end of that run.
TEST_CASE("ends are not acknowledged until it is known that no later process has carried out a start")
{
    struct Row {
        const char* name;
        OrderResult result; // of the second start
        std::int64_t clockMs; // in its answer; 0: unknown; -1: that of the first process
        bool isAcknowledgedAtOnce;
    };
    const Row rows[] = {
        { "the same process", OrderResult::Ok, -1, true },
        { "a process with an earlier clock", OrderResult::Ok, 50, false },
        { "an answer without a clock", OrderResult::Ok, 0, false },
        { "no answer", OrderResult::NoAnswer, 0, false },
    };
    for (const auto& row : rows) {
        CAPTURE(std::string(row.name));
        StartedFleet fleet;
        fleet.acceptStart(0);
        fleet.pump();
        fleet.entry.capacity = { 2000, 2000, 0 };
        fleet.scheduler.executorRegistered(fleet.entry, fleet.now);
        const std::vector<EndedTask> ends { { 1, fleet.task, 1, RunOutcome::Done, {} } };
        fleet.answerAll(1000, {}, ends);
        fleet.scheduler.submit(jobOf("00000000000000bb", 1), fleet.now);
        for (int i = 0; i < 5 && fleet.starts.size() < 2; ++i)
            fleet.pump(5ms);
        REQUIRE(fleet.starts.size() == 2);
        for (const auto& it : fleet.heartbeats)
            CHECK(it.acknowledgedEnd == 0); // the start has no answer yet
        const auto second = fleet.starts[1];
        const auto clockMs = row.clockMs < 0 ? toMilliseconds(fleet.now.time_since_epoch()) : row.clockMs;
        fleet.scheduler.startAnswered(second.incarnation, second.task, 1, { row.result, clockMs }, fleet.now);
        fleet.answerAll(1000, {}, ends);
        fleet.pump(20ms);
        const bool isAcknowledged = !fleet.heartbeats.empty() && fleet.heartbeats[0].acknowledgedEnd == 1;
        CHECK(isAcknowledged == row.isAcknowledgedAtOnce);
        if (isAcknowledged)
            continue;
        for (int i = 0; i < 50 && (fleet.heartbeats.empty() || fleet.heartbeats[0].acknowledgedEnd == 0);
             ++i) {
            for (std::size_t k = 2; k < fleet.starts.size(); ++k)
                fleet.acceptStart(k);
            fleet.answerAll(1000, { { second.task, 1, {}, 10, 0 } }, ends);
            fleet.pump(50ms);
        }
        REQUIRE(fleet.heartbeats.size() == 1);
        CHECK(fleet.heartbeats[0].acknowledgedEnd == 1); // the process has answered since
    }
}

TEST_CASE("a start is sent beside an acknowledgement: it bars the acknowledgement")
{
    StartedFleet fleet;
    fleet.acceptStart(0);
    fleet.pump();
    fleet.answerAll(1000, {}, { { 1, fleet.task, 1, RunOutcome::Done, {} } });
    for (int i = 0; i < 5 && fleet.heartbeats.empty(); ++i)
        fleet.pump();
    REQUIRE(fleet.heartbeats.size() == 1);
    REQUIRE(fleet.heartbeats[0].acknowledgedEnd == 1);
    fleet.scheduler.submit(jobOf("00000000000000bb", 1), fleet.now);
    fleet.pumpUntilStarted(2);
    CHECK(fleet.starts[1].epoch > fleet.heartbeats[0].epoch);
}

TEST_CASE("an order is refused because a later one came first: it is sent again at once")
{
    StartedFleet fleet;
    fleet.pump();
    fleet.failAll(); // raises the epoch while the start is in flight
    REQUIRE(fleet.scheduler.isSuperseded(fleet.starts[0].incarnation, fleet.starts[0].epoch));
    fleet.scheduler.startAnswered(fleet.starts[0].incarnation, fleet.task, 1, OrderResult::Fenced, fleet.now);
    fleet.pump();
    REQUIRE(fleet.starts.size() == 2);
    CHECK(fleet.starts[1].run == 1);
    CHECK_FALSE(fleet.scheduler.isSuperseded(fleet.starts[1].incarnation, fleet.starts[1].epoch));

    fleet.acceptStart(1);
    fleet.pump(500ms);
    REQUIRE(fleet.heartbeats.size() == 1);
    fleet.answerAll(1000, { { fleet.task, 1, {}, 10, 0 } });
    fleet.pump();
    REQUIRE(fleet.heartbeats.size() == 1);
    const auto heartbeat = fleet.heartbeats[0];
    fleet.heartbeats.clear();
    fleet.events.clear();
    fleet.scheduler.heartbeatAnswered(
        heartbeat.incarnation, OrderResult::Fenced, std::nullopt, fleet.now, fleet.now);
    fleet.pump();
    CHECK(fleet.heartbeats.size() == 1);
    for (const auto& it : fleet.events)
        CHECK_FALSE(it.starts_with("executor_silent"));
}

// Guards against TWICE: a start in flight was carried out after its run had been given up with the lease of
// its executor, within a lease that the executor was granted once it had answered again.
TEST_CASE("the lease of an executor expires: a start that is in flight is barred by the next order")
{
    StartedFleet fleet;
    fleet.pump();
    fleet.failAll();
    fleet.failStart(0);
    const auto isLost = [&] {
        return std::any_of(fleet.events.begin(), fleet.events.end(),
            [](const auto& it) { return it.starts_with("runs_lost"); });
    };
    for (int i = 0; i < 200 && !isLost(); ++i)
        fleet.pump(100ms);
    REQUIRE(isLost());
    REQUIRE(fleet.starts.size() == 2);
    const auto late = fleet.starts[1]; // not answered yet
    REQUIRE(fleet.heartbeats.size() == 1);
    fleet.answerAll(1000);
    fleet.pump();
    REQUIRE(fleet.heartbeats.size() == 1); // renews the lease
    CHECK(fleet.heartbeats[0].epoch > late.epoch);
}

// Guards against TWICE: a stop that was refused as malformed was taken for one that bars its run.
TEST_CASE(
    "a stop is refused: its run isn't taken for ended unless the refusal says that it can't start any more")
{
    struct Row {
        OrderResult answer;
        bool isBarred;
    };
    const Row rows[] = {
        { OrderResult::Ok, true },
        { OrderResult::Outdated, true },
        { OrderResult::Malformed, false },
        { OrderResult::Unhealthy, false },
    };
    for (const auto& row : rows) {
        CAPTURE(std::string(text(row.answer)));
        StartedFleet fleet;
        fleet.pump();
        fleet.failStart(0);
        fleet.scheduler.cancel(job, fleet.now);
        fleet.pump();
        REQUIRE(fleet.hasStop(1));
        fleet.scheduler.stopAnswered(0, fleet.task, 1, row.answer, fleet.now);
        fleet.answerAll(1000);
        fleet.pump(500ms);
        fleet.answerAll(1000);
        fleet.pump();
        const bool isAbsent = std::any_of(fleet.events.begin(), fleet.events.end(),
            [](const auto& it) { return it.starts_with("run_absent"); });
        CHECK(isAbsent == row.isBarred);
    }
}
