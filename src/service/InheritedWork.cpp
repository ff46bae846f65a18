#include "service/InheritedWork.h"

#include <algorithm>
#include <utility>

namespace quay {

void InheritedWork::requestCount(const CountInheritedWork& request)
{
    if (m_isLedgerRecovered)
        countFor(request);
    else
        m_pendingRequests.push_back(request);
}

void InheritedWork::countFor(const CountInheritedWork& request)
{
    auto& uncounted = m_uncountedUnits[request.team];
    const auto units = std::min(request.units, uncounted);
    uncounted -= units;
    m_countedUnits[request.team][request.from] += units;
    m_events.emplace_back(QuotaWorkCounted { request.team, request.from, units });
}

void InheritedWork::setRunningUnits(std::map<TeamId, std::int64_t> running)
{
    m_isLedgerRecovered = true;
    m_uncountedUnits = std::move(running);
    // A later recovery also finds the units that were already counted for a grant.
    for (const auto& [team, grants] : m_countedUnits) {
        for (const auto& [from, units] : grants)
            m_uncountedUnits[team] = std::max<std::int64_t>(0, m_uncountedUnits[team] - units);
    }
    for (const auto& request : std::exchange(m_pendingRequests, {}))
        countFor(request);
}

void InheritedWork::reportEnded(const TeamId& team, std::int64_t units)
{
    for (auto& [from, counted] : m_countedUnits[team]) {
        const auto part = std::min(units, counted);
        if (!part)
            continue;
        counted -= part;
        units -= part;
        m_events.emplace_back(QuotaWorkEnded { team, from, part });
    }
    auto& uncounted = m_uncountedUnits[team];
    uncounted = std::max<std::int64_t>(0, uncounted - units);
}

void InheritedWork::clearRunningUnits()
{
    m_isLedgerRecovered = false;
    m_uncountedUnits.clear();
}

std::vector<QuotaEvent> InheritedWork::takeEvents() { return std::exchange(m_events, {}); }

} // namespace quay
