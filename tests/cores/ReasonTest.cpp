#include "quay/core/Reason.h"

#include <doctest/doctest.h>
#include <set>

using namespace quay;

TEST_CASE("every error kind is at the index of its number, with a unique name, a message and a remedy")
{
    std::set<std::string_view> names;
    for (unsigned i = 0; i <= static_cast<unsigned>(ErrorKind::CursorTooOld); ++i) {
        const auto& entry = describe(static_cast<ErrorKind>(i));
        CAPTURE(i);
        CHECK(static_cast<unsigned>(entry.kind) == i);
        CHECK(names.insert(entry.name).second);
        CHECK_FALSE(entry.message.empty());
        CHECK_FALSE(entry.remedy.empty());
    }
}

TEST_CASE("an unknown error number has the disposition 'unknown'")
{
    // A newer peer may send a number that this version doesn't know. Reading it as "not run" would allow
    // the retry of a request that may have run.
    CHECK(describe(static_cast<ErrorKind>(9999)).disposition == Disposition::Unknown);
}
