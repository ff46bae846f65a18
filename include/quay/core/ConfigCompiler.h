#pragma once

#include "quay/core/ConfigFinding.h"
#include "quay/core/Configuration.h"

#include <string>
#include <vector>

namespace quay {

/** The text of one file. The compiler opens no files. */
struct ConfigSource {
    std::string file; // shown in findings
    std::string text; // TOML
};

/** What came of a compilation. */
struct CompileResult {
    std::optional<Configuration> configuration; // set if there are no errors; its version is 0
    std::vector<ConfigFinding> errors; // all of them, in order of file and line
    std::vector<ConfigFinding> warnings;
};

/**
 * Compiles a base file and the overlays of the sites, in this order, to one checked configuration.
 *
 * An overlay states only what differs. It may change a team, queue or key that an earlier file
 * has, field by field. One that no earlier file has is an error unless its table says
 * `new = true`, so that a misspelt name never makes a second team. A value that repeats the
 * earlier one is accepted with a warning. Overlays remove nothing: a key is withdrawn with
 * `withdrawn = true`.
 *
 * Usage: `auto result = compileConfiguration({ "base.toml", text }, {}); if (!result.configuration)
 * show(result.errors);`
 */
CompileResult compileConfiguration(const ConfigSource& base, const std::vector<ConfigSource>& overlays);

/** What differs, in words, one line a change: "team clinic: upper_limit 300 -> 200". Versions are left out.
 */
std::vector<std::string> diff(const Configuration& from, const Configuration& to);

} // namespace quay
