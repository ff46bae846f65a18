#include "edge/NodeLog.h"

#include "core/JsonText.h"
#include "edge/EventCatalogue.h"

#include <cstdio>

namespace quay::edge {

namespace {

constexpr std::size_t ringCapacity = 4096; // lines; about 1 MB at most
constexpr int maxLinesPerSecond = 200; // for each event
// A line must be written within 100 ms to survive a kill of the process; this is half of that.
constexpr auto flushInterval = 50ms;

std::string unixMsText()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

} // namespace

std::string ageText(Instant since, Instant now)
{
    return since == Instant {} ? "never" : std::to_string(toMilliseconds(now - since));
}

NodeLog::NodeLog(std::string node)
    : m_node(std::move(node))
    , m_ring(ringCapacity)
    , m_writer([this] { runWriter(); })
{
}

NodeLog::~NodeLog()
{
    m_isStopping = true;
    m_writer.join();
}

bool NodeLog::admit(std::string_view event)
{
    auto it = m_rates.find(event);
    if (it == m_rates.end())
        it = m_rates.emplace(std::string(event), Rate {}).first;
    auto& rate = it->second;
    const auto now = std::chrono::steady_clock::now();
    if (now - rate.windowStart >= 1s) {
        if (rate.omitted > 0)
            push("{\"unix_ms\":" + unixMsText() + ",\"node\":\"" + m_node
                + "\",\"event\":\"lines_omitted\",\"of\":\"" + std::string(event)
                + "\",\"count\":" + std::to_string(rate.omitted) + "}\n");
        rate = Rate { now, 0, 0 };
    }
    if (++rate.count <= maxLinesPerSecond)
        return true;
    ++rate.omitted;
    return false;
}

void NodeLog::push(std::string line)
{
    m_bytes += line.size();
    m_ring.tryPush(std::move(line)); // a full ring drops the line and counts it
}

void NodeLog::write(
    std::string_view event, const std::string& request, std::initializer_list<LogField> fields)
{
    if (!admit(event))
        return;
    std::string line = "{\"unix_ms\":" + unixMsText() + ",\"node\":\"" + m_node + "\",\"event\":\"";
    line.append(event).append("\",\"id\":\"").append(eventNumber(event)).append("\"");
    if (!request.empty())
        appendJsonText(line.append(",\"request\":"), request);
    for (const auto& [name, value] : fields)
        appendJsonText(line.append(",\"").append(name).append("\":"), value);
    push(line.append("}\n"));
}

void NodeLog::writeText(std::string_view event, const std::string& request, const std::string& fields)
{
    write(event, request, { { "detail", fields } });
}

void NodeLog::runWriter()
{
    std::size_t reported = 0;
    while (true) {
        const bool isLast = m_isStopping;
        bool hasWritten = false;
        while (auto line = m_ring.tryPop()) {
            std::fwrite(line->data(), 1, line->size(), stdout);
            hasWritten = true;
        }
        if (const auto refused = m_ring.refusedCount(); refused > reported) {
            std::fprintf(
                stdout, "{\"event\":\"lines_omitted\",\"of\":\"all\",\"count\":%zu}\n", refused - reported);
            reported = refused;
        }
        if (hasWritten)
            std::fflush(stdout);
        if (isLast)
            return;
        std::this_thread::sleep_for(flushInterval);
    }
}

} // namespace quay::edge
