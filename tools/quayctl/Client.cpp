#include "Client.h"

#include "net/HttpClient.h"

#include <boost/asio/io_context.hpp>

namespace quay::ctl {

namespace {

constexpr std::size_t maxAnswerBytes = 64UL * 1024 * 1024;

} // namespace

std::optional<HttpResponse> call(const Target& target, HttpRequest request, Reason& reason)
{
    if (!target.key.empty())
        request.headers["Authorization"] = "Bearer " + target.key;
    boost::asio::io_context context(1);
    HttpClient client(context, 1, maxAnswerBytes);
    HttpResult outcome;
    client.send(target.address, std::move(request), std::chrono::milliseconds(target.timeoutMs),
        [&](HttpResult result) { outcome = std::move(result); });
    context.run();
    if (!outcome.response)
        reason = outcome.reason;
    return outcome.response;
}

HttpRequest getRequest(std::string path)
{
    HttpRequest request;
    request.target = std::move(path);
    return request;
}

HttpRequest postRequest(std::string path, std::string body)
{
    HttpRequest request;
    request.method = "POST";
    request.target = std::move(path);
    request.headers["Content-Type"] = "application/json";
    request.body = std::move(body);
    return request;
}

} // namespace quay::ctl
