#include "quay/core/Settings.h"

#include "TomlReader.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace quay {

namespace {

using internal::TomlFindings;
using internal::TomlReader;

constexpr std::int64_t maxBytes = 64LL * 1024 * 1024;
constexpr std::int64_t maxTimeoutMs = 10LL * 60 * 1000;
constexpr unsigned maxPort = 65535;

bool isPort(std::string_view text, bool zeroAllowed)
{
    unsigned port = 0;
    const auto* end = text.data() + text.size();
    const auto [rest, ec] = std::from_chars(text.data(), end, port);
    return ec == std::errc() && rest == end && port <= maxPort && (port || zeroAllowed);
}

bool isAddress(const std::string& text, bool zeroPortAllowed)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return false;
    auto host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    boost::system::error_code ec;
    boost::asio::ip::make_address(host, ec);
    return !ec && isPort(std::string_view(text).substr(colon + 1), zeroPortAllowed);
}

void readAddress(TomlReader& reader, std::string_view key, bool zeroPortAllowed, std::string& target)
{
    if (reader.string(key, target) && !isAddress(target, zeroPortAllowed))
        reader.errorAt(key, "'" + reader.pathOf(key) + "' is not a valid address",
            "write \"ip:port\", for example \"127.0.0.1:7070\"");
}

void readName(TomlReader& reader, std::string_view key, std::string& target)
{
    reader.require(key, "set it to a value");
    if (reader.string(key, target) && (target.empty() || target.find_first_of("#/ ") != std::string::npos))
        reader.errorAt(
            key, "'" + reader.pathOf(key) + "' is not a valid name", "use letters, digits, '-', '_' and '.'");
}

void readPlatform(TomlReader& root, Settings& settings)
{
    root.require("platform", "add [platform] with table and vm_list");
    auto reader = root.table("platform");
    if (!reader)
        return;
    reader->require("table", "give the table service's \"ip:port\"");
    readAddress(*reader, "table", false, settings.tableAddress);
    reader->require("vm_list", "give the VM list's \"ip:port\"");
    readAddress(*reader, "vm_list", false, settings.vmListAddress);
    reader->reportUnknownKeys();
}

void readPeers(TomlReader& root, Settings& settings)
{
    auto reader = root.table("peers");
    if (!reader)
        return;
    for (const auto& name : reader->keys())
        readAddress(*reader, name, false, settings.peers[name]);
}

void readLog(TomlReader& root, LogSettings& log)
{
    auto reader = root.table("log");
    if (!reader)
        return;
    reader->choice("level", { "trace", "debug", "info", "warn", "error" }, log.level);
    std::string format = "text";
    reader->choice("format", { "text", "json" }, format);
    log.format = format == "json" ? LogFormat::Json : LogFormat::Text;
    reader->reportUnknownKeys();
}

void readTls(TomlReader& root, TlsSettings& tls)
{
    auto reader = root.table("tls");
    if (!reader)
        return;
    reader->require("cert", "give the path of the certificate or remove [tls]");
    reader->require("key", "give the path of the key or remove [tls]");
    reader->string("cert", tls.certificate);
    reader->string("key", tls.key);
    reader->reportUnknownKeys();
}

void readLimits(TomlReader& root, LimitSettings& limits)
{
    auto reader = root.table("limits");
    if (!reader)
        return;
    reader->integer("max_body_bytes", 1, maxBytes, limits.maxBodyBytes);
    reader->integer("max_header_bytes", 256, maxBytes, limits.maxHeaderBytes);
    reader->integer("idle_timeout_ms", 1, maxTimeoutMs, limits.idleTimeoutMs);
    reader->integer("drain_limit_ms", 0, maxTimeoutMs, limits.drainLimitMs);
    reader->reportUnknownKeys();
}

Settings readSettings(TomlReader& root)
{
    Settings settings;
    readName(root, "name", settings.name);
    readName(root, "domain", settings.domain.text);
    root.require("listen", "give the callers' \"ip:port\"");
    readAddress(root, "listen", true, settings.listen);
    root.require("peer_listen", "give the peers' \"ip:port\"");
    readAddress(root, "peer_listen", true, settings.peerListen);
    root.string("port_file", settings.portFile);
    readPlatform(root, settings);
    readPeers(root, settings);
    readLog(root, settings.log);
    readTls(root, settings.tls);
    readLimits(root, settings.limits);
    root.reportUnknownKeys();
    return settings;
}

} // namespace

SettingsResult parseSettings(const std::string& file, const std::string& text)
{
    SettingsResult result;
    TomlFindings findings;
    if (const auto table = internal::parseToml(file, text, findings)) {
        TomlReader root(*table, file, {}, findings);
        result.settings = readSettings(root);
    }
    std::stable_sort(findings.errors.begin(), findings.errors.end());
    result.errors = std::move(findings.errors);
    if (!result.errors.empty())
        result.settings.reset();
    return result;
}

} // namespace quay
