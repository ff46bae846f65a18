#pragma once

#include "net/HttpMessage.h"

#include <optional>
#include <string>

namespace quay::ctl {

/** Address and credentials for calls to the fleet. */
struct Target {
    std::string address; // "ip:port" of an entry VM or of the balancer
    std::string key; // sent as a bearer token; empty: none
    bool usesTls = false; // whether calls use HTTPS
    std::string caFile; // file of the trusted CAs for HTTPS; empty: those of the system
    int timeoutMs = 30'000;
};

/**
 * Sends one request and blocks until its response or the target's timeout. Returns nullopt and sets `reason`
 * if there is no response.
 *
 * Usage: `sendRequest({ "127.0.0.1:8080", key }, getRequest("/v1/fleet"), reason);`
 */
std::optional<HttpResponse> sendRequest(const Target& target, HttpRequest request, Reason& reason);

/**
 * Sets the address and the protocol of a target from IP:PORT, http://IP:PORT or https://IP:PORT. Without a
 * scheme, HTTPS is used if the target has a CA file. Returns false for http:// together with a CA file.
 */
bool setAddress(Target& target, const std::string& address);

/** Returns a GET request. */
HttpRequest getRequest(std::string path);
/** Returns a POST request with a JSON body. */
HttpRequest postRequest(std::string path, std::string body);

} // namespace quay::ctl
