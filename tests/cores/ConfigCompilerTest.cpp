#include "quay/core/ConfigCompiler.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <fstream>
#include <sstream>

using namespace quay;

namespace {

const std::string hashA(64, 'a');
const std::string hashB(64, 'b');

const std::string baseText = "shares_sum = 100\n" // 1
                             "fleet_units = 100\n" // 2
                             "[teams.clinic]\n" // 3
                             "share = 60\n" // 4
                             "upper_limit = 80\n" // 5
                             "[teams.agents]\n" // 6
                             "share = 40\n" // 7
                             "upper_limit = 50\n" // 8
                             "[queues.lookup]\n" // 9
                             "kind = \"interactive\"\n" // 10
                             "teams = [\"clinic\"]\n" // 11
                             "[[keys]]\n" // 12
                             "id = \"k1\"\n" // 13
                             "team = \"clinic\"\n" // 14
                             "hash = \"sha256:"
    + hashA + "\"\n"; // 15

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    const auto at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

std::vector<std::string> explained(const std::vector<ConfigFinding>& findings)
{
    std::vector<std::string> lines;
    lines.reserve(findings.size());
    for (const auto& finding : findings)
        lines.push_back(finding.explain());
    return lines;
}

std::string readFile(const std::string& name)
{
    std::ifstream file(std::string(QUAY_SOURCE_DIR) + "/docs/examples/" + name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

using Lines = std::vector<std::string>;

} // namespace

TEST_CASE("a base file compiles to its values and defaults for the rest")
{
    const auto result = compileConfiguration({ "b", baseText }, {});
    CHECK(explained(result.errors) == Lines {});
    REQUIRE(result.configuration);
    const auto& configuration = *result.configuration;
    CHECK(configuration.version == 0);
    CHECK(configuration.teams.at(TeamId { "clinic" }) == TeamConfig { 60, 80, TeamConfig {}.maxQueued });
    CHECK(configuration.queues.at(QueueId { "lookup" }).kind == QueueKind::Interactive);
    CHECK(configuration.keys
        == std::vector<KeyEntry> { { "k1", KeyRole::Team, TeamId { "clinic" }, hashA, false } });
    CHECK(configuration.policy == PolicyConfig {});
}

TEST_CASE("each error in a base file is reported with file, line, column and remedy")
{
    struct Row {
        const char* from;
        std::string to;
        std::string error;
    };
    const Row rows[] = {
        { "share = 60", "shares = 60",
            "b:4:1: 'teams.clinic.shares' is not known; remove it or correct its spelling" },
        { "share = 60", "share = \"60\"",
            "b:4:9: 'teams.clinic.share' has the wrong type or value; write a whole number from 1 to "
            "1000000" },
        { "share = 60", "share = 0",
            "b:4:9: 'teams.clinic.share' has the wrong type or value; write a whole number from 1 to "
            "1000000" },
        { "share = 60", "share = 50",
            "b:1:14: the shares add up to 90, not to 100; correct a team's share or shares_sum" },
        { "upper_limit = 80", "upper_limit = 59",
            "b:5:15: upper limit 59 of team 'clinic' is below its guaranteed share of 60 units; raise "
            "upper_limit or lower share" },
        { "upper_limit = 80\n", "",
            "b:3:1: 'teams.clinic.upper_limit' is missing; give the team's maximum number of running units" },
        { "[\"clinic\"]", "[\"clinik\"]",
            "b:11:9: queue 'lookup' names unknown team 'clinik'; add [teams.clinik] or correct the name" },
        { "[\"clinic\"]", "[]",
            "b:11:9: queue 'lookup' names no team; name the teams that may use the queue" },
        { "[\"clinic\"]", "[\"clinic\", \"agents\"]\nopen = true",
            "b:11:9: open queue 'lookup' must name exactly one team; name the one team that its work is "
            "charged to" },
        { "\"interactive\"", "\"fast\"",
            "b:10:8: 'queues.lookup.kind' has the wrong type or value; write one of: interactive, batch, "
            "gang, "
            "service, any" },
        { "[teams.clinic]", "[teams.\"a b\"]",
            "b:3:1: 'a b' is not a valid name; use letters, digits, '-' and '_'" },
        { "[teams.clinic]", "[teams.clinic]\nnew = true",
            "b:4:7: 'teams.clinic' is already defined or not in an overlay; remove 'new = true'" },
        { "id = \"k1\"", "", "b:12:1: 'keys[0].id' is missing; give the key a name" },
        { "hash = \"sha256:", "hash = \"plain:",
            "b:15:8: 'keys.k1.hash' is not a SHA-256 hash; write \"sha256:\" and 64 lower-case hex digits; "
            "never the key itself" },
        { "team = \"clinic\"\nhash", "team = \"x\"\nhash",
            "b:14:8: key 'k1' names unknown team 'x'; add [teams.x] or correct the name" },
        { "team = \"clinic\"\nhash", "hash",
            "b:12:1: key 'k1' names no team; add team, or role = \"operator\"" },
        { "team = \"clinic\"\nhash", "team = \"clinic\"\nrole = \"operator\"\nhash",
            "b:14:8: operator key 'k1' names a team; remove team or role" },
        { "[[keys]]", "[[keys]]\nid = \"k1\"\nteam = \"agents\"\nhash = \"sha256:" + hashB + "\"\n[[keys]]",
            "b:17:6: key id 'k1' appears twice in this file; remove one of the two" },
        { "[[keys]]", "[[keys]]\nid = \"k0\"\nteam = \"agents\"\nhash = \"sha256:" + hashA + "\"\n[[keys]]",
            "b:19:8: keys 'k0' and 'k1' have the same hash; give each entry a key of its own" },
        { "[[keys]]", "[policy]\nrouting = \"roulette\"\n[[keys]]",
            "b:13:11: 'policy.routing' has the wrong type or value; write one of: two_choices, random, "
            "first_fit" },
    };
    for (const auto& row : rows) {
        CAPTURE(row.to);
        const auto result = compileConfiguration({ "b", replaced(baseText, row.from, row.to) }, {});
        CHECK_FALSE(result.configuration);
        const auto lines = explained(result.errors);
        REQUIRE_FALSE(lines.empty());
        CHECK_MESSAGE(std::find(lines.begin(), lines.end(), row.error) != lines.end(), lines.front());
    }
}

TEST_CASE("a syntax error is reported with its line, and the other files are still checked")
{
    const auto result
        = compileConfiguration({ "b", baseText }, { { "o", "\n[teams.clinic\n" }, { "p", "x = 1\n" } });
    CHECK_FALSE(result.configuration);
    REQUIRE(result.errors.size() == 2);
    CHECK(result.errors[0].file == "o");
    CHECK(result.errors[0].line == 2);
    CHECK(result.errors[1].explain() == "p:1:1: 'x' is not known; remove it or correct its spelling");
}

TEST_CASE("all errors of all files are reported")
{
    const auto base = replaced(replaced(baseText, "share = 60", "share = 0"), "\"clinic\"]", "\"no\"]");
    const auto result = compileConfiguration({ "b", base }, { { "o", "x = 1\n[policy]\ny = 2\n" } });
    // The sum over the teams is not checked while a team's table has an error.
    CHECK(explained(result.errors)
        == Lines {
            "b:4:9: 'teams.clinic.share' has the wrong type or value; write a whole number from 1 to 1000000",
            "b:11:9: queue 'lookup' names unknown team 'no'; add [teams.no] or correct the name",
            "o:1:1: 'x' is not known; remove it or correct its spelling",
            "o:3:1: 'policy.y' is not known; remove it or correct its spelling" });
}

TEST_CASE("an overlay changes only the fields it states")
{
    const auto base = compileConfiguration({ "b", baseText }, {});
    const auto result = compileConfiguration({ "b", baseText },
        { { "o", "[teams.clinic]\nupper_limit = 70\n[[keys]]\nid = \"k1\"\nwithdrawn = true\n" },
            { "p",
                "[queues.q]\nnew = true\nkind = \"any\"\nteams = [\"agents\"]\n[policy]\nretry_percent = "
                "5\n" } });
    CHECK(explained(result.errors) == Lines {});
    CHECK(explained(result.warnings) == Lines {});
    REQUIRE(result.configuration);
    CHECK(diff(*base.configuration, *result.configuration)
        == Lines { "team clinic: upper_limit 80 -> 70", "queue q: added", "key k1: withdrawn false -> true",
            "policy: retry_percent 10 -> 5" });
    CHECK(diff(*result.configuration, *base.configuration).at(1) == "queue q: removed");
}

TEST_CASE("an overlay that repeats a value is accepted with a warning")
{
    const auto result = compileConfiguration({ "b", baseText }, { { "o", "[teams.clinic]\nshare = 60\n" } });
    CHECK(result.configuration);
    CHECK(explained(result.warnings)
        == Lines {
            "o:2:9: 'teams.clinic.share' repeats the value it already has; remove it from the overlay" });
}

TEST_CASE("an error in an overlay is reported at its position in the overlay")
{
    struct Row {
        const char* overlay;
        const char* error;
    };
    const Row rows[] = {
        { "[teams.clinik]\nshare = 1\n",
            "o:1:1: 'teams.clinik' is not in the base; correct the name, or add 'new = true' if this site "
            "adds it" },
        { "[[keys]]\nid = \"k9\"\nwithdrawn = true\n",
            "o:1:1: 'keys.k9' is not in the base; correct the name, or add 'new = true' if this site adds "
            "it" },
        { "[teams.clinic]\nnew = true\n",
            "o:2:7: 'teams.clinic' is already defined or not in an overlay; remove 'new = true'" },
        { "[teams.clinic]\nupper_limit = 10\n",
            "o:2:15: upper limit 10 of team 'clinic' is below its guaranteed share of 60 units; raise "
            "upper_limit or lower share" },
    };
    for (const auto& row : rows) {
        CAPTURE(row.overlay);
        const auto result = compileConfiguration({ "b", baseText }, { { "o", row.overlay } });
        CHECK_FALSE(result.configuration);
        CHECK(explained(result.errors) == Lines { row.error });
    }
}

TEST_CASE("the example files compile")
{
    const auto result = compileConfiguration(
        { "base.toml", readFile("base.toml") }, { { "site-north.toml", readFile("site-north.toml") } });
    CHECK(explained(result.errors) == Lines {});
    CHECK(explained(result.warnings) == Lines {});
    REQUIRE(result.configuration);
    CHECK(result.configuration->teams.at(TeamId { "agents" }).upperLimit == 250);
    CHECK(matchKey(*result.configuration, "agents-key"));
    CHECK_FALSE(matchKey(*result.configuration, "clinic-key"));
}
