#include "quay/core/ConfigCompiler.h"

#include "TomlReader.h"

#include <algorithm>
#include <set>

namespace quay {

namespace {

using internal::TomlFindings;
using internal::TomlReader;

constexpr std::int64_t maxCountValue = 1'000'000;
constexpr std::int64_t maxDeadlineMs = 24LL * 60 * 60 * 1000;
constexpr std::string_view hashPrefix = "sha256:";
constexpr std::size_t hashDigits = 64;

// The state of one compilation. Each file is applied on top of the earlier ones.
struct CompilationState {
    Configuration result;
    std::map<std::string, KeyEntry> keys;
    std::uint32_t sharesSum = 0; // 0: not declared
    std::uint32_t fleetUnits = 0; // 0: not declared
    TomlFindings findings;
    bool isOverlay = false; // the current file is an overlay
    bool areTeamsValid = true; // no error in a team's table, so sums over the teams are meaningful
};

bool isName(std::string_view name)
{
    constexpr std::string_view allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_";
    return !name.empty() && name.find_first_not_of(allowed) == std::string_view::npos;
}

// Validates a name and the `new` mark, which only entries added by an overlay have. Returns false if the
// table must be skipped.
bool checkName(CompilationState& state, TomlReader& reader, const std::string& name, bool isKnown)
{
    bool isNew = false;
    TomlReader mark = reader;
    if (reader.has("new"))
        mark.boolean("new", isNew);
    if (!isName(name)) {
        state.findings.error(
            reader.location(), "'" + name + "' is not a valid name", "use letters, digits, '-' and '_'");
        return false;
    }
    if (state.isOverlay && !isKnown && !isNew) {
        state.findings.error(reader.location(), "'" + reader.path() + "' is not in the base",
            "correct the name, or add 'new = true' if this site adds it");
        return false;
    }
    if (isNew && (isKnown || !state.isOverlay)) {
        reader.errorAt(
            "new", "'" + reader.path() + "' is already defined or not in an overlay", "remove 'new = true'");
        return false;
    }
    return true;
}

void consumeNewMark(TomlReader& reader)
{
    bool ignored = false; // already validated by checkName()
    if (reader.has("new"))
        reader.boolean("new", ignored);
}

TomlReader withoutRepeatWarningsIfNew(const CompilationState& state, const TomlReader& reader, bool isKnown)
{
    return state.isOverlay && isKnown ? reader : reader.withoutRepeatWarnings();
}

void readTeam(CompilationState& state, const std::string& name, TomlReader original)
{
    const TeamId id { name };
    const bool isKnown = state.result.teams.contains(id);
    if (!checkName(state, original, name, isKnown))
        return;
    auto reader = withoutRepeatWarningsIfNew(state, original, isKnown);
    consumeNewMark(reader);
    auto& team = state.result.teams[id];
    if (!isKnown) {
        reader.require("share", "give the team's weight, at least 1");
        reader.require("upper_limit", "give the team's maximum number of running units");
    }
    reader.integer("share", 1, maxCountValue, team.share);
    reader.integer("upper_limit", 1, maxCountValue, team.upperLimit);
    reader.integer("max_queued", 0, maxCountValue, team.maxQueued);
    reader.reportUnknownKeys();
}

void readTeams(CompilationState& state, TomlReader& root)
{
    const auto errorsBefore = state.findings.errors.size();
    for (auto& [name, reader] : root.tables("teams"))
        readTeam(state, name, reader);
    if (state.findings.errors.size() > errorsBefore)
        state.areTeamsValid = false;
}

void readQueueTeams(TomlReader& reader, QueueConfig& queue)
{
    std::vector<std::string> names;
    for (const auto& team : queue.teams)
        names.push_back(team.text);
    if (!reader.strings("teams", names))
        return;
    queue.teams.clear();
    for (const auto& name : names)
        queue.teams.emplace_back(name);
}

void readQueue(CompilationState& state, const std::string& name, TomlReader original)
{
    const QueueId id { name };
    const bool isKnown = state.result.queues.contains(id);
    if (!checkName(state, original, name, isKnown))
        return;
    auto reader = withoutRepeatWarningsIfNew(state, original, isKnown);
    consumeNewMark(reader);
    auto& queue = state.result.queues[id];
    if (!isKnown) {
        reader.require("kind", "write one of: interactive, batch, gang, service, any");
        reader.require("teams", "name the teams that may use the queue");
    }
    std::string kind(text(queue.kind));
    if (reader.choice("kind", { "interactive", "batch", "gang", "service", "any" }, kind))
        queue.kind = queueKindNamed(kind).value_or(QueueKind::Any);
    readQueueTeams(reader, queue);
    reader.boolean("open", queue.open);
    reader.integer("deadline_ms", 1, maxDeadlineMs, queue.deadlineMs);
    reader.boolean("idempotent", queue.idempotent);
    reader.reportUnknownKeys();
}

bool isHash(std::string_view text)
{
    constexpr std::string_view digits = "0123456789abcdef";
    return text.starts_with(hashPrefix) && text.size() == hashPrefix.size() + hashDigits
        && text.find_first_not_of(digits, hashPrefix.size()) == std::string_view::npos;
}

void readHash(TomlReader& reader, KeyEntry& key)
{
    // Empty means that there is no hash yet, so that the first hash is never reported as a repeated value.
    std::string hash = key.hash.empty() ? std::string() : std::string(hashPrefix) + key.hash;
    if (!reader.string("hash", hash))
        return;
    if (!isHash(hash)) {
        reader.errorAt("hash", "'" + reader.pathOf("hash") + "' is not a SHA-256 hash",
            "write \"sha256:\" and 64 lower-case hex digits; never the key itself");
        return;
    }
    key.hash = hash.substr(hashPrefix.size());
}

void readOwner(TomlReader& reader, KeyEntry& key)
{
    std::string role(text(key.role));
    if (reader.choice("role", { "team", "operator" }, role))
        key.role = keyRoleNamed(role).value_or(KeyRole::Team);
    reader.string("team", key.team.text);
}

void readKey(CompilationState& state, std::set<std::string>& seen, TomlReader original)
{
    std::string id;
    original.require("id", "give the key a name");
    TomlReader first = original.withoutRepeatWarnings();
    if (!first.string("id", id))
        return;
    if (!seen.insert(id).second) {
        original.errorAt("id", "key id '" + id + "' appears twice in this file", "remove one of the two");
        return;
    }
    original.setPath("keys." + id);
    const bool isKnown = state.keys.contains(id);
    if (!checkName(state, original, id, isKnown))
        return;
    auto reader = withoutRepeatWarningsIfNew(state, original, isKnown);
    consumeNewMark(reader);
    std::string ignored;
    reader.string("id", ignored);
    auto& key = state.keys[id];
    key.id = id;
    if (!isKnown)
        reader.require("hash", "write \"sha256:\" and 64 lower-case hex digits; never the key itself");
    readHash(reader, key);
    readOwner(reader, key);
    reader.boolean("withdrawn", key.withdrawn);
    reader.reportUnknownKeys();
}

void readPolicy(TomlReader& root, PolicyConfig& policy)
{
    auto reader = root.table("policy");
    if (!reader)
        return;
    reader->integer("retry_percent", 0, 100, policy.retryPercent);
    reader->choice("placement", { "pack", "first_fit", "random" }, policy.placement);
    reader->choice("routing", { "two_choices", "random", "first_fit" }, policy.routing);
    reader->reportUnknownKeys();
}

void readFile(CompilationState& state, const ConfigSource& source)
{
    const auto table = internal::parseToml(source.file, source.text, state.findings);
    if (!table)
        return;
    TomlReader root(*table, source.file, {}, state.findings, state.isOverlay);
    root.integer("shares_sum", 1, maxCountValue, state.sharesSum);
    root.integer("fleet_units", 1, maxCountValue, state.fleetUnits);
    readTeams(state, root);
    for (auto& [name, reader] : root.tables("queues"))
        readQueue(state, name, reader);
    std::set<std::string> seen;
    for (auto& reader : root.array("keys"))
        readKey(state, seen, reader);
    readPolicy(root, state.result.policy);
    root.reportUnknownKeys();
}

std::uint64_t sumOfShares(const Configuration& configuration)
{
    std::uint64_t sum = 0;
    for (const auto& [id, team] : configuration.teams)
        sum += team.share;
    return sum;
}

void checkSharesSum(CompilationState& state)
{
    const auto sum = sumOfShares(state.result);
    if (!state.sharesSum || state.sharesSum == sum)
        return;
    state.findings.error(state.findings.locationOf("shares_sum"),
        "the shares add up to " + std::to_string(sum) + ", not to " + std::to_string(state.sharesSum),
        "correct a team's share or shares_sum");
}

// A team's guaranteed share is fleet_units * share / sum, rounded down. With a lower upper limit the team
// could never use its guaranteed share.
void checkGuarantees(CompilationState& state)
{
    const auto sum = sumOfShares(state.result);
    if (!state.fleetUnits || !sum)
        return;
    for (const auto& [id, team] : state.result.teams) {
        const auto guaranteed = std::uint64_t { state.fleetUnits } * team.share / sum;
        if (team.upperLimit >= guaranteed)
            continue;
        state.findings.error(state.findings.locationOf("teams." + id.text + ".upper_limit"),
            "upper limit " + std::to_string(team.upperLimit) + " of team '" + id.text
                + "' is below its guaranteed share of " + std::to_string(guaranteed) + " units",
            "raise upper_limit or lower share");
    }
}

void checkQueue(CompilationState& state, const QueueId& id, const QueueConfig& queue)
{
    const auto location = state.findings.locationOf("queues." + id.text + ".teams");
    for (const auto& team : queue.teams) {
        if (!state.result.teams.contains(team))
            state.findings.error(location, "queue '" + id.text + "' names unknown team '" + team.text + "'",
                "add [teams." + team.text + "] or correct the name");
    }
    if (queue.open && queue.teams.size() != 1)
        state.findings.error(location, "open queue '" + id.text + "' must name exactly one team",
            "name the one team that its work is charged to");
    if (!queue.open && queue.teams.empty())
        state.findings.error(
            location, "queue '" + id.text + "' names no team", "name the teams that may use the queue");
}

void checkKeyOwner(CompilationState& state, const KeyEntry& key)
{
    const auto location = state.findings.locationOf("keys." + key.id + ".team");
    if (key.role == KeyRole::Operator && !key.team.empty())
        state.findings.error(location, "operator key '" + key.id + "' names a team", "remove team or role");
    if (key.role == KeyRole::Team && key.team.empty())
        state.findings.error(
            location, "key '" + key.id + "' names no team", "add team, or role = \"operator\"");
    if (!key.team.empty() && !state.result.teams.contains(key.team))
        state.findings.error(location, "key '" + key.id + "' names unknown team '" + key.team.text + "'",
            "add [teams." + key.team.text + "] or correct the name");
}

void checkKeys(CompilationState& state)
{
    std::map<std::string, std::string> idByHash;
    for (const auto& [id, key] : state.keys) {
        checkKeyOwner(state, key);
        if (key.hash.empty())
            continue;
        const auto [other, fresh] = idByHash.emplace(key.hash, id);
        if (!fresh)
            state.findings.error(state.findings.locationOf("keys." + id + ".hash"),
                "keys '" + other->second + "' and '" + id + "' have the same hash",
                "give each entry a key of its own");
    }
}

CompileResult makeResult(CompilationState state)
{
    CompileResult result;
    std::stable_sort(state.findings.errors.begin(), state.findings.errors.end());
    result.errors = std::move(state.findings.errors);
    result.warnings = std::move(state.findings.warnings);
    if (!result.errors.empty())
        return result;
    for (auto& [id, key] : state.keys)
        state.result.keys.push_back(std::move(key));
    result.configuration = std::move(state.result);
    return result;
}

using Lines = std::vector<std::string>;

std::string formatValue(std::uint32_t value) { return std::to_string(value); }
std::string formatValue(bool value) { return value ? "true" : "false"; }
std::string formatValue(const std::string& value) { return value; }
std::string formatValue(std::string_view value) { return std::string(value); }

std::string formatValue(const std::vector<TeamId>& teams)
{
    std::string line;
    for (const auto& team : teams)
        line.append(line.empty() ? "" : ",").append(team.text);
    return "[" + line + "]";
}

template <typename Value>
void compare(Lines& lines, const std::string& what, const Value& from, const Value& to)
{
    if (from != to)
        lines.push_back(what + " " + formatValue(from) + " -> " + formatValue(to));
}

void compareEntries(Lines& lines, const std::string& what, const TeamConfig& from, const TeamConfig& to)
{
    compare(lines, what + ": share", from.share, to.share);
    compare(lines, what + ": upper_limit", from.upperLimit, to.upperLimit);
    compare(lines, what + ": max_queued", from.maxQueued, to.maxQueued);
}

void compareEntries(Lines& lines, const std::string& what, const QueueConfig& from, const QueueConfig& to)
{
    compare(lines, what + ": kind", text(from.kind), text(to.kind));
    compare(lines, what + ": teams", from.teams, to.teams);
    compare(lines, what + ": open", from.open, to.open);
    compare(lines, what + ": deadline_ms", from.deadlineMs, to.deadlineMs);
    compare(lines, what + ": idempotent", from.idempotent, to.idempotent);
}

void compareEntries(Lines& lines, const std::string& what, const KeyEntry& from, const KeyEntry& to)
{
    compare(lines, what + ": role", text(from.role), text(to.role));
    compare(lines, what + ": team", from.team.text, to.team.text);
    if (from.hash != to.hash)
        lines.push_back(what + ": hash changed");
    compare(lines, what + ": withdrawn", from.withdrawn, to.withdrawn);
}

template <typename Key, typename Value>
void compareMaps(
    Lines& lines, const std::string& noun, const std::map<Key, Value>& from, const std::map<Key, Value>& to)
{
    for (const auto& [id, value] : from) {
        const auto other = to.find(id);
        if (other == to.end())
            lines.push_back(noun + " " + id.text + ": removed");
        else
            compareEntries(lines, noun + " " + id.text, value, other->second);
    }
    for (const auto& [id, value] : to) {
        if (!from.contains(id))
            lines.push_back(noun + " " + id.text + ": added");
    }
}

using KeyName = Id<struct KeyNameTag>;

std::map<KeyName, KeyEntry> keysById(const Configuration& configuration)
{
    std::map<KeyName, KeyEntry> keys;
    for (const auto& key : configuration.keys)
        keys.emplace(KeyName { key.id }, key);
    return keys;
}

} // namespace

CompileResult compileConfiguration(const ConfigSource& base, const std::vector<ConfigSource>& overlays)
{
    CompilationState state;
    readFile(state, base);
    state.isOverlay = true;
    for (const auto& source : overlays)
        readFile(state, source);
    if (state.areTeamsValid) {
        checkSharesSum(state);
        checkGuarantees(state);
    }
    for (const auto& [id, queue] : state.result.queues)
        checkQueue(state, id, queue);
    checkKeys(state);
    return makeResult(std::move(state));
}

std::vector<std::string> diff(const Configuration& from, const Configuration& to)
{
    Lines lines;
    compareMaps(lines, "team", from.teams, to.teams);
    compareMaps(lines, "queue", from.queues, to.queues);
    compareMaps(lines, "key", keysById(from), keysById(to));
    compare(lines, "policy: retry_percent", from.policy.retryPercent, to.policy.retryPercent);
    compare(lines, "policy: placement", from.policy.placement, to.policy.placement);
    compare(lines, "policy: routing", from.policy.routing, to.policy.routing);
    return lines;
}

} // namespace quay
