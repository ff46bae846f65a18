#include "quay/core/RetryBudget.h"

#include <algorithm>

namespace quay {

namespace {

constexpr std::int64_t millitokensPerRetry = 1000;

}

void earnRetryTokens(RetryBudget& budget, const RetryBudgetSettings& settings)
{
    budget.millitokens = std::min(settings.maxMillitokens, budget.millitokens + settings.earnedMillitokens);
}

RetryDecision tryRetry(RetryBudget& budget, const RetryBudgetSettings& settings,
    const RequestAttempt& attempt, Disposition outcome, Duration expectedTime, Instant now)
{
    if (!attempt.idempotent && outcome != Disposition::NotRun)
        return RetryDecision::MayHaveRun;
    if (attempt.attempt >= settings.maxAttempts)
        return RetryDecision::AttemptsExhausted;
    if (now + expectedTime >= attempt.deadline)
        return RetryDecision::DeadlineTooNear;
    if (budget.millitokens < millitokensPerRetry)
        return RetryDecision::BudgetExhausted;
    budget.millitokens -= millitokensPerRetry;
    return RetryDecision::Retry;
}

} // namespace quay
