#pragma once

#include "quay/core/Time.h"

#include <algorithm>

namespace quay::edge {

/**
 * Limits a rate: `burst` events at once, `perSecond` of them in the long run.
 *
 * Usage: `TokenBucket bucket(20, 100); if (!bucket.tryTake(now)) refuse();`
 */
class TokenBucket {
public:
    TokenBucket(double perSecond, double burst)
        : m_perSecond(perSecond)
        , m_burst(burst)
        , m_tokens(burst)
    {
    }

    /** Takes a token; false if there is none. */
    bool tryTake(Instant now)
    {
        m_tokens = tokensAt(now);
        m_countedAt = std::max(m_countedAt, now);
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

    bool isFull(Instant now) const { return tokensAt(now) >= m_burst; }

private:
    double tokensAt(Instant now) const
    {
        const auto since = std::max(now, m_countedAt) - m_countedAt;
        return std::min(m_burst, m_tokens + m_perSecond * std::chrono::duration<double>(since).count());
    }

    double m_perSecond;
    double m_burst;
    double m_tokens;
    Instant m_countedAt {};
};

} // namespace quay::edge
