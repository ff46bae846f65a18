#pragma once

#include "quay/core/ConfigFinding.h"
#include "quay/core/Ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace quay {

/** How a log line is written. */
enum class LogFormat {
    Text,
    Json,
};

/** The log of a process. */
struct LogSettings {
    std::string level = "info"; // trace, debug, info, warn, error
    LogFormat format = LogFormat::Text;

    bool operator==(const LogSettings&) const = default;
};

/** Paths of the certificate and its key, both or neither. Without them callers speak plain HTTP. */
struct TlsSettings {
    std::string certificate;
    std::string key;

    bool operator==(const TlsSettings&) const = default;
    bool enabled() const { return !certificate.empty(); }
};

/** Limits on what a caller's connection may do. */
struct LimitSettings {
    std::uint32_t maxBodyBytes = 1024 * 1024;
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint32_t idleTimeoutMs = 30'000;
    std::uint32_t drainLimitMs = 30'000; // a graceful shutdown waits this long for work in flight

    bool operator==(const LimitSettings&) const = default;
};

/** The settings of one daemon. They are its own and never shared; see Configuration for the rest. */
struct Settings {
    std::string name; // of the VM
    DomainId domain;
    std::string listen; // for callers, "ip:port"; port 0 lets the system choose
    std::string peerListen; // for peers, "ip:port"
    std::string tableAddress; // the platform's table service, "ip:port"
    std::string vmListAddress; // the platform's VM list, "ip:port"
    std::map<std::string, std::string> peers; // VM name -> address, overrides the VM list
    LogSettings log;
    TlsSettings tls;
    LimitSettings limits;
    std::string portFile; // where to write the chosen ports; empty: nowhere

    bool operator==(const Settings&) const = default;
};

/** The settings, or all errors found. */
struct SettingsResult {
    std::optional<Settings> settings;
    std::vector<ConfigFinding> errors;
};

/**
 * Reads a daemon's TOML. Unknown keys, wrong types and missing required keys are errors.
 *
 * Usage: `auto result = parseSettings("quayd.toml", text); if (!result.settings) show(result.errors);`
 */
SettingsResult parseSettings(const std::string& file, const std::string& text);

} // namespace quay
