#include "edge/DecisionLog.h"

#include "edge/EventCatalogue.h"

#include <boost/json.hpp>
#include <cstdio>

namespace quay::edge {

namespace json = boost::json;

namespace {

constexpr std::size_t ringLines = 4096; // some 1 MB of lines at most
constexpr int linesPerSecond = 200; // of one event
constexpr auto flushInterval = 50ms; // half of the 100 ms within which a line must survive a kill

std::string stamp()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

} // namespace

DecisionLog::DecisionLog(std::string node)
    : m_node(std::move(node))
    , m_ring(ringLines)
    , m_writer([this] { run(); })
{
}

DecisionLog::~DecisionLog()
{
    m_stopping = true;
    m_writer.join();
}

bool DecisionLog::admit(std::string_view event)
{
    auto it = m_rates.find(event);
    if (it == m_rates.end())
        it = m_rates.emplace(std::string(event), Rate {}).first;
    auto& rate = it->second;
    const auto now = std::chrono::steady_clock::now();
    if (now - rate.windowStart >= 1s) {
        if (rate.omitted > 0)
            push("{\"unix_ms\":" + stamp() + ",\"node\":\"" + m_node
                + "\",\"event\":\"lines_omitted\",\"of\":\"" + std::string(event)
                + "\",\"count\":" + std::to_string(rate.omitted) + "}\n");
        rate = Rate { now, 0, 0 };
    }
    if (++rate.count <= linesPerSecond)
        return true;
    ++rate.omitted;
    return false;
}

void DecisionLog::push(std::string line)
{
    m_bytes += line.size();
    m_ring.tryPush(std::move(line)); // a full ring counts what it refuses
}

void DecisionLog::write(
    std::string_view event, const std::string& request, std::initializer_list<LogField> fields)
{
    if (!admit(event))
        return;
    std::string line = "{\"unix_ms\":" + stamp() + ",\"node\":\"" + m_node + "\",\"event\":\"";
    line.append(event).append("\",\"id\":\"").append(eventNumber(event)).append("\"");
    if (!request.empty())
        line.append(",\"request\":").append(json::serialize(json::value(request)));
    for (const auto& [name, value] : fields)
        line.append(",\"").append(name).append("\":").append(json::serialize(json::value(value)));
    push(line.append("}\n"));
}

void DecisionLog::writeText(std::string_view event, const std::string& request, const std::string& fields)
{
    write(event, request, { { "detail", fields } });
}

void DecisionLog::run()
{
    std::size_t reported = 0;
    while (true) {
        const bool isLast = m_stopping;
        bool any = false;
        while (auto line = m_ring.tryPop()) {
            std::fwrite(line->data(), 1, line->size(), stdout);
            any = true;
        }
        if (const auto refused = m_ring.refusedCount(); refused > reported) {
            std::fprintf(
                stdout, "{\"event\":\"lines_omitted\",\"of\":\"all\",\"count\":%zu}\n", refused - reported);
            reported = refused;
        }
        if (any)
            std::fflush(stdout);
        if (isLast)
            return;
        std::this_thread::sleep_for(flushInterval);
    }
}

} // namespace quay::edge
