#pragma once

#include "SeededRandom.h"
#include "quay/core/Placement.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace quay::test {

/** Tracks usage independently of the index and reports each violated invariant of the placements. */
class PlacementChecker {
public:
    explicit PlacementChecker(const std::vector<WorkerView>& workers)
    {
        for (const auto& worker : workers)
            m_workers[worker.id] = worker;
    }

    /** The violations of a result, empty if there are none. Charges the placements to the workers. */
    std::vector<std::string> check(const PlacementResult& result, const std::vector<PendingWork>& pending,
        const std::unordered_map<TeamId, std::uint32_t>& tokens)
    {
        std::vector<std::string> violations;
        std::unordered_map<TeamId, std::uint32_t> spent;
        std::unordered_map<JobId, std::set<std::uint32_t>> placedOf;
        for (const auto& placement : result.placements) {
            const auto it = std::find_if(pending.begin(), pending.end(),
                [&](const PendingWork& work) { return work.job == placement.job; });
            if (it == pending.end() || placement.pendingIndex >= it->taskCount) {
                violations.push_back("not pending: " + placement.job.text);
                continue;
            }
            if (!placedOf[it->job].insert(placement.pendingIndex).second)
                violations.push_back("placed twice: " + placement.job.text);
            ++spent[it->team];
            addPlacement(*it, placement.worker, violations);
        }
        for (const auto& [team, count] : spent) {
            if (count > tokens.at(team))
                violations.push_back("tokens: " + team.text);
        }
        for (const auto& work : pending) {
            const auto count = placedOf[work.job].size();
            if (work.kind == JobKind::Gang && count != 0 && count != work.taskCount)
                violations.push_back("partial gang: " + work.job.text);
        }
        return violations;
    }

    /** Unplaced jobs that fit a worker according to a full scan. Only valid while no capacity is reserved. */
    std::vector<std::string> checkUnplaced(
        const PlacementResult& result, const std::vector<PendingWork>& pending) const
    {
        std::vector<std::string> violations;
        for (const auto& hold : result.unplacedJobs) {
            const auto& work = *std::find_if(
                pending.begin(), pending.end(), [&](const PendingWork& it) { return it.job == hold.job; });
            if (hold.why == ErrorKind::QuotaExhausted || work.kind == JobKind::Gang)
                continue;
            for (const auto& [server, worker] : m_workers) {
                const bool avoided
                    = std::find(work.avoid.begin(), work.avoid.end(), server) != work.avoid.end();
                if (worker.usable && !avoided && work.perTask.fitsIn(worker.capacity - worker.used))
                    violations.push_back("fits a worker: " + work.job.text);
            }
        }
        return violations;
    }

    /** Sets whether a worker is usable and returns its view for the state under test. */
    const WorkerView& setUsable(const ServerId& worker, bool usable)
    {
        m_workers.at(worker).usable = usable;
        return m_workers.at(worker);
    }

    void removeUsed(const ServerId& worker, const Resources& amount) { m_workers.at(worker).used -= amount; }

private:
    void addPlacement(const PendingWork& work, const ServerId& server, std::vector<std::string>& violations)
    {
        auto& worker = m_workers.at(server);
        if (!worker.usable)
            violations.push_back("unusable: " + server.text);
        if (std::find(work.avoid.begin(), work.avoid.end(), server) != work.avoid.end())
            violations.push_back("avoided: " + server.text);
        worker.used += work.perTask;
        if (worker.used.cpuMilli > worker.capacity.cpuMilli)
            violations.push_back("cpu: " + server.text);
        if (worker.used.memoryMb > worker.capacity.memoryMb)
            violations.push_back("memory: " + server.text);
        if (worker.used.accelerators > worker.capacity.accelerators)
            violations.push_back("accelerators: " + server.text);
    }

    std::unordered_map<ServerId, WorkerView> m_workers;
};

/** `count` workers of 32 cores and 64 GB, six per rack; every `acceleratorEvery`th has four accelerators. */
inline std::vector<WorkerView> makeFleet(std::size_t count, std::size_t acceleratorEvery = 0)
{
    std::vector<WorkerView> workers;
    for (std::size_t i = 0; i < count; ++i) {
        WorkerView worker;
        worker.id = ServerId { "w" + std::to_string(i) };
        worker.rack = "r" + std::to_string(i / 6);
        worker.capacity = { 32'000, 65'536, 0 };
        if (acceleratorEvery != 0 && i % acceleratorEvery == 0)
            worker.capacity.accelerators = 4;
        workers.push_back(worker);
    }
    return workers;
}

/** A pending job of team "t" with the given name. */
inline PendingWork makeWork(
    const std::string& name, JobKind kind, const Resources& perTask, std::uint32_t taskCount)
{
    PendingWork work;
    work.job = JobId { name };
    work.team = TeamId { "t" };
    work.kind = kind;
    work.perTask = perTask;
    work.taskCount = taskCount;
    return work;
}

/** Grants the same number of tokens to every team. */
inline AvailableTokens tokensForAll(std::uint32_t tokens)
{
    return [tokens](const TeamId&) { return tokens; };
}

} // namespace quay::test
