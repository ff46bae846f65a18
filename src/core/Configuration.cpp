#include "quay/core/Configuration.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <initializer_list>
#include <limits>
#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace quay {

namespace json = boost::json;

namespace {

constexpr std::array<std::string_view, 5> queueKindNames { "interactive", "batch", "gang", "service", "any" };
constexpr std::array<std::string_view, 2> keyRoleNames { "team", "operator" };

template <typename Enum, std::size_t Count>
std::optional<Enum> enumNamed(const std::array<std::string_view, Count>& names, std::string_view name)
{
    const auto found = std::find(names.begin(), names.end(), name);
    if (found == names.end())
        return std::nullopt;
    return static_cast<Enum>(found - names.begin());
}

// Reads one JSON object strictly: each requested field must exist, and no other field is allowed. Only the
// first error is kept; after it the getters return defaults.
class StrictObject {
public:
    StrictObject(const json::value& value, std::string path, Reason& reason)
        : m_object(value.if_object())
        , m_path(std::move(path))
        , m_reason(reason)
    {
        if (!m_object)
            reject("must be an object");
    }

    bool rejectUnknownFields(std::initializer_list<std::string_view> names)
    {
        if (!m_object)
            return false;
        for (const auto& field : *m_object) {
            const std::string_view name(field.key().data(), field.key().size());
            if (std::find(names.begin(), names.end(), name) == names.end())
                reject(name, ErrorKind::UnknownField);
        }
        return ok();
    }

    std::uint64_t number(std::string_view name, std::uint64_t high)
    {
        const auto* value = find(name);
        if (!value)
            return 0;
        json::error_code ec;
        const auto number = value->is_double() ? 0 : value->to_number<std::uint64_t>(ec);
        if (value->is_double() || ec || number > high)
            reject(std::string(name) + " must be a whole number up to " + std::to_string(high));
        return number;
    }

    std::uint32_t number32(std::string_view name)
    {
        return static_cast<std::uint32_t>(number(name, std::numeric_limits<std::uint32_t>::max()));
    }

    std::string string(std::string_view name)
    {
        const auto* value = find(name);
        if (!value)
            return {};
        if (!value->is_string())
            reject(std::string(name) + " must be a string");
        return value->is_string() ? std::string(value->as_string()) : std::string();
    }

    bool boolean(std::string_view name)
    {
        const auto* value = find(name);
        if (!value)
            return false;
        if (!value->is_bool())
            reject(std::string(name) + " must be true or false");
        return value->is_bool() && value->as_bool();
    }

    const json::value* find(std::string_view name)
    {
        const auto* value = m_object ? m_object->if_contains(name) : nullptr;
        if (!value)
            reject(std::string(name) + " is missing");
        return value;
    }

    const json::object* object() const { return m_object; }

    void reject(std::string_view what, ErrorKind kind = ErrorKind::InvalidConfiguration)
    {
        if (ok())
            m_reason
                = Reason { kind, m_path.empty() ? std::string(what) : m_path + ": " + std::string(what) };
    }

    bool ok() const { return m_reason.kind == ErrorKind::None; }

private:
    const json::object* m_object;
    std::string m_path;
    Reason& m_reason;
};

json::object teamToJson(const TeamConfig& team)
{
    return { { "share", team.share }, { "upper_limit", team.upperLimit }, { "max_queued", team.maxQueued } };
}

TeamConfig teamFromJson(const json::value& value, const std::string& path, Reason& reason)
{
    StrictObject fields(value, path, reason);
    fields.rejectUnknownFields({ "share", "upper_limit", "max_queued" });
    TeamConfig team;
    team.share = fields.number32("share");
    team.upperLimit = fields.number32("upper_limit");
    team.maxQueued = fields.number32("max_queued");
    return team;
}

json::object queueToJson(const QueueConfig& queue)
{
    json::array teams;
    for (const auto& team : queue.teams)
        teams.emplace_back(team.text);
    return { { "kind", text(queue.kind) }, { "teams", std::move(teams) }, { "open", queue.open },
        { "deadline_ms", queue.deadlineMs }, { "idempotent", queue.idempotent } };
}

std::vector<TeamId> teamsFromJson(StrictObject& fields)
{
    std::vector<TeamId> teams;
    const auto* list = fields.find("teams");
    if (!list)
        return teams;
    if (!list->is_array()) {
        fields.reject("teams must be an array");
        return teams;
    }
    for (const auto& team : list->as_array()) {
        if (team.is_string())
            teams.emplace_back(std::string(team.as_string()));
        else
            fields.reject("teams must hold strings");
    }
    return teams;
}

QueueConfig queueFromJson(const json::value& value, const std::string& path, Reason& reason)
{
    StrictObject fields(value, path, reason);
    fields.rejectUnknownFields({ "kind", "teams", "open", "deadline_ms", "idempotent" });
    QueueConfig queue;
    const auto kind = queueKindNamed(fields.string("kind"));
    if (!kind)
        fields.reject("kind is not known");
    queue.kind = kind.value_or(QueueKind::Any);
    queue.teams = teamsFromJson(fields);
    queue.open = fields.boolean("open");
    queue.deadlineMs = fields.number32("deadline_ms");
    queue.idempotent = fields.boolean("idempotent");
    return queue;
}

json::object keyToJson(const KeyEntry& key)
{
    return { { "id", key.id }, { "role", text(key.role) }, { "team", key.team.text }, { "hash", key.hash },
        { "withdrawn", key.withdrawn } };
}

KeyEntry keyFromJson(const json::value& value, const std::string& path, Reason& reason)
{
    StrictObject fields(value, path, reason);
    fields.rejectUnknownFields({ "id", "role", "team", "hash", "withdrawn" });
    KeyEntry key;
    key.id = fields.string("id");
    const auto role = keyRoleNamed(fields.string("role"));
    if (!role)
        fields.reject("role is not known");
    key.role = role.value_or(KeyRole::Team);
    key.team = TeamId { fields.string("team") };
    key.hash = fields.string("hash");
    key.withdrawn = fields.boolean("withdrawn");
    return key;
}

PolicyConfig policyFromJson(const json::value& value, Reason& reason)
{
    StrictObject fields(value, "policy", reason);
    fields.rejectUnknownFields({ "retry_percent", "placement", "routing" });
    PolicyConfig policy;
    policy.retryPercent = fields.number32("retry_percent");
    policy.placement = fields.string("placement");
    policy.routing = fields.string("routing");
    return policy;
}

// Reads a JSON object whose field names are ids.
template <typename Key, typename Value, typename Read>
void readMap(const json::value& value, const std::string& path, std::map<Key, Value>& target, Reason& reason,
    Read read)
{
    const StrictObject fields(value, path, reason);
    if (!fields.object())
        return;
    for (const auto& field : *fields.object()) {
        const std::string name(field.key().data(), field.key().size());
        auto inner = path;
        inner.append(".").append(name);
        target.emplace(Key { name }, read(field.value(), inner, reason));
    }
}

void readKeys(const json::value& value, std::vector<KeyEntry>& target, Reason& reason)
{
    if (!value.is_array()) {
        if (reason.kind == ErrorKind::None)
            reason = Reason { ErrorKind::InvalidConfiguration, "keys must be an array" };
        return;
    }
    for (const auto& entry : value.as_array())
        target.push_back(keyFromJson(entry, "keys[" + std::to_string(target.size()) + "]", reason));
}

void readDocument(const json::value& value, Configuration& target, Reason& reason)
{
    StrictObject fields(value, {}, reason);
    if (!fields.rejectUnknownFields({ "version", "teams", "queues", "keys", "policy" }))
        return;
    target.version = fields.number("version", std::numeric_limits<std::uint64_t>::max());
    if (const auto* teams = fields.find("teams"))
        readMap(*teams, "teams", target.teams, reason, teamFromJson);
    if (const auto* queues = fields.find("queues"))
        readMap(*queues, "queues", target.queues, reason, queueFromJson);
    if (const auto* keys = fields.find("keys"))
        readKeys(*keys, target.keys, reason);
    if (const auto* policy = fields.find("policy"))
        target.policy = policyFromJson(*policy, reason);
}

bool isSameHash(const std::string& a, const std::string& b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace

std::string_view text(QueueKind kind) { return queueKindNames[static_cast<std::size_t>(kind)]; }
std::string_view text(KeyRole role) { return keyRoleNames[static_cast<std::size_t>(role)]; }

std::optional<QueueKind> queueKindNamed(std::string_view name)
{
    return enumNamed<QueueKind>(queueKindNames, name);
}

std::optional<KeyRole> keyRoleNamed(std::string_view name) { return enumNamed<KeyRole>(keyRoleNames, name); }

std::string keyHash(std::string_view key)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(), digest.data());
    std::string hex;
    hex.reserve(2 * digest.size());
    for (const auto byte : digest) {
        hex.push_back(digits[byte >> 4U]);
        hex.push_back(digits[byte & 0xfU]);
    }
    return hex;
}

std::optional<KeyMatch> matchKey(const Configuration& configuration, std::string_view presentedKey)
{
    const auto hash = keyHash(presentedKey);
    const KeyEntry* match = nullptr;
    bool withdrawn = false;
    // No early exit, so that the loop takes equally long for known and unknown keys.
    for (const auto& entry : configuration.keys) {
        if (!isSameHash(entry.hash, hash))
            continue;
        match = &entry;
        withdrawn = withdrawn || entry.withdrawn;
    }
    if (!match || withdrawn)
        return std::nullopt;
    return KeyMatch { match->id, match->role, match->team };
}

bool mayUse(const QueueConfig& queue, const TeamId& team)
{
    return queue.open || std::find(queue.teams.begin(), queue.teams.end(), team) != queue.teams.end();
}

std::string toJson(const Configuration& configuration)
{
    json::object teams;
    for (const auto& [id, team] : configuration.teams)
        teams.emplace(id.text, teamToJson(team));
    json::object queues;
    for (const auto& [id, queue] : configuration.queues)
        queues.emplace(id.text, queueToJson(queue));
    json::array keys;
    for (const auto& key : configuration.keys)
        keys.push_back(keyToJson(key));
    const auto& policy = configuration.policy;
    const json::object object { { "version", configuration.version }, { "teams", std::move(teams) },
        { "queues", std::move(queues) }, { "keys", std::move(keys) },
        { "policy",
            { { "retry_percent", policy.retryPercent }, { "placement", policy.placement },
                { "routing", policy.routing } } } };
    return json::serialize(object);
}

std::optional<Configuration> parseConfiguration(const std::string& document, Reason& reason)
{
    json::error_code ec;
    const auto value = json::parse(document, ec);
    if (ec)
        return fail(reason, ErrorKind::InvalidConfiguration, "not JSON: " + ec.message());
    Configuration configuration;
    Reason fault;
    readDocument(value, configuration, fault);
    if (fault.kind != ErrorKind::None) {
        reason = fault;
        return std::nullopt;
    }
    return configuration;
}

} // namespace quay
