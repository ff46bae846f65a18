#include "edge/JobRows.h"
#include "fuzz/Fuzz.h"
#include "quay/fleet/JobRecord.h"

using namespace quay;

// The rows of a cell, which nodes of another release or a person may have written.
int fuzzStoredRows(const std::uint8_t* data, std::size_t size)
{
    const auto bytes = fuzz::toText(data, size);
    Reason reason;
    int parsed = 0;
    if (const auto record = fleet::decodeJobRecord(bytes, reason)) {
        fuzz::require(
            fleet::decodeJobRecord(encode(*record), reason) == record, "decode(encode(record)) == record");
        parsed = 1;
    } else {
        fuzz::require(reason.kind != ErrorKind::None, "a refusal has a kind");
    }
    if (const auto job = edge::decodeStoredJob(bytes, reason)) {
        fuzz::require(edge::decodeStoredJob(encode(*job), reason) == job, "decode(encode(job)) == job");
        (void)edge::toJobRequest(*job, reason);
        (void)edge::intakePartitionOf(job->id);
        parsed = 1;
    }
    if (const auto leadership = edge::decodeLeadershipRecord(bytes, reason)) {
        fuzz::require(edge::decodeLeadershipRecord(encode(*leadership), reason).has_value(),
            "an accepted leadership row can be written and read again");
        parsed = 1;
    }
    return parsed;
}
