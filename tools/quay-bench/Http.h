#pragma once

#include "net/HttpMessage.h"
#include "quay/core/Time.h"

#include <optional>
#include <string>

namespace quay::bench {

/** Returns a request that sends `key` as a bearer token; an empty key is not sent. */
HttpRequest makeRequest(
    std::string method, std::string target, std::string body = {}, const std::string& key = {});

/** Sends one request and blocks until its response; nullopt if there is none within the timeout. */
std::optional<HttpResponse> sendRequest(
    const std::string& address, HttpRequest request, Duration timeout = 10s);

} // namespace quay::bench
