#include "quay/core/Ownership.h"

#include <doctest/doctest.h>

using namespace quay;

namespace {

constexpr int executorCount = 400;

OwnershipView viewOf(std::initializer_list<const char*> names)
{
    OwnershipView view;
    view.epoch = 1;
    for (const char* name : names)
        view.owners.emplace_back(name);
    return view;
}

ServerId executor(int index) { return ServerId { "executor-" + std::to_string(index) }; }

} // namespace

TEST_CASE("a membership change moves only the executors of the changed member")
{
    struct Row {
        OwnershipView before;
        OwnershipView after;
        const char* changed;
        int most; // upper bound of executors that change owner
    };
    const Row rows[] = {
        { viewOf({ "a", "b" }), viewOf({ "a", "b", "c" }), "c", executorCount / 2 },
        { viewOf({ "a", "b", "c", "d" }), viewOf({ "a", "c", "d" }), "b", executorCount / 2 },
        { viewOf({ "a", "b", "c" }), viewOf({ "c", "b", "a" }), "", 0 },
    };
    for (const auto& row : rows) {
        CAPTURE(row.changed);
        int moved = 0;
        for (int i = 0; i < executorCount; ++i) {
            const auto from = ownerOf(row.before, executor(i));
            const auto to = ownerOf(row.after, executor(i));
            if (from == to)
                continue;
            ++moved;
            CHECK((from.text == row.changed || to.text == row.changed));
        }
        CHECK(moved <= row.most);
        CHECK((moved > 0) == (row.most > 0));
    }
}

TEST_CASE("executors are distributed over all members")
{
    const auto view = viewOf({ "a#1", "b#1", "c#1", "d#1" });
    for (const auto& member : view.owners) {
        int owned = 0;
        for (int i = 0; i < executorCount; ++i)
            owned += ownerOf(view, executor(i)) == member ? 1 : 0;
        CHECK(owned > executorCount / 8);
        CHECK(owned < executorCount / 2);
    }
}

TEST_CASE("without members no resource has an owner")
{
    CHECK(ownerOf(OwnershipView {}, executor(1)).empty());
    CHECK(ownerOf(OwnershipView {}, OwnedResource { LeaderRole {} }).empty());
}
