#include "quay-bench/Http.h"

#include "net/HttpClient.h"

#include <boost/asio/io_context.hpp>

namespace quay::bench {

namespace {

constexpr std::size_t maxResponseBytes = 256UL * 1024 * 1024; // the ledgers of long runs are large

} // namespace

HttpRequest makeRequest(std::string method, std::string target, std::string body, const std::string& key)
{
    HttpRequest request;
    request.method = std::move(method);
    request.target = std::move(target);
    request.body = std::move(body);
    if (!key.empty())
        request.headers["Authorization"] = "Bearer " + key;
    return request;
}

std::optional<HttpResponse> sendRequest(const std::string& address, HttpRequest request, Duration timeout)
{
    boost::asio::io_context context(1);
    HttpClient client(context, 1, maxResponseBytes);
    std::optional<HttpResponse> response;
    client.send(address, std::move(request), timeout,
        [&](HttpResult result) { response = std::move(result.response); });
    context.run();
    return response;
}

} // namespace quay::bench
