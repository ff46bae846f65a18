#include "quay-bench/Experiment.h"

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

namespace quay::bench {

namespace json = boost::json;

namespace {

constexpr std::array<std::string_view, 4> loadKindNames { "interactive", "batch", "gang", "service" };
constexpr std::array<std::string_view, 10> faultKindNames { "kill", "stop", "continue", "restart",
    "platform_down", "platform_up", "platform_delay", "lose_answers", "executors_fail", "executors_heal" };

// Strict reader of one table. Throws std::invalid_argument, which parseExperiment() converts to a Reason.
class TableReader {
public:
    TableReader(const json::value& value, std::string location)
        : m_location(std::move(location))
    {
        if (!value.is_object())
            throw std::invalid_argument(m_location + " must be a table");
        m_object = &value.get_object();
    }

    const json::value* findField(const char* name)
    {
        m_knownFields.insert(name);
        return m_object->if_contains(name);
    }

    template <typename Number> void number(const char* name, Number& target)
    {
        const auto* value = findField(name);
        if (!value)
            return;
        boost::system::error_code ec;
        const auto read = value->to_number<double>(ec);
        if (ec || read < 0)
            throw std::invalid_argument(m_location + "." + name + " must be a number not below 0");
        target = static_cast<Number>(read);
    }

    void string(const char* name, std::string& target)
    {
        const auto* value = findField(name);
        if (value && !value->is_string())
            throw std::invalid_argument(m_location + "." + name + " must be a string");
        if (value)
            target = std::string(value->get_string());
    }

    void boolean(const char* name, bool& target)
    {
        const auto* value = findField(name);
        if (value && !value->is_bool())
            throw std::invalid_argument(m_location + "." + name + " must be true or false");
        if (value)
            target = value->get_bool();
    }

    template <typename Kind, typename Names> void kind(const Names& names, Kind& target)
    {
        std::string name;
        string("kind", name);
        const auto it = std::find(names.begin(), names.end(), name);
        if (it == names.end())
            throw std::invalid_argument(m_location + ".kind '" + name + "' is not known");
        target = static_cast<Kind>(it - names.begin());
    }

    void resources(Resources& target)
    {
        number("cpu_milli", target.cpuMilli);
        number("memory_mb", target.memoryMb);
        number("accelerators", target.accelerators);
    }

    void finish() const
    {
        for (const auto& field : *m_object) {
            if (!m_knownFields.count(std::string(field.key())))
                throw std::invalid_argument(m_location + "." + std::string(field.key()) + " is not known");
        }
    }

private:
    const json::object* m_object = nullptr;
    std::string m_location;
    std::set<std::string> m_knownFields;
};

FleetSpec readFleet(const json::value& value)
{
    FleetSpec fleet;
    TableReader reader(value, "fleet");
    reader.number("domains", fleet.domains);
    reader.number("entries_per_domain", fleet.entriesPerDomain);
    reader.number("workers_per_domain", fleet.workersPerDomain);
    reader.number("executors_per_domain", fleet.executorsPerDomain);
    reader.number("slots", fleet.slots);
    reader.number("service_ms", fleet.serviceMs);
    reader.resources(fleet.worker);
    reader.finish();
    return fleet;
}

TeamConfig readTeam(const json::value& value, const std::string& location)
{
    TeamConfig team;
    TableReader reader(value, location);
    reader.number("share", team.share);
    reader.number("upper_limit", team.upperLimit);
    reader.number("max_queued", team.maxQueued);
    reader.finish();
    return team;
}

LoadSpec readLoad(const json::value& value)
{
    LoadSpec load;
    TableReader reader(value, "load");
    reader.string("name", load.name);
    reader.string("team", load.team);
    reader.kind(loadKindNames, load.kind);
    reader.number("rate", load.rate);
    reader.number("from_s", load.fromS);
    reader.number("until_s", load.untilS);
    reader.number("max_arrivals", load.maxArrivals);
    reader.boolean("idempotent", load.isIdempotent);
    reader.number("deadline_ms", load.deadlineMs);
    reader.number("tasks", load.tasks);
    reader.number("run_ms", load.runMs);
    reader.resources(load.perTask);
    reader.finish();
    if (load.name.empty())
        load.name = load.team + " " + std::string(text(load.kind));
    return load;
}

FaultSpec readFault(const json::value& value)
{
    FaultSpec fault;
    TableReader reader(value, "faults");
    reader.number("at_s", fault.atS);
    reader.kind(faultKindNames, fault.kind);
    reader.string("entry", fault.entry);
    reader.string("lead_of", fault.leadOf);
    reader.string("domain", fault.domain);
    reader.number("delay_ms", fault.delayMs);
    reader.number("percent", fault.percent);
    reader.finish();
    return fault;
}

template <typename Value, typename Read>
void readArray(TableReader& reader, const char* name, Read read, std::vector<Value>& target)
{
    const auto* value = reader.findField(name);
    if (!value)
        return;
    if (!value->is_array())
        throw std::invalid_argument(std::string("write [[") + name + "]]");
    for (const auto& item : value->get_array())
        target.push_back(read(item));
}

void checkLoadTeams(const Experiment& experiment)
{
    for (const auto& load : experiment.loads) {
        if (!experiment.teams.count(load.team))
            throw std::invalid_argument("load '" + load.name + "' names no team of [teams]");
    }
}

Experiment readExperiment(const json::value& value)
{
    Experiment experiment;
    TableReader reader(value, "experiment");
    reader.string("name", experiment.name);
    reader.number("duration_s", experiment.durationS);
    reader.number("settle_s", experiment.settleS);
    reader.number("idle_s", experiment.idleS);
    reader.number("warmup_s", experiment.warmupS);
    reader.number("seed", experiment.seed);
    if (const auto* fleet = reader.findField("fleet"))
        experiment.fleet = readFleet(*fleet);
    if (const auto* teams = reader.findField("teams")) {
        for (const auto& field : teams->as_object()) {
            const std::string name(field.key());
            experiment.teams[name] = readTeam(field.value(), "teams." + name);
        }
    }
    readArray(reader, "load", readLoad, experiment.loads);
    readArray(reader, "faults", readFault, experiment.faults);
    reader.finish();
    std::stable_sort(experiment.faults.begin(), experiment.faults.end(),
        [](const FaultSpec& a, const FaultSpec& b) { return a.atS < b.atS; });
    checkLoadTeams(experiment);
    return experiment;
}

// Applies one override: "load.0.rate=500" sets the field "rate" of the first [[load]].
void override(json::value& root, const std::string& assignment)
{
    const auto equals = assignment.find('=');
    if (equals == std::string::npos)
        throw std::invalid_argument("'" + assignment + "' is not PATH=VALUE");
    auto* at = &root;
    std::istringstream path(assignment.substr(0, equals));
    std::string part;
    while (std::getline(path, part, '.')) {
        if (at->is_null())
            at->emplace_object(); // the file has no such table
        if (at->is_array())
            at = &at->get_array().at(std::stoul(part));
        else
            at = &at->as_object()[part];
    }
    *at = json::parse(assignment.substr(equals + 1));
}

KeyEntry keyEntry(const std::string& id, KeyRole role, const std::string& team, const std::string& key)
{
    KeyEntry entry;
    entry.id = id;
    entry.role = role;
    entry.team = TeamId { team };
    entry.hash = keyHash(key);
    return entry;
}

} // namespace

std::string_view text(LoadKind kind) { return loadKindNames[static_cast<std::size_t>(kind)]; }
std::string_view text(FaultKind kind) { return faultKindNames[static_cast<std::size_t>(kind)]; }

std::optional<Experiment> parseExperiment(
    const std::string& document, const std::vector<std::string>& overrides, Reason& reason)
{
    try {
        const auto table = toml::parse(document);
        std::ostringstream asJson;
        asJson << toml::json_formatter { table };
        auto value = json::parse(asJson.str());
        for (const auto& assignment : overrides)
            override(value, assignment);
        return readExperiment(value);
    } catch (const std::exception& error) {
        return fail(reason, ErrorKind::MalformedRequest, error.what());
    }
}

std::string teamKey(const std::string& team) { return "bench-key-of-" + team; }
std::string teamQueue(const std::string& team) { return team + "-work"; }
std::string operatorKey() { return "bench-operator-key"; }

Configuration configurationOf(const Experiment& experiment)
{
    Configuration configuration;
    for (const auto& [name, team] : experiment.teams) {
        const TeamId id { name };
        configuration.teams[id] = team;
        QueueConfig queue;
        queue.teams = { id };
        configuration.queues[QueueId { teamQueue(name) }] = queue;
        configuration.keys.push_back(keyEntry("key-" + name, KeyRole::Team, name, teamKey(name)));
    }
    configuration.keys.push_back(keyEntry("operator", KeyRole::Operator, {}, operatorKey()));
    std::sort(configuration.keys.begin(), configuration.keys.end(),
        [](const KeyEntry& a, const KeyEntry& b) { return a.id < b.id; });
    return configuration;
}

} // namespace quay::bench
