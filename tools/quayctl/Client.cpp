#include "Client.h"

#include "net/HttpClient.h"

#include <boost/asio/io_context.hpp>

namespace quay::ctl {

namespace {

constexpr std::size_t maxAnswerBytes = 64UL * 1024 * 1024;
constexpr std::string_view plainScheme = "http://";
constexpr std::string_view secureScheme = "https://";

// Null for plain HTTP; nullopt with a reason if the CAs can't be read.
std::optional<TlsContext> tlsOf(const Target& target, Reason& reason)
{
    if (!target.secure)
        return TlsContext();
    std::string detail;
    auto context = clientTlsContext(target.caFile, detail);
    if (!context)
        return fail(reason, ErrorKind::OwnerUnreachable, detail);
    return context;
}

} // namespace

std::optional<HttpResponse> call(const Target& target, HttpRequest request, Reason& reason)
{
    if (!target.key.empty())
        request.headers["Authorization"] = "Bearer " + target.key;
    auto tls = tlsOf(target, reason);
    if (!tls)
        return std::nullopt;
    boost::asio::io_context context(1);
    HttpClient client(context, 1, maxAnswerBytes, std::move(*tls));
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
    const bool plain = address.starts_with(plainScheme);
    target.secure = address.starts_with(secureScheme) || (!plain && !target.caFile.empty());
    const auto scheme = plain               ? plainScheme.size()
        : address.starts_with(secureScheme) ? secureScheme.size()
                                            : 0;
    target.address = address.substr(scheme);
    while (target.address.ends_with('/'))
        target.address.pop_back();
    return !plain || target.caFile.empty();
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
