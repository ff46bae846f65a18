#include "quay/core/Placement.h"

#include <algorithm>
#include <unordered_set>

namespace quay {

namespace {

std::chrono::milliseconds runTime(const RunningTask& task)
{
    return std::chrono::milliseconds(task.declaredRunTimeMs);
}

} // namespace

PlacementState::PlacementState(PlacementPolicy policy, std::uint64_t seed)
    : m_policy(policy)
    , m_random(seed)
{
    m_fairShare.halfLife = policy.usageHalfLife;
}

void PlacementState::setWorkers(const std::vector<WorkerView>& workers, bool isWorkerListComplete)
{
    std::unordered_set<ServerId> listed;
    for (const auto& worker : workers)
        listed.insert(worker.id);
    for (std::uint32_t number = 0; number < m_index.size(); ++number) {
        if (!listed.contains(m_index.at(number).id))
            m_index.remove(m_index.at(number).id);
    }
    for (const auto& worker : workers)
        m_index.update(worker);
    m_isWorkerListComplete = isWorkerListComplete;
}

void PlacementState::updateWorker(const WorkerView& worker) { m_index.update(worker); }

void PlacementState::removeWorker(const ServerId& worker) { m_index.remove(worker); }

void PlacementState::setWeight(const TeamId& team, double weight) { m_fairShare.teams[team].weight = weight; }

void PlacementState::charge(const TeamId& team, const Resources& amount, Instant now)
{
    auto& usage = m_fairShare.teams[team];
    usage = withTasksStarted(usage, amount, 1, m_fairShare.halfLife, now);
}

void PlacementState::release(const TeamId& team, const Resources& amount, Instant now)
{
    auto& usage = m_fairShare.teams[team];
    usage = withTasksEnded(usage, amount, 1, m_fairShare.halfLife, now);
}

void PlacementState::taskStarted(const RunningTask& task, Instant now)
{
    charge(task.team, task.amount, now);
    if (task.kind == JobKind::Service)
        ++m_serviceTasks[task.team];
    const auto worker = m_index.find(task.worker);
    if (!worker)
        return;
    m_index.addUsed(*worker, task.amount);
    if (task.kind == JobKind::Service) {
        m_index.addPinned(*worker, task.amount);
        ++m_serviceRacks[task.job][m_index.rackOf(*worker)];
    } else if (task.declaredRunTimeMs > 0) {
        m_index.extendDrain(*worker, now + runTime(task));
    }
}

void PlacementState::taskEnded(const RunningTask& task, Instant now)
{
    release(task.team, task.amount, now);
    if (const auto it = m_serviceTasks.find(task.team);
        task.kind == JobKind::Service && it != m_serviceTasks.end() && --it->second == 0)
        m_serviceTasks.erase(it);
    const auto worker = m_index.find(task.worker);
    if (!worker)
        return;
    m_index.removeUsed(*worker, task.amount);
    if (task.kind != JobKind::Service)
        return;
    m_index.removePinned(*worker, task.amount);
    const auto racks = m_serviceRacks.find(task.job);
    if (racks == m_serviceRacks.end())
        return;
    const auto count = racks->second.find(m_index.rackOf(*worker));
    if (count != racks->second.end() && --count->second == 0)
        racks->second.erase(count);
    if (racks->second.empty())
        m_serviceRacks.erase(racks);
}

std::uint32_t PlacementState::serviceTasksOf(const TeamId& team) const
{
    const auto it = m_serviceTasks.find(team);
    return it == m_serviceTasks.end() ? 0 : it->second;
}

const RackCounts* PlacementState::racksOfService(const JobId& job) const
{
    const auto it = m_serviceRacks.find(job);
    return it == m_serviceRacks.end() ? nullptr : &it->second;
}

ShareUsage PlacementState::usageOf(const TeamId& team) const
{
    const auto it = m_fairShare.teams.find(team);
    return it == m_fairShare.teams.end() ? ShareUsage {} : it->second;
}

Resources countedUsage(const Resources& declared, const Resources& countedBefore, const Resources& reported)
{
    return { std::max({ declared.cpuMilli, countedBefore.cpuMilli, reported.cpuMilli }),
        std::max({ declared.memoryMb, countedBefore.memoryMb, reported.memoryMb }),
        std::max({ declared.accelerators, countedBefore.accelerators, reported.accelerators }) };
}

} // namespace quay
