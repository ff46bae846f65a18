#include "Command.h"
#include "Timeline.h"

#include <fstream>
#include <iostream>

namespace quay::ctl {

int runExplain(const Invocation& invocation)
{
    std::string request;
    std::vector<std::string> files;
    for (std::size_t i = 0; i < invocation.arguments.size(); ++i) {
        const auto& argument = invocation.arguments[i];
        if (argument == "--logs" && i + 1 < invocation.arguments.size())
            files.push_back(invocation.arguments[++i]);
        else if (request.empty() && !argument.starts_with("--"))
            request = argument;
        else
            request.clear(), files.clear(), i = invocation.arguments.size();
    }
    if (request.empty()) {
        std::cerr << "quayctl: usage: explain ID [--logs FILE]...; reads standard input without --logs\n";
        return ExitUsage;
    }
    std::vector<TimelineEntry> entries;
    LogReadCounts total;
    const auto add = [&](std::istream& log) {
        const auto counts = readLog(log, request, entries);
        total.lines += counts.lines;
        total.unreadable += counts.unreadable;
    };
    for (const auto& path : files) {
        std::ifstream file(path);
        if (!file) {
            std::cerr << "quayctl: can't read " << path << "; give the path of a node's log\n";
            return ExitUsage;
        }
        add(file);
    }
    if (files.empty())
        add(std::cin);
    if (total.lines > 0 && total.unreadable == total.lines) {
        std::cerr << "quayctl: none of the " << total.lines
                  << " lines is a log line of a node (a JSON object with "
                  << "unix_ms and event)\n";
        return ExitUsage;
    }
    if (entries.empty()) {
        std::cerr << "quayctl: no log line about request " << request << " in " << total.lines
                  << " lines; give the logs of all "
                  << "nodes, from before the request on\n";
        return ExitRefused;
    }
    std::cout << formatTimeline(std::move(entries));
    return ExitOk;
}

} // namespace quay::ctl
