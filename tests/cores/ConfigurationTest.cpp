#include "quay/core/Configuration.h"

#include <doctest/doctest.h>

using namespace quay;

namespace {

Configuration example()
{
    Configuration configuration;
    configuration.version = 7;
    configuration.teams[TeamId { "clinic" }] = { 60, 300, 5000 };
    configuration.queues[QueueId { "lookup" }]
        = { QueueKind::Interactive, { TeamId { "clinic" } }, false, 2000, true };
    configuration.keys = { { "k1", KeyRole::Team, TeamId { "clinic" }, keyHash("secret"), false },
        { "op", KeyRole::Operator, {}, keyHash("root"), false },
        { "old", KeyRole::Team, TeamId { "clinic" }, keyHash("gone"), true } };
    return configuration;
}

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    const auto at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

} // namespace

TEST_CASE("a configuration survives a round trip through JSON")
{
    Reason reason;
    const auto back = parseConfiguration(toJson(example()), reason);
    REQUIRE(back);
    CHECK(*back == example());
    CHECK(toJson(*back) == toJson(example()));
}

TEST_CASE("a document with a wrong, missing or unknown field is rejected with the path of the field")
{
    struct Row {
        const char* from;
        const char* to;
        ErrorKind kind;
        const char* detail;
    };
    const Row rows[] = {
        { "\"version\":7", "\"version\":-7", ErrorKind::InvalidConfiguration,
            "version must be a whole number up to 18446744073709551615" },
        { "\"version\":7,", "", ErrorKind::InvalidConfiguration, "version is missing" },
        { "\"version\":7", "\"version\":7,\"extra\":1", ErrorKind::UnknownField, "extra" },
        { "\"share\":60", "\"share\":6.5", ErrorKind::InvalidConfiguration,
            "teams.clinic: share must be a whole number up to 4294967295" },
        { "\"share\":60", "\"weight\":60", ErrorKind::UnknownField, "teams.clinic: weight" },
        { "\"interactive\"", "\"fast\"", ErrorKind::InvalidConfiguration,
            "queues.lookup: kind is not known" },
        { "[\"clinic\"]", "[1]", ErrorKind::InvalidConfiguration, "queues.lookup: teams must hold strings" },
        { "\"open\":false", "\"open\":0", ErrorKind::InvalidConfiguration,
            "queues.lookup: open must be true or false" },
        { "\"id\":\"k1\"", "\"id\":1", ErrorKind::InvalidConfiguration, "keys[0]: id must be a string" },
        { "\"role\":\"team\"", "\"role\":\"god\"", ErrorKind::InvalidConfiguration,
            "keys[0]: role is not known" },
        { "\"retry_percent\":10", "\"retries\":10", ErrorKind::UnknownField, "policy: retries" },
    };
    for (const auto& row : rows) {
        Reason reason;
        CAPTURE(row.to);
        CHECK_FALSE(parseConfiguration(replaced(toJson(example()), row.from, row.to), reason));
        CHECK(reason == Reason { row.kind, row.detail });
    }
    Reason reason;
    CHECK_FALSE(parseConfiguration("{", reason));
    CHECK(reason.kind == ErrorKind::InvalidConfiguration);
}

TEST_CASE("a key's hash is the SHA-256 of the key")
{
    CHECK(keyHash("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

TEST_CASE("a key authenticates its team until it is withdrawn")
{
    const auto configuration = example();
    CHECK(matchKey(configuration, "secret") == KeyMatch { "k1", KeyRole::Team, TeamId { "clinic" } });
    CHECK(matchKey(configuration, "root") == KeyMatch { "op", KeyRole::Operator, {} });
    CHECK_FALSE(matchKey(configuration, "gone"));
    CHECK_FALSE(matchKey(configuration, "other"));
    CHECK_FALSE(matchKey(configuration, ""));
    CHECK_FALSE(matchKey(configuration, keyHash("secret")));
}

TEST_CASE("a withdrawn hash is refused even if another entry has the same hash, in either order")
{
    auto configuration = example();
    configuration.keys.push_back({ "again", KeyRole::Team, TeamId { "clinic" }, keyHash("gone"), false });
    CHECK_FALSE(matchKey(configuration, "gone"));
    std::swap(configuration.keys.front(), configuration.keys.back());
    CHECK_FALSE(matchKey(configuration, "gone"));
}

TEST_CASE("a queue accepts work of its teams, an open queue work of all teams")
{
    auto queue = example().queues.at(QueueId { "lookup" });
    CHECK(mayUse(queue, TeamId { "clinic" }));
    CHECK_FALSE(mayUse(queue, TeamId { "agents" }));
    queue.open = true;
    CHECK(mayUse(queue, TeamId { "agents" }));
}
