#include "edge/StartGuard.h"

namespace quay::edge {

using namespace fleet;
using namespace platform;

HeartbeatResponse heldResponse(StartHold hold)
{
    HeartbeatResponse response;
    response.order.result = OrderResult::Unreachable;
    response.order.detail = hold == StartHold::Evacuated ? "its failure domain is emptied"
                                                         : "the requests to empty domains are not known";
    return response;
}

StartGuard::StartGuard(Duration maxDelay, NodeLog& log, Metrics& metrics)
    : m_maxDelay(maxDelay)
    , m_log(log)
    , m_held(metrics.counter("quay_starts_held_total",
          "Starts that this node did not send, because their failure domain is or may be emptied"))
{
}

StartHold StartGuard::check(const RelayCall& call, Instant now)
{
    if (call.kind != RelayCallKind::Start || mayStartIn(m_view, call.domain, m_maxDelay, now))
        return StartHold::None;
    const auto hold = isEvacuated(m_view, call.domain) ? StartHold::Evacuated : StartHold::Blind;
    const bool isRead = m_view.readAt != Instant {};
    m_held.add();
    m_log.write("start_held", call.order.task.job,
        { { "task", text(call.order.task) }, { "run", std::to_string(call.order.run) },
            { "executor", call.target.executorId }, { "domain", call.domain },
            { "why", hold == StartHold::Evacuated ? "evacuated" : "requests_unknown" },
            { "view_age_ms", isRead ? std::to_string(toMilliseconds(now - m_view.readAt)) : "never read" } });
    return hold;
}

} // namespace quay::edge
