#include "quay-bench/Result.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace quay::bench {

namespace json = boost::json;

namespace {

constexpr double chartWidth = 760;
constexpr double chartHeight = 160;

using Row = std::vector<std::string>;

std::string cellText(const json::value& value)
{
    if (value.is_string())
        return std::string(value.get_string());
    if (value.is_double()) {
        std::ostringstream text;
        text << value.get_double();
        return text.str();
    }
    return json::serialize(value);
}

std::string refusalsOf(const json::object& load)
{
    std::string line;
    for (const auto& field : load.at("refusals").as_object())
        line += (line.empty() ? "" : ", ") + std::string(field.key()) + " " + cellText(field.value());
    return line.empty() ? "-" : line;
}

std::vector<Row> loadRows(const json::object& result)
{
    std::vector<Row> rows { { "load", "team", "kind", "arrivals", "answered", "p50 ms", "p99 ms", "p99.9 ms",
        "max ms", "tasks started", "not started", "refused" } };
    for (const auto& item : result.at("loads").as_array()) {
        const auto& load = item.as_object();
        const auto& waiting = load.at("waiting").as_object();
        const auto optional = [&](const char* name) {
            const auto* value = load.if_contains(name);
            return value ? cellText(*value) : std::string("-");
        };
        rows.push_back({ cellText(load.at("name")), cellText(load.at("team")), cellText(load.at("kind")),
            cellText(load.at("arrivals")), cellText(load.at("answered")), cellText(waiting.at("p50_ms")),
            cellText(waiting.at("p99_ms")), cellText(waiting.at("p99_9_ms")), cellText(waiting.at("max_ms")),
            optional("tasks_started"), optional("tasks_not_started"), refusalsOf(load) });
    }
    return rows;
}

std::vector<Row> controlRows(const json::object& result)
{
    std::vector<Row> rows { { "entry VM", "leads", "CPU % of a core", "RSS MB", "peer bytes/s" } };
    for (const auto& item : result.at("control").as_array()) {
        const auto& entry = item.as_object();
        const auto* peer = entry.if_contains("peer_bytes_per_s");
        rows.push_back({ cellText(entry.at("vm")), cellText(entry.at("leads")),
            cellText(entry.at("cpu_percent_of_core")), cellText(entry.at("resident_mb")),
            peer ? cellText(*peer) : "not counted" });
    }
    return rows;
}

std::vector<Row> shareRows(const json::object& result)
{
    std::vector<Row> rows { { "team", "held", "fair" } };
    for (const auto& field : result.at("share").at("teams").as_object())
        rows.push_back({ std::string(field.key()), cellText(field.value().at("held")),
            cellText(field.value().at("fair")) });
    return rows;
}

std::vector<Row> fieldRows(const json::object& object)
{
    std::vector<Row> rows { { "measure", "value" } };
    for (const auto& field : object) {
        if (!field.value().is_object())
            rows.push_back({ std::string(field.key()), cellText(field.value()) });
    }
    return rows;
}

std::vector<Row> listRows(const char* title, const json::array& items)
{
    std::vector<Row> rows { { title } };
    for (const auto& item : items)
        rows.push_back({ item.is_object() ? cellText(item.at("at_s")) + " s: " + cellText(item.at("what"))
                                          : cellText(item) });
    if (rows.size() == 1)
        rows.push_back({ "none" });
    return rows;
}

struct Section {
    std::string title;
    std::vector<Row> rows;
};

std::vector<Section> sectionsOf(const json::object& result)
{
    return { { "Waiting time, from the scheduled arrival", loadRows(result) },
        { "Packing", fieldRows(result.at("packing").as_object()) },
        { "Nearness to share, parts of the fleet", fieldRows(result.at("share").as_object()) },
        { "Shares", shareRows(result) }, { "Control cost", controlRows(result) },
        { "Store", fieldRows(result.at("store").as_object()) },
        { "Faults", listRows("what happened", result.at("faults").as_array()) },
        { "Checks against the stand-ins' ledgers",
            listRows("violations", result.at("violations").as_array()) } };
}

std::string titleOf(const json::object& result)
{
    return cellText(result.at("experiment")) + ", " + cellText(result.at("seconds")) + " s, seed "
        + cellText(result.at("seed"));
}

std::string alignedRows(const std::vector<Row>& rows)
{
    std::vector<std::size_t> widths;
    for (const auto& row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    std::string text;
    for (const auto& row : rows) {
        for (std::size_t i = 0; i < row.size(); ++i)
            text += "  " + row[i] + std::string(i + 1 < row.size() ? widths[i] - row[i].size() : 0, ' ');
        text += "\n";
    }
    return text;
}

std::string escapeHtml(const std::string& text)
{
    std::string escapedText;
    for (const char c : text) {
        if (c == '<')
            escapedText += "&lt;";
        else if (c == '&')
            escapedText += "&amp;";
        else
            escapedText += c;
    }
    return escapedText;
}

std::string htmlTable(const std::vector<Row>& rows)
{
    std::string text = "<table>";
    for (std::size_t i = 0; i < rows.size(); ++i) {
        const std::string tag = i ? "td" : "th";
        text += "<tr>";
        for (const auto& value : rows[i])
            text.append("<")
                .append(tag)
                .append(">")
                .append(escapeHtml(value))
                .append("</")
                .append(tag)
                .append(">");
        text += "</tr>\n";
    }
    return text + "</table>\n";
}

// Draws the 99th percentile by second as a polyline, and the time of each fault as a vertical line.
std::string latencyChart(const json::object& load, const json::array& faults)
{
    const auto& series = load.at("p99_ms_by_second").as_array();
    double top = 1;
    for (const auto& value : series)
        top = std::max(top, value.to_number<double>());
    const auto x = [&](double second) {
        return second / std::max<double>(1, static_cast<double>(series.size()) - 1) * chartWidth;
    };
    std::ostringstream svg;
    svg << "<p>" << escapeHtml(cellText(load.at("name"))) << ": p99 in ms by second of arrival, top " << top
        << " ms</p><svg width='" << chartWidth << "' height='" << chartHeight << "' viewBox='0 0 "
        << chartWidth << " " << chartHeight << "'><rect width='100%' height='100%' fill='#f6f6f6'/>";
    for (const auto& fault : faults) {
        const auto at = x(fault.at("at_s").to_number<double>());
        svg << "<line x1='" << at << "' x2='" << at << "' y1='0' y2='" << chartHeight
            << "' stroke='#c33' stroke-dasharray='4'><title>" << escapeHtml(cellText(fault.at("what")))
            << "</title></line>";
    }
    svg << "<polyline fill='none' stroke='#246' stroke-width='2' points='";
    for (std::size_t i = 0; i < series.size(); ++i)
        svg << x(static_cast<double>(i)) << "," << chartHeight * (1 - series[i].to_number<double>() / top)
            << " ";
    svg << "'/></svg>\n";
    return svg.str();
}

} // namespace

std::string formatTable(const json::object& result)
{
    std::string text = titleOf(result) + "\n";
    for (const auto& section : sectionsOf(result))
        text += "\n" + section.title + "\n" + alignedRows(section.rows);
    return text;
}

std::string formatHtml(const json::object& result)
{
    std::string page = "<!doctype html><html><head><meta charset='utf-8'><title>"
        + escapeHtml(titleOf(result))
        + "</title><style>body{font-family:sans-serif;margin:2em}table{border-collapse:collapse}"
          "td,th{border:1px solid #ccc;padding:2px 8px;text-align:left}</style></head><body><h1>"
        + escapeHtml(titleOf(result)) + "</h1>\n";
    for (const auto& section : sectionsOf(result))
        page += "<h2>" + escapeHtml(section.title) + "</h2>\n" + htmlTable(section.rows);
    page += "<h2>Over time</h2>\n";
    for (const auto& load : result.at("loads").as_array())
        page += latencyChart(load.as_object(), result.at("faults").as_array());
    return page + "</body></html>\n";
}

} // namespace quay::bench
