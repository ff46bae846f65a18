#pragma once

#include "Command.h"
#include "quay/core/Configuration.h"

#include <functional>

namespace quay::ctl {

/**
 * Fetches the latest accepted configuration. On failure returns nullopt and sets `code` to the exit code; an
 * error response or a missing response is also printed.
 */
std::optional<Configuration> currentConfiguration(const Invocation& invocation, int& code);

/** Changes the configuration in place. Returns false, after printing an error, if the edit can't be made. */
using ConfigurationEdit = std::function<bool(Configuration&)>;

/**
 * Applies `edit` to the latest accepted configuration, prints the differences, submits the result against the
 * version that was read and waits until it is in force. Returns the exit code.
 */
int editConfiguration(const Invocation& invocation, const ConfigurationEdit& edit);

/**
 * Prints the differences between `current` and `next` and submits `next` against the version it carries. With
 * `wait`, also waits until it is in force on all entry VMs. Returns the exit code.
 */
int applyConfiguration(
    const Invocation& invocation, const Configuration& current, const Configuration& next, bool wait);

} // namespace quay::ctl
