#include "quay/core/TeamTokens.h"

#include <doctest/doctest.h>
#include <thread>
#include <vector>

using namespace quay;

namespace {

const TeamId team { "clinic" };
const Instant now {};

} // namespace

TEST_CASE("tokens are acquired up to the grant, and only before the lease expires")
{
    TeamTokens tokens;
    tokens.setGranted(team, 3);
    CHECK_FALSE(tokens.tryAcquire(team, 1, now)); // no lease yet
    tokens.extendLease(now + 1s);
    CHECK(tokens.tryAcquire(team, 2, now));
    CHECK_FALSE(tokens.tryAcquire(team, 2, now));
    CHECK(tokens.tryAcquire(team, 1, now));
    tokens.release(team, 3);
    CHECK_FALSE(tokens.tryAcquire(team, 1, now + 1s));
    CHECK(tokens.takeUsage().at(team) == TeamUsage { 0, 4 });
    CHECK(tokens.takeUsage().at(team) == TeamUsage { 0, 0 });
    tokens.fence();
    CHECK_FALSE(tokens.tryAcquire(team, 1, now));
}

TEST_CASE("a reduction removes idle units immediately and running ones as they end")
{
    TeamTokens tokens;
    tokens.extendLease(now + 1s);
    tokens.setGranted(team, 10);
    REQUIRE(tokens.tryAcquire(team, 6, now));
    CHECK(tokens.reduceTo(team, 4) == 6);
    tokens.release(team, 1);
    CHECK_FALSE(tokens.tryAcquire(team, 1, now)); // five units running, ceiling four
    CHECK(tokens.reduceTo(team, 4) == 5);
    tokens.release(team, 2);
    CHECK(tokens.tryAcquire(team, 1, now));
}

TEST_CASE("concurrent threads never hold more units than granted")
{
    constexpr int threadCount = 4;
    constexpr int rounds = 5000;
    TeamTokens tokens;
    tokens.extendLease(now + 1s);
    tokens.setGranted(team, 3);
    std::atomic<int> holding { 0 };
    std::atomic<bool> exceeded { false };
    const auto work = [&] {
        for (int i = 0; i < rounds; ++i) {
            if (!tokens.tryAcquire(team, 1, now))
                continue;
            if (holding.fetch_add(1) >= 3)
                exceeded = true;
            holding.fetch_sub(1);
            tokens.release(team, 1);
        }
    };
    std::vector<std::thread> threads;
    threads.reserve(threadCount);
    for (int i = 0; i < threadCount; ++i)
        threads.emplace_back(work);
    for (std::thread& thread : threads)
        thread.join();
    CHECK_FALSE(exceeded.load());
    CHECK(tokens.takeUsage().at(team).running == 0);
}
