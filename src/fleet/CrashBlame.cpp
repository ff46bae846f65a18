#include "fleet/CrashBlame.h"

#include <algorithm>
#include <set>

namespace quay::fleet {

namespace {

// A task that crashes its executor does so soon after its start.
constexpr Duration maxCrashDelay = 100ms;
// And the crash is noticed within the timeout of an order and the wait of a heartbeat.
constexpr Duration maxNoticeDelay = 2000ms;
constexpr Duration clearedAfter = 2000ms;
// Executors that share a failure turn silent within the wait of a heartbeat.
constexpr Duration sameTimeSpan = 1000ms;
// Crashes of this span tell how often executors crash by themselves.
constexpr Duration historySpan = 30s;
constexpr std::size_t maxSigns = 256;
// From this many crashes without a cause, or this share of the executors, crashes blame nobody.
constexpr std::size_t minUnexplainedCrashes = 2;
constexpr std::size_t unexplainedDivisor = 10;
// One crash right after a start may be a coincidence, whatever the attempts.
constexpr int minCrashesToConvict = 2;
constexpr Duration pauseStep = 250ms;
constexpr Duration maxPause = 2000ms;
constexpr int maxCrashes = 1000;
constexpr Duration maxApart = 5000ms;
constexpr Duration maxApartAfterPause = 500ms;

bool isSuspect(const RunAtCrash& run, const CrashFacts& facts)
{
    if (!run.isStarted)
        return false;
    if (!run.startedAt)
        return facts.aliveAt == Instant {} && run.crashes > 0; // its age is unknown
    return isNewAtCrash(run, facts.aliveAt, facts.silentSince);
}

std::string causeElsewhere(const CrashFacts& facts, const CrashHistory& history)
{
    if (facts.isDraining)
        return "draining";
    if (!facts.isGone)
        return "not_gone";
    std::size_t unexplained = 0;
    std::size_t together = facts.silentTogether;
    for (const auto& it : history.signs) {
        if (facts.silentSince - it.at > historySpan)
            continue;
        if (it.suspects > 0)
            continue;
        if (it.executor == facts.executor)
            return "crashes_often";
        ++unexplained;
        together += isSameTime(it.at, facts.silentSince) ? 1 : 0;
    }
    if (together > 0)
        return "shared";
    if (unexplained >= std::max(minUnexplainedCrashes, facts.executors / unexplainedDivisor))
        return "others_crash";
    return {};
}

} // namespace

bool isNewAtCrash(const RunAtCrash& run, Instant aliveAt, Instant silentSince)
{
    if (!run.isStarted || !run.startedAt)
        return false;
    const auto age = silentSince - *run.startedAt;
    return age >= Duration::zero() && age <= maxNoticeDelay && aliveAt - *run.startedAt < maxCrashDelay;
}

bool isSameTime(Instant a, Instant b) { return (a < b ? b - a : a - b) <= sameTimeSpan; }

CrashVerdict judgeCrash(const CrashFacts& facts, const CrashHistory& history)
{
    CrashVerdict verdict;
    verdict.runs.assign(facts.runs.size(), Blame::None);
    std::set<int> suspects;
    std::set<int> earlierSuspects;
    for (const auto& run : facts.runs) {
        verdict.isNew.push_back(isSuspect(run, facts));
        if (!verdict.isNew.back())
            continue;
        suspects.insert(run.unit);
        if (run.crashes > 0)
            earlierSuspects.insert(run.unit);
    }
    verdict.suspects = suspects.size();
    verdict.why = causeElsewhere(facts, history);
    if (!verdict.why.empty())
        return verdict;
    if (suspects.empty()) {
        verdict.why = "no_new_start";
        return verdict;
    }
    // Suspects don't share executors, so beside an earlier one the others are new: most by coincidence, but
    // one may be deadly and has not crashed anything yet.
    const int needed = suspects.size() == 1 ? minCrashesToConvict : minCrashesToConvict + 1;
    const auto& candidates = earlierSuspects.empty() ? suspects : earlierSuspects;
    verdict.why = candidates.size() == 1 ? "alone" : "several";
    for (std::size_t i = 0; i < facts.runs.size(); ++i) {
        const auto& run = facts.runs[i];
        if (!verdict.isNew[i])
            continue;
        const auto crashes = std::int64_t { run.crashes } + 1;
        const bool isConvicted = run.startedAt && run.wasSeenBefore && candidates.size() == 1
            && candidates.count(run.unit) > 0 && run.maxAttempts > 0 && crashes >= needed
            && crashes + run.failures >= run.maxAttempts;
        verdict.runs[i] = isConvicted ? Blame::Convicted : Blame::Suspect;
    }
    return verdict;
}

std::uint64_t noteCrash(CrashHistory& history, const CrashFacts& facts, const CrashVerdict& verdict)
{
    const auto number = history.nextNumber++;
    if (facts.isDraining)
        return number; // its exit was expected
    // Members of a gang are one suspect, and are cleared one by one.
    const auto newRuns
        = static_cast<std::size_t>(std::count(verdict.isNew.begin(), verdict.isNew.end(), true));
    history.signs.push_back({ number, facts.silentSince, facts.executor, newRuns });
    while (history.signs.size() > maxSigns || facts.silentSince - history.signs.front().at > historySpan)
        history.signs.pop_front();
    return number;
}

void exonerate(CrashHistory& history, std::uint64_t number)
{
    for (auto& it : history.signs) {
        if (it.number == number && it.suspects > 0)
            --it.suspects;
    }
}

bool hasOutlivedSuspicion(Instant startedAt, Instant now) { return now - startedAt >= clearedAfter; }

Duration pauseAfterCrashes(int crashes)
{
    return std::clamp<Duration>(pauseStep * std::clamp(crashes, 0, maxCrashes), Duration::zero(), maxPause);
}

Instant apartUntil(Instant now, Instant startNotBefore)
{
    return startNotBefore == Instant {} ? now + maxApart : startNotBefore + maxApartAfterPause;
}

int boundedCrashes(std::int64_t crashes)
{
    return static_cast<int>(std::clamp<std::int64_t>(crashes, 0, maxCrashes));
}

} // namespace quay::fleet
