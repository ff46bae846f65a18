#include "service/JobJson.h"

#include <doctest/doctest.h>

using namespace quay;

TEST_CASE("a refused job's response says when to come back, rounded up to seconds")
{
    struct Row {
        int retryAfterMs;
        const char* expected; // null: no header
    };
    for (const auto& row : { Row { 0, nullptr }, Row { 1, "1" }, Row { 1000, "1" }, Row { 1001, "2" } }) {
        CAPTURE(row.retryAfterMs);
        const auto response
            = toHttpResponse(refusal(Reason { ErrorKind::QueueFull, "100 jobs" }, row.retryAfterMs));
        const auto header = response.headers.find("Retry-After");
        CHECK((header == response.headers.end()) == (row.expected == nullptr));
        if (header != response.headers.end() && row.expected)
            CHECK(header->second == row.expected);
    }
}
