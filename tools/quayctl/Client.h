#pragma once

#include "net/HttpMessage.h"

#include <optional>
#include <string>

namespace quay::ctl {

/** Where quayctl finds the fleet, and which key it shows. */
struct Target {
    std::string address; // "ip:port" of an entry VM or of the balancer
    std::string key;
    bool usesTls = false; // HTTPS
    std::string caFile; // with HTTPS: the CAs to trust; empty: those of the system
    int timeoutMs = 30'000;
};

/** Sends one request and waits for its answer; without an answer the reason is set. */
std::optional<HttpResponse> sendRequest(const Target& target, HttpRequest request, Reason& reason);

/**
 * Sets the address of a target from IP:PORT, http://IP:PORT or https://IP:PORT.
 * A CA file without a scheme means HTTPS. False for http:// with a CA file.
 */
bool setAddress(Target& target, const std::string& address);

/** Shorthands for the usual requests. */
HttpRequest getRequest(std::string path);
HttpRequest postRequest(std::string path, std::string body);

} // namespace quay::ctl
