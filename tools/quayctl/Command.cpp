#include "Command.h"

#include <algorithm>
#include <boost/json.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

namespace quay::ctl {

namespace json = boost::json;

namespace {

std::string cellText(const json::value& value)
{
    if (value.is_string())
        return std::string(value.get_string());
    return json::serialize(value);
}

void printFields(const json::object& object)
{
    std::size_t width = 0;
    for (const auto& field : object)
        width = std::max(width, field.key().size());
    for (const auto& field : object) {
        const std::string name(field.key());
        const auto& value = field.value();
        if (value.is_array() && !value.get_array().empty() && value.get_array().front().is_object())
            continue;
        std::cout << name << std::string(width - name.size() + 2, ' ') << cellText(value) << "\n";
    }
}

void printRows(const json::array& rows)
{
    std::vector<std::string> columns;
    for (const auto& field : rows.front().get_object())
        columns.emplace_back(field.key());
    std::vector<std::vector<std::string>> cells { columns };
    for (const auto& row : rows) {
        auto& line = cells.emplace_back();
        for (const auto& column : columns) {
            const auto* value = row.get_object().if_contains(column);
            line.push_back(value ? cellText(*value) : "");
        }
    }
    std::vector<std::size_t> widths(columns.size(), 0);
    for (const auto& line : cells) {
        for (std::size_t i = 0; i < line.size(); ++i)
            widths[i] = std::max(widths[i], line[i].size());
    }
    for (const auto& line : cells) {
        for (std::size_t i = 0; i < line.size(); ++i)
            std::cout << line[i] << std::string(widths[i] - line[i].size() + 2, ' ');
        std::cout << "\n";
    }
}

void printError(const json::object& error)
{
    const auto field = [&](const char* name) {
        const auto* value = error.if_contains(name);
        return value ? cellText(*value) : std::string();
    };
    std::cerr << "quayctl: " << field("message");
    if (!field("detail").empty())
        std::cerr << ": " << field("detail");
    std::cerr << " [" << field("kind") << ", " << field("disposition") << "]\n  " << field("remedy") << "\n";
}

} // namespace

int exitCode(const HttpResponse& response)
{
    if (response.status < 300)
        return ExitOk;
    boost::system::error_code ec;
    const auto value = json::parse(response.body, ec);
    if (ec || !value.is_object() || !value.get_object().if_contains("error"))
        return ExitOutcomeUnknown;
    const auto& error = value.at("error").as_object();
    const auto* disposition = error.if_contains("disposition");
    return disposition && *disposition == "not run" ? ExitRefused : ExitOutcomeUnknown;
}

int reportFailure(const std::optional<HttpResponse>& response, const Reason& reason)
{
    if (!response) {
        std::cerr << "quayctl: no response: " << reason.detail
                  << "\n  check --address or QUAY_ADDRESS, and that the entry VM is running\n";
        return ExitUnreachable;
    }
    const int code = exitCode(*response);
    if (code == ExitOk)
        return code;
    boost::system::error_code ec;
    const auto value = json::parse(response->body, ec);
    if (!ec && value.is_object() && value.get_object().if_contains("error"))
        printError(value.at("error").as_object());
    else
        std::cerr << "quayctl: unexpected response with status " << response->status << "\n";
    return code;
}

void printResult(const Invocation& invocation, const std::string& text)
{
    boost::system::error_code ec;
    const auto value = json::parse(text, ec);
    if (ec || !value.is_object() || invocation.output == Output::Json) {
        std::cout << text << "\n";
        return;
    }
    const auto& object = value.get_object();
    printFields(object);
    for (const auto& field : object) {
        if (!field.value().is_array())
            continue;
        const auto& rows = field.value().get_array();
        if (rows.empty() || !rows.front().is_object())
            continue;
        std::cout << "\n" << std::string(field.key()) << "\n";
        printRows(rows);
    }
}

std::optional<std::string> readFile(const std::string& path)
{
    std::ifstream file(path);
    if (!file) {
        std::cerr << "quayctl: can't read " << path << "; check the path\n";
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace quay::ctl
