#include "Command.h"
#include "Document.h"

#include <algorithm>
#include <iostream>

namespace quay::ctl {

namespace {

// The words of an edit: options as NAME=VALUE pairs and the rest.
struct EditWords {
    std::vector<std::string> plain;
    std::map<std::string, std::string> options;
};

std::optional<EditWords> editWords(const Invocation& invocation, const std::vector<std::string>& allowed)
{
    EditWords words;
    for (std::size_t i = 0; i < invocation.words.size(); ++i) {
        const auto& word = invocation.words[i];
        if (!word.starts_with("--")) {
            words.plain.push_back(word);
            continue;
        }
        const auto equals = word.find('=');
        const auto name = word.substr(2, equals == std::string::npos ? equals : equals - 2);
        const bool known = std::find(allowed.begin(), allowed.end(), name) != allowed.end();
        if (!known || (equals == std::string::npos && i + 1 == invocation.words.size())) {
            std::cerr << "quayctl: " << (known ? "no value for --" : "unknown option --") << name
                      << "; see 'quayctl --help' for an example\n";
            return std::nullopt;
        }
        words.options[name] = equals == std::string::npos ? invocation.words[++i] : word.substr(equals + 1);
    }
    return words;
}

std::optional<std::uint32_t> wholeNumber(const std::string& name, const std::string& text)
{
    const bool digits
        = !text.empty() && text.size() <= 9 && text.find_first_not_of("0123456789") == text.npos;
    if (digits)
        return static_cast<std::uint32_t>(std::stoul(text));
    std::cerr << "quayctl: --" << name << " takes a whole number below 1000000000, not '" << text << "'\n";
    return std::nullopt;
}

// Sets the fields that the options name; false with a message if one of them is not a number.
bool setFields(TeamConfig& team, const std::map<std::string, std::string>& options)
{
    const std::map<std::string, std::uint32_t TeamConfig::*> fields { { "share", &TeamConfig::share },
        { "upper-limit", &TeamConfig::upperLimit }, { "max-queued", &TeamConfig::maxQueued } };
    for (const auto& [name, text] : options) {
        const auto number = wholeNumber(name, text);
        if (!number)
            return false;
        team.*fields.at(name) = *number;
    }
    return true;
}

KeyEntry* findKey(Configuration& document, const std::string& id)
{
    const auto found = std::find_if(
        document.keys.begin(), document.keys.end(), [&](const KeyEntry& key) { return key.id == id; });
    return found == document.keys.end() ? nullptr : &*found;
}

// The key's text comes from the standard input, since arguments are visible to every process of the machine.
std::optional<std::string> keyFromInput()
{
    std::string key;
    if (std::getline(std::cin, key) && !key.empty())
        return key;
    std::cerr << "quayctl: give the key on the standard input\n";
    return std::nullopt;
}

} // namespace

int runTeamSet(const Invocation& invocation)
{
    const auto words = editWords(invocation, { "share", "upper-limit", "max-queued" });
    if (!words)
        return ExitUsage;
    if (words->plain.size() != 1 || words->options.empty()) {
        std::cerr << "quayctl: name one team and at least one of --share, --upper-limit, --max-queued\n";
        return ExitUsage;
    }
    const TeamId id { words->plain.front() };
    return editDocument(invocation, [&](Configuration& document) {
        const auto team = document.teams.find(id);
        if (team != document.teams.end())
            return setFields(team->second, words->options);
        std::cerr << "quayctl: there is no team '" << id.text
                  << "'; add it to the base file and apply that\n";
        return false;
    });
}

int runKeyAdd(const Invocation& invocation)
{
    const auto words = editWords(invocation, { "team" });
    if (!words)
        return ExitUsage;
    if (words->plain.size() != 1) {
        std::cerr
            << "quayctl: name the new key's id; --team TEAM makes it a team's, else it is an operator's\n";
        return ExitUsage;
    }
    const auto text = keyFromInput();
    if (!text)
        return ExitUsage;
    const auto team = words->options.find("team");
    const bool isOperator = team == words->options.end();
    const KeyEntry key { words->plain.front(), isOperator ? KeyRole::Operator : KeyRole::Team,
        isOperator ? TeamId {} : TeamId { team->second }, keyHash(*text), false };
    return editDocument(invocation, [&](Configuration& document) {
        const bool unknownTeam = !isOperator && !document.teams.contains(key.team);
        const bool repeated = std::any_of(document.keys.begin(), document.keys.end(),
            [&](const KeyEntry& other) { return other.id == key.id || other.hash == key.hash; });
        if (unknownTeam)
            std::cerr << "quayctl: there is no team '" << key.team.text
                      << "'; 'quayctl team list' shows them\n";
        else if (repeated)
            std::cerr << "quayctl: a key with this id or this text is there already; choose another\n";
        if (unknownTeam || repeated)
            return false;
        document.keys.push_back(key);
        std::sort(document.keys.begin(), document.keys.end(),
            [](const KeyEntry& a, const KeyEntry& b) { return a.id < b.id; });
        return true;
    });
}

int runKeyWithdraw(const Invocation& invocation)
{
    if (invocation.words.size() != 1) {
        std::cerr << "quayctl: name the id of one key\n";
        return ExitUsage;
    }
    const auto id = invocation.words.front();
    return editDocument(invocation, [&](Configuration& document) {
        auto* key = findKey(document, id);
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
    const auto response = call(invocation.target, getRequest("/v1/teams"), reason);
    const int code = report(response, reason);
    if (code == ExitOk)
        print(invocation, response->body);
    return code;
}

} // namespace quay::ctl
