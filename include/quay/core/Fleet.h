#pragma once

#include "quay/core/Ids.h"
#include "quay/core/Resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace quay {

/** What the platform's list says of a VM. */
enum class ServerKind {
    Entry, // runs quayd
    Worker, // runs tasks of jobs
    Executor, // answers interactive requests
};

/** One row of the platform's lagging VM list. */
struct ServerInfo {
    ServerId id;
    ServerKind kind = ServerKind::Worker;
    DomainId domain;
    std::string rack;
    std::string address; // "ip:port"; for entry VMs the peer address
    Resources capacity; // workers
    std::uint32_t slots = 0; // executors
    bool leaving = false;

    bool operator==(const ServerInfo&) const = default;
};

/** The VM list as last read. */
struct FleetList {
    std::vector<ServerInfo> servers;

    bool operator==(const FleetList&) const = default;
};

} // namespace quay
