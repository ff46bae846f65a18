#include "fuzz/Fuzz.h"
#include "quay/core/Settings.h"

using namespace quay;

int fuzzSettings(const std::uint8_t* data, std::size_t size)
{
    const auto text = fuzz::toText(data, size);
    const auto result = parseSettings("quayd.toml", text);
    fuzz::require(result.settings.has_value() == result.errors.empty(), "either a result or errors");
    for (const auto& error : result.errors)
        fuzz::require(!error.explain().empty(), "an error has an explanation");
    if (!result.settings)
        return 0;
    fuzz::require(result.settings->tls.certificate.empty() == result.settings->tls.key.empty(),
        "certificate and key are set together");
    fuzz::require(parseSettings("quayd.toml", text).settings == result.settings,
        "parsing the same text again gives the same settings");
    return 1;
}
