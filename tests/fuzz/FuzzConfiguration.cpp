#include "fuzz/Fuzz.h"
#include "quay/core/Configuration.h"

using namespace quay;

int fuzzConfiguration(const std::uint8_t* data, std::size_t size)
{
    Reason reason;
    const auto configuration = parseConfiguration(fuzz::toText(data, size), reason);
    if (!configuration) {
        fuzz::require(reason.kind != ErrorKind::None, "a refusal has a kind");
        return 0;
    }
    const auto reparsed = parseConfiguration(toJson(*configuration), reason);
    fuzz::require(reparsed && *reparsed == *configuration, "parse(print(configuration)) == configuration");
    return 1;
}
