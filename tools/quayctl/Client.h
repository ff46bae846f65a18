#pragma once

#include "net/HttpMessage.h"

#include <optional>
#include <string>

namespace quay::ctl {

/** Where quayctl finds the fleet, and which key it shows. */
struct Target {
    std::string address; // "ip:port" of an entry VM or of the balancer
    std::string key;
    int timeoutMs = 30'000;
};

/** Sends one request and waits for its answer; without an answer the reason is set. */
std::optional<HttpResponse> call(const Target& target, HttpRequest request, Reason& reason);

/** Shorthands for the usual requests. */
HttpRequest getRequest(std::string path);
HttpRequest postRequest(std::string path, std::string body);

} // namespace quay::ctl
