#include "quay/core/RetryBudget.h"

#include <doctest/doctest.h>

using namespace quay;

TEST_CASE("a retry needs a safe outcome, a remaining attempt, enough time and a token")
{
    const Instant now {};
    struct Row {
        const char* name;
        RequestAttempt attempt;
        Disposition outcome;
        std::int64_t millitokens;
        RetryDecision decision;
    };
    const Row rows[] = {
        { "not run, not idempotent", { 1, false, now + 1s }, Disposition::NotRun, 1000,
            RetryDecision::Retry },
        { "unknown, not idempotent", { 1, false, now + 1s }, Disposition::Unknown, 1000,
            RetryDecision::MayHaveRun },
        { "unknown, idempotent", { 2, true, now + 1s }, Disposition::Unknown, 1000, RetryDecision::Retry },
        { "last attempt", { 3, true, now + 1s }, Disposition::NotRun, 1000,
            RetryDecision::AttemptsExhausted },
        { "no time", { 1, true, now + 20ms }, Disposition::NotRun, 1000, RetryDecision::DeadlineTooNear },
        { "no token", { 1, true, now + 1s }, Disposition::NotRun, 999, RetryDecision::BudgetExhausted },
    };
    for (const Row& row : rows) {
        CAPTURE(std::string(row.name));
        RetryBudget budget { row.millitokens };
        CHECK(tryRetry(budget, {}, row.attempt, row.outcome, 20ms, now) == row.decision);
        const bool isTaken = row.decision == RetryDecision::Retry;
        CHECK(budget.millitokens == row.millitokens - (isTaken ? 1000 : 0));
    }
}

TEST_CASE("retries are limited to a fraction of the first attempts, and bursts to the bucket capacity")
{
    const Instant now {};
    const RetryBudgetSettings settings;
    const RequestAttempt attempt { 1, true, now + 1s };
    RetryBudget budget;
    int retries = 0;
    for (int i = 0; i < 10'000; ++i) {
        earnRetryTokens(budget, settings);
        while (tryRetry(budget, settings, attempt, Disposition::NotRun, 1ms, now) == RetryDecision::Retry)
            ++retries;
    }
    CHECK(retries == 1000);
    for (int i = 0; i < 10'000; ++i)
        earnRetryTokens(budget, settings);
    CHECK(budget.millitokens == settings.maxMillitokens);
}
