#include "net/HttpMessage.h"

#include <boost/json.hpp>
#include <charconv>

namespace quay {

namespace {

constexpr int millisecondsPerSecond = 1000;

} // namespace

std::string HttpRequest::header(const std::string& lowerCaseName) const
{
    auto it = headers.find(lowerCaseName);
    return it == headers.end() ? std::string() : it->second;
}

std::string HttpRequest::path() const { return target.substr(0, target.find('?')); }

std::string HttpRequest::query(const std::string& name) const
{
    auto begin = target.find('?');
    while (begin != std::string::npos) {
        ++begin;
        const auto end = target.find('&', begin);
        const auto pair = target.substr(begin, end == std::string::npos ? end : end - begin);
        const auto equals = pair.find('=');
        if (equals != std::string::npos && pair.substr(0, equals) == name)
            return pair.substr(equals + 1);
        begin = end;
    }
    return {};
}

HttpRequest jsonPost(std::string target, std::string body)
{
    HttpRequest request;
    request.method = "POST";
    request.target = std::move(target);
    request.headers["Content-Type"] = "application/json";
    request.body = std::move(body);
    return request;
}

bool splitAddress(const std::string& address, std::string& host, std::uint16_t& port)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos || !colon)
        return false;
    const auto* end = address.data() + address.size();
    const auto [rest, ec] = std::from_chars(address.data() + colon + 1, end, port);
    if (ec != std::errc() || rest != end)
        return false;
    host = address.substr(0, colon);
    return true;
}

void setRetryAfter(HttpResponse& response, int retryAfterMs)
{
    const int seconds = (retryAfterMs + millisecondsPerSecond - 1) / millisecondsPerSecond;
    response.headers["Retry-After"] = std::to_string(seconds);
}

HttpResponse errorResponse(const Reason& reason, int retryAfterMs)
{
    const auto& entry = describe(reason.kind);
    boost::json::object error { { "kind", entry.name }, { "disposition", text(entry.disposition) },
        { "message", entry.message }, { "detail", reason.detail }, { "remedy", entry.remedy } };
    HttpResponse response;
    response.status = entry.httpStatus;
    if (retryAfterMs > 0) {
        error["retry_after_ms"] = retryAfterMs;
        setRetryAfter(response, retryAfterMs);
    }
    response.body = boost::json::serialize(boost::json::object { { "error", error } });
    return response;
}

} // namespace quay
