#pragma once

#include "quay/core/Time.h"

namespace quay::edge {

/**
 * When the attempts of one commit were sent. The store executes at most one of them.
 *
 * Usage: `attempts = {}; attempts.send(now); prolong(attempts.executedAfter(isAnswerOfLast));`
 */
class CommitAttempts {
public:
    void send(Instant now)
    {
        if (m_first == Instant {})
            m_first = now;
        m_last = now;
    }

    /**
     * A time before which the store did not execute the commit. `isLast`: it has answered that it executed
     * the last attempt. Otherwise it may have been any of them.
     */
    Instant executedAfter(bool isLast) const { return isLast ? m_last : m_first; }

    Instant lastSentAt() const { return m_last; }

private:
    Instant m_first;
    Instant m_last;
};

} // namespace quay::edge
