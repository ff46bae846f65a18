#include "core/GangPlacement.h"

#include <algorithm>

namespace quay::internal {

namespace {

struct WorkerFit {
    std::uint32_t worker;
    std::uint32_t count; // tasks of the gang that fit
};

struct RackFit {
    std::uint32_t rack;
    std::uint64_t count; // tasks of the gang that fit
};

class RackChooser {
public:
    RackChooser(const WorkerIndex& index, const GangRequest& need, const UsableCapacity& usableCapacity,
        const WorkerIndex::WorkerFilter& accept)
        : m_index(index)
        , m_need(need)
        , m_usableCapacity(usableCapacity)
        , m_accept(accept)
    {
        for (std::uint32_t rack = 0; rack < index.rackCount(); ++rack) {
            const auto count = fitCountOfRack(rack);
            if (count > 0)
                m_racks.push_back({ rack, count });
        }
        std::sort(m_racks.begin(), m_racks.end(), [this](const RackFit& a, const RackFit& b) {
            return a.count != b.count ? a.count < b.count : isPreferred(freeCpuOfRack(a), freeCpuOfRack(b));
        });
    }

    std::optional<std::vector<std::uint32_t>> choose()
    {
        std::uint64_t total = 0;
        for (const auto& rack : m_racks)
            total += rack.count;
        if (total < m_need.taskCount)
            return std::nullopt;
        while (m_chosen.size() < m_need.taskCount)
            fillFromRack(takeRack(m_need.taskCount - m_chosen.size()));
        return std::move(m_chosen);
    }

private:
    std::int64_t freeCpuOfRack(const RackFit& fit) const { return m_index.rackFree(fit.rack).cpuMilli; }
    std::int64_t freeCpuOfWorker(const WorkerFit& fit) const
    {
        return m_index.at(fit.worker).free().cpuMilli;
    }
    bool isPreferred(std::int64_t a, std::int64_t b) const { return m_need.preferIdle ? a > b : a < b; }

    // Best fit: the smallest rack that holds all remaining tasks; if there is none, the largest rack.
    std::uint32_t takeRack(std::uint64_t remaining)
    {
        auto it = std::lower_bound(m_racks.begin(), m_racks.end(), remaining,
            [](const RackFit& rack, std::uint64_t count) { return rack.count < count; });
        if (it == m_racks.end())
            --it;
        const auto rack = it->rack;
        m_racks.erase(it);
        return rack;
    }

    std::vector<WorkerFit> fitsOf(std::uint32_t rack) const
    {
        std::vector<WorkerFit> fits;
        for (const auto worker : m_index.workersOfRack(rack)) {
            if (!m_index.at(worker).usable || !m_accept(worker))
                continue;
            const auto count = fitCount(m_need.perTask, m_usableCapacity(worker));
            if (count > 0)
                fits.push_back({ worker, count });
        }
        return fits;
    }

    std::uint64_t fitCountOfRack(std::uint32_t rack) const
    {
        std::uint64_t sum = 0;
        for (const auto& fit : fitsOf(rack))
            sum += fit.count;
        return sum;
    }

    // Workers with the most capacity first, so that the gang uses few workers.
    void fillFromRack(std::uint32_t rack)
    {
        auto fits = fitsOf(rack);
        std::stable_sort(fits.begin(), fits.end(), [this](const WorkerFit& a, const WorkerFit& b) {
            return a.count != b.count ? a.count > b.count
                                      : isPreferred(freeCpuOfWorker(a), freeCpuOfWorker(b));
        });
        for (const auto& fit : fits) {
            const auto remaining = m_need.taskCount - m_chosen.size();
            m_chosen.insert(m_chosen.end(), std::min<std::size_t>(fit.count, remaining), fit.worker);
        }
    }

    const WorkerIndex& m_index;
    const GangRequest& m_need;
    const UsableCapacity& m_usableCapacity;
    const WorkerIndex::WorkerFilter& m_accept;
    std::vector<RackFit> m_racks; // racks not used yet, ascending by count
    std::vector<std::uint32_t> m_chosen;
};

// Cheap upper bound from the free capacity of each rack; rejects most gangs that can't be placed.
bool mayFit(const WorkerIndex& index, const GangRequest& need)
{
    std::uint64_t bound = 0;
    for (std::uint32_t rack = 0; rack < index.rackCount(); ++rack)
        bound += fitCount(need.perTask, index.rackFree(rack));
    return bound >= need.taskCount;
}

} // namespace

std::optional<std::vector<std::uint32_t>> findGangWorkers(const WorkerIndex& index, const GangRequest& need,
    const UsableCapacity& usableCapacity, const WorkerIndex::WorkerFilter& accept)
{
    return RackChooser(index, need, usableCapacity, accept).choose();
}

std::optional<std::vector<std::uint32_t>> findGangWorkersNow(
    const WorkerIndex& index, const GangRequest& need, const WorkerIndex::WorkerFilter& accept)
{
    if (!mayFit(index, need))
        return std::nullopt;
    const UsableCapacity freeNow = [&](std::uint32_t worker) { return index.at(worker).free(); };
    if (need.perTask.accelerators > 0)
        return findGangWorkers(index, need, freeNow, accept);
    const WorkerIndex::WorkerFilter withoutAccelerators
        = [&](std::uint32_t worker) { return index.at(worker).capacity.accelerators == 0 && accept(worker); };
    if (auto chosen = findGangWorkers(index, need, freeNow, withoutAccelerators))
        return chosen;
    return findGangWorkers(index, need, freeNow, accept);
}

} // namespace quay::internal
