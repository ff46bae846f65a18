#pragma once

#include "quay/core/Reason.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace quay {

/** A request, independent of the HTTP library. Header names are in lower case. */
struct HttpRequest {
    std::string method = "GET";
    std::string target = "/";
    std::map<std::string, std::string> headers;
    std::string body;

    /** The value of a header, or an empty string. */
    std::string header(const std::string& lowerCaseName) const;
    /** The target without its query. */
    std::string path() const;
    /** The value of a query parameter, or an empty string. */
    std::string query(const std::string& name) const;
};

/** A response, independent of the HTTP library. */
struct HttpResponse {
    unsigned status = 200;
    std::string contentType = "application/json";
    std::map<std::string, std::string> headers;
    std::string body;
};

/** What became of a request that was sent. */
struct HttpResult {
    std::optional<HttpResponse> response;
    bool mayHaveArrived = false; // meaningful without a response: false only if no byte was sent
    Reason reason; // why there is no response
};

/** Size and time limits of one HTTP server. */
struct HttpLimits {
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 1024 * 1024;
    std::size_t maxConnections = 4096;
    int idleTimeoutMs = 30'000; // a connection that neither sends nor takes bytes is closed
};

/** A POST of a JSON body. */
HttpRequest jsonPost(std::string target, std::string body);

/** Splits "host:port"; false if there is no valid port. */
bool splitAddress(const std::string& address, std::string& host, std::uint16_t& port);

/** The JSON answer of a refusal: kind, disposition, message, detail, remedy. */
HttpResponse errorResponse(const Reason& reason, int retryAfterMs = 0);

} // namespace quay
