#pragma once

#include "edge/NodeLog.h"
#include "edge/RelayCodec.h"
#include "quay/fleet/DomainEvacuation.h"
#include "quay/telemetry/Metrics.h"

namespace quay::edge {

/** Why a start is not sent. */
enum class StartHold {
    None, // it may be sent
    Evacuated, // the operator has emptied the executor's failure domain
    Blind, // the operator's requests were last read too long ago
};

/** What a start that is held back is answered with. */
platform::HeartbeatResponse heldResponse(StartHold hold);

/**
 * The last check before a start leaves a node, whatever was decided before: it may have waited in a queue, at
 * a relay or in a process that was stopped.
 *
 * Usage: `guard.setView(view); if (guard.check(call, now) == StartHold::None) ...`
 */
class StartGuard {
public:
    /** `maxDelay` as for fleet::mayStartIn(). */
    StartGuard(Duration maxDelay, NodeLog& log, Metrics& metrics);

    void setView(const fleet::EvacuationView& view) { m_view = view; }
    /** None for all calls but starts. A start that is held back is logged and counted. */
    StartHold check(const RelayCall& call, Instant now);

private:
    Duration m_maxDelay;
    fleet::EvacuationView m_view;
    NodeLog& m_log;
    Counter& m_held;
};

} // namespace quay::edge
