#include "SeededRandom.h"

#include "quay/core/InteractiveRouter.h"

using namespace quay;

namespace {

const Instant start {};
const TeamId team { "clinic" };

std::vector<ExecutorInfo> makeExecutors(int n, std::uint32_t slots)
{
    std::vector<ExecutorInfo> executors;
    executors.reserve(static_cast<std::size_t>(n));
    for (int i = 0; i < n; ++i)
        executors.push_back({ ServerId { "x" + std::to_string(i) }, slots, false });
    return executors;
}

// Compares the counts that the router updates incrementally with a recount; returns the first difference.
std::string findViolation(const RouterState& state)
{
    std::uint32_t free = 0;
    std::size_t available = 0;
    for (const Executor& executor : state.executors) {
        const bool isInService = executor.owned && !executor.info.leaving && !executor.ejected;
        const bool hasFreeSlot = isInService && executor.outstanding < executor.info.slots;
        free += hasFreeSlot ? executor.info.slots - executor.outstanding : 0;
        available += hasFreeSlot ? 1 : 0;
        if (hasFreeSlot != (executor.availableIndex >= 0))
            return executor.info.id.text + " has a wrong availableIndex";
    }
    if (free != state.freeSlots || available != state.available.size())
        return "counts of free slots or available executors are wrong";
    return {};
}

/** One seeded run: requests, answers, executor changes and health checks in random order. */
class SeededTraffic {
public:
    /**
     * @param withRecount also compares the router's counts with a recount; off with a disabled rule, which
     * the recount would detect before the check under test
     */
    SeededTraffic(std::uint64_t seed, const RouterRules& rules, bool withRecount)
        : m_choices(seed)
        , m_rng(seed)
        , m_withRecount(withRecount)
    {
        RouterSettings settings;
        settings.policy = static_cast<RoutingPolicy>(m_choices.below(3));
        settings.rules = rules;
        m_state = makeRouter(settings);
        setExecutors(m_state, m_executors);
    }

    /** Returns the first violation, or an empty string. */
    std::string run(std::uint64_t steps)
    {
        std::string found;
        for (std::uint64_t i = 0; i < steps && found.empty(); ++i)
            found = runStep(i);
        return found;
    }

private:
    std::string runStep(std::uint64_t id)
    {
        m_now += 5ms;
        if (m_choices.percent(70))
            enqueueRequest(m_state, { id, team, m_now + 200ms }, m_now);
        std::string found = dispatchAll();
        if (!m_running.empty() && m_choices.percent(60))
            answerOne();
        if (m_choices.percent(3))
            changeExecutors();
        if (m_choices.percent(5))
            updateEjections(m_state, m_now);
        if (found.empty() && m_withRecount)
            found = findViolation(m_state);
        return found.empty() && outstanding() != m_running.size() ? "sum of outstanding requests is wrong"
                                                                  : found;
    }

    std::string dispatchAll()
    {
        std::string found;
        for (const Dispatch& next : dispatch(m_state, m_now, m_rng).dispatches) {
            m_running.push_back(next);
            const Executor& chosen = m_state.executors[m_state.executorIndices.at(next.executor)];
            if (chosen.outstanding > chosen.info.slots)
                found = "more requests than slots";
            else if (chosen.info.leaving || chosen.ejected || !chosen.owned)
                found = "sent to an executor out of service";
        }
        return found;
    }

    void answerOne()
    {
        const std::size_t index = m_choices.below(m_running.size());
        const bool isFailing = m_running[index].executor.text == "x0";
        onAnswer(m_state, m_running[index].executor, !isFailing, 20ms);
        m_running.erase(m_running.begin() + static_cast<std::ptrdiff_t>(index));
    }

    void changeExecutors()
    {
        auto changed = m_executors;
        changed[m_choices.below(6)].leaving = true;
        changed[m_choices.below(6)].slots = 1;
        changed.resize(m_choices.below(6) + 1);
        setExecutors(m_state, changed);
    }

    std::size_t outstanding() const
    {
        std::size_t sum = 0;
        for (const Executor& executor : m_state.executors)
            sum += executor.outstanding;
        return sum;
    }

    test::SeededRandom m_choices;
    std::mt19937_64 m_rng;
    bool m_withRecount;
    std::vector<ExecutorInfo> m_executors = makeExecutors(6, 3);
    RouterState m_state;
    std::vector<Dispatch> m_running;
    Instant m_now;
};

constexpr std::uint64_t seeds = 50;
constexpr std::uint64_t steps = 800;

} // namespace

TEST_CASE("seeded traffic: no executor gets more requests than slots, or any request while out of service")
{
    test::forEachSeed(
        seeds, [](std::uint64_t seed) { REQUIRE(SeededTraffic(seed, {}, true).run(steps) == ""); });
}

TEST_CASE("seeded traffic detects each disabled routing rule")
{
    struct Row {
        const char* name;
        RouterRules rules;
        std::string found;
    };
    const Row rows[] = {
        { "slot limit not enforced", { .enforceSlotLimit = false }, "more requests than slots" },
        { "leaving executors used", { .skipLeavingExecutors = false }, "sent to an executor out of service" },
        { "ejected executors used", { .skipEjectedExecutors = false }, "sent to an executor out of service" },
    };
    for (const Row& row : rows) {
        CAPTURE(std::string(row.name));
        bool isFound = false;
        for (std::uint64_t seed = 1; seed <= seeds && !isFound; ++seed)
            isFound = SeededTraffic(seed, row.rules, false).run(steps) == row.found;
        CHECK(isFound);
    }
}

TEST_CASE("the recount detects wrong counts")
{
    RouterState state = makeRouter({});
    setExecutors(state, makeExecutors(2, 2));
    REQUIRE(findViolation(state) == "");
    RouterState miscounted = state;
    ++miscounted.freeSlots;
    CHECK(findViolation(miscounted) != "");
    RouterState overfilled = state;
    overfilled.executors[0].outstanding = 2;
    CHECK(findViolation(overfilled) != "");
}

TEST_CASE("power of two choices prefers the executor with lower latency and load")
{
    RouterState state = makeRouter({});
    setExecutors(state, makeExecutors(2, 100));
    std::mt19937_64 rng(7);
    state.executors[0].latency = 10ms;
    state.executors[1].latency = 80ms;
    for (std::uint64_t i = 0; i < 60; ++i)
        REQUIRE_FALSE(enqueueRequest(state, { i, team, start + 60s }, start).has_value());
    CHECK(dispatch(state, start, rng).dispatches.size() == 60);
    CHECK(state.executors[0].outstanding > state.executors[1].outstanding);
}

TEST_CASE("an executor that is no longer owned keeps its outstanding requests until they are answered")
{
    RouterState state = makeRouter({});
    setExecutors(state, makeExecutors(1, 2));
    std::mt19937_64 rng(7);
    REQUIRE_FALSE(enqueueRequest(state, { 1, team, start + 1s }, start).has_value());
    REQUIRE(dispatch(state, start, rng).dispatches.size() == 1);
    setExecutors(state, {});
    CHECK(state.executors.size() == 1);
    CHECK(slotCapacity(state).slots == 0);
    setExecutors(state, makeExecutors(1, 2));
    CHECK(state.freeSlots == 1);
    setExecutors(state, {});
    onAnswer(state, ServerId { "x0" }, true, 20ms);
    CHECK(state.executors.empty());
}

TEST_CASE("forwarding prefers the own domain, weighs the link cost and respects the deadline")
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
        { "the link costs less than the wait", 0, 9, 100ms, 1s, far },
        { "the link costs more than the wait", 0, 9, 30ms, 1s, std::nullopt },
        { "round trip past the deadline", 0, 9, 100ms, 25ms, std::nullopt },
        { "no free slots", 0, 0, 100ms, 1s, std::nullopt },
    };
    for (const Row& row : rows) {
        CAPTURE(std::string(row.name));
        const std::vector<ForwardPeer> peers {
            { near, true, row.nearFree, 1ms, 0ms },
            { far, false, row.farFree, 9ms, 40ms },
        };
        CHECK(chooseForwardPeer(peers, row.wait, 20ms, row.left) == row.chosen);
    }
}
