#pragma once

#include "quay/core/ConfigFinding.h"
#include "quay/core/Ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace quay {

/** The format of log lines. */
enum class LogFormat {
    Text,
    Json,
};

/** Logging settings of a process. */
struct LogSettings {
    std::string level = "info"; // trace, debug, info, warn, error
    LogFormat format = LogFormat::Text;

    bool operator==(const LogSettings&) const = default;
};

/** Paths of the certificate and its private key, both or neither. Without them callers use plain HTTP. */
struct TlsSettings {
    std::string certificate;
    std::string key;

    bool operator==(const TlsSettings&) const = default;
    bool enabled() const { return !certificate.empty(); }
};

/** Limits of a caller's connection and of the shutdown. */
struct LimitSettings {
    std::uint32_t maxBodyBytes = 1024 * 1024;
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint32_t idleTimeoutMs = 30'000;
    std::uint32_t drainLimitMs = 30'000; // longest wait of a graceful shutdown for work in flight

    bool operator==(const LimitSettings&) const = default;
};

/** The local settings of one daemon. The configuration shared by the fleet is Configuration. */
struct Settings {
    std::string name; // name of the VM
    DomainId domain;
    std::string listen; // address for callers, "ip:port"; port 0: chosen by the system
    std::string peerListen; // address for peers, "ip:port"
    std::string tableAddress; // the platform's table service, "ip:port"
    std::string vmListAddress; // the platform's VM list, "ip:port"
    std::map<std::string, std::string> peers; // VM name -> address; overrides the VM list
    LogSettings log;
    TlsSettings tls;
    LimitSettings limits;
    std::string portFile; // file that receives the chosen ports; empty: none

    bool operator==(const Settings&) const = default;
};

/** The settings, or all errors that were found. */
struct SettingsResult {
    std::optional<Settings> settings;
    std::vector<ConfigFinding> errors;
};

/**
 * Parses a daemon's TOML settings. Unknown keys, wrong types and missing required keys are errors.
 *
 * Usage: `auto result = parseSettings("quayd.toml", text); if (!result.settings) show(result.errors);`
 */
SettingsResult parseSettings(const std::string& file, const std::string& text);

} // namespace quay
