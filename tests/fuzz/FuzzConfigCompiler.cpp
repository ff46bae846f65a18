#include "fuzz/Fuzz.h"
#include "quay/core/ConfigCompiler.h"

using namespace quay;

// The compiler only accepts a configuration that every entry VM can parse from its JSON form.
int fuzzConfigCompiler(const std::uint8_t* data, std::size_t size)
{
    const auto result = compileConfiguration({ "base.toml", fuzz::toText(data, size) }, {});
    fuzz::require(result.configuration.has_value() == result.errors.empty(), "either a result or errors");
    for (const auto& error : result.errors)
        fuzz::require(!error.explain().empty(), "an error has an explanation");
    if (!result.configuration)
        return 0;
    Reason reason;
    const auto reparsed = parseConfiguration(toJson(*result.configuration), reason);
    fuzz::require(reparsed && *reparsed == *result.configuration, "parse(print(compiled)) == compiled");
    fuzz::require(diff(*result.configuration, *reparsed).empty(), "equal configurations have an empty diff");
    return 1;
}
