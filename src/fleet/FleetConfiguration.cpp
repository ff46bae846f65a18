#include "quay/fleet/FleetConfiguration.h"

#include <algorithm>

namespace quay::fleet {

const QueuePolicy* FleetConfiguration::queueFor(const std::string& host, const std::string& path) const
{
    const QueuePolicy* best = nullptr;
    for (const auto& queue : queues) {
        if (queue.host == host && path.starts_with(queue.pathPrefix)
            && (!best || queue.pathPrefix.size() > best->pathPrefix.size()))
            best = &queue;
    }
    return best;
}

const TeamPolicy* FleetConfiguration::teamOfKey(const std::string& key) const
{
    if (key.empty())
        return nullptr;
    for (const auto& team : teams) {
        if (std::find(team.keys.begin(), team.keys.end(), key) != team.keys.end())
            return &team;
    }
    return nullptr;
}

const QueuePolicy* FleetConfiguration::queueNamed(const std::string& name) const
{
    auto it
        = std::find_if(queues.begin(), queues.end(), [&](const auto& queue) { return queue.name == name; });
    return it == queues.end() ? nullptr : &*it;
}

const TeamPolicy* FleetConfiguration::teamNamed(const std::string& name) const
{
    auto it = std::find_if(teams.begin(), teams.end(), [&](const auto& team) { return team.name == name; });
    return it == teams.end() ? nullptr : &*it;
}

QueuePolicy executionPolicy(const QueuePolicy& queue)
{
    auto policy = queue;
    policy.host.clear();
    policy.pathPrefix.clear();
    policy.isPublic = false;
    return policy;
}

} // namespace quay::fleet
