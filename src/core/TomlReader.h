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

// The position of a value in a file.
struct TomlLocation {
    std::string file;
    std::uint32_t line = 0;
    std::uint32_t column = 0;
};

// The findings and locations collected over all files of one compilation.
struct TomlFindings {
    std::vector<ConfigFinding> errors;
    std::vector<ConfigFinding> warnings;
    std::map<std::string, TomlLocation> locations; // by full key path; the last file wins for values

    void error(const TomlLocation& location, std::string message, std::string remedy);
    void warning(const TomlLocation& location, std::string message, std::string remedy);
    // The location of a value, or else of the innermost enclosing table that is known.
    TomlLocation locationOf(std::string path) const;
};

// Strict reader of one TOML table. Each getter leaves the target unchanged if the key is absent or invalid,
// and reports an invalid value. reportUnknownKeys() reports every key that no getter has read.
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
    // The subtables of a table, sorted by name.
    std::vector<std::pair<std::string, TomlReader>> tables(std::string_view key);
    // The elements of an array of tables, in file order.
    std::vector<TomlReader> array(std::string_view key);

    // True if the table contains the key.
    bool has(std::string_view key) const { return m_table->contains(key); }
    void require(std::string_view key, const std::string& remedy);
    void reportUnknownKeys();

    TomlLocation location() const;
    // The keys of the table, sorted; for tables whose keys are user-defined names.
    std::vector<std::string> keys() const;
    const std::string& path() const { return m_path; }
    // The full path of a key, for example "teams.clinic.share".
    std::string pathOf(std::string_view key) const;
    // Changes the path of the table; array elements are identified by their id instead of their index.
    void setPath(std::string path);

    // A reader of the same table without warnings about repeated values, for entries that no earlier file
    // has.
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

// Parses a file; a syntax error is added to the findings.
std::optional<toml::table> parseToml(
    const std::string& file, const std::string& text, TomlFindings& findings);

} // namespace quay::internal
