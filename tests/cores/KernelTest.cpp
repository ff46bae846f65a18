#include "quay/kernel/BoundedRing.h"
#include "quay/kernel/ServiceRegistry.h"
#include "quay/kernel/ServiceThread.h"

#include <doctest/doctest.h>
#include <future>

using namespace quay;

TEST_CASE("a full ring rejects and counts pushes, and preserves the order of its items")
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

TEST_CASE("a service thread runs every accepted task in order")
{
    ServiceThread service("test", 4096);
    service.start();
    std::promise<int> done;
    int sum = 0;
    for (int i = 1; i <= 1000; ++i)
        REQUIRE(service.post([&sum, i] { sum = sum * 3 % 1000003 + i; }));
    REQUIRE(service.post([&] { done.set_value(sum); }));
    int expected = 0;
    for (int i = 1; i <= 1000; ++i)
        expected = expected * 3 % 1000003 + i;
    CHECK(done.get_future().get() == expected);
}

TEST_CASE("the service registry finds services by name and type")
{
    ServiceRegistry registry;
    int number = 7;
    registry.add("number", number);
    CHECK(registry.find<int>("number") == 7);
    CHECK_THROWS_AS(registry.find<double>("number"), std::logic_error);
    CHECK_THROWS_AS(registry.find<int>("other"), std::logic_error);
    CHECK_THROWS_AS(registry.add("number", number), std::logic_error);
}
