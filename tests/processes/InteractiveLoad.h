#pragma once

#include "LocalFleet.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace quay::test {

/** One request as its caller saw it. */
struct RequestOutcome {
    std::string requestId; // unique, also the body
    std::size_t entry = 0;
    unsigned status = 0; // 0: no answer
    std::string body;
};

struct RequestLoad {
    std::string prefix; // of the request ids
    unsigned callers = 8; // threads, each with one request at a time
    unsigned requestsPerCaller = 50;
    bool idempotent = true;
    std::uint32_t deadlineMs = 5000;
};

/** Sends one request; its body is its id. */
RequestOutcome sendRequest(const LocalFleet& fleet, std::size_t entry, const std::string& requestId,
    bool idempotent, std::uint32_t deadlineMs);

/** Sends all requests over all entry VMs in turn and waits for their outcomes. */
std::vector<RequestOutcome> runLoad(const LocalFleet& fleet, const RequestLoad& load);

/** Answers that belong to another request, or are no answer that an executor gives. */
std::vector<std::string> mismatchedAnswers(const std::vector<RequestOutcome>& outcomes);

std::size_t answeredCount(const std::vector<RequestOutcome>& outcomes);

/** How often each request ran, by the ledgers of all executors. */
std::map<std::string, std::uint64_t> runsByRequest(const LocalFleet& fleet);

/** Sends requests until each entry VM has had one answered, so that slots are in use everywhere. */
void waitUntilAllEntriesAnswer(const LocalFleet& fleet);

/** Sets the behaviour of an executor, for example {"fail_all":true}. */
void setBehaviour(const BackendServer& executor, const std::string& json);

} // namespace quay::test
