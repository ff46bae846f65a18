#pragma once

#include <istream>
#include <string>
#include <vector>

namespace quay::ctl {

/** One log line about a request. */
struct TimelineEntry {
    long long unixMs = 0;
    std::string node;
    std::string event;
    std::string detail; // the line's other fields as "name=value"

    auto operator<=>(const TimelineEntry&) const = default;
};

/** What reading a log came to. */
struct LogReadCounts {
    std::size_t lines = 0;
    std::size_t unreadable = 0; // not a JSON object with a time and an event
};

/** Adds the lines about `request` to `entries`. Anything before the first brace of a line is passed over. */
LogReadCounts readLog(std::istream& log, const std::string& request, std::vector<TimelineEntry>& entries);

/** The entries in order of time, one a line, with the time since the first. */
std::string formatTimeline(std::vector<TimelineEntry> entries);

} // namespace quay::ctl
