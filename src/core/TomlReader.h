#pragma once

#include "quay/core/ConfigFinding.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

// The packaged toml++ is a compiled library.
#ifndef TOML_HEADER_ONLY
#define TOML_HEADER_ONLY 0
#endif
#include <toml++/toml.h>

namespace quay::internal {

// Where a value was written.
struct TomlLocation {
    std::string file;
    std::uint32_t line = 0;
    std::uint32_t column = 0;
};

// What one reading run collects over all its files.
struct TomlFindings {
    std::vector<ConfigFinding> errors;
    std::vector<ConfigFinding> warnings;
    std::map<std::string, TomlLocation> locations; // by full key path; the latest file wins

    void error(const TomlLocation& location, std::string message, std::string remedy);
    void warning(const TomlLocation& location, std::string message, std::string remedy);
    // The place of a value, or of the closest table around it that was written.
    TomlLocation locationOf(std::string path) const;
};

// Strict reader of one table. Each getter leaves the target as it is if the key is absent or
// wrong. finish() reports every key that no getter asked for.
class TomlReader {
public:
    TomlReader(const toml::table& table, std::string file, std::string path, TomlFindings& findings,
        bool warnRepeats = false);

    bool integer(std::string_view key, std::int64_t low, std::int64_t high, std::uint32_t& target);
    bool string(std::string_view key, std::string& target);
    bool choice(std::string_view key, const std::vector<std::string_view>& allowed, std::string& target);
    bool boolean(std::string_view key, bool& target);
    bool strings(std::string_view key, std::vector<std::string>& target);
    std::optional<TomlReader> table(std::string_view key);
    // The tables in a table, in order of name.
    std::vector<std::pair<std::string, TomlReader>> tables(std::string_view key);
    // The tables in an array of tables, in order of writing.
    std::vector<TomlReader> array(std::string_view key);

    // True if the key was written in this table.
    bool has(std::string_view key) const { return m_table->contains(key); }
    void require(std::string_view key, const std::string& remedy);
    void reportUnknownKeys();

    TomlLocation location() const;
    // The names of the keys, in order; used where keys are names.
    std::vector<std::string> keys() const;
    const std::string& path() const { return m_path; }
    // Full path of a key: "teams.clinic.share".
    std::string pathOf(std::string_view key) const;
    // Gives the table another path; entries of arrays are named by their id.
    void setPath(std::string path);

    // A reader of the same table for things that no earlier file has: nothing can be a repeat.
    TomlReader withoutRepeatWarnings() const;

    void errorAt(std::string_view key, std::string message, std::string remedy);

private:
    const toml::node* consume(std::string_view key);
    void wrongType(const toml::node& node, std::string_view key, std::string_view wanted);
    template <typename Value> bool assign(std::string_view key, Value value, Value& target);
    TomlLocation locationOfNode(const toml::node& node) const;

    const toml::table* m_table;
    std::string m_file;
    std::string m_path;
    TomlFindings* m_findings;
    bool m_warnRepeats;
    std::set<std::string, std::less<>> m_consumedKeys;
};

// Parses a file; a syntax error goes into the findings.
std::optional<toml::table> parseToml(
    const std::string& file, const std::string& text, TomlFindings& findings);

} // namespace quay::internal
