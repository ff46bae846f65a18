#include "net/Endpoint.h"

#include "net/HttpMessage.h"

#include <algorithm>

namespace quay {

std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(const std::string& address)
{
    // The library ignores text after a zero byte, and most text after the "%" of an IPv6 address.
    const bool isPlain
        = std::all_of(address.begin(), address.end(), [](unsigned char c) { return c > 0x20 && c < 0x7f; });
    std::string host;
    std::uint16_t port = 0;
    if (!isPlain || !splitAddress(address, host, port) || port == 0)
        return std::nullopt;
    boost::system::error_code ec;
    const auto ip = boost::asio::ip::make_address(host, ec);
    if (ec)
        return std::nullopt;
    return boost::asio::ip::tcp::endpoint(ip, port);
}

} // namespace quay
