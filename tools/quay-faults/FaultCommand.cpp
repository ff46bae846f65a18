#include "quay-faults/FaultCommand.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <set>
#include <sstream>

// The packaged toml++ is a compiled library.
#ifndef TOML_HEADER_ONLY
#define TOML_HEADER_ONLY 0
#endif
#include <toml++/toml.h>

namespace quay::faults {

namespace json = boost::json;

namespace {

constexpr std::int64_t maxTimeMs = 24LL * 3600 * 1000;

struct KindName {
    std::string_view name;
    FaultKind kind;
};

constexpr std::array kindNames { KindName { "delay", FaultKind::Delay }, KindName { "cut", FaultKind::Cut },
    KindName { "hold", FaultKind::Cut }, KindName { "release", FaultKind::Release },
    KindName { "drop", FaultKind::Drop }, KindName { "lose_answers", FaultKind::LoseAnswers },
    KindName { "reset", FaultKind::Reset }, KindName { "clear", FaultKind::Clear } };

constexpr std::array<std::string_view, 3> directionNames { "request", "response", "both" };

// Strict reader of one JSON object: reports the first error, and treats fields that were not read as errors.
class FieldReader {
public:
    FieldReader(const json::object& object, Reason& reason)
        : m_object(object)
        , m_reason(reason)
    {
    }

    void string(const char* name, std::string& target)
    {
        const auto* value = findField(name);
        if (value && !value->is_string())
            reject(std::string(name) + " must be a string");
        else if (value)
            target = std::string(value->get_string());
    }

    template <typename Number> void number(const char* name, std::int64_t max, Number& target)
    {
        const auto* value = findField(name);
        if (!value)
            return;
        boost::system::error_code ec;
        const auto read = value->to_number<std::int64_t>(ec);
        if (ec || read < 0 || read > max)
            reject(std::string(name) + " must be a whole number from 0 to " + std::to_string(max));
        else
            target = static_cast<Number>(read);
    }

    void reject(const std::string& detail, ErrorKind kind = ErrorKind::MalformedRequest)
    {
        if (!m_hasFailed)
            m_reason = Reason { kind, detail };
        m_hasFailed = true;
    }

    // Returns whether every field is known and valid.
    bool finish()
    {
        for (const auto& field : m_object) {
            const std::string name(field.key());
            if (!m_knownFields.count(name))
                reject(name, ErrorKind::UnknownField);
        }
        return !m_hasFailed;
    }

private:
    const json::value* findField(const char* name)
    {
        m_knownFields.insert(name);
        return m_object.if_contains(name);
    }

    const json::object& m_object;
    Reason& m_reason;
    std::set<std::string> m_knownFields;
    bool m_hasFailed = false;
};

std::optional<json::object> parseObject(const std::string& text, Reason& reason)
{
    boost::system::error_code ec;
    auto value = json::parse(text, ec);
    if (ec || !value.is_object())
        return fail(reason, ErrorKind::MalformedRequest, "body is not a JSON object");
    return value.get_object();
}

std::optional<FaultCommand> readFault(const json::object& object, Reason& reason)
{
    FaultCommand command;
    std::string kind;
    std::string direction = "both";
    FieldReader reader(object, reason);
    reader.string("route", command.route);
    reader.string("kind", kind);
    reader.string("direction", direction);
    reader.number("delay_ms", maxTimeMs, command.delayMs);
    reader.number("jitter_ms", maxTimeMs, command.jitterMs);
    reader.number("seed", std::numeric_limits<std::int64_t>::max(), command.seed);
    reader.number("answers", std::numeric_limits<std::uint32_t>::max(), command.answers);
    reader.number("bytes", std::numeric_limits<std::int64_t>::max(), command.bytes);
    reader.number("at_ms", maxTimeMs, command.atMs);
    const auto* foundKind = std::find_if(
        kindNames.begin(), kindNames.end(), [&](const KindName& entry) { return entry.name == kind; });
    const auto* foundDirection = std::find(directionNames.begin(), directionNames.end(), direction);
    if (foundKind == kindNames.end())
        reader.reject("unknown kind '" + kind + "'");
    else
        command.kind = foundKind->kind;
    if (foundDirection == directionNames.end())
        reader.reject("unknown direction '" + direction + "'");
    else
        command.direction = static_cast<Direction>(foundDirection - directionNames.begin());
    if (command.kind == FaultKind::LoseAnswers && !command.answers && !command.bytes)
        reader.reject("lose_answers needs answers or bytes");
    if (command.route.empty())
        reader.reject("route is missing");
    if (!reader.finish())
        return std::nullopt;
    return command;
}

std::optional<RouteSpec> readRouteSpec(const json::object& object, Reason& reason)
{
    RouteSpec spec;
    FieldReader reader(object, reason);
    reader.string("name", spec.name);
    reader.string("listen", spec.listen);
    reader.string("target", spec.target);
    if (spec.name.empty() || spec.target.empty())
        reader.reject("a route needs name and target");
    if (!reader.finish())
        return std::nullopt;
    return spec;
}

// Converts every object of an array field with `read`. Returns false with `reason` at the first error.
template <typename Value, typename Read>
bool readArray(
    const json::object& object, const char* name, Read read, std::vector<Value>& target, Reason& reason)
{
    const auto* field = object.if_contains(name);
    if (!field)
        return true;
    if (!field->is_array()) {
        reason = Reason { ErrorKind::MalformedRequest, std::string("write [[") + name + "]]" };
        return false;
    }
    for (const auto& item : field->get_array()) {
        auto value = item.is_object() ? read(item.get_object(), reason) : std::nullopt;
        if (!value)
            return false;
        target.push_back(std::move(*value));
    }
    return true;
}

} // namespace

std::optional<FaultCommand> parseFault(const std::string& text, Reason& reason)
{
    const auto object = parseObject(text, reason);
    return object ? readFault(*object, reason) : std::nullopt;
}

std::optional<RouteSpec> parseRoute(const std::string& text, Reason& reason)
{
    const auto object = parseObject(text, reason);
    return object ? readRouteSpec(*object, reason) : std::nullopt;
}

std::optional<FaultScript> parseScript(const std::string& text, Reason& reason)
{
    std::ostringstream asJson;
    try {
        const auto table = toml::parse(text);
        asJson << toml::json_formatter { table };
    } catch (const toml::parse_error& error) {
        return fail(reason, ErrorKind::MalformedRequest, std::string(error.description()));
    }
    const auto object = parseObject(asJson.str(), reason);
    if (!object)
        return std::nullopt;
    for (const auto& field : *object) {
        if (field.key() != "routes" && field.key() != "faults")
            return fail(reason, ErrorKind::UnknownField, std::string(field.key()));
    }
    FaultScript script;
    if (!readArray(*object, "routes", readRouteSpec, script.routes, reason)
        || !readArray(*object, "faults", readFault, script.faults, reason))
        return std::nullopt;
    std::stable_sort(script.faults.begin(), script.faults.end(),
        [](const FaultCommand& a, const FaultCommand& b) { return a.atMs < b.atMs; });
    return script;
}

} // namespace quay::faults
