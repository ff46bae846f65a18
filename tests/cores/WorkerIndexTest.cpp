#include "PlacementChecker.h"

using namespace quay;
using namespace quay::test;

TEST_CASE("the index finds a worker if and only if a full scan does")
{
    forEachSeed(30, [](std::uint64_t seed) {
        SeededRandom choices(seed);
        WorkerIndex index;
        std::vector<WorkerView> views = makeFleet(40, 5);
        for (auto& view : views) {
            view.capacity
                = { choices.between(0, 90'000), choices.between(0, 200'000), view.capacity.accelerators };
            index.update(view);
        }
        for (int step = 0; step < 200; ++step) {
            const auto nth = choices.below(views.size());
            auto& view = views[nth];
            view.used = { choices.between(0, 95'000), choices.between(0, 200'000), choices.between(0, 4) };
            view.usable = choices.percent(80);
            index.update(view);
            const Resources need { choices.between(0, 60'000), choices.between(0, 150'000),
                choices.percent(50) ? choices.between(0, 4) : 0 };
            const auto fits
                = [&](const WorkerView& it) { return it.usable && need.fitsIn(it.capacity - it.used); };
            const bool expected = std::any_of(views.begin(), views.end(), fits);
            const auto any = [](std::uint32_t) { return true; };
            std::mt19937_64 random(seed);
            for (const auto& found :
                { index.bestFit(need, any), index.firstFit(need, any), index.randomFit(need, any, random) }) {
                REQUIRE(found.has_value() == expected);
                REQUIRE((!found || fits(views[*found])));
            }
        }
    });
}

TEST_CASE("capacity sums follow task starts, task ends and worker removal")
{
    WorkerIndex index;
    const auto fleet = makeFleet(3);
    for (const auto& worker : fleet)
        index.update(worker);
    index.addUsed(0, { 2'000, 1'024, 0 });
    CHECK(index.rackFree(0) == Resources { 94'000, 195'584, 0 });
    CHECK(index.totalCapacity() == Resources { 96'000, 196'608, 0 });
    index.removeUsed(0, { 2'000, 1'024, 0 });
    index.remove(fleet[1].id);
    CHECK(index.rackFree(0) == Resources { 64'000, 131'072, 0 });
    CHECK(index.totalCapacity() == Resources { 64'000, 131'072, 0 });
    CHECK(index.fitCountWhenEmpty({ 32'000, 1, 0 }) == 2);
    index.update(fleet[1]);
    CHECK(index.fitCountWhenEmpty({ 32'000, 1, 0 }) == 3);
}

TEST_CASE("best fit takes the worker with the fewest free accelerators and cpu")
{
    WorkerIndex index;
    auto fleet = makeFleet(4, 4); // w0 has accelerators
    fleet[1].used = { 28'000, 0, 0 };
    fleet[2].used = { 20'000, 0, 0 };
    for (const auto& worker : fleet)
        index.update(worker);
    struct Row {
        Resources need;
        std::uint32_t worker;
    };
    const Row rows[] = {
        { { 4'000, 1, 0 }, 1 },
        { { 4'001, 1, 0 }, 2 },
        { { 12'001, 1, 0 }, 3 },
        { { 1, 1, 1 }, 0 },
    };
    for (const auto& row : rows)
        CHECK(index.bestFit(row.need, [](std::uint32_t) { return true; }) == row.worker);
}
