#include "Client.h"

#include "net/HttpClient.h"

#include <boost/asio/io_context.hpp>

namespace quay::ctl {

namespace {

constexpr std::size_t maxResponseBytes = 64UL * 1024 * 1024;
constexpr std::string_view httpScheme = "http://";
constexpr std::string_view httpsScheme = "https://";

// Returns a null context for plain HTTP, and nullopt with `reason` set if the CAs can't be read.
std::optional<TlsContext> makeTlsContext(const Target& target, Reason& reason)
{
    if (!target.usesTls)
        return TlsContext();
    std::string detail;
    auto context = clientTlsContext(target.caFile, detail);
    if (!context)
        return fail(reason, ErrorKind::OwnerUnreachable, detail);
    return context;
}

} // namespace

std::optional<HttpResponse> sendRequest(const Target& target, HttpRequest request, Reason& reason)
{
    if (!target.key.empty())
        request.headers["Authorization"] = "Bearer " + target.key;
    auto tls = makeTlsContext(target, reason);
    if (!tls)
        return std::nullopt;
    boost::asio::io_context context(1);
    HttpClient client(context, 1, maxResponseBytes, std::move(*tls));
    HttpResult outcome;
    client.send(target.address, std::move(request), std::chrono::milliseconds(target.timeoutMs),
        [&](HttpResult result) { outcome = std::move(result); });
    context.run();
    if (!outcome.response)
        reason = outcome.reason;
    return outcome.response;
}

bool setAddress(Target& target, const std::string& address)
{
    const bool isPlain = address.starts_with(httpScheme);
    target.usesTls = address.starts_with(httpsScheme) || (!isPlain && !target.caFile.empty());
    const auto scheme = isPlain            ? httpScheme.size()
        : address.starts_with(httpsScheme) ? httpsScheme.size()
                                           : 0;
    target.address = address.substr(scheme);
    while (target.address.ends_with('/'))
        target.address.pop_back();
    return !isPlain || target.caFile.empty();
}

HttpRequest getRequest(std::string path)
{
    HttpRequest request;
    request.target = std::move(path);
    return request;
}

HttpRequest postRequest(std::string path, std::string body)
{
    return jsonPost(std::move(path), std::move(body));
}

} // namespace quay::ctl
