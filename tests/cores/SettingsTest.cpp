#include "quay/core/Settings.h"

#include <doctest/doctest.h>

using namespace quay;

namespace {

const std::string minimal = "name = \"vm-1\"\n"
                            "domain = \"north\"\n"
                            "listen = \"127.0.0.1:0\"\n"
                            "peer_listen = \"[::1]:7001\"\n"
                            "[platform]\n"
                            "table = \"127.0.0.1:9000\"\n"
                            "vm_list = \"127.0.0.1:9001\"\n";

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    const auto at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

} // namespace

TEST_CASE("a minimal settings file uses the defaults")
{
    const auto result = parseSettings("quayd.toml", minimal);
    REQUIRE(result.settings);
    CHECK(result.settings->name == "vm-1");
    CHECK(result.settings->domain == DomainId { "north" });
    CHECK(result.settings->listen == "127.0.0.1:0");
    CHECK(result.settings->tableAddress == "127.0.0.1:9000");
    CHECK(result.settings->limits == LimitSettings {});
    CHECK_FALSE(result.settings->tls.enabled());
}

TEST_CASE("every settings key is read")
{
    const auto result = parseSettings("quayd.toml",
        "port_file = \"ports\"\n" + minimal
            + "[peers]\nvm-2 = \"127.0.0.1:7002\"\n"
              "[log]\nlevel = \"debug\"\nformat = \"json\"\n"
              "[tls]\ncert = \"c.pem\"\nkey = \"k.pem\"\n"
              "[limits]\nmax_body_bytes = 1\nmax_header_bytes = 300\nidle_timeout_ms = 3\ndrain_limit_ms = "
              "4\n");
    REQUIRE(result.settings);
    const auto& settings = *result.settings;
    CHECK(settings.portFile == "ports");
    CHECK(settings.peers.at("vm-2") == "127.0.0.1:7002");
    CHECK(settings.log == LogSettings { "debug", LogFormat::Json });
    CHECK(settings.tls == TlsSettings { "c.pem", "k.pem" });
    CHECK(settings.limits == LimitSettings { 1, 300, 3, 4 });
}

TEST_CASE("each error in a settings file is reported with its line")
{
    struct Row {
        const char* from;
        const char* to;
        const char* error;
    };
    const Row rows[] = {
        { "name = \"vm-1\"\n", "", "q:1:1: 'name' is missing; set it to a value" },
        { "\"vm-1\"", "7", "q:1:8: 'name' has the wrong type or value; write a string" },
        { "\"vm-1\"", "\"a#b\"", "q:1:8: 'name' is not a valid name; use letters, digits, '-', '_' and '.'" },
        { "127.0.0.1:0", "localhost:0",
            "q:3:10: 'listen' is not a valid address; write \"ip:port\", for example \"127.0.0.1:7070\"" },
        { "127.0.0.1:9000", "127.0.0.1:0",
            "q:6:9: 'platform.table' is not a valid address; write \"ip:port\", for example "
            "\"127.0.0.1:7070\"" },
        { "127.0.0.1:9001", "127.0.0.1:99999",
            "q:7:11: 'platform.vm_list' is not a valid address; write \"ip:port\", for example "
            "\"127.0.0.1:7070\"" },
        { "vm_list", "vmlist", "q:7:1: 'platform.vmlist' is not known; remove it or correct its spelling" },
        { "[platform]", "[log]\nlevel = \"loud\"\n[platform]",
            "q:6:9: 'log.level' has the wrong type or value; write one of: trace, debug, info, warn, error" },
        { "[platform]", "[tls]\ncert = \"c\"\n[platform]",
            "q:5:1: 'tls.key' is missing; give the path of the key or remove [tls]" },
        { "[platform]", "[limits]\nidle_timeout_ms = 0\n[platform]",
            "q:6:19: 'limits.idle_timeout_ms' has the wrong type or value; write a whole number from 1 to "
            "600000" },
    };
    for (const auto& row : rows) {
        CAPTURE(row.to);
        const auto result = parseSettings("q", replaced(minimal, row.from, row.to));
        CHECK_FALSE(result.settings);
        REQUIRE_FALSE(result.errors.empty());
        bool found = false;
        for (const auto& error : result.errors) {
            INFO(error.explain());
            found = found || error.explain() == row.error;
        }
        CHECK_MESSAGE(found, result.errors.front().explain());
    }
}

TEST_CASE("all errors in a settings file are reported in line order")
{
    const auto result = parseSettings("q", "name = 1\nwrong = 2\n");
    std::vector<std::uint32_t> lines;
    for (const auto& error : result.errors)
        lines.push_back(error.line);
    CHECK(lines == std::vector<std::uint32_t> { 1, 1, 1, 1, 1, 2 });
}

TEST_CASE("a syntax error in a settings file is reported with its line")
{
    const auto result = parseSettings("q", "name = \"a\"\nlisten = \n");
    REQUIRE(result.errors.size() == 1);
    CHECK(result.errors.front().line == 2);
}
