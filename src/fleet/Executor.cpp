#include "quay/fleet/Executor.h"

#include <array>
#include <charconv>

namespace quay::fleet {

std::string stepText(const TaskRef& task)
{
    return task.job + "." + std::to_string(task.occurrence) + "." + std::to_string(task.step);
}

std::string text(const TaskRef& task) { return stepText(task) + "." + std::to_string(task.index); }

std::optional<TaskRef> parseTaskRef(std::string_view text)
{
    TaskRef task;
    const auto dot = text.find('.');
    if (dot == std::string_view::npos)
        return std::nullopt;
    task.job = std::string(text.substr(0, dot));
    const char* at = text.data() + dot;
    const char* end = text.data() + text.size();
    for (int* part : { &task.occurrence, &task.step, &task.index }) {
        if (at == end || *at != '.')
            return std::nullopt;
        const auto [rest, ec] = std::from_chars(at + 1, end, *part);
        if (ec != std::errc() || *part < 0)
            return std::nullopt;
        at = rest;
    }
    return at == end ? std::optional(task) : std::nullopt;
}

std::string_view text(OrderResult result)
{
    constexpr std::array<std::string_view, 11> names { "ok", "fenced", "outdated", "too late", "no room",
        "no ticket", "malformed", "unhealthy", "other incarnation", "no answer", "unreachable" };
    return names[static_cast<std::size_t>(result)];
}

} // namespace quay::fleet
