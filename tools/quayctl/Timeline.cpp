#include "Timeline.h"

#include <algorithm>
#include <boost/json.hpp>

namespace quay::ctl {

namespace json = boost::json;

namespace {

std::string plainText(const json::value& value)
{
    return value.is_string() ? std::string(value.get_string()) : json::serialize(value);
}

} // namespace

LogReadCounts readLog(std::istream& log, const std::string& request, std::vector<TimelineEntry>& entries)
{
    LogReadCounts counts;
    for (std::string line; std::getline(log, line);) {
        if (line.find_first_not_of(" \t\r") == std::string::npos)
            continue;
        ++counts.lines;
        const auto brace = line.find('{');
        json::error_code ec;
        const auto value = brace == std::string::npos ? json::value() : json::parse(line.substr(brace), ec);
        const auto* object = !ec && value.is_object() ? &value.get_object() : nullptr;
        const auto* time = object ? object->if_contains("unix_ms") : nullptr;
        const auto* event = object ? object->if_contains("event") : nullptr;
        if (!time || !time->is_number() || !event || !event->is_string()) {
            ++counts.unreadable;
            continue;
        }
        const auto* requestId = object->if_contains("request");
        if (!requestId || !requestId->is_string() || std::string_view(requestId->get_string()) != request)
            continue;
        TimelineEntry entry;
        entry.unixMs = time->to_number<long long>();
        entry.event = plainText(*event);
        for (const auto& field : *object) {
            if (field.key() == "node")
                entry.node = plainText(field.value());
            else if (field.key() != "unix_ms" && field.key() != "event" && field.key() != "request"
                && field.key() != "id")
                entry.detail += " " + std::string(field.key()) + "=" + plainText(field.value());
        }
        entries.push_back(std::move(entry));
    }
    return counts;
}

std::string formatTimeline(std::vector<TimelineEntry> entries)
{
    std::stable_sort(entries.begin(), entries.end(),
        [](const TimelineEntry& a, const TimelineEntry& b) { return a.unixMs < b.unixMs; });
    std::string text;
    for (const auto& it : entries)
        text += "+" + std::to_string(it.unixMs - entries.front().unixMs) + " ms  " + it.event + "  ["
            + it.node + "]" + it.detail + "\n";
    return text;
}

} // namespace quay::ctl
