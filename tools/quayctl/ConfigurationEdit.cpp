#include "ConfigurationEdit.h"

#include "quay/core/ConfigCompiler.h"

#include <atomic>
#include <boost/json.hpp>
#include <chrono>
#include <iostream>
#include <thread>

namespace quay::ctl {

namespace json = boost::json;

namespace {

constexpr auto progressPollPeriod = std::chrono::milliseconds(300);
constexpr auto inForceTimeout = std::chrono::seconds(60);

// Number of entry VMs of one domain that know a version and that have it in force.
struct DomainProgress {
    unsigned members = 0;
    unsigned seen = 0;
    unsigned inForce = 0;
};

std::map<std::string, DomainProgress> progressOf(const json::value& status, std::uint64_t version)
{
    std::map<std::string, DomainProgress> domains;
    for (const auto& item : status.at("members").as_array()) {
        auto& domain = domains[std::string(item.at("domain").as_string())];
        ++domain.members;
        if (!item.at("answered").as_bool())
            continue;
        domain.seen += item.at("seen").to_number<std::uint64_t>() >= version;
        domain.inForce += item.at("in_force").to_number<std::uint64_t>() >= version;
    }
    return domains;
}

// Prints a line for each domain whose progress has changed. Returns whether the version is in force on all
// members.
bool printProgress(
    const Invocation& invocation, std::uint64_t version, std::map<std::string, std::string>& printedLines)
{
    Reason reason;
    const auto response = sendRequest(invocation.target, getRequest("/v1/config/status"), reason);
    if (!response || response->status != 200)
        return false;
    bool isInForceEverywhere = true;
    for (const auto& [domain, progress] : progressOf(json::parse(response->body), version)) {
        const auto line = "domain " + domain + ": version " + std::to_string(version) + " known to "
            + std::to_string(progress.seen) + " and in force on " + std::to_string(progress.inForce) + " of "
            + std::to_string(progress.members) + " entry VMs";
        if (std::exchange(printedLines[domain], line) != line)
            std::cerr << line << "\n";
        isInForceEverywhere &= progress.inForce == progress.members;
    }
    return isInForceEverywhere;
}

// The response arrives only when the version is accepted, so another thread waits for it while this one
// prints the progress.
int applyAndWait(const Invocation& invocation, const Configuration& next)
{
    std::optional<HttpResponse> response;
    Reason reason;
    std::atomic<bool> isAnswered = false;
    std::thread sender([&] {
        response = sendRequest(invocation.target, postRequest("/v1/config", toJson(next)), reason);
        isAnswered = true;
    });
    std::map<std::string, std::string> printedLines;
    while (!isAnswered) {
        std::this_thread::sleep_for(progressPollPeriod);
        printProgress(invocation, next.version + 1, printedLines);
    }
    sender.join();
    const int code = reportFailure(response, reason);
    if (code != ExitOk)
        return code;
    const auto deadline = std::chrono::steady_clock::now() + inForceTimeout;
    while (!printProgress(invocation, next.version + 1, printedLines)) {
        if (std::chrono::steady_clock::now() >= deadline) {
            std::cerr << "quayctl: the version is accepted, but not every entry VM has reported it in force; "
                         "see 'quayctl config status'\n";
            return ExitOutcomeUnknown;
        }
        std::this_thread::sleep_for(progressPollPeriod);
    }
    printResult(invocation, response->body);
    return ExitOk;
}

} // namespace

int applyConfiguration(
    const Invocation& invocation, const Configuration& current, const Configuration& next, bool wait)
{
    for (const auto& line : diff(current, next))
        std::cerr << line << "\n";
    if (wait)
        return applyAndWait(invocation, next);
    Reason reason;
    const auto response = sendRequest(invocation.target, postRequest("/v1/config", toJson(next)), reason);
    const int code = reportFailure(response, reason);
    if (code == ExitOk)
        printResult(invocation, response->body);
    return code;
}

int editConfiguration(const Invocation& invocation, const ConfigurationEdit& edit)
{
    int code = ExitOk;
    const auto current = currentConfiguration(invocation, code);
    if (!current)
        return code;
    auto next = *current;
    if (!edit(next))
        return ExitUsage;
    if (next == *current) {
        std::cerr << "quayctl: nothing to change; version " << current->version << " is the same\n";
        return ExitOk;
    }
    return applyConfiguration(invocation, *current, next, true);
}

int runConfigStatus(const Invocation& invocation)
{
    Reason reason;
    const auto response = sendRequest(invocation.target, getRequest("/v1/config/status"), reason);
    const int code = reportFailure(response, reason);
    if (code == ExitOk)
        printResult(invocation, response->body);
    return code;
}

int runConfigShow(const Invocation& invocation)
{
    Reason reason;
    const auto response = sendRequest(invocation.target, getRequest("/v1/config"), reason);
    const int code = reportFailure(response, reason);
    if (code == ExitOk)
        printResult(invocation, response->body);
    return code;
}

} // namespace quay::ctl
