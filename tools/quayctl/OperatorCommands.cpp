#include "Command.h"
#include "ConfigurationEdit.h"

#include "quay/core/ConfigCompiler.h"

#include <boost/json.hpp>
#include <iostream>

namespace quay::ctl {

namespace json = boost::json;

namespace {

// Compiles the base file, which comes first, and its overlays; prints the errors and warnings of the
// compiler.
std::optional<Configuration> compileFiles(const std::vector<std::string>& files)
{
    if (files.empty()) {
        std::cerr << "quayctl: give the base file, followed by any overlays\n";
        return std::nullopt;
    }
    std::vector<ConfigSource> sources;
    for (const auto& file : files) {
        auto text = readFile(file);
        if (!text)
            return std::nullopt;
        sources.push_back({ file, std::move(*text) });
    }
    const auto base = sources.front();
    sources.erase(sources.begin());
    auto result = compileConfiguration(base, sources);
    for (const auto& error : result.errors)
        std::cerr << "error: " << error.explain() << "\n";
    for (const auto& warning : result.warnings)
        std::cerr << "warning: " << warning.explain() << "\n";
    return result.configuration;
}

// The arguments of `config apply`.
struct ApplyArguments {
    std::vector<std::string> files;
    bool wait = false;
    // Version to apply against in place of the accepted one, which replaces a prepared version.
    std::optional<std::uint64_t> base;
};

std::optional<ApplyArguments> parseApplyArguments(const std::vector<std::string>& all)
{
    const std::string baseOption = "--base=";
    ApplyArguments arguments;
    for (const auto& argument : all) {
        if (argument == "--wait") {
            arguments.wait = true;
        } else if (argument.starts_with(baseOption)) {
            const auto digits = argument.substr(baseOption.size());
            if (digits.empty() || digits.size() > 18
                || digits.find_first_not_of("0123456789") != digits.npos) {
                std::cerr << "quayctl: --base takes a version number; see 'quayctl config status'\n";
                return std::nullopt;
            }
            arguments.base = std::stoull(digits);
        } else {
            arguments.files.push_back(argument);
        }
    }
    return arguments;
}

} // namespace

std::optional<Configuration> currentConfiguration(const Invocation& invocation, int& code)
{
    Reason reason;
    const auto response = sendRequest(invocation.target, getRequest("/v1/config"), reason);
    code = reportFailure(response, reason);
    if (code != ExitOk)
        return std::nullopt;
    auto current = parseConfiguration(response->body, reason);
    if (!current)
        code = ExitOutcomeUnknown;
    return current;
}

int runConfigCheck(const Invocation& invocation)
{
    const auto configuration = compileFiles(invocation.arguments);
    if (!configuration)
        return ExitUsage;
    std::cout << "ok: " << configuration->teams.size() << " teams, " << configuration->queues.size()
              << " queues, " << configuration->keys.size() << " keys\n";
    return ExitOk;
}

int runConfigDiff(const Invocation& invocation)
{
    const auto next = compileFiles(invocation.arguments);
    if (!next)
        return ExitUsage;
    int code = ExitOk;
    const auto current = currentConfiguration(invocation, code);
    if (!current)
        return code;
    std::cout << "against version " << current->version << "\n";
    for (const auto& line : diff(*current, *next))
        std::cout << line << "\n";
    return ExitOk;
}

int runConfigApply(const Invocation& invocation)
{
    const auto arguments = parseApplyArguments(invocation.arguments);
    if (!arguments)
        return ExitUsage;
    auto next = compileFiles(arguments->files);
    if (!next)
        return ExitUsage;
    int code = ExitOk;
    const auto current = currentConfiguration(invocation, code);
    if (!current)
        return code;
    next->version = arguments->base.value_or(current->version);
    return applyConfiguration(invocation, *current, *next, arguments->wait);
}

int runKeyHash(const Invocation&)
{
    // The key is read from standard input because command line arguments are visible to every process of the
    // machine.
    std::string key;
    if (!std::getline(std::cin, key) || key.empty()) {
        std::cerr << "quayctl: pass the key on standard input\n";
        return ExitUsage;
    }
    std::cout << "sha256:" << keyHash(key) << "\n";
    return ExitOk;
}

int runFleet(const Invocation& invocation)
{
    Reason reason;
    const auto response = sendRequest(invocation.target, getRequest("/v1/fleet"), reason);
    const int code = reportFailure(response, reason);
    if (code == ExitOk)
        printResult(invocation, response->body);
    return code;
}

} // namespace quay::ctl
