#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>

namespace quay {

/** The endpoint that "IP:PORT" names. Returns nothing for other text, a host name, and port 0. */
std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(const std::string& address);

} // namespace quay
