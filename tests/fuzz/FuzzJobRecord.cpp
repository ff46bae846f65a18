#include "fuzz/Fuzz.h"
#include "quay/core/Job.h"

using namespace quay;

int fuzzJobRecord(const std::uint8_t* data, std::size_t size)
{
    Reason reason;
    const auto record = parseJobRecord(fuzz::toText(data, size), reason);
    if (!record) {
        fuzz::require(reason.kind != ErrorKind::None, "a refusal has a kind");
        return 0;
    }
    const auto reparsed = parseJobRecord(toJson(*record), reason);
    fuzz::require(reparsed && *reparsed == *record, "parse(print(record)) == record");
    return 1;
}
