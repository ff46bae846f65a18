#include "Command.h"

#include <boost/json.hpp>
#include <boost/program_options.hpp>
#include <chrono>
#include <iostream>
#include <thread>

namespace quay::ctl {

namespace options = boost::program_options;
namespace json = boost::json;

namespace {

constexpr auto retryDelay = std::chrono::seconds(1);
constexpr int longPollTimeoutMs = 20'000;

void printEvent(const Invocation& invocation, const json::object& event)
{
    if (invocation.output == Output::Json) {
        std::cout << json::serialize(event) << std::endl;
        return;
    }
    std::cout << event.at("cursor") << "  " << event.at("job").as_string().c_str() << "  "
              << event.at("state").as_string().c_str() << "  " << event.at("finished_tasks") << " tasks ended"
              << std::endl;
}

} // namespace

int runWatch(const Invocation& invocation)
{
    std::uint64_t cursor = 0;
    std::string domain;
    unsigned pages = 0;
    options::options_description description(
        "watch: print changes of the team's jobs until interrupted\nOptions");
    auto add = description.add_options();
    add("help", "show this text");
    add("cursor", options::value(&cursor)->default_value(0),
        "resume after this cursor; 0: start with the current state");
    add("domain", options::value(&domain), "failure domain (default: that of the entry VM)");
    add("pages", options::value(&pages)->default_value(0), "stop after this many responses; 0: never");
    options::variables_map values;
    options::store(options::command_line_parser(invocation.arguments).options(description).run(), values);
    options::notify(values);
    if (values.count("help")) {
        std::cout << description;
        return ExitOk;
    }
    for (unsigned page = 0; !pages || page < pages;) {
        Reason reason;
        const auto response = sendRequest(invocation.target,
            getRequest("/v1/watch?cursor=" + std::to_string(cursor)
                + "&wait_ms=" + std::to_string(longPollTimeoutMs) + "&domain=" + domain),
            reason);
        if (!response || response->status >= 500) {
            // The cursor does not advance, so no event is skipped during an outage.
            std::this_thread::sleep_for(retryDelay);
            continue;
        }
        if (exitCode(*response) != ExitOk)
            return reportFailure(response, reason);
        const auto value = json::parse(response->body);
        for (const auto& event : value.at("events").as_array())
            printEvent(invocation, event.as_object());
        cursor = value.at("cursor").to_number<std::uint64_t>();
        ++page;
    }
    std::cerr << "next cursor " << cursor << "\n";
    return ExitOk;
}

} // namespace quay::ctl
