#include "service/ExecutorGate.h"

#include <algorithm>

namespace quay {

namespace {

// A request sent just before its sender lost the right to, or gave up, has arrived after this time.
constexpr auto flightBound = std::chrono::milliseconds(500);
// While own requests run, a status can't tell them from foreign ones. After this time they are let run out.
constexpr auto recountPeriod = std::chrono::seconds(2);

} // namespace

ExecutorGate takenOver(Instant now)
{
    ExecutorGate gate;
    gate.settledAt = now + flightBound;
    gate.exactAt = now;
    return gate;
}

void countLost(ExecutorGate& gate, Instant now)
{
    ++gate.foreign;
    gate.settledAt = now + flightBound;
    if (gate.foreign == 1)
        gate.exactAt = now;
}

// Example: 8 slots, 3 foreign. A status of 5 while own requests run proves nothing, one of 2 leaves at most
// 2; 1 while nothing of our own runs is exactly the foreign one.
void takeStatus(ExecutorGate& gate, const StatusAnswer& answer)
{
    if (answer.askedAt < gate.settledAt)
        return;
    if (answer.idle) {
        gate.foreign = answer.busy;
        gate.exactAt = answer.askedAt;
        gate.proven = true;
    } else if (gate.proven) {
        gate.foreign = std::min(gate.foreign, answer.busy);
    }
}

bool wantsStatus(const ExecutorGate& gate) { return !gate.proven || gate.foreign > 0; }

std::uint32_t usableSlots(const ExecutorGate& gate, std::uint32_t slots, Instant now)
{
    const bool mustRecount = gate.foreign > 0 && now - gate.exactAt > recountPeriod;
    if (!gate.proven || mustRecount || gate.foreign >= slots)
        return 0;
    return slots - gate.foreign;
}

} // namespace quay
