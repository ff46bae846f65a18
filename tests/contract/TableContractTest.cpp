#include "Platform.h"
#include "StandinThread.h"
#include "tableservice/StoreService.h"

#include <doctest/doctest.h>

using namespace quay;
using namespace quay::test;

namespace {

using PlatformThread = StandinThread<standin::Platform>;

TransactionOutcome commit(StoreService& store, Transaction transaction, Duration timeout = 20s)
{
    return await<TransactionOutcome>([&](auto done) { store.commit(std::move(transaction), timeout, done); });
}

std::vector<TableRow> read(StoreService& store, std::vector<std::string> keys)
{
    return await<std::optional<std::vector<TableRow>>>([&](auto done) {
        store.read(std::move(keys), 10s, done);
    }).value();
}

void setFaults(const std::string& address, const std::string& text)
{
    REQUIRE(postTo(address, "/admin/faults", text) == 200);
}

Transaction insert(const std::string& key, const std::string& value, std::uint64_t version = 0)
{
    return { { { key, version } }, { { key, value } }, {} };
}

} // namespace

TEST_CASE("a transaction checks versions, reports the conflicting row and applies its writes atomically")
{
    PlatformThread platform("127.0.0.1:0");
    StoreService store(platform.get().address(), {});
    store.start();

    const auto first = commit(store, insert("a", "1"));
    REQUIRE(first.status == TransactionStatus::Done);
    CHECK(read(store, { "a", "b" }) == std::vector<TableRow> { { "a", "1", first.version }, { "b", "", 0 } });

    const auto conflict = commit(store, insert("a", "2"));
    CHECK(conflict == TransactionOutcome { TransactionStatus::Conflict, 0, "a" });
    CHECK(read(store, { "a" }).front().value == "1");

    const Transaction both { { { "a", first.version }, { "b", 0 } }, { { "a", "3" }, { "b", "3" } }, {} };
    const auto second = commit(store, both);
    REQUIRE(second.status == TransactionStatus::Done);
    CHECK(second.version > first.version);
    const auto rows = read(store, { "a", "b" });
    CHECK(rows[0].version == rows[1].version);

    const auto removed = commit(store, { { { "a", second.version } }, {}, { "a" } });
    CHECK(removed.status == TransactionStatus::Done);
    CHECK(read(store, { "a" }).front().version == 0);
}

TEST_CASE("one conflict in a group commit fails only its own transaction")
{
    PlatformThread platform("127.0.0.1:0");
    StoreLimits limits;
    limits.minCommitInterval = 200ms; // long enough for all transactions below to join one commit
    StoreService store(platform.get().address(), limits);
    store.start();
    CHECK(commit(store, insert("k3", "taken")).status == TransactionStatus::Done);

    std::vector<std::future<TransactionOutcome>> outcomes;
    for (int i = 0; i < 8; ++i) {
        auto promise = std::make_shared<std::promise<TransactionOutcome>>();
        outcomes.push_back(promise->get_future());
        store.commit(insert("k" + std::to_string(i), "new"), 20s,
            [promise](TransactionOutcome outcome) { promise->set_value(outcome); });
    }
    for (int i = 0; i < 8; ++i) {
        CAPTURE(i);
        CHECK(outcomes[static_cast<std::size_t>(i)].get().status
            == (i == 3 ? TransactionStatus::Conflict : TransactionStatus::Done));
    }
    CHECK(read(store, { "k3" }).front().value == "taken");
}

TEST_CASE("a write whose response was lost is retried until its outcome is known or its deadline passes")
{
    struct Row {
        const char* faults;
        const char* cleared;
        TransactionStatus expected;
    };
    const Row rows[] = {
        { R"({"lose_answer_percent":100})", R"({})", TransactionStatus::Done },
        { R"({"down":true})", R"({})", TransactionStatus::Done },
        { R"({"lose_answer_percent":100})", nullptr, TransactionStatus::Unknown },
        { R"({"down":true})", nullptr, TransactionStatus::Unknown },
    };
    for (const auto& row : rows) {
        CAPTURE(row.faults);
        PlatformThread platform("127.0.0.1:0");
        StoreLimits limits;
        limits.requestTimeout = 100ms;
        StoreService store(platform.get().address(), limits);
        store.start();
        setFaults(platform.get().address(), row.faults);
        auto promise = std::make_shared<std::promise<TransactionOutcome>>();
        auto future = promise->get_future();
        store.commit(insert("a", "1"), row.cleared ? Duration(60s) : Duration(1s),
            [promise](TransactionOutcome outcome) { promise->set_value(outcome); });
        if (row.cleared) {
            while (!store.counters().lostAnswers)
                std::this_thread::sleep_for(10ms);
            setFaults(platform.get().address(), row.cleared);
        }
        CHECK(future.get().status == row.expected);
        if (row.cleared)
            CHECK(read(store, { "a" }).front().value == "1");
    }
}

TEST_CASE("after a lost response, a write of another client is not mistaken for the own write")
{
    PlatformThread platform("127.0.0.1:0");
    StoreLimits limits;
    limits.requestTimeout = 100ms;
    StoreService ours(platform.get().address(), limits);
    StoreService theirs(platform.get().address(), {});
    ours.start();
    theirs.start();
    setFaults(platform.get().address(), R"({"down":true})");
    auto promise = std::make_shared<std::promise<TransactionOutcome>>();
    auto future = promise->get_future();
    ours.commit(
        insert("a", "ours"), 60s, [promise](TransactionOutcome outcome) { promise->set_value(outcome); });
    while (!ours.counters().lostAnswers)
        std::this_thread::sleep_for(10ms);
    // The first writer is in its retry backoff, so either writer may commit first. Both outcomes must agree
    // with the stored value.
    setFaults(platform.get().address(), "{}");
    const auto other = commit(theirs, insert("a", "theirs"));
    const auto mine = future.get();
    const auto value = read(theirs, { "a" }).front().value;
    CHECK((mine.status == TransactionStatus::Done) == (value == "ours"));
    CHECK((other.status == TransactionStatus::Done) == (value == "theirs"));
}

TEST_CASE("a scan of several pages returns all rows of the prefix and no others")
{
    PlatformThread platform("127.0.0.1:0");
    StoreService store(platform.get().address(), {});
    store.start();
    constexpr int rowCount = 1203; // enough for more than two pages
    Transaction transaction;
    for (int i = 0; i < rowCount; ++i)
        transaction.puts.push_back({ "p/" + std::to_string(i), "v" });
    transaction.puts.push_back({ "q", "v" });
    CHECK(commit(store, std::move(transaction)).status == TransactionStatus::Done);
    const auto rows = await<std::optional<std::vector<TableRow>>>([&](auto done) {
        store.scan("p/", 20s, done);
    }).value();
    CHECK(rows.size() == rowCount);
}
