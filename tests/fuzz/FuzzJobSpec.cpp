#include "fuzz/Fuzz.h"
#include "quay/core/Job.h"

using namespace quay;

// An accepted specification must be unchanged after a job record with it was serialized and parsed.
int fuzzJobSpec(const std::uint8_t* data, std::size_t size)
{
    Reason reason;
    const auto spec = parseJobSpec(fuzz::toText(data, size), reason);
    if (!spec) {
        fuzz::require(reason.kind != ErrorKind::None, "a refusal has a kind");
        return 0;
    }
    JobRecord record;
    record.spec = *spec;
    record.tasks.resize(spec->taskCount);
    const auto reparsed = parseJobRecord(toJson(record), reason);
    fuzz::require(reparsed && *reparsed == record, "parse(print(record with accepted spec)) == record");
    return 1;
}
