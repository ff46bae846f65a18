#pragma once

#include "quay/core/Settings.h"

namespace quay {

/**
 * Builds the kernel, runs all services, and returns the exit code after a graceful shutdown.
 * SIGTERM or SIGINT starts the shutdown; a second one, or the drain limit, ends it at once.
 *
 * @return 0 if nothing was cut off, 1 if work in flight was left behind
 */
int runDaemon(const Settings& settings);

} // namespace quay
