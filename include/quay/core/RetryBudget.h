#pragma once

#include "quay/core/Reason.h"
#include "quay/core/Time.h"

#include <cstdint>

namespace quay {

/** Settings of a team's retry budget. One token is 1000 millitokens. */
struct RetryBudgetSettings {
    std::int64_t earnedMillitokens = 100; // per first attempt; limits retries to 10 % of them
    std::int64_t maxMillitokens = 20'000; // bucket capacity; bounds retry bursts after idle periods
    std::uint32_t maxAttempts = 3; // per request, including the first

    bool operator==(const RetryBudgetSettings&) const = default;
};

/** A team's token bucket: first attempts add tokens, retries and hedged requests take one each. */
struct RetryBudget {
    std::int64_t millitokens = 0;

    bool operator==(const RetryBudget&) const = default;
};

/** Retry state that is forwarded with a request on every hop. */
struct RequestAttempt {
    std::uint32_t attempt = 1; // 1 for the first attempt
    bool idempotent = false;
    Instant deadline;

    bool operator==(const RequestAttempt&) const = default;
};

/** Result of tryRetry(): retry, or why not. */
enum class RetryDecision {
    Retry,
    MayHaveRun, // not idempotent, and the failed attempt may have run
    AttemptsExhausted,
    DeadlineTooNear, // another attempt would not finish before the deadline
    BudgetExhausted,
};

/** Adds the tokens earned by one first attempt, up to maxMillitokens. */
void earnRetryTokens(RetryBudget& budget, const RetryBudgetSettings& settings);

/**
 * Decides whether a failed attempt is retried; takes a token only if the result is Retry.
 * @param outcome whether the failed attempt may have run
 * @param expectedTime usual duration of an attempt
 *
 * Usage: `if (tryRetry(budget, settings, attempt, Disposition::NotRun, 20ms, now) == RetryDecision::Retry)
 * ...`
 */
RetryDecision tryRetry(RetryBudget& budget, const RetryBudgetSettings& settings,
    const RequestAttempt& attempt, Disposition outcome, Duration expectedTime, Instant now);

} // namespace quay
