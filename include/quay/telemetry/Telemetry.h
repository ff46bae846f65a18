#pragma once

#include "quay/telemetry/EventLog.h"
#include "quay/telemetry/Metrics.h"
#include "quay/telemetry/Trace.h"

namespace quay {

/** The log, metrics and traces that a service writes to. They are callable from any thread and outlive the
 * services. */
struct Telemetry {
    EventLog& log;
    Metrics& metrics;
    TraceRing& traces;
};

} // namespace quay
