#include "Seeded.h"

#include "quay/core/InteractiveRouter.h"

using namespace quay;

namespace {

const Instant start {};
const TeamId team { "clinic" };

std::vector<ExecutorInfo> executorsOf(int n, std::uint32_t slots)
{
    std::vector<ExecutorInfo> executors;
    for (int i = 0; i < n; ++i)
        executors.push_back({ ServerId { "x" + std::to_string(i) }, slots, false });
    return executors;
}

// Recounts everything that the router keeps up to date by increments.
std::string violation(const RouterState& state)
{
    std::uint32_t free = 0;
    std::size_t available = 0;
    for (const Executor& executor : state.executors) {
        const bool open = executor.owned && !executor.info.leaving && !executor.ejected;
        const bool hasRoom = open && executor.outstanding < executor.info.slots;
        free += hasRoom ? executor.info.slots - executor.outstanding : 0;
        available += hasRoom ? 1 : 0;
        if (hasRoom != (executor.availableIndex >= 0))
            return executor.info.id.text + " is wrongly listed";
    }
    if (free != state.freeSlots || available != state.available.size())
        return "counts of free slots are wrong";
    return {};
}

} // namespace

TEST_CASE("under seeded traffic no executor gets more than its slots, nor anything while leaving or ejected")
{
    test::forEachSeed(50, [](std::uint64_t seed) {
        test::Choices choices(seed);
        std::mt19937_64 rng(seed);
        RouterSettings settings;
        settings.policy = static_cast<RoutingPolicy>(choices.below(3));
        RouterState state = makeRouter(settings);
        std::vector<ExecutorInfo> executors = executorsOf(6, 3);
        setExecutors(state, executors);
        std::vector<Dispatch> running;
        Instant now = start;
        for (std::uint64_t i = 0; i < 800; ++i) {
            now += 5ms;
            if (choices.percent(70))
                addRequest(state, { i, team, now + 200ms }, now);
            for (const Dispatch& next : dispatch(state, now, rng).dispatches) {
                const Executor& chosen = state.executors[state.positions.at(next.executor)];
                REQUIRE(chosen.outstanding <= chosen.info.slots);
                REQUIRE_FALSE(chosen.info.leaving);
                REQUIRE_FALSE(chosen.ejected);
                REQUIRE(chosen.owned);
                running.push_back(next);
            }
            if (!running.empty() && choices.percent(60)) {
                const std::size_t index = choices.below(running.size());
                const bool isBroken = running[index].executor.text == "x0";
                onAnswer(state, running[index].executor, !isBroken, 20ms);
                running.erase(running.begin() + static_cast<std::ptrdiff_t>(index));
            }
            if (choices.percent(3)) {
                auto changed = executors;
                changed[choices.below(6)].leaving = true;
                changed[choices.below(6)].slots = 1;
                changed.resize(choices.below(6) + 1);
                setExecutors(state, changed);
            }
            if (choices.percent(5))
                checkExecutors(state, now);
            REQUIRE(violation(state) == "");
            std::uint32_t outstanding = 0;
            for (const Executor& executor : state.executors)
                outstanding += executor.outstanding;
            REQUIRE(outstanding == running.size());
        }
    });
}

TEST_CASE("the recount finds planted faults")
{
    RouterState state = makeRouter({});
    setExecutors(state, executorsOf(2, 2));
    REQUIRE(violation(state) == "");
    RouterState miscounted = state;
    ++miscounted.freeSlots;
    CHECK(violation(miscounted) != "");
    RouterState overfilled = state;
    overfilled.executors[0].outstanding = 2;
    CHECK(violation(overfilled) != "");
}

TEST_CASE("two choices prefer the faster and the emptier executor")
{
    RouterState state = makeRouter({});
    setExecutors(state, executorsOf(2, 100));
    std::mt19937_64 rng(7);
    state.executors[0].latency = 10ms;
    state.executors[1].latency = 80ms;
    for (std::uint64_t i = 0; i < 60; ++i)
        REQUIRE_FALSE(addRequest(state, { i, team, start + 60s }, start).has_value());
    CHECK(dispatch(state, start, rng).dispatches.size() == 60);
    CHECK(state.executors[0].outstanding > state.executors[1].outstanding);
}

TEST_CASE("an executor that is no longer owned keeps its outstanding requests until they are answered")
{
    RouterState state = makeRouter({});
    setExecutors(state, executorsOf(1, 2));
    std::mt19937_64 rng(7);
    REQUIRE_FALSE(addRequest(state, { 1, team, start + 1s }, start).has_value());
    REQUIRE(dispatch(state, start, rng).dispatches.size() == 1);
    setExecutors(state, {});
    CHECK(state.executors.size() == 1);
    CHECK(slotCapacity(state).slots == 0);
    setExecutors(state, executorsOf(1, 2));
    CHECK(state.freeSlots == 1);
    setExecutors(state, {});
    onAnswer(state, ServerId { "x0" }, true, 20ms);
    CHECK(state.executors.empty());
}

TEST_CASE("forwarding: own domain first, links at their price, never past the deadline")
{
    const MemberId near { "near" };
    const MemberId far { "far" };
    struct Row {
        const char* name;
        std::uint32_t nearFree, farFree;
        Duration wait, left;
        std::optional<MemberId> chosen;
    };
    const Row rows[] = {
        { "no wait here", 5, 5, 0ms, 1s, std::nullopt },
        { "own domain first", 1, 9, 100ms, 1s, near },
        { "the link is worth it", 0, 9, 100ms, 1s, far },
        { "the link costs more than the wait", 0, 9, 30ms, 1s, std::nullopt },
        { "no time for the link", 0, 9, 100ms, 25ms, std::nullopt },
        { "nobody has room", 0, 0, 100ms, 1s, std::nullopt },
    };
    for (const Row& row : rows) {
        CAPTURE(std::string(row.name));
        const std::vector<ForwardPeer> peers {
            { near, true, row.nearFree, 1ms, 0ms },
            { far, false, row.farFree, 9ms, 40ms },
        };
        CHECK(chooseForward(peers, row.wait, 20ms, row.left) == row.chosen);
    }
}
