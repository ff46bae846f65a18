#pragma once

#include "NodeSettings.h"

#include <memory>

namespace quay::edge {

/**
 * One node of the system on an edge VM. It serves the job API, the readiness check, requests of peers and
 * metrics, takes part in the election, and runs the cell's scheduler while it is the leader.
 *
 * Usage: `EdgeNode node(settings); return node.run();`
 */
class EdgeNode {
public:
    /** Binds all addresses. Throws boost::system::system_error if an address can't be bound. */
    explicit EdgeNode(const platform::NodeSettings& settings);
    ~EdgeNode();
    EdgeNode(const EdgeNode&) = delete;
    EdgeNode& operator=(const EdgeNode&) = delete;

    /** Serves until SIGTERM, SIGINT, drain() or halt(). Returns the process's exit code. */
    int run();
    /** Shuts down gracefully, as SIGTERM does. Thread-safe. */
    void drain();
    /** Stops immediately without answering open requests, like a crash. Thread-safe. */
    void halt();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace quay::edge
