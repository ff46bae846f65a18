#include "edge/CancelTombstones.h"

#include <algorithm>

namespace quay::edge {

CancelTombstones::Reservation CancelTombstones::reserve(
    const std::string& job, const std::string& team, Instant now)
{
    const auto found = m_entries.find(job);
    const bool isNew = found == m_entries.end();
    if (!isNew && found->second.isBeingRemoved)
        return Reservation::Refused;
    if (!isNew && found->second.isDurable) {
        found->second.expiresAt = now + m_limits.lifetime;
        return Reservation::Durable;
    }
    // A reservation that is repeated costs another write.
    if (!tryTake(team, now))
        return Reservation::Refused;
    if (isNew) {
        ++m_teams.at(team).count;
        m_entries.emplace(job, Entry { now + m_limits.lifetime, 0, false, false, team });
    } else {
        found->second.expiresAt = now + m_limits.lifetime;
    }
    return Reservation::Reserved;
}

bool CancelTombstones::tryTake(const std::string& team, Instant now)
{
    const auto free = m_limits.maxCount - std::min(m_limits.maxCount, m_entries.size());
    auto& usage
        = m_teams.try_emplace(team, Team { 0, TokenBucket(m_limits.teamPerSecond, m_limits.teamBurst) })
              .first->second;
    return usage.count < free && usage.bucket.tryTake(now);
}

void CancelTombstones::add(const std::string& job, std::int64_t rowVersion, Instant now)
{
    auto& entry = m_entries[job];
    entry.expiresAt = now + m_limits.lifetime;
    entry.isDurable = true;
    entry.isBeingRemoved = false;
    if (rowVersion > 0)
        entry.rowVersion = rowVersion;
}

bool CancelTombstones::resolve(const std::string& job)
{
    const auto it = m_entries.find(job);
    if (it == m_entries.end())
        return false;
    const bool isDurable = it->second.isDurable;
    erase(it);
    return isDurable;
}

std::vector<CancelTombstones::Expired> CancelTombstones::takeExpired(std::size_t maxCount, Instant now)
{
    std::vector<Expired> expired;
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        auto& entry = it->second;
        if (entry.isBeingRemoved || now < entry.expiresAt) {
            ++it;
        } else if (entry.rowVersion == 0) {
            it = erase(it);
        } else if (expired.size() == maxCount) {
            break;
        } else {
            entry.isBeingRemoved = true;
            expired.push_back({ it->first, entry.rowVersion });
            ++it;
        }
    }
    std::erase_if(
        m_teams, [&](const auto& team) { return team.second.count == 0 && team.second.bucket.isFull(now); });
    return expired;
}

void CancelTombstones::remove(const std::string& job)
{
    if (const auto it = m_entries.find(job); it != m_entries.end() && it->second.isBeingRemoved)
        erase(it);
}

void CancelTombstones::retryLater(const std::string& job, Duration delay, Instant now)
{
    if (const auto it = m_entries.find(job); it != m_entries.end()) {
        it->second.isBeingRemoved = false;
        it->second.expiresAt = now + delay;
    }
}

CancelTombstones::Entries::iterator CancelTombstones::erase(Entries::iterator it)
{
    if (it->second.team)
        --m_teams.at(*it->second.team).count;
    return m_entries.erase(it);
}

} // namespace quay::edge
