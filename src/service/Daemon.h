#pragma once

#include "quay/core/Settings.h"

namespace quay {

/**
 * Runs all services until a graceful shutdown has ended. SIGTERM or SIGINT starts the shutdown; a second
 * signal or the drain limit ends it immediately. It also starts when the platform lists the VM as leaving, or
 * when other members have removed this process from the roster.
 *
 * @return exit code: 0 after a complete shutdown, 1 if requests were still in flight or the ownership was not
 *     handed over, 3 if this process was removed from the roster and is to be restarted
 */
int runDaemon(const Settings& settings);

} // namespace quay
