#pragma once

#include "NodeSettings.h"

#include <memory>

namespace quay::edge {

/**
 * One node of the system on an edge VM: callers' front, readiness, peers, election, and the scheduler while
 * it leads.
 *
 * Usage: `EdgeNode node(settings); return node.run();`
 */
class EdgeNode {
public:
    /** Binds all addresses; throws boost::system::system_error if one can't be bound. */
    explicit EdgeNode(const platform::NodeSettings& settings);
    ~EdgeNode();
    EdgeNode(const EdgeNode&) = delete;
    EdgeNode& operator=(const EdgeNode&) = delete;

    /** Serves until SIGTERM, drain() or halt(); returns the process's exit code. */
    int run();
    /** Ends gracefully, as SIGTERM does. Callable from any thread. */
    void drain();
    /** Ends at once, answering nothing any more, as a crash would. Callable from any thread. */
    void halt();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace quay::edge
