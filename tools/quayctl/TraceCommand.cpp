#include "Command.h"

#include <boost/json.hpp>
#include <iostream>
#include <map>
#include <set>
#include <sstream>

namespace quay::ctl {

namespace json = boost::json;

namespace {

constexpr double nanosecondsPerMillisecond = 1e6;

using Spans = std::vector<json::object>;

std::string stringField(const json::object& span, const char* name)
{
    return std::string(span.at(name).as_string());
}

Spans parseLines(const std::string& body)
{
    Spans spans;
    std::istringstream lines(body);
    for (std::string line; std::getline(lines, line);)
        spans.push_back(json::parse(line).as_object());
    return spans;
}

void printSpan(const json::object& span, std::int64_t traceStart, std::size_t depth)
{
    const auto start = span.at("start_time_unix_nano").to_number<std::int64_t>();
    const auto end = span.at("end_time_unix_nano").to_number<std::int64_t>();
    const auto milliseconds
        = [](std::int64_t ns) { return static_cast<double>(ns) / nanosecondsPerMillisecond; };
    std::cout << std::string(depth * 2, ' ') << stringField(span, "name") << "  +"
              << milliseconds(start - traceStart) << " ms  took " << milliseconds(end - start) << " ms  "
              << stringField(span, "status") << "  " << stringField(span, "detail") << "  ["
              << stringField(span, "service.instance.id") << "]\n";
}

void printSubtree(const Spans& spans, const std::string& parent, std::int64_t traceStart, std::size_t depth)
{
    for (const auto& span : spans) {
        if (stringField(span, "parent_span_id") != parent)
            continue;
        printSpan(span, traceStart, depth);
        printSubtree(spans, stringField(span, "span_id"), traceStart, depth + 1);
    }
}

// Returns the parent ids of spans whose parent isn't in the list: the span of the caller, or a span that the
// entry VM has dropped. The trees are printed from these.
std::set<std::string> missingParentIds(const Spans& spans)
{
    std::set<std::string> knownIds;
    std::set<std::string> parentIds;
    for (const auto& span : spans) {
        knownIds.insert(stringField(span, "span_id"));
        parentIds.insert(stringField(span, "parent_span_id"));
    }
    for (const auto& id : knownIds)
        parentIds.erase(id);
    return parentIds;
}

} // namespace

int runTrace(const Invocation& invocation)
{
    if (invocation.arguments.size() != 1) {
        std::cerr << "quayctl: this command takes one trace id, as in the Traceparent header of a response\n";
        return ExitUsage;
    }
    Reason reason;
    const auto response
        = sendRequest(invocation.target, getRequest("/v1/traces/" + invocation.arguments.front()), reason);
    const int code = reportFailure(response, reason);
    if (code != ExitOk)
        return code;
    if (invocation.output == Output::Json) {
        std::cout << response->body;
        return ExitOk;
    }
    const auto spans = parseLines(response->body);
    if (spans.empty()) {
        std::cerr << "quayctl: this entry VM holds no span of that trace; query the entry VM that received "
                     "the request\n";
        return ExitRefused;
    }
    const auto traceStart = spans.front().at("start_time_unix_nano").to_number<std::int64_t>();
    for (const auto& parent : missingParentIds(spans))
        printSubtree(spans, parent, traceStart, 0);
    return ExitOk;
}

int runMetrics(const Invocation& invocation)
{
    Reason reason;
    const auto response = sendRequest(invocation.target, getRequest("/metrics"), reason);
    const int code = reportFailure(response, reason);
    if (code == ExitOk)
        std::cout << response->body;
    return code;
}

} // namespace quay::ctl
