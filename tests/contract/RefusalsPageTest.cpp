#include "quay/core/Reason.h"

#include <doctest/doctest.h>
#include <fstream>
#include <string>
#include <vector>

using namespace quay;

namespace {

std::string rowOf(const ErrorEntry& entry)
{
    return "| `" + std::string(entry.name) + "` | " + std::to_string(entry.httpStatus) + " | "
        + std::string(text(entry.disposition)) + " | " + std::string(entry.message) + " | "
        + std::string(entry.remedy) + " | ";
}

// Returns the entries of all error kinds but None. Their numbers are consecutive, and describe() maps the
// first number past the end to OutcomeUnknown.
std::vector<ErrorEntry> errorKinds()
{
    std::vector<ErrorEntry> entries;
    for (unsigned number = 1;; ++number) {
        const auto& entry = describe(static_cast<ErrorKind>(number));
        if (entry.kind != static_cast<ErrorKind>(number))
            return entries;
        entries.push_back(entry);
    }
}

} // namespace

TEST_CASE(
    "docs/operators/refusals.md has a row for every error kind, in order, with an instruction for operators")
{
    std::ifstream file(QUAY_SOURCE_DIR "/docs/operators/refusals.md");
    std::vector<std::string> rows;
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with("| `"))
            rows.push_back(line);
    }
    const auto kinds = errorKinds();
    REQUIRE(rows.size() == kinds.size());
    for (std::size_t i = 0; i < kinds.size(); ++i) {
        const auto row = rowOf(kinds[i]);
        CAPTURE(row);
        CHECK(rows[i].starts_with(row));
        CHECK(rows[i].size() > row.size() + 2); // the column for operators is not empty
    }
}
