#pragma once

#include "quay/core/Ids.h"
#include "quay/core/Resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace quay {

/** The role of a VM according to the platform's VM list. */
enum class ServerKind {
    Entry, // runs quayd
    Worker, // runs the tasks of durable jobs
    Executor, // serves interactive requests
};

/** One entry of the platform's VM list, which lags behind the actual fleet. */
struct ServerInfo {
    ServerId id;
    ServerKind kind = ServerKind::Worker;
    DomainId domain;
    std::string rack;
    std::string address; // "ip:port"; the peer address of an entry VM
    Resources capacity; // only workers
    std::uint32_t slots = 0; // concurrent requests; only executors
    bool leaving = false; // the platform is removing the VM

    bool operator==(const ServerInfo&) const = default;
};

/** The most recently read VM list. */
struct FleetList {
    std::vector<ServerInfo> servers;

    bool operator==(const FleetList&) const = default;
};

} // namespace quay
