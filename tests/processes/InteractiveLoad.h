#pragma once

#include "LocalFleet.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace quay::test {

/** Result of one interactive request at the caller. */
struct RequestOutcome {
    std::string requestId; // unique; also the request body
    std::size_t entry = 0;
    unsigned status = 0; // HTTP status; 0: no response
    std::string body;
};

/** Parameters of runLoad(). */
struct RequestLoad {
    std::string prefix; // of all request ids
    unsigned callers = 8; // threads; each has one request in flight at a time
    unsigned requestsPerCaller = 50;
    bool isIdempotent = true;
    std::uint32_t deadlineMs = 5000;
};

/** Sends an interactive request with its id as body and waits for the response. */
RequestOutcome sendRequest(const LocalFleet& fleet, std::size_t entry, const std::string& requestId,
    bool isIdempotent, std::uint32_t deadlineMs);

/** Sends all requests, spread round-robin over the entry VMs, and returns their outcomes. */
std::vector<RequestOutcome> runLoad(const LocalFleet& fleet, const RequestLoad& load);

/** One line per successful response whose body isn't the echo of its own request. */
std::vector<std::string> mismatchedAnswers(const std::vector<RequestOutcome>& outcomes);

/** Number of outcomes with status 200. */
std::size_t answeredCount(const std::vector<RequestOutcome>& outcomes);

/** How often each request ran, summed over the ledgers of all executors. */
std::map<std::string, std::uint64_t> runsByRequest(const LocalFleet& fleet);

/**
 * Sends requests through each entry VM until one is answered with status 200, so that a load starts only when
 * every entry VM has slots to use.
 */
void waitUntilAllEntriesAnswer(const LocalFleet& fleet);

/** Sets the behaviour of an executor stand-in, for example {"fail_all":true}. */
void setBehaviour(const BackendServer& executor, const std::string& json);

} // namespace quay::test
