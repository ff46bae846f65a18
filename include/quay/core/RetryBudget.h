#pragma once

#include "quay/core/Reason.h"
#include "quay/core/Time.h"

#include <cstdint>

namespace quay {

/** Settings of a team's retry budget. One token is 1000 millitokens. */
struct RetryBudgetSettings {
    std::int64_t earnedMillitokens = 100; // by each real request: 10 % of the real traffic
    std::int64_t maxMillitokens = 20'000; // bounds a burst of retries after a quiet time
    std::uint32_t maxAttempts = 3; // of one request, the first included

    bool operator==(const RetryBudgetSettings&) const = default;
};

/** A token bucket that real requests fill and retries (and hedges) drain. */
struct RetryBudget {
    std::int64_t millitokens = 0;

    bool operator==(const RetryBudget&) const = default;
};

/** What travels with a request from hop to hop. */
struct RequestAttempt {
    std::uint32_t attempt = 1; // counts from 1
    bool idempotent = false;
    Instant deadline;

    bool operator==(const RequestAttempt&) const = default;
};

enum class RetryDecision {
    Retry,
    MayHaveRun, // not idempotent and not proven "not run"
    AttemptsExhausted,
    DeadlineTooNear, // another attempt would not end in time
    BudgetExhausted,
};

/** Counts one real request (a first attempt) of the team. */
void earnRetryTokens(RetryBudget& budget, const RetryBudgetSettings& settings);

/**
 * Decides on another attempt after a failed one; takes a token only if the answer is Retry.
 * @param outcome what the failure says of the attempt
 * @param expectedTime how long an attempt usually takes
 *
 * Usage: `if (tryRetry(budget, settings, attempt, Disposition::NotRun, 20ms, now) == RetryDecision::Retry)
 * ...`
 */
RetryDecision tryRetry(RetryBudget& budget, const RetryBudgetSettings& settings,
    const RequestAttempt& attempt, Disposition outcome, Duration expectedTime, Instant now);

} // namespace quay
