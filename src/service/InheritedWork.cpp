#include "service/InheritedWork.h"

#include <algorithm>
#include <utility>

namespace quay {

void InheritedWork::ask(const CountInheritedWork& question)
{
    if (m_known)
        answer(question);
    else
        m_open.push_back(question);
}

void InheritedWork::answer(const CountInheritedWork& question)
{
    auto& free = m_free[question.team];
    const auto units = std::min(question.units, free);
    free -= units;
    m_counted[question.team][question.from] += units;
    m_events.emplace_back(QuotaWorkCounted { question.team, question.from, units });
}

void InheritedWork::found(std::map<TeamId, std::int64_t> running)
{
    m_known = true;
    m_free = std::move(running);
    // A second recovery finds the units again that were counted before it.
    for (const auto& [team, grants] : m_counted) {
        for (const auto& [from, units] : grants)
            m_free[team] = std::max<std::int64_t>(0, m_free[team] - units);
    }
    for (const auto& question : std::exchange(m_open, {}))
        answer(question);
}

void InheritedWork::ended(const TeamId& team, std::int64_t units)
{
    for (auto& [from, counted] : m_counted[team]) {
        const auto part = std::min(units, counted);
        if (!part)
            continue;
        counted -= part;
        units -= part;
        m_events.emplace_back(QuotaWorkEnded { team, from, part });
    }
    auto& free = m_free[team];
    free = std::max<std::int64_t>(0, free - units);
}

void InheritedWork::forgetFound()
{
    m_known = false;
    m_free.clear();
}

std::vector<QuotaEvent> InheritedWork::takeEvents() { return std::exchange(m_events, {}); }

} // namespace quay
