#include "quay/core/OutlierEjection.h"
#include "quay/core/RetryBudget.h"

#include <benchmark/benchmark.h>
#include <random>
#include <string>

using namespace quay;

namespace {

constexpr std::size_t executorCount = 50;
constexpr int requestCount = 100'000;
constexpr int requestsPerCheck = 1000; // one second of traffic

struct Outcome {
    int retries = 0;
    int unanswered = 0;
};

/** Sends requests to executors, half of which fail every request immediately with "not run". */
class HalfBrokenFleet {
public:
    HalfBrokenFleet(bool withBudget, bool withEjection)
        : m_withEjection(withEjection)
    {
        if (!withBudget)
            m_settings.earnedMillitokens = m_settings.maxMillitokens;
        for (std::size_t i = 0; i < executorCount; ++i)
            m_executors.emplace_back("x" + std::to_string(i));
        setTrackedServers(m_outliers, m_executors);
    }

    Outcome run()
    {
        for (int i = 0; i < requestCount; ++i) {
            earnRetryTokens(m_budget, m_settings);
            serveOne();
            if (m_withEjection && i % requestsPerCheck == 0)
                checkOutliers(m_outliers, m_now += 1s);
        }
        return m_outcome;
    }

private:
    void serveOne()
    {
        RequestAttempt attempt { 1, false, m_now + 1s };
        while (!attemptSucceeds()) {
            const auto decision = tryRetry(m_budget, m_settings, attempt, Disposition::NotRun, 20ms, m_now);
            if (decision != RetryDecision::Retry) {
                ++m_outcome.unanswered;
                return;
            }
            ++attempt.attempt;
            ++m_outcome.retries;
        }
    }

    bool attemptSucceeds()
    {
        std::size_t chosen = m_rng() % executorCount;
        while (m_outliers.servers.at(m_executors[chosen]).state == HealthState::Ejected)
            chosen = m_rng() % executorCount;
        const bool succeeded = chosen % 2 == 0;
        recordOutcome(m_outliers, m_executors[chosen], succeeded);
        return succeeded;
    }

    bool m_withEjection;
    RetryBudgetSettings m_settings;
    RetryBudget m_budget;
    std::vector<ServerId> m_executors;
    OutlierState m_outliers;
    std::mt19937_64 m_rng { 1 };
    Instant m_now;
    Outcome m_outcome;
};

void benchRetryTraffic(benchmark::State& bench, bool withBudget, bool withEjection)
{
    Outcome outcome;
    for (auto it : bench)
        outcome = HalfBrokenFleet(withBudget, withEjection).run();
    bench.counters["retriesPerRequest"] = static_cast<double>(outcome.retries) / requestCount;
    bench.counters["unansweredPart"] = static_cast<double>(outcome.unanswered) / requestCount;
}

BENCHMARK_CAPTURE(benchRetryTraffic, noBudget, false, false)->Iterations(1);
BENCHMARK_CAPTURE(benchRetryTraffic, budget, true, false)->Iterations(1);
BENCHMARK_CAPTURE(benchRetryTraffic, ejectionOnly, false, true)->Iterations(1);
BENCHMARK_CAPTURE(benchRetryTraffic, budgetAndEjection, true, true)->Iterations(1);

} // namespace
