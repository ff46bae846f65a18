#pragma once

#include "quay/core/Ids.h"
#include "quay/core/Resources.h"
#include "quay/core/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace quay {

/** A worker as the job ledger sees it. */
struct WorkerView {
    ServerId id;
    std::string rack;
    Resources capacity;
    Resources used;
    bool usable = true; // not leaving, not ejected, reachable
    Resources pinned {}; // the part of `used` that services hold and that doesn't drain by itself
    Instant drainsAt {}; // when its batch and gang tasks should have ended; default: not known

    bool operator==(const WorkerView&) const = default;

    /** What more fits; a dimension can be below zero if learned usage exceeds capacity. */
    Resources free() const { return capacity - used; }
};

/** How many tasks of one job each rack (by number in the index) holds. */
using RackCounts = std::unordered_map<std::uint32_t, std::uint32_t>;

/** How many tasks of size `need` fit into `room`. */
std::uint32_t fitCount(const Resources& need, const Resources& room);

/**
 * The workers of a failure domain, kept so that a best fit is found without looking at all of them.
 *
 * Usable workers lie in planes by free accelerators (workers built without accelerators come first),
 * within a plane in a grid of cells by free cpu and free memory. A bit mask for each cpu row tells
 * which cells hold workers, so a lookup reads at most one word a row.
 */
class WorkerIndex {
public:
    /** Decides whether a worker (by number) that has room may be taken. */
    using WorkerFilter = std::function<bool(std::uint32_t)>;

    /** Adds a worker or replaces it; returns its number, which stays the same. */
    std::uint32_t update(const WorkerView& worker);

    /** A removed worker keeps its number, is not usable and has no capacity. */
    void remove(const ServerId& worker);

    /** Changes what is used on a worker by a task's start or end. */
    void addUsed(std::uint32_t worker, const Resources& amount);
    void removeUsed(std::uint32_t worker, const Resources& amount);

    /** Counts part of the used amount as held by services. */
    void addPinned(std::uint32_t worker, const Resources& amount);
    void removePinned(std::uint32_t worker, const Resources& amount);

    /** Notes that the worker's running tasks last at least until then. */
    void extendDrain(std::uint32_t worker, Instant until);

    std::optional<std::uint32_t> find(const ServerId& worker) const;
    const WorkerView& at(std::uint32_t worker) const { return m_workers[worker].view; }
    std::uint32_t rackOf(std::uint32_t worker) const { return m_workers[worker].rack; }
    std::size_t size() const { return m_workers.size(); }
    std::size_t rackCount() const { return m_racks.size(); }
    const std::vector<std::uint32_t>& workersOfRack(std::uint32_t rack) const
    {
        return m_racks[rack].workers;
    }
    /** Sum of what is free (at least zero each) on the usable workers of a rack. */
    const Resources& rackFree(std::uint32_t rack) const { return m_racks[rack].free; }
    /** Sum of the capacity of all usable workers. */
    const Resources& totalCapacity() const { return m_totalCapacity; }
    /** How many tasks of the size all workers could hold if they were empty, usable now or not. */
    std::uint64_t fitCountWhenEmpty(const Resources& need) const;

    /** The tightest worker that has room and is accepted: fewest free accelerators, then cpu, then memory. */
    std::optional<std::uint32_t> bestFit(const Resources& need, const WorkerFilter& accept) const;

    /** The first worker by number that has room and is accepted; looks at workers one by one. */
    std::optional<std::uint32_t> firstFit(const Resources& need, const WorkerFilter& accept) const;

    /** The first fit from a random worker on. */
    std::optional<std::uint32_t> randomFit(
        const Resources& need, const WorkerFilter& accept, std::mt19937_64& random) const;

private:
    static constexpr std::size_t bucketCount = 64;
    static constexpr std::size_t planeCount = 18; // 0: built without accelerators; 1 + free accelerators

    struct Entry {
        WorkerView view;
        std::uint32_t rack = 0;
        bool isPresent = false; // not removed
        bool isInGrid = false; // has a cell
        std::uint32_t cell = 0; // valid while listed
        std::uint32_t position = 0; // within the cell's vector
    };
    struct CapacityClass {
        Resources capacity;
        std::uint32_t workers = 0;
    };
    struct Rack {
        std::string name;
        std::vector<std::uint32_t> workers;
        Resources free;
    };
    struct Plane {
        std::array<std::uint64_t, bucketCount> rows {}; // bit m of row c: cell (c, m) holds workers
        std::uint64_t rowsInUse = 0; // bit c: row c has a bit set
    };

    std::uint32_t findOrAddRack(const std::string& name);
    void insertIntoGrid(std::uint32_t worker);
    void removeFromGrid(std::uint32_t worker);
    void addToCapacityClass(const Resources& capacity);
    void removeFromCapacityClass(const Resources& capacity);
    bool canPlace(std::uint32_t worker, const Resources& need, const WorkerFilter& accept) const;
    std::optional<std::uint32_t> searchPlane(
        std::size_t plane, const Resources& need, const WorkerFilter& accept) const;
    std::optional<std::uint32_t> searchRow(
        std::size_t plane, std::size_t row, const Resources& need, const WorkerFilter& accept) const;

    std::vector<Entry> m_workers;
    std::unordered_map<ServerId, std::uint32_t> m_workerNumbers;
    std::vector<Rack> m_racks;
    std::unordered_map<std::string, std::uint32_t> m_rackNumbers;
    std::array<Plane, planeCount> m_planes {};
    std::vector<std::vector<std::uint32_t>> m_cells { planeCount * bucketCount * bucketCount };
    Resources m_totalCapacity;
    std::vector<CapacityClass> m_capacityClasses; // the distinct capacities, few
};

} // namespace quay
