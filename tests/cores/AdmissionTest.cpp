#include "quay/core/Admission.h"

#include <doctest/doctest.h>

using namespace quay;

namespace {

const Instant now {};
const TeamId clinic { "clinic" };
const TeamId agents { "agents" };
constexpr SlotCapacity busy { 8, 0, 20ms };

QueuedRequest makeRequest(std::uint64_t id, const TeamId& team, Duration left = 60s)
{
    return { id, team, now + left };
}

void fillQueue(AdmissionState& state, const TeamId& team, int n)
{
    for (int i = 0; i < n; ++i)
        REQUIRE_FALSE(admit(state, makeRequest(static_cast<std::uint64_t>(i), team), busy, now).has_value());
}

} // namespace

TEST_CASE("a request whose deadline can't be met is refused on arrival")
{
    struct Row {
        const char* name;
        int waiting;
        Duration left;
        SlotCapacity capacity;
        ErrorKind kind;
    };
    const Row rows[] = {
        { "free slot", 0, 30ms, { 8, 1, 20ms }, ErrorKind::None },
        { "deadline within the service time", 0, 20ms, { 8, 1, 20ms }, ErrorKind::DeadlineExceeded },
        { "40 ahead take 100 ms", 40, 110ms, busy, ErrorKind::DeadlineExceeded },
        { "40 ahead, enough time", 40, 200ms, busy, ErrorKind::None },
        { "no slots", 0, 10s, { 0, 0, 20ms }, ErrorKind::DeadlineExceeded },
        { "queue full", 512, 60s, busy, ErrorKind::QueueFull },
    };
    for (const Row& row : rows) {
        CAPTURE(std::string(row.name));
        AdmissionState state;
        fillQueue(state, clinic, row.waiting);
        const auto refusal = admit(state, makeRequest(1000, clinic, row.left), row.capacity, now);
        CHECK((refusal ? refusal->kind : ErrorKind::None) == row.kind);
        if (refusal)
            CHECK(refusal->retryAfterMs >= 10);
    }
}

TEST_CASE("a burst of one team doesn't delay another team beyond the ratio of their weights")
{
    struct Row {
        std::uint32_t clinicWeight, agentsWeight;
        int clinicServed; // of the first 40
    };
    const Row rows[] = { { 1, 1, 20 }, { 3, 1, 30 }, { 1, 4, 8 } };
    for (const Row& row : rows) {
        CAPTURE(row.clinicWeight);
        AdmissionState state;
        setWeight(state, clinic, row.clinicWeight);
        setWeight(state, agents, row.agentsWeight);
        fillQueue(state, agents, 400);
        CHECK(estimateWait(state, clinic, busy) < estimateWait(state, agents, busy) / 10);
        fillQueue(state, clinic, 40);
        std::vector<QueuedRequest> expired;
        int served = 0;
        for (int i = 0; i < 40; ++i)
            served += dequeue(state, expired, now)->team == clinic ? 1 : 0;
        CHECK(served == row.clinicServed);
        CHECK(expired.empty());
    }
}

TEST_CASE("requests that expire in the queue are returned as expired and not dequeued")
{
    AdmissionState state;
    REQUIRE_FALSE(admit(state, makeRequest(1, clinic, 50ms), busy, now).has_value());
    REQUIRE_FALSE(admit(state, makeRequest(2, clinic, 900ms), busy, now).has_value());
    std::vector<QueuedRequest> expired;
    const auto next = dequeue(state, expired, now + 50ms);
    REQUIRE(next.has_value());
    CHECK(next->id == 2);
    REQUIRE(expired.size() == 1);
    CHECK(expired.front().id == 1);
    CHECK_FALSE(dequeue(state, expired, now).has_value());
    CHECK(state.queued == 0);
    CHECK(state.activeWeight == 0);
}
