#include "quay/kernel/Kernel.h"
#include "quay/kernel/BoundedRing.h"
#include "quay/kernel/Duty.h"

#include <doctest/doctest.h>
#include <future>

using namespace quay;

TEST_CASE("a full ring rejects and counts further entries, and keeps the order")
{
    BoundedRing<int> ring(2);
    CHECK(ring.tryPush(1));
    CHECK(ring.tryPush(2));
    CHECK_FALSE(ring.tryPush(3));
    CHECK(ring.refusedCount() == 1);
    CHECK(ring.tryPop() == 1);
    CHECK(ring.tryPush(4));
    CHECK(ring.tryPop() == 2);
    CHECK(ring.tryPop() == 4);
    CHECK_FALSE(ring.tryPop());
}

TEST_CASE("a duty runs every posted task, in order")
{
    Duty duty("test", 4096);
    duty.start();
    std::promise<int> done;
    int sum = 0;
    for (int i = 1; i <= 1000; ++i)
        REQUIRE(duty.post([&sum, i] { sum = sum * 3 % 1000003 + i; }));
    REQUIRE(duty.post([&] { done.set_value(sum); }));
    int expected = 0;
    for (int i = 1; i <= 1000; ++i)
        expected = expected * 3 % 1000003 + i;
    CHECK(done.get_future().get() == expected);
}

TEST_CASE("services are found by name and type")
{
    Kernel kernel;
    int number = 7;
    kernel.add("number", number);
    CHECK(kernel.find<int>("number") == 7);
    CHECK_THROWS_AS(kernel.find<double>("number"), std::logic_error);
    CHECK_THROWS_AS(kernel.find<int>("other"), std::logic_error);
    CHECK_THROWS_AS(kernel.add("number", number), std::logic_error);
}
