#include "service/ExecutorGate.h"

#include <algorithm>

namespace quay {

namespace {

// A request sent just before its sender lost the right to, or gave up, has arrived after this time.
constexpr auto messageDelayBound = std::chrono::milliseconds(500);
// While own requests run, a status can't tell them from foreign ones. After this time they are let run out.
constexpr auto maxUntrackedDuration = std::chrono::seconds(2);

} // namespace

ExecutorGate gateAfterTakeover(Instant now)
{
    ExecutorGate gate;
    gate.statusValidFrom = now + messageDelayBound;
    gate.lastExactAt = now;
    return gate;
}

void recordLostAnswer(ExecutorGate& gate, Instant now)
{
    ++gate.untrackedSlots;
    gate.statusValidFrom = now + messageDelayBound;
    if (gate.untrackedSlots == 1)
        gate.lastExactAt = now;
}

// Example: 8 slots, 3 foreign. A status of 5 while own requests run proves nothing, one of 2 leaves at most
// 2; 1 while nothing of our own runs is exactly the foreign one.
void applyStatus(ExecutorGate& gate, const StatusAnswer& answer)
{
    if (answer.askedAt < gate.statusValidFrom)
        return;
    if (answer.wasIdle) {
        gate.untrackedSlots = answer.busy;
        gate.lastExactAt = answer.askedAt;
        gate.isInitialized = true;
    } else if (gate.isInitialized) {
        gate.untrackedSlots = std::min(gate.untrackedSlots, answer.busy);
    }
}

bool needsStatus(const ExecutorGate& gate) { return !gate.isInitialized || gate.untrackedSlots > 0; }

std::uint32_t usableSlots(const ExecutorGate& gate, std::uint32_t slots, Instant now)
{
    const bool isRecountDue = gate.untrackedSlots > 0 && now - gate.lastExactAt > maxUntrackedDuration;
    if (!gate.isInitialized || isRecountDue || gate.untrackedSlots >= slots)
        return 0;
    return slots - gate.untrackedSlots;
}

} // namespace quay
