#include "TomlReader.h"

#include <algorithm>
#include <utility>

namespace quay {

std::string ConfigFinding::explain() const
{
    std::string where = file + ":" + std::to_string(line) + ":" + std::to_string(column) + ": ";
    return where + message + "; " + remedy;
}

} // namespace quay

namespace quay::internal {

namespace {

std::string quoted(std::string_view text) { return "'" + std::string(text) + "'"; }

std::string joined(const std::vector<std::string_view>& words)
{
    std::string line;
    for (const auto word : words)
        line.append(line.empty() ? "" : ", ").append(word);
    return line;
}

ConfigFinding finding(const TomlLocation& location, std::string message, std::string remedy)
{
    return { location.file, location.line, location.column, std::move(message), std::move(remedy) };
}

} // namespace

void TomlFindings::error(const TomlLocation& location, std::string message, std::string remedy)
{
    errors.push_back(finding(location, std::move(message), std::move(remedy)));
}

void TomlFindings::warning(const TomlLocation& location, std::string message, std::string remedy)
{
    warnings.push_back(finding(location, std::move(message), std::move(remedy)));
}

TomlLocation TomlFindings::locationOf(std::string path) const
{
    while (true) {
        if (const auto found = locations.find(path); found != locations.end())
            return found->second;
        const auto dot = path.rfind('.');
        if (dot == std::string::npos)
            return {};
        path.resize(dot);
    }
}

TomlReader::TomlReader(
    const toml::table& table, std::string file, std::string path, TomlFindings& findings, bool warnRepeats)
    : m_table(&table)
    , m_file(std::move(file))
    , m_findings(&findings)
    , m_warnRepeats(warnRepeats)
{
    setPath(std::move(path));
}

void TomlReader::setPath(std::string path)
{
    m_path = std::move(path);
    // The location of a table is that in the first file; the location of a value is that in the last file.
    m_findings->locations.emplace(m_path, location());
}

TomlReader TomlReader::withoutRepeatWarnings() const
{
    auto copy = *this;
    copy.m_warnRepeats = false;
    return copy;
}

TomlLocation TomlReader::location() const { return locationOfNode(*m_table); }

TomlLocation TomlReader::locationOfNode(const toml::node& node) const
{
    const auto begin = node.source().begin;
    return { m_file, std::max<std::uint32_t>(begin.line, 1), std::max<std::uint32_t>(begin.column, 1) };
}

std::string TomlReader::pathOf(std::string_view key) const
{
    return m_path.empty() ? std::string(key) : m_path + "." + std::string(key);
}

std::vector<std::string> TomlReader::keys() const
{
    std::vector<std::string> names;
    for (const auto& [key, node] : *m_table)
        names.emplace_back(key.str());
    return names;
}

const toml::node* TomlReader::consume(std::string_view key)
{
    m_consumedKeys.emplace(key);
    const auto* node = m_table->get(key);
    if (node)
        m_findings->locations[pathOf(key)] = locationOfNode(*node);
    return node;
}

void TomlReader::wrongType(const toml::node& node, std::string_view key, std::string_view wanted)
{
    m_findings->error(locationOfNode(node), quoted(pathOf(key)) + " has the wrong type or value",
        "write " + std::string(wanted));
}

template <typename Value> bool TomlReader::assign(std::string_view key, Value value, Value& target)
{
    if (m_warnRepeats && value == target)
        m_findings->warning(m_findings->locationOf(pathOf(key)),
            quoted(pathOf(key)) + " repeats the value it already has", "remove it from the overlay");
    target = std::move(value);
    return true;
}

bool TomlReader::integer(std::string_view key, std::int64_t low, std::int64_t high, std::uint32_t& target)
{
    const auto* node = consume(key);
    if (!node)
        return false;
    const auto* number = node->as_integer();
    if (!number || number->get() < low || number->get() > high) {
        wrongType(*node, key, "a whole number from " + std::to_string(low) + " to " + std::to_string(high));
        return false;
    }
    return assign(key, static_cast<std::uint32_t>(number->get()), target);
}

bool TomlReader::string(std::string_view key, std::string& target)
{
    const auto* node = consume(key);
    if (!node)
        return false;
    const auto* value = node->as_string();
    if (!value) {
        wrongType(*node, key, "a string");
        return false;
    }
    return assign(key, value->get(), target);
}

bool TomlReader::choice(
    std::string_view key, const std::vector<std::string_view>& allowed, std::string& target)
{
    const auto* node = consume(key);
    if (!node)
        return false;
    const auto* value = node->as_string();
    if (!value || std::find(allowed.begin(), allowed.end(), value->get()) == allowed.end()) {
        wrongType(*node, key, "one of: " + joined(allowed));
        return false;
    }
    return assign(key, value->get(), target);
}

bool TomlReader::boolean(std::string_view key, bool& target)
{
    const auto* node = consume(key);
    if (!node)
        return false;
    const auto* value = node->as_boolean();
    if (!value) {
        wrongType(*node, key, "true or false");
        return false;
    }
    return assign(key, value->get(), target);
}

bool TomlReader::strings(std::string_view key, std::vector<std::string>& target)
{
    const auto* node = consume(key);
    if (!node)
        return false;
    const auto* array = node->as_array();
    std::vector<std::string> values;
    for (std::size_t i = 0; array && i < array->size(); ++i) {
        if (const auto* value = array->get(i)->as_string())
            values.push_back(value->get());
    }
    if (!array || values.size() != array->size()) {
        wrongType(*node, key, "an array of strings");
        return false;
    }
    return assign(key, std::move(values), target);
}

std::optional<TomlReader> TomlReader::table(std::string_view key)
{
    const auto* node = consume(key);
    if (!node)
        return std::nullopt;
    const auto* value = node->as_table();
    if (!value) {
        wrongType(*node, key, "a table, [" + pathOf(key) + "]");
        return std::nullopt;
    }
    return TomlReader(*value, m_file, pathOf(key), *m_findings, m_warnRepeats);
}

std::vector<std::pair<std::string, TomlReader>> TomlReader::tables(std::string_view key)
{
    std::vector<std::pair<std::string, TomlReader>> result;
    auto outer = table(key);
    if (!outer)
        return result;
    for (const auto& name : outer->keys()) {
        if (auto inner = outer->table(name))
            result.emplace_back(name, std::move(*inner));
    }
    return result;
}

std::vector<TomlReader> TomlReader::array(std::string_view key)
{
    std::vector<TomlReader> result;
    const auto* node = consume(key);
    if (!node)
        return result;
    const auto* values = node->as_array();
    if (!values || !values->is_homogeneous<toml::table>()) {
        wrongType(*node, key, "an array of tables, [[" + pathOf(key) + "]]");
        return result;
    }
    for (std::size_t i = 0; i < values->size(); ++i) {
        const auto path = pathOf(key) + "[" + std::to_string(i) + "]";
        result.emplace_back(*values->get(i)->as_table(), m_file, path, *m_findings, m_warnRepeats);
    }
    return result;
}

void TomlReader::require(std::string_view key, const std::string& remedy)
{
    if (!has(key))
        m_findings->error(location(), quoted(pathOf(key)) + " is missing", remedy);
}

void TomlReader::errorAt(std::string_view key, std::string message, std::string remedy)
{
    const auto* node = m_table->get(key);
    m_findings->error(node ? locationOfNode(*node) : location(), std::move(message), std::move(remedy));
}

void TomlReader::reportUnknownKeys()
{
    for (const auto& [key, node] : *m_table) {
        if (m_consumedKeys.contains(key.str()))
            continue;
        const auto begin = key.source().begin;
        m_findings->error({ m_file, begin.line, begin.column }, quoted(pathOf(key.str())) + " is not known",
            "remove it or correct its spelling");
    }
}

std::optional<toml::table> parseToml(const std::string& file, const std::string& text, TomlFindings& findings)
{
    try {
        return toml::parse(text, file);
    } catch (const toml::parse_error& error) {
        const auto begin = error.source().begin;
        findings.error({ file, begin.line, begin.column },
            "not valid TOML: " + std::string(error.description()), "correct the syntax");
        return std::nullopt;
    }
}

} // namespace quay::internal
