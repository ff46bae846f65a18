#include "quay/core/WorkerIndex.h"

#include <algorithm>
#include <bit>
#include <limits>

namespace quay {

namespace {

constexpr std::int64_t cpuMilliPerBucket = 500;
constexpr std::int64_t memoryMbPerBucket = 1024;

std::size_t bucketOf(std::int64_t amount, std::int64_t unit, std::size_t bucketCount)
{
    return static_cast<std::size_t>(
        std::clamp<std::int64_t>(amount / unit, 0, static_cast<std::int64_t>(bucketCount) - 1));
}

std::uint64_t bitsFrom(std::size_t first) { return ~std::uint64_t { 0 } << first; }

std::int64_t dimensionFitCount(std::int64_t need, std::int64_t room)
{
    if (need <= 0)
        return std::numeric_limits<std::uint32_t>::max();
    return std::max<std::int64_t>(room / need, 0);
}

} // namespace

std::uint32_t fitCount(const Resources& need, const Resources& room)
{
    if (!need.fitsIn(room))
        return 0;
    const auto count = std::min(
        { dimensionFitCount(need.cpuMilli, room.cpuMilli), dimensionFitCount(need.memoryMb, room.memoryMb),
            dimensionFitCount(need.accelerators, room.accelerators) });
    return static_cast<std::uint32_t>(
        std::min<std::int64_t>(count, std::numeric_limits<std::uint32_t>::max()));
}

std::uint32_t WorkerIndex::findOrAddRack(const std::string& name)
{
    const auto [it, added] = m_rackNumbers.try_emplace(name, static_cast<std::uint32_t>(m_racks.size()));
    if (added)
        m_racks.push_back({ name, {}, {} });
    return it->second;
}

std::uint32_t WorkerIndex::update(const WorkerView& worker)
{
    const auto [it, added]
        = m_workerNumbers.try_emplace(worker.id, static_cast<std::uint32_t>(m_workers.size()));
    const auto number = it->second;
    if (added)
        m_workers.emplace_back();
    removeFromGrid(number);
    if (m_workers[number].isPresent)
        removeFromCapacityClass(m_workers[number].view.capacity);
    auto& entry = m_workers[number];
    const auto rack = findOrAddRack(worker.rack);
    if (added || rack != entry.rack) {
        std::erase(m_racks[entry.rack].workers, number);
        m_racks[rack].workers.push_back(number);
        entry.rack = rack;
    }
    const auto before = entry.isPresent ? entry.view : WorkerView {};
    entry.view = worker;
    entry.view.pinned.cpuMilli = std::max(worker.pinned.cpuMilli, before.pinned.cpuMilli);
    entry.view.pinned.memoryMb = std::max(worker.pinned.memoryMb, before.pinned.memoryMb);
    entry.view.pinned.accelerators = std::max(worker.pinned.accelerators, before.pinned.accelerators);
    entry.view.drainsAt = std::max(worker.drainsAt, before.drainsAt);
    entry.isPresent = true;
    addToCapacityClass(worker.capacity);
    insertIntoGrid(number);
    return number;
}

void WorkerIndex::remove(const ServerId& worker)
{
    const auto number = find(worker);
    if (!number || !m_workers[*number].isPresent)
        return;
    removeFromGrid(*number);
    auto& view = m_workers[*number].view;
    removeFromCapacityClass(view.capacity);
    m_workers[*number].isPresent = false;
    view.usable = false;
    view.capacity = {};
    view.used = {};
    view.pinned = {};
}

void WorkerIndex::addToCapacityClass(const Resources& capacity)
{
    const auto it = std::find_if(m_capacityClasses.begin(), m_capacityClasses.end(),
        [&](const CapacityClass& capacityClass) { return capacityClass.capacity == capacity; });
    if (it == m_capacityClasses.end())
        m_capacityClasses.push_back({ capacity, 1 });
    else
        ++it->workers;
}

void WorkerIndex::removeFromCapacityClass(const Resources& capacity)
{
    const auto it = std::find_if(m_capacityClasses.begin(), m_capacityClasses.end(),
        [&](const CapacityClass& capacityClass) { return capacityClass.capacity == capacity; });
    if (it != m_capacityClasses.end() && --it->workers == 0)
        m_capacityClasses.erase(it);
}

std::uint64_t WorkerIndex::fitCountWhenEmpty(const Resources& need) const
{
    std::uint64_t count = 0;
    for (const auto& capacityClass : m_capacityClasses)
        count += std::uint64_t { capacityClass.workers } * fitCount(need, capacityClass.capacity);
    return count;
}

// Adds a usable worker to its cell and to the sums of its rack and of the fleet.
void WorkerIndex::insertIntoGrid(std::uint32_t worker)
{
    auto& entry = m_workers[worker];
    if (!entry.view.usable)
        return;
    const auto room = entry.view.free();
    const auto row = bucketOf(room.cpuMilli, cpuMilliPerBucket, bucketCount);
    const auto column = bucketOf(room.memoryMb, memoryMbPerBucket, bucketCount);
    const auto plane
        = entry.view.capacity.accelerators == 0 ? 0 : 1 + bucketOf(room.accelerators, 1, planeCount - 1);
    entry.cell = static_cast<std::uint32_t>((plane * bucketCount + row) * bucketCount + column);
    entry.position = static_cast<std::uint32_t>(m_cells[entry.cell].size());
    entry.isInGrid = true;
    m_cells[entry.cell].push_back(worker);
    m_planes[plane].rows[row] |= std::uint64_t { 1 } << column;
    m_planes[plane].rowsInUse |= std::uint64_t { 1 } << row;
    m_racks[entry.rack].free += atLeastZero(room);
    m_totalCapacity += entry.view.capacity;
}

// Reverts insertIntoGrid(). Must run before the view changes, because the sums are computed from it.
void WorkerIndex::removeFromGrid(std::uint32_t worker)
{
    auto& entry = m_workers[worker];
    if (!entry.isInGrid)
        return;
    entry.isInGrid = false;
    m_racks[entry.rack].free -= atLeastZero(entry.view.free());
    m_totalCapacity -= entry.view.capacity;
    auto& members = m_cells[entry.cell];
    m_workers[members.back()].position = entry.position;
    members[entry.position] = members.back();
    members.pop_back();
    if (!members.empty())
        return;
    const auto column = entry.cell % bucketCount;
    const auto row = entry.cell / bucketCount % bucketCount;
    auto& plane = m_planes[entry.cell / (bucketCount * bucketCount)];
    plane.rows[row] &= ~(std::uint64_t { 1 } << column);
    if (plane.rows[row] == 0)
        plane.rowsInUse &= ~(std::uint64_t { 1 } << row);
}

void WorkerIndex::addUsed(std::uint32_t worker, const Resources& amount)
{
    removeFromGrid(worker);
    m_workers[worker].view.used += amount;
    insertIntoGrid(worker);
}

void WorkerIndex::removeUsed(std::uint32_t worker, const Resources& amount)
{
    removeFromGrid(worker);
    auto& used = m_workers[worker].view.used;
    used = atLeastZero(used - amount);
    insertIntoGrid(worker);
}

void WorkerIndex::addPinned(std::uint32_t worker, const Resources& amount)
{
    m_workers[worker].view.pinned += amount;
}

void WorkerIndex::removePinned(std::uint32_t worker, const Resources& amount)
{
    auto& pinned = m_workers[worker].view.pinned;
    pinned = atLeastZero(pinned - amount);
}

void WorkerIndex::extendDrain(std::uint32_t worker, Instant until)
{
    auto& drainsAt = m_workers[worker].view.drainsAt;
    drainsAt = std::max(drainsAt, until);
}

std::optional<std::uint32_t> WorkerIndex::find(const ServerId& worker) const
{
    const auto it = m_workerNumbers.find(worker);
    if (it == m_workerNumbers.end())
        return std::nullopt;
    return it->second;
}

bool WorkerIndex::canPlace(std::uint32_t worker, const Resources& need, const WorkerFilter& accept) const
{
    const auto& view = m_workers[worker].view;
    return view.usable && need.fitsIn(view.free()) && accept(worker);
}

std::optional<std::uint32_t> WorkerIndex::bestFit(const Resources& need, const WorkerFilter& accept) const
{
    // A task without accelerators prefers workers without any, then workers whose accelerators are in use, so
    // that workers with free accelerators keep the cpu that tasks on them will need.
    const auto first = need.accelerators == 0 ? 0 : 1 + bucketOf(need.accelerators, 1, planeCount - 1);
    for (std::size_t plane = first; plane < planeCount; ++plane) {
        if (const auto worker = searchPlane(plane, need, accept))
            return worker;
    }
    return std::nullopt;
}

std::optional<std::uint32_t> WorkerIndex::searchPlane(
    std::size_t plane, const Resources& need, const WorkerFilter& accept) const
{
    const auto firstRow = bucketOf(need.cpuMilli, cpuMilliPerBucket, bucketCount);
    auto rows = m_planes[plane].rowsInUse & bitsFrom(firstRow);
    for (; rows != 0; rows &= rows - 1) {
        const auto row = static_cast<std::size_t>(std::countr_zero(rows));
        if (const auto worker = searchRow(plane, row, need, accept))
            return worker;
    }
    return std::nullopt;
}

std::optional<std::uint32_t> WorkerIndex::searchRow(
    std::size_t plane, std::size_t row, const Resources& need, const WorkerFilter& accept) const
{
    const auto firstColumn = bucketOf(need.memoryMb, memoryMbPerBucket, bucketCount);
    auto columns = m_planes[plane].rows[row] & bitsFrom(firstColumn);
    for (; columns != 0; columns &= columns - 1) {
        const auto column = static_cast<std::size_t>(std::countr_zero(columns));
        // Only cells of the first row or column can hold workers with slightly too little free capacity.
        for (const auto worker : m_cells[(plane * bucketCount + row) * bucketCount + column]) {
            if (canPlace(worker, need, accept))
                return worker;
        }
    }
    return std::nullopt;
}

std::optional<std::uint32_t> WorkerIndex::firstFit(const Resources& need, const WorkerFilter& accept) const
{
    for (std::uint32_t worker = 0; worker < m_workers.size(); ++worker) {
        if (canPlace(worker, need, accept))
            return worker;
    }
    return std::nullopt;
}

std::optional<std::uint32_t> WorkerIndex::randomFit(
    const Resources& need, const WorkerFilter& accept, std::mt19937_64& random) const
{
    const auto count = m_workers.size();
    if (count == 0)
        return std::nullopt;
    const auto start = random() % count;
    for (std::size_t step = 0; step < count; ++step) {
        const auto worker = static_cast<std::uint32_t>((start + step) % count);
        if (canPlace(worker, need, accept))
            return worker;
    }
    return std::nullopt;
}

} // namespace quay
