#include "service/ExecutorGate.h"

#include <algorithm>

namespace quay {

namespace {

// Bound on message delay: a request that was sent just before its sender lost the ownership or stopped
// waiting has arrived after this time.
constexpr auto messageDelayBound = std::chrono::milliseconds(500);
// While own requests run, a status can't distinguish them from untracked ones. After this time without an
// exact status, own requests are drained to get one.
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

// Example: 8 slots, 3 of them untracked. While own requests run, a status of 5 busy slots changes nothing and
// a status of 2 lowers the untracked slots to 2. While no own request runs, a status of 1 means exactly 1.
void applyStatus(ExecutorGate& gate, const StatusAnswer& answer)
{
    if (answer.askedAt < gate.statusValidFrom)
        return;
    if (answer.wasIdle) {
        gate.untrackedSlots = answer.busySlots;
        gate.lastExactAt = answer.askedAt;
        gate.isInitialized = true;
    } else if (gate.isInitialized) {
        gate.untrackedSlots = std::min(gate.untrackedSlots, answer.busySlots);
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
