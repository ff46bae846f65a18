#pragma once

#include <istream>
#include <string>
#include <vector>

namespace quay::ctl {

/** One log event of a request. */
struct TimelineEntry {
    long long unixMs = 0;
    std::string node;
    std::string event;
    std::string detail; // the other fields as " name=value" each, in the order of the line

    auto operator<=>(const TimelineEntry&) const = default;
};

/** Number of lines read from a log. */
struct LogReadCounts {
    std::size_t lines = 0; // without blank ones
    std::size_t unreadable = 0; // not a JSON object with unix_ms and event
};

/**
 * Appends the events whose `request` field equals `request` to `entries`. The text of a line before its first
 * brace is ignored.
 */
LogReadCounts readLog(std::istream& log, const std::string& request, std::vector<TimelineEntry>& entries);

/** Formats the entries in order of time, one per line, each with its time since the first in milliseconds. */
std::string formatTimeline(std::vector<TimelineEntry> entries);

} // namespace quay::ctl
