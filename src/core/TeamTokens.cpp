#include "quay/core/TeamTokens.h"

#include <algorithm>

namespace quay {

TeamTokens::Shard& TeamTokens::shardOf(const TeamId& team)
{
    return m_shards[std::hash<TeamId>()(team) % shardCount];
}

bool TeamTokens::mayAcquire(Instant now) const
{
    return !m_fenced.load() && now.time_since_epoch().count() < m_leaseUntil.load();
}

bool TeamTokens::tryAcquire(const TeamId& team, std::int64_t n, Instant now)
{
    Shard& shard = shardOf(team);
    const std::lock_guard lock(shard.mutex);
    Counter& counter = shard.counters[team];
    const std::int64_t room = std::min(counter.granted, counter.ceiling) - counter.running;
    if (n > room || !mayAcquire(now)) {
        counter.refused += n;
        return false;
    }
    counter.running += n;
    return true;
}

std::int64_t TeamTokens::available(const TeamId& team, Instant now)
{
    Shard& shard = shardOf(team);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.counters.find(team);
    if (found == shard.counters.end() || !mayAcquire(now))
        return 0;
    const Counter& counter = found->second;
    return std::max<std::int64_t>(0, std::min(counter.granted, counter.ceiling) - counter.running);
}

void TeamTokens::release(const TeamId& team, std::int64_t n)
{
    Shard& shard = shardOf(team);
    const std::lock_guard lock(shard.mutex);
    Counter& counter = shard.counters[team];
    counter.running = std::max<std::int64_t>(0, counter.running - n);
}

void TeamTokens::setGranted(const TeamId& team, std::int64_t n)
{
    Shard& shard = shardOf(team);
    const std::lock_guard lock(shard.mutex);
    Counter& counter = shard.counters[team];
    counter.granted = std::max(n, counter.running);
    counter.ceiling = n;
}

std::int64_t TeamTokens::reduceTo(const TeamId& team, std::int64_t n)
{
    Shard& shard = shardOf(team);
    const std::lock_guard lock(shard.mutex);
    Counter& counter = shard.counters[team];
    counter.ceiling = std::min(counter.ceiling, n);
    counter.granted = std::min(counter.granted, std::max(n, counter.running));
    return counter.granted;
}

void TeamTokens::extendLease(Instant until)
{
    const Duration::rep newExpiry = until.time_since_epoch().count();
    Duration::rep current = m_leaseUntil.load();
    while (current < newExpiry && !m_leaseUntil.compare_exchange_weak(current, newExpiry)) { }
}

void TeamTokens::fence() { m_fenced.store(true); }

std::map<TeamId, TeamUsage> TeamTokens::takeUsage()
{
    std::map<TeamId, TeamUsage> usage;
    for (Shard& shard : m_shards) {
        const std::lock_guard lock(shard.mutex);
        for (auto& [team, counter] : shard.counters) {
            usage[team] = TeamUsage { counter.running, counter.refused };
            counter.refused = 0;
        }
    }
    return usage;
}

} // namespace quay
