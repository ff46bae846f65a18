#include "fuzz/Fuzz.h"
#include "quay/telemetry/Trace.h"

using namespace quay;

int fuzzTraceparent(const std::uint8_t* data, std::size_t size)
{
    const auto context = parseTraceparent(fuzz::toText(data, size));
    if (!context)
        return 0;
    fuzz::require(parseTraceparent(traceparent(*context)) == context, "parse(print(context)) == context");
    return 1;
}
