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

// Reads one table; throws std::invalid_argument, which parseExperiment() turns into a Reason.
class Fields {
public:
    Fields(const json::value& value, std::string where)
        : m_where(std::move(where))
    {
        if (!value.is_object())
            throw std::invalid_argument(m_where + " must be a table");
        m_object = &value.get_object();
    }

    const json::value* take(const char* name)
    {
        m_taken.insert(name);
        return m_object->if_contains(name);
    }

    template <typename Number> void number(const char* name, Number& target)
    {
        const auto* value = take(name);
        if (!value)
            return;
        boost::system::error_code ec;
        const auto read = value->to_number<double>(ec);
        if (ec || read < 0)
            throw std::invalid_argument(m_where + "." + name + " must be a number from 0");
        target = static_cast<Number>(read);
    }

    void string(const char* name, std::string& target)
    {
        const auto* value = take(name);
        if (value && !value->is_string())
            throw std::invalid_argument(m_where + "." + name + " must be a text");
        if (value)
            target = std::string(value->get_string());
    }

    void boolean(const char* name, bool& target)
    {
        const auto* value = take(name);
        if (value && !value->is_bool())
            throw std::invalid_argument(m_where + "." + name + " must be true or false");
        if (value)
            target = value->get_bool();
    }

    template <typename Kind, typename Names> void kind(const Names& names, Kind& target)
    {
        std::string name;
        string("kind", name);
        const auto it = std::find(names.begin(), names.end(), name);
        if (it == names.end())
            throw std::invalid_argument(m_where + ".kind '" + name + "' is not known");
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
            if (!m_taken.count(std::string(field.key())))
                throw std::invalid_argument(m_where + "." + std::string(field.key()) + " is not known");
        }
    }

private:
    const json::object* m_object = nullptr;
    std::string m_where;
    std::set<std::string> m_taken;
};

FleetSpec readFleet(const json::value& value)
{
    FleetSpec fleet;
    Fields fields(value, "fleet");
    fields.number("domains", fleet.domains);
    fields.number("entries_per_domain", fleet.entriesPerDomain);
    fields.number("workers_per_domain", fleet.workersPerDomain);
    fields.number("executors_per_domain", fleet.executorsPerDomain);
    fields.number("slots", fleet.slots);
    fields.number("service_ms", fleet.serviceMs);
    fields.resources(fleet.worker);
    fields.finish();
    return fleet;
}

TeamConfig readTeam(const json::value& value, const std::string& where)
{
    TeamConfig team;
    Fields fields(value, where);
    fields.number("share", team.share);
    fields.number("upper_limit", team.upperLimit);
    fields.number("max_queued", team.maxQueued);
    fields.finish();
    return team;
}

LoadSpec readLoad(const json::value& value)
{
    LoadSpec load;
    Fields fields(value, "load");
    fields.string("name", load.name);
    fields.string("team", load.team);
    fields.kind(loadKindNames, load.kind);
    fields.number("rate", load.rate);
    fields.number("from_s", load.fromS);
    fields.number("until_s", load.untilS);
    fields.number("max_arrivals", load.maxArrivals);
    fields.boolean("idempotent", load.idempotent);
    fields.number("deadline_ms", load.deadlineMs);
    fields.number("tasks", load.tasks);
    fields.number("run_ms", load.runMs);
    fields.resources(load.perTask);
    fields.finish();
    if (load.name.empty())
        load.name = load.team + " " + std::string(text(load.kind));
    return load;
}

FaultSpec readFault(const json::value& value)
{
    FaultSpec fault;
    Fields fields(value, "faults");
    fields.number("at_s", fault.atS);
    fields.kind(faultKindNames, fault.kind);
    fields.string("entry", fault.entry);
    fields.string("lead_of", fault.leadOf);
    fields.string("domain", fault.domain);
    fields.number("delay_ms", fault.delayMs);
    fields.number("percent", fault.percent);
    fields.finish();
    return fault;
}

template <typename Value, typename Read>
void readArray(Fields& fields, const char* name, Read read, std::vector<Value>& target)
{
    const auto* value = fields.take(name);
    if (!value)
        return;
    if (!value->is_array())
        throw std::invalid_argument(std::string("write [[") + name + "]]");
    for (const auto& item : value->get_array())
        target.push_back(read(item));
}

void checkNames(const Experiment& experiment)
{
    for (const auto& load : experiment.loads) {
        if (!experiment.teams.count(load.team))
            throw std::invalid_argument("load '" + load.name + "' names no team of [teams]");
    }
}

Experiment readExperiment(const json::value& value)
{
    Experiment experiment;
    Fields fields(value, "experiment");
    fields.string("name", experiment.name);
    fields.number("duration_s", experiment.durationS);
    fields.number("settle_s", experiment.settleS);
    fields.number("idle_s", experiment.idleS);
    fields.number("warmup_s", experiment.warmupS);
    fields.number("seed", experiment.seed);
    if (const auto* fleet = fields.take("fleet"))
        experiment.fleet = readFleet(*fleet);
    if (const auto* teams = fields.take("teams")) {
        for (const auto& field : teams->as_object()) {
            const std::string name(field.key());
            experiment.teams[name] = readTeam(field.value(), "teams." + name);
        }
    }
    readArray(fields, "load", readLoad, experiment.loads);
    readArray(fields, "faults", readFault, experiment.faults);
    fields.finish();
    std::stable_sort(experiment.faults.begin(), experiment.faults.end(),
        [](const FaultSpec& a, const FaultSpec& b) { return a.atS < b.atS; });
    checkNames(experiment);
    return experiment;
}

// "load.0.rate=500" sets the field "rate" of the first [[load]].
void override(json::value& root, const std::string& assignment)
{
    const auto equals = assignment.find('=');
    if (equals == std::string::npos)
        throw std::invalid_argument("'" + assignment + "' is not PATH=VALUE");
    auto* at = &root;
    std::istringstream path(assignment.substr(0, equals));
    std::string word;
    while (std::getline(path, word, '.')) {
        if (at->is_null())
            at->emplace_object(); // a table that the file doesn't have
        if (at->is_array())
            at = &at->get_array().at(std::stoul(word));
        else
            at = &at->as_object()[word];
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
