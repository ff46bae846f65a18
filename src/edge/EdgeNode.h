#pragma once

#include "NodeSettings.h"

namespace quay::edge {

/**
 * Runs one node until it is told to end: callers' front, readiness, peers, election, scheduler while it leads.
 * Returns the process's exit code.
 *
 * Usage: `return runEdgeNode(settings);`
 */
int runEdgeNode(const platform::NodeSettings& settings);

} // namespace quay::edge
