#pragma once

#include "quay/core/ConfigFinding.h"
#include "quay/core/Configuration.h"

#include <string>
#include <vector>

namespace quay {

/** The text of one configuration file. The compiler itself does no file I/O. */
struct ConfigSource {
    std::string file; // file name, used only in findings
    std::string text; // TOML
};

/** The result of a compilation. */
struct CompileResult {
    std::optional<Configuration> configuration; // set if there are no errors; its version is 0
    std::vector<ConfigFinding> errors; // all errors of all files, sorted by file and line
    std::vector<ConfigFinding> warnings;
};

/**
 * Compiles a base file and the site overlays, in this order, to one validated configuration.
 *
 * An overlay states only the fields that differ. It may change individual fields of a team, queue or
 * key that an earlier file defines. Defining one that no earlier file has is an error unless its table
 * says `new = true`, so that a misspelt name never creates a second team. A value equal to the
 * earlier one is accepted with a warning. Overlays can't remove entries: a key is revoked with
 * `withdrawn = true`.
 *
 * Usage: `auto result = compileConfiguration({ "base.toml", text }, {}); if (!result.configuration)
 * show(result.errors);`
 */
CompileResult compileConfiguration(const ConfigSource& base, const std::vector<ConfigSource>& overlays);

/** Describes the differences, one line per change: "team clinic: upper_limit 300 -> 200". The versions are
 * not compared. */
std::vector<std::string> diff(const Configuration& from, const Configuration& to);

} // namespace quay
