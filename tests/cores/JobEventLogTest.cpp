#include "quay/core/JobEventLog.h"

#include "SeededRandom.h"

#include <doctest/doctest.h>
#include <map>

using namespace quay;

namespace {

JobRecord recordOf(const std::string& id, const std::string& team, JobState state)
{
    JobRecord record;
    record.id = JobId { id };
    record.spec.team = TeamId { team };
    record.state = state;
    return record;
}

const TeamId clinic { "clinic" };

} // namespace

TEST_CASE("a page contains only the team's changes after the cursor")
{
    JobEventLog log;
    log.record(recordOf("a", "clinic", JobState::Active), 5);
    log.record(recordOf("b", "agents", JobState::Active), 6);
    log.record(recordOf("c", "clinic", JobState::Active), 6);
    const auto first = log.eventsAfter(clinic, 0, 10);
    REQUIRE(first);
    CHECK(first->events.size() == 2);
    CHECK(first->cursor == 6);
    CHECK(log.eventsAfter(clinic, 6, 10)->events.empty());
    log.record(recordOf("a", "clinic", JobState::Succeeded), 9);
    const auto next = log.eventsAfter(clinic, 6, 10);
    REQUIRE(next->events.size() == 1);
    CHECK(next->events.front().state == JobState::Succeeded);
}

TEST_CASE("a page never splits a commit")
{
    JobEventLog log;
    for (const char* id : { "a", "b", "c" })
        log.record(recordOf(id, "clinic", JobState::Active), 5);
    log.record(recordOf("d", "clinic", JobState::Active), 7);
    const auto page = log.eventsAfter(clinic, 0, 1);
    CHECK(page->events.size() == 3);
    CHECK(page->cursor == 5);
    CHECK(log.eventsAfter(clinic, 5, 1)->events.front().job == JobId { "d" });
}

TEST_CASE("a cursor from before a removal is refused, a later one is accepted")
{
    JobEventLog log;
    log.record(recordOf("a", "clinic", JobState::Succeeded), 5);
    log.removeJob(JobId { "a" }, 8);
    CHECK_FALSE(log.eventsAfter(clinic, 5, 10));
    CHECK(log.eventsAfter(clinic, 8, 10));
    CHECK(log.eventsAfter(clinic, 0, 10)->cursor == 8);
}

TEST_CASE("a watcher that reads all pages gets every job's last state, across failovers")
{
    test::forEachSeed(100, [](std::uint64_t seed) {
        test::SeededRandom choices(seed);
        std::map<JobId, std::pair<JobRecord, std::uint64_t>> rows; // the store
        std::map<JobId, JobState> seen;
        JobEventLog log;
        std::uint64_t version = 0;
        std::uint64_t cursor = 0;
        const auto watch = [&] {
            const auto page = log.eventsAfter(clinic, cursor, 1 + choices.below(3));
            REQUIRE(page);
            for (const auto& event : page->events)
                seen[event.job] = event.state;
            cursor = page->cursor;
            return page->events.size();
        };
        for (int step = 0; step < 200; ++step) {
            if (choices.percent(60)) {
                auto record = recordOf("j" + std::to_string(choices.below(8)), "clinic",
                    static_cast<JobState>(choices.below(4)));
                version += choices.below(2) || rows.empty();
                rows[record.id] = { record, version };
                log.record(record, version);
                // Rows of one commit are recorded together; a watcher can't read between them.
                version += 1;
            } else if (choices.percent(20)) {
                log.clear();
                for (const auto& [id, row] : rows)
                    log.record(row.first, row.second);
            } else {
                watch();
            }
        }
        while (watch()) { }
        for (const auto& [id, row] : rows)
            CHECK(seen[id] == row.first.state);
    });
}
