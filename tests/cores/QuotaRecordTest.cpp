#include "quay/core/QuotaRecord.h"

#include <doctest/doctest.h>

using namespace quay;

namespace {

QuotaRecord makeRecord(std::int64_t limit, std::int64_t target, std::int64_t first, std::int64_t second)
{
    QuotaRecord record { limit, target, 7, {} };
    record.entries[MemberId { "a#1" }] = { DomainId { "north" }, 3, first, 1, 9 };
    record.entries[MemberId { "b#2" }] = { DomainId { "south" }, 4, second, 0, 12 };
    return record;
}

} // namespace

TEST_CASE("a quota record is unchanged by serializing and parsing")
{
    const QuotaRecord record = makeRecord(20, 15, 8, 10);
    Reason reason;
    CHECK(parseQuotaRecord(toJson(record), reason) == record);
    CHECK(teamOfQuotaKey(quotaKey(TeamId { "clinic" })) == TeamId { "clinic" });
    CHECK_FALSE(teamOfQuotaKey("job/1").has_value());
}

TEST_CASE("malformed quota records are refused")
{
    const std::string rows[] = {
        "",
        "[]",
        R"({"limit":1,"target":1,"configVersion":1})",
        R"({"limit":-1,"target":1,"configVersion":1,"grants":{}})",
        toJson(makeRecord(17, 17, 8, 10)),
        toJson(makeRecord(20, 20, -1, 10)),
    };
    for (const std::string& text : rows) {
        CAPTURE(text);
        Reason reason;
        CHECK_FALSE(parseQuotaRecord(text, reason).has_value());
        CHECK(reason.kind == ErrorKind::MalformedRequest);
    }
}

TEST_CASE("a limit is raised immediately and lowered only as far as the grants allow")
{
    struct Row {
        std::int64_t limit, target, first, second, settled, free;
        bool accepted;
    };
    const Row rows[] = {
        { 20, 30, 8, 10, 30, 12, true },
        { 20, 18, 8, 10, 18, 0, true },
        { 20, 10, 8, 10, 18, 0, false },
        { 20, 10, 3, 2, 10, 5, true },
        { 20, 0, 0, 0, 0, 0, true },
    };
    for (const Row& row : rows) {
        QuotaRecord record = makeRecord(row.limit, row.target, row.first, row.second);
        applyTargetLimit(record);
        CAPTURE(row.target);
        CHECK(record.limit == row.settled);
        CHECK(ungrantedUnits(record) == row.free);
        CHECK(isTargetEffective(record) == row.accepted);
    }
}
