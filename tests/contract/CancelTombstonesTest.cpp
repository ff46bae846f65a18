#include "edge/CancelTombstones.h"
#include "edge/JobRows.h"

#include <doctest/doctest.h>

using namespace quay;
using namespace quay::edge;
using Reservation = CancelTombstones::Reservation;

namespace {

constexpr Duration lifetime = 120s;
constexpr Instant start { 1000s };

std::string idOf(int number) { return "job-" + std::to_string(number); }

// The number of reservations that a team gets out of `count` at one time.
int reserveMany(CancelTombstones& tombstones, const std::string& team, int first, int count, Instant now)
{
    int reserved = 0;
    for (int i = 0; i < count; ++i)
        reserved += tombstones.reserve(idOf(first + i), team, now) == Reservation::Reserved ? 1 : 0;
    return reserved;
}

} // namespace

// Guards against memory and writes that grow with what callers cancel, and against a team that uses up both.
TEST_CASE("cancellations of jobs that do not exist are limited in rate and number for each team")
{
    struct Row {
        const char* name;
        TombstoneLimits limits;
        int fromFirstTeam, fromSecondTeam; // out of 300 each
        int laterFromFirstTeam; // out of 300, a second later
    };
    const Row rows[] = {
        { "a burst", { lifetime, 10'000, 20, 100 }, 100, 100, 20 },
        { "one team takes half of the room, the next half of the rest", { lifetime, 64, 1000, 1000 }, 32, 16,
            0 },
        { "no room", { lifetime, 0, 1000, 1000 }, 0, 0, 0 },
    };
    for (const auto& row : rows) {
        CAPTURE(std::string(row.name));
        CancelTombstones tombstones(row.limits);
        CHECK(reserveMany(tombstones, "a", 0, 300, start) == row.fromFirstTeam);
        CHECK(reserveMany(tombstones, "b", 1000, 300, start) == row.fromSecondTeam);
        CHECK(reserveMany(tombstones, "a", 2000, 300, start + 1s) == row.laterFromFirstTeam);
        CHECK(tombstones.size()
            == static_cast<std::size_t>(row.fromFirstTeam + row.fromSecondTeam + row.laterFromFirstTeam));
    }
}

TEST_CASE("a reserved cancellation refuses submissions; only a durable one cancels a job that is found")
{
    CancelTombstones tombstones({ .lifetime = lifetime });
    CHECK(tombstones.reserve("x", "a", start) == Reservation::Reserved);
    CHECK(tombstones.contains("x"));
    CHECK(tombstones.reserve("x", "a", start) == Reservation::Reserved); // its first write may have failed
    CHECK_FALSE(tombstones.resolve("x"));
    CHECK_FALSE(tombstones.contains("x")); // nor does it count for its team any more
    CHECK(tombstones.reserve("x", "a", start) == Reservation::Reserved);
    tombstones.add("x", 0, start);
    CHECK(tombstones.reserve("x", "a", start) == Reservation::Durable);
    CHECK(tombstones.resolve("x"));
    CHECK_FALSE(tombstones.contains("x"));
    CHECK_FALSE(tombstones.resolve("x"));
}

TEST_CASE("a durable cancellation is kept although the limits are reached: it may have been acknowledged")
{
    CancelTombstones tombstones({ .lifetime = lifetime, .maxCount = 2 });
    for (int i = 0; i < 10; ++i)
        tombstones.add(idOf(i), i + 1, start);
    CHECK(tombstones.size() == 10);
    CHECK(tombstones.reserve("x", "a", start) == Reservation::Refused);
    CHECK(tombstones.reserve(idOf(3), "a", start) == Reservation::Durable);
}

TEST_CASE("a cancellation expires after its lifetime and goes once its row is deleted")
{
    using Expired = std::vector<CancelTombstones::Expired>;
    CancelTombstones tombstones({ .lifetime = lifetime });
    tombstones.add("x", 7, start);
    CHECK(tombstones.takeExpired(8, start + lifetime - 1ms).empty());
    CHECK(tombstones.takeExpired(8, start + lifetime) == Expired { { "x", 7 } });
    // While its row is being deleted, a cancellation that counts on the row must not be acknowledged.
    CHECK(tombstones.contains("x"));
    CHECK(tombstones.takeExpired(8, start + lifetime).empty());
    CHECK(tombstones.reserve("x", "a", start + lifetime) == Reservation::Refused);

    SUBCASE("the row is deleted")
    {
        tombstones.remove("x");
        CHECK_FALSE(tombstones.contains("x"));
        CHECK(tombstones.reserve("x", "a", start + lifetime) == Reservation::Reserved);
    }
    SUBCASE("the store does not answer")
    {
        tombstones.retryLater("x", 2s, start + lifetime);
        CHECK(tombstones.takeExpired(8, start + lifetime + 1s).empty());
        CHECK(tombstones.takeExpired(8, start + lifetime + 2s) == Expired { { "x", 7 } });
    }
    SUBCASE("the job was cancelled again meanwhile")
    {
        tombstones.add("x", 9, start + lifetime);
        tombstones.remove("x"); // the answer about the earlier row
        CHECK(tombstones.takeExpired(8, start + lifetime * 2) == Expired { { "x", 9 } });
    }
    SUBCASE("the job was cancelled again before")
    {
        tombstones.add("y", 8, start);
        CHECK(tombstones.reserve("y", "a", start + 1s) == Reservation::Durable);
        CHECK(tombstones.takeExpired(8, start + lifetime).empty());
        CHECK(tombstones.takeExpired(8, start + lifetime + 1s) == Expired { { "y", 8 } });
    }
}

TEST_CASE("a cancellation without a row goes after its lifetime, and its team has the room back")
{
    CancelTombstones tombstones({ .lifetime = lifetime, .maxCount = 2, .teamPerSecond = 100 });
    CHECK(reserveMany(tombstones, "a", 0, 3, start) == 1);
    CHECK(tombstones.takeExpired(8, start + lifetime).empty());
    CHECK(tombstones.size() == 0);
    CHECK(reserveMany(tombstones, "a", 0, 3, start + lifetime) == 1);
}

TEST_CASE("expired cancellations are returned in bounded portions")
{
    CancelTombstones tombstones({ .lifetime = lifetime });
    for (int i = 0; i < 20; ++i)
        tombstones.add(idOf(i), i + 1, start);
    std::size_t expired = 0;
    for (const std::size_t portion : { 8, 8, 4, 0 }) {
        const auto taken = tombstones.takeExpired(8, start + lifetime);
        CHECK(taken.size() == portion);
        expired += taken.size();
    }
    CHECK(expired == 20);
}
