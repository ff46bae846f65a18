#pragma once

#include "net/HttpMessage.h"
#include "quay/core/Time.h"

#include <optional>
#include <string>

namespace quay::bench {

/** A request with a key, or without one if it is empty. */
HttpRequest makeRequest(
    std::string method, std::string target, std::string body = {}, const std::string& key = {});

/** Sends one request and waits for its answer; nullopt if there is none in time. */
std::optional<HttpResponse> sendRequest(
    const std::string& address, HttpRequest request, Duration timeout = 10s);

} // namespace quay::bench
