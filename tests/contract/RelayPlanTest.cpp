#include "edge/RelayPlan.h"

#include <doctest/doctest.h>
#include <set>

using namespace quay;
using namespace quay::edge;

namespace {

const Instant start { 100s };

struct Cell {
    // Executors in two zones, and nodes "a0", "a1", ... in zone "a" and "b0", ... in zone "b" with growing
    // shares.
    Cell(int executorsPerZone, int nodesPerZone)
    {
        for (const std::string zone : { "a", "b" }) {
            for (int i = 0; i < executorsPerZone; ++i) {
                executors.push_back(zone + "-executor-" + std::to_string(i));
                plan.executorSeen(executors.back(), zone);
            }
            for (int i = 0; i < nodesPerZone; ++i)
                plan.nodeSeen(zone + std::to_string(i), { "1.2.3.4:5", zone, 0.1 * (i + 1) }, start);
        }
    }

    std::map<std::string, std::string> relays(Instant now)
    {
        std::map<std::string, std::string> result;
        for (const auto& executor : executors) {
            const auto* relay = plan.relayOf(executor, now);
            result[executor] = relay ? *relay : "direct";
        }
        return result;
    }

    std::set<std::string> used(Instant now)
    {
        std::set<std::string> result;
        for (const auto& [executor, relay] : relays(now))
            result.insert(relay);
        return result;
    }

    RelayPlan plan;
    std::vector<std::string> executors;
};

} // namespace

TEST_CASE("orders go through the nodes of the executor's zone with the largest shares, in large cells only")
{
    struct Row {
        const char* name;
        int executorsPerZone;
        int nodesPerZone;
        std::set<std::string> expected;
    };
    const Row rows[] = {
        { "a small cell", 50, 3, { "direct" } },
        { "one relay a zone", 180, 3, { "a2", "b2" } },
        { "two relays a zone", 300, 3, { "a1", "a2", "b1", "b2" } },
        { "no nodes", 180, 0, { "direct" } },
    };
    for (const auto& row : rows) {
        CAPTURE(std::string(row.name));
        Cell cell(row.executorsPerZone, row.nodesPerZone);
        CHECK(cell.used(start) == row.expected);
        for (const auto& [executor, relay] : cell.relays(start))
            CHECK((relay == "direct" || relay[0] == executor[0]));
    }
}

TEST_CASE("a node that reports no share is no relay")
{
    Cell cell(180, 2);
    cell.plan.nodeSeen("a1", { "1.2.3.4:5", "a", 0 }, start);
    CHECK(cell.used(start) == std::set<std::string> { "a0", "b1" });
}

TEST_CASE("when a relay is lost, only its executors change their way")
{
    struct Row {
        const char* name;
        bool isAvoided; // otherwise it is not seen any more
    };
    for (const auto& row : { Row { "it failed", true }, Row { "it stopped probing", false } }) {
        CAPTURE(std::string(row.name));
        Cell cell(300, 3);
        const auto before = cell.relays(start);
        const auto later = start + 3s;
        for (const std::string zone : { "a", "b" }) {
            for (int i = 0; i < 3; ++i) {
                if (row.isAvoided || zone + std::to_string(i) != "a2")
                    cell.plan.nodeSeen(zone + std::to_string(i), { "1.2.3.4:5", zone, 0.1 * (i + 1) }, later);
            }
        }
        if (row.isAvoided)
            cell.plan.avoidNode("a2", later + 3s);
        for (const auto& [executor, relay] : cell.relays(later))
            CHECK(relay == (before.at(executor) == "a2" ? "a0" : before.at(executor)));
    }
}

TEST_CASE("an executor that did not answer its relay is tried directly for a while")
{
    Cell cell(180, 1);
    cell.plan.avoidRelays("a-executor-1", start + 3s);
    CHECK(cell.plan.relayOf("a-executor-1", start + 2s) == nullptr);
    CHECK(cell.plan.relayOf("a-executor-2", start + 2s) != nullptr);
    cell.plan.nodeSeen("a0", { "1.2.3.4:5", "a", 0.1 }, start + 3s);
    CHECK(cell.plan.relayOf("a-executor-1", start + 3s) != nullptr);
    cell.plan.executorGone("a-executor-1");
    CHECK(cell.plan.relayOf("a-executor-1", start + 3s) == nullptr);
}
