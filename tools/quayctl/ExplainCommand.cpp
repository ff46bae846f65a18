#include "Command.h"
#include "Timeline.h"

#include <fstream>
#include <iostream>

namespace quay::ctl {

int runExplain(const Invocation& invocation)
{
    std::string request;
    std::vector<std::string> files;
    for (std::size_t i = 0; i < invocation.words.size(); ++i) {
        const auto& word = invocation.words[i];
        if (word == "--logs" && i + 1 < invocation.words.size())
            files.push_back(invocation.words[++i]);
        else if (request.empty() && !word.starts_with("--"))
            request = word;
        else
            request.clear(), files.clear(), i = invocation.words.size();
    }
    if (request.empty()) {
        std::cerr
            << "quayctl: usage: explain ID [--logs FILE]...; without --logs the standard input is read\n";
        return ExitUsage;
    }
    std::vector<TimelineEntry> entries;
    TimelineInput total;
    const auto add = [&](std::istream& log) {
        const auto input = readLog(log, request, entries);
        total.lines += input.lines;
        total.unreadable += input.unreadable;
    };
    for (const auto& path : files) {
        std::ifstream file(path);
        if (!file) {
            std::cerr << "quayctl: can't read " << path << "; name a node's log\n";
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
        std::cerr << "quayctl: no line about " << request << " in " << total.lines
                  << " lines; give the logs of all "
                  << "nodes, from before the request on\n";
        return ExitRefused;
    }
    std::cout << timelineText(std::move(entries));
    return ExitOk;
}

} // namespace quay::ctl
