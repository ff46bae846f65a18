#pragma once

#include "Command.h"
#include "quay/core/Configuration.h"

#include <functional>

namespace quay::ctl {

/** The accepted document; nullopt with `code` set and the refusal printed. */
std::optional<Configuration> currentConfiguration(const Invocation& invocation, int& code);

/** Changes the document in place; false, after a message, if that can't be done. */
using ConfigurationEdit = std::function<bool(Configuration&)>;

/** Edits the accepted document, prints what differs and applies the result on top of the version it read. */
int editConfiguration(const Invocation& invocation, const ConfigurationEdit& edit);

/** Applies a document on top of the version it carries, prints what differs from `current`. */
int applyConfiguration(
    const Invocation& invocation, const Configuration& current, const Configuration& next, bool wait);

} // namespace quay::ctl
