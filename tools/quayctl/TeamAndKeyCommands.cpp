#include "Command.h"
#include "ConfigurationEdit.h"

#include <algorithm>
#include <iostream>

namespace quay::ctl {

namespace {

// The arguments of an edit command: positional ones, and the values of options by name without the dashes.
struct EditArguments {
    std::vector<std::string> positional;
    std::map<std::string, std::string> options;
};

std::optional<EditArguments> parseEditArguments(
    const Invocation& invocation, const std::vector<std::string>& allowed)
{
    EditArguments arguments;
    for (std::size_t i = 0; i < invocation.arguments.size(); ++i) {
        const auto& argument = invocation.arguments[i];
        if (!argument.starts_with("--")) {
            arguments.positional.push_back(argument);
            continue;
        }
        const auto equals = argument.find('=');
        const auto name = argument.substr(2, equals == std::string::npos ? equals : equals - 2);
        const bool isKnown = std::find(allowed.begin(), allowed.end(), name) != allowed.end();
        if (!isKnown || (equals == std::string::npos && i + 1 == invocation.arguments.size())) {
            std::cerr << "quayctl: " << (isKnown ? "no value for --" : "unknown option --") << name
                      << "; see 'quayctl --help' for an example\n";
            return std::nullopt;
        }
        arguments.options[name]
            = equals == std::string::npos ? invocation.arguments[++i] : argument.substr(equals + 1);
    }
    return arguments;
}

std::optional<std::uint32_t> parseWholeNumber(const std::string& name, const std::string& text)
{
    const bool isNumber
        = !text.empty() && text.size() <= 9 && text.find_first_not_of("0123456789") == text.npos;
    if (isNumber)
        return static_cast<std::uint32_t>(std::stoul(text));
    std::cerr << "quayctl: --" << name << " takes a whole number below 1000000000, not '" << text << "'\n";
    return std::nullopt;
}

// Sets the fields named by the options. Returns false, after printing an error, if a value is not a whole
// number.
bool setFields(TeamConfig& team, const std::map<std::string, std::string>& options)
{
    const std::map<std::string, std::uint32_t TeamConfig::*> fields { { "share", &TeamConfig::share },
        { "upper-limit", &TeamConfig::upperLimit }, { "max-queued", &TeamConfig::maxQueued } };
    for (const auto& [name, text] : options) {
        const auto number = parseWholeNumber(name, text);
        if (!number)
            return false;
        team.*fields.at(name) = *number;
    }
    return true;
}

KeyEntry* findKey(Configuration& configuration, const std::string& id)
{
    const auto found = std::find_if(configuration.keys.begin(), configuration.keys.end(),
        [&](const KeyEntry& key) { return key.id == id; });
    return found == configuration.keys.end() ? nullptr : &*found;
}

// The key is read from standard input because command line arguments are visible to every process of the
// machine.
std::optional<std::string> readKeyFromInput()
{
    std::string key;
    if (std::getline(std::cin, key) && !key.empty())
        return key;
    std::cerr << "quayctl: pass the key on standard input\n";
    return std::nullopt;
}

} // namespace

int runTeamSet(const Invocation& invocation)
{
    const auto arguments = parseEditArguments(invocation, { "share", "upper-limit", "max-queued" });
    if (!arguments)
        return ExitUsage;
    if (arguments->positional.size() != 1 || arguments->options.empty()) {
        std::cerr << "quayctl: give one team and at least one of --share, --upper-limit, --max-queued\n";
        return ExitUsage;
    }
    const TeamId id { arguments->positional.front() };
    return editConfiguration(invocation, [&](Configuration& configuration) {
        const auto team = configuration.teams.find(id);
        if (team != configuration.teams.end())
            return setFields(team->second, arguments->options);
        std::cerr << "quayctl: there is no team '" << id.text
                  << "'; add it to the base file and apply that\n";
        return false;
    });
}

int runKeyAdd(const Invocation& invocation)
{
    const auto arguments = parseEditArguments(invocation, { "team" });
    if (!arguments)
        return ExitUsage;
    if (arguments->positional.size() != 1) {
        std::cerr << "quayctl: give the id of the new key; with --team TEAM it is a key of the team, "
                     "otherwise an operator's key\n";
        return ExitUsage;
    }
    const auto text = readKeyFromInput();
    if (!text)
        return ExitUsage;
    const auto team = arguments->options.find("team");
    const bool isOperator = team == arguments->options.end();
    const KeyEntry key { arguments->positional.front(), isOperator ? KeyRole::Operator : KeyRole::Team,
        isOperator ? TeamId {} : TeamId { team->second }, keyHash(*text), false };
    return editConfiguration(invocation, [&](Configuration& configuration) {
        const bool isUnknownTeam = !isOperator && !configuration.teams.contains(key.team);
        const bool isDuplicate = std::any_of(configuration.keys.begin(), configuration.keys.end(),
            [&](const KeyEntry& other) { return other.id == key.id || other.hash == key.hash; });
        if (isUnknownTeam)
            std::cerr << "quayctl: there is no team '" << key.team.text << "'; see 'quayctl team list'\n";
        else if (isDuplicate)
            std::cerr << "quayctl: a key with this id or this text already exists; choose another\n";
        if (isUnknownTeam || isDuplicate)
            return false;
        configuration.keys.push_back(key);
        std::sort(configuration.keys.begin(), configuration.keys.end(),
            [](const KeyEntry& a, const KeyEntry& b) { return a.id < b.id; });
        return true;
    });
}

int runKeyWithdraw(const Invocation& invocation)
{
    if (invocation.arguments.size() != 1) {
        std::cerr << "quayctl: give the id of one key\n";
        return ExitUsage;
    }
    const auto id = invocation.arguments.front();
    return editConfiguration(invocation, [&](Configuration& configuration) {
        auto* key = findKey(configuration, id);
        if (!key)
            std::cerr << "quayctl: there is no key '" << id
                      << "'; 'quayctl --output json config show' lists them\n";
        else
            key->withdrawn = true;
        return key != nullptr;
    });
}

int runTeamList(const Invocation& invocation)
{
    Reason reason;
    const auto response = sendRequest(invocation.target, getRequest("/v1/teams"), reason);
    const int code = reportFailure(response, reason);
    if (code == ExitOk)
        printResult(invocation, response->body);
    return code;
}

} // namespace quay::ctl
