#include "Command.h"

#include <boost/json.hpp>
#include <boost/program_options.hpp>
#include <chrono>
#include <iostream>
#include <random>
#include <sstream>
#include <thread>
#include <unistd.h>

namespace quay::ctl {

namespace options = boost::program_options;
namespace json = boost::json;

namespace {

constexpr auto waitPollPeriod = std::chrono::milliseconds(200);

// Parses the arguments of one command. With --help, prints the help text and returns false.
bool parseArguments(const Invocation& invocation, const options::options_description& description,
    const char* positionalName, options::variables_map& values)
{
    options::positional_options_description positional;
    positional.add(positionalName, 1);
    auto parser
        = options::command_line_parser(invocation.arguments).options(description).positional(positional);
    options::store(parser.run(), values);
    options::notify(values);
    if (!values.count("help"))
        return true;
    std::cout << description;
    return false;
}

std::string randomRequestId()
{
    std::random_device random;
    std::ostringstream text;
    text << "ctl-" << std::hex << random() << random();
    return text.str();
}

int sendAndPrint(const Invocation& invocation, HttpRequest request)
{
    Reason reason;
    const auto response = sendRequest(invocation.target, std::move(request), reason);
    const int code = reportFailure(response, reason);
    if (code == ExitOk)
        printResult(invocation, response->body);
    return code;
}

// Returns the only argument of commands that take a job id; prints an error and returns nullopt otherwise.
std::optional<std::string> jobIdArgument(const Invocation& invocation)
{
    if (invocation.arguments.size() == 1 && !invocation.arguments.front().starts_with("-"))
        return invocation.arguments.front();
    std::cerr << "quayctl: this command takes one job id, as printed by 'job submit'\n";
    return std::nullopt;
}

} // namespace

int runAsk(const Invocation& invocation)
{
    std::string queue;
    std::string body;
    unsigned deadlineMs = 0;
    options::options_description description("ask QUEUE --body TEXT: send one interactive request\nOptions");
    auto add = description.add_options();
    add("help", "show this text");
    add("queue", options::value(&queue), "queue");
    add("body", options::value(&body), "request body");
    add("deadline-ms", options::value(&deadlineMs), "deadline in milliseconds");
    options::variables_map values;
    if (!parseArguments(invocation, description, "queue", values))
        return ExitOk;
    auto request = postRequest("/v1/ask?queue=" + queue, body);
    if (deadlineMs)
        request.headers["Deadline-Ms"] = std::to_string(deadlineMs);
    Reason reason;
    const auto response = sendRequest(invocation.target, std::move(request), reason);
    const int code = reportFailure(response, reason);
    if (code == ExitOk)
        std::cout << response->body << "\n";
    return code;
}

int runJobSubmit(const Invocation& invocation)
{
    std::string queue;
    std::string kind;
    std::string payload;
    std::string requestId;
    std::string domain;
    std::int64_t tasks = 0;
    std::int64_t cpuMilli = 0;
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;
    std::int64_t runTimeMs = 0;
    options::options_description description("job submit QUEUE: submit a job\nOptions");
    auto add = description.add_options();
    add("help", "show this text");
    add("queue", options::value(&queue), "queue");
    add("kind", options::value(&kind)->default_value("batch"), "batch, gang or service");
    add("tasks", options::value(&tasks)->default_value(1), "number of tasks");
    add("cpu-milli", options::value(&cpuMilli)->default_value(1000),
        "CPU of a task in thousandths of a core");
    add("memory-mb", options::value(&memoryMb)->default_value(128), "memory of a task in MB");
    add("accelerators", options::value(&accelerators)->default_value(0), "accelerators of a task");
    add("run-time-ms", options::value(&runTimeMs)->default_value(0),
        "declared run time of a task in milliseconds");
    add("idempotent", "a task may run again after an attempt whose outcome is unknown");
    add("payload", options::value(&payload), "text that is passed to the worker");
    add("request-id", options::value(&requestId), "idempotency key (default: a random one, printed)");
    add("domain", options::value(&domain), "failure domain (default: that of the entry VM)");
    options::variables_map values;
    if (!parseArguments(invocation, description, "queue", values))
        return ExitOk;
    const json::object body { { "queue", queue }, { "kind", kind }, { "tasks", tasks },
        { "cpu_milli", cpuMilli }, { "memory_mb", memoryMb }, { "accelerators", accelerators },
        { "run_time_ms", runTimeMs }, { "idempotent", values.count("idempotent") > 0 },
        { "payload", payload } };
    auto request
        = postRequest("/v1/jobs" + (domain.empty() ? "" : "?domain=" + domain), json::serialize(body));
    if (requestId.empty()) {
        requestId = randomRequestId();
        std::cerr << "request id " << requestId << " (pass it with --request-id to retry this submission)\n";
    }
    request.headers["Request-Id"] = requestId;
    return sendAndPrint(invocation, std::move(request));
}

int runJobStatus(const Invocation& invocation)
{
    const auto job = jobIdArgument(invocation);
    return job ? sendAndPrint(invocation, getRequest("/v1/jobs/" + *job)) : ExitUsage;
}

int runJobCancel(const Invocation& invocation)
{
    const auto job = jobIdArgument(invocation);
    return job ? sendAndPrint(invocation, postRequest("/v1/jobs/" + *job + "/cancel", {})) : ExitUsage;
}

int runJobExplain(const Invocation& invocation)
{
    const auto job = jobIdArgument(invocation);
    return job ? sendAndPrint(invocation, getRequest("/v1/jobs/" + *job + "/explain")) : ExitUsage;
}

int runJobList(const Invocation& invocation)
{
    std::string after;
    std::string domain;
    options::options_description description("job list: the team's jobs that have not ended\nOptions");
    auto add = description.add_options();
    add("help", "show this text");
    add("after", options::value(&after), "id of the last job of the previous page");
    add("domain", options::value(&domain), "failure domain (default: that of the entry VM)");
    options::variables_map values;
    if (!parseArguments(invocation, description, "after", values))
        return ExitOk;
    return sendAndPrint(invocation, getRequest("/v1/jobs?after=" + after + "&domain=" + domain));
}

int runJobWait(const Invocation& invocation)
{
    const auto job = jobIdArgument(invocation);
    if (!job)
        return ExitUsage;
    const bool isTerminal = isatty(STDERR_FILENO);
    std::string lastState;
    while (true) {
        Reason reason;
        const auto response = sendRequest(invocation.target, getRequest("/v1/jobs/" + *job), reason);
        if (response && exitCode(*response) == ExitOk) {
            const auto value = json::parse(response->body);
            const std::string state(value.at("state").as_string());
            if (state != lastState)
                std::cerr << (isTerminal ? "\r" : "") << *job << " " << state << (isTerminal ? "   " : "\n");
            lastState = state;
            if (state != "active") {
                std::cerr << (isTerminal ? "\n" : "");
                printResult(invocation, response->body);
                return state == "succeeded" ? ExitOk : ExitJobFailed;
            }
        } else if (response && response->status < 500) {
            return reportFailure(response, reason);
        }
        std::this_thread::sleep_for(waitPollPeriod);
    }
}

} // namespace quay::ctl
