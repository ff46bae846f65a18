#pragma once

#include "quay/core/Reason.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace quay {

/** A request, independent of the HTTP library. Names of received headers are in lower case. */
struct HttpRequest {
    std::string method = "GET";
    std::string target = "/";
    std::map<std::string, std::string> headers;
    std::string body;

    /** The value of a header, or an empty string. */
    std::string header(const std::string& lowerCaseName) const;
    /** The target without the query string. */
    std::string path() const;
    /** The value of a query parameter as sent, without percent-decoding; an empty string if it is missing. */
    std::string query(const std::string& name) const;
};

/** A response, independent of the HTTP library. */
struct HttpResponse {
    unsigned status = 200;
    std::string contentType = "application/json";
    std::map<std::string, std::string> headers;
    std::string body;
};

/** The result of a request: a response, or the reason why there is none. */
struct HttpResult {
    std::optional<HttpResponse> response;
    bool mayHaveArrived = false; // without a response: false only if no byte of the request was sent
    Reason reason; // set if there is no response
};

/** Size and time limits of one HTTP server. */
struct HttpLimits {
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 1024 * 1024;
    std::size_t maxConnections = 4096;
    int idleTimeoutMs = 30'000; // a connection without progress in reading or writing is closed
};

/** A POST request with a JSON body. */
HttpRequest jsonPost(std::string target, std::string body);

/** Splits "host:port". Returns false if the host or a valid port is missing. */
bool splitAddress(const std::string& address, std::string& host, std::uint16_t& port);

/** Sets the Retry-After header, rounded up to seconds. */
void setRetryAfter(HttpResponse& response, int retryAfterMs);

/**
 * The JSON response for a refused request: kind, disposition, message, detail, remedy. A positive
 * `retryAfterMs` is added to the body and, rounded up to seconds, as the Retry-After header.
 */
HttpResponse errorResponse(const Reason& reason, int retryAfterMs = 0);

} // namespace quay
