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

/** The state of a worker as known to the job ledger. */
struct WorkerView {
    ServerId id;
    std::string rack;
    Resources capacity;
    Resources used;
    bool usable = true; // not leaving, not ejected, reachable
    Resources pinned {}; // part of `used` that belongs to services, which don't end by themselves
    Instant drainsAt {}; // expected end of its batch and gang tasks; default: unknown

    bool operator==(const WorkerView&) const = default;

    /** The unused capacity; negative in a dimension whose learned usage exceeds the capacity. */
    Resources free() const { return capacity - used; }
};

/** Number of tasks of one job per rack (rack number in the index). */
using RackCounts = std::unordered_map<std::uint32_t, std::uint32_t>;

/** The number of tasks of size `need` that fit into `room`. */
std::uint32_t fitCount(const Resources& need, const Resources& room);

/**
 * An index of the workers of a failure domain by free capacity; finds a best fit without a full scan.
 *
 * The index is a three-dimensional grid of buckets. A plane groups usable workers by free accelerators;
 * plane 0 is for workers without accelerators in their capacity. Within a plane, rows group by free cpu
 * and columns by free memory. A bit mask per row marks the cells that are not empty, so a lookup reads at
 * most one 64-bit word per row.
 *
 * Usage: `index.update(view); auto worker = index.bestFit(need, [](std::uint32_t) { return true; });`
 */
class WorkerIndex {
public:
    /** Returns whether a worker (by number) with enough free capacity may be chosen. */
    using WorkerFilter = std::function<bool(std::uint32_t)>;

    /** Adds a worker or replaces its view. Returns its number, which never changes. */
    std::uint32_t update(const WorkerView& worker);

    /** Removes a worker: it keeps its number, but is not usable and has no capacity. */
    void remove(const ServerId& worker);

    /** Adjusts a worker's usage when a task starts or ends. */
    void addUsed(std::uint32_t worker, const Resources& amount);
    void removeUsed(std::uint32_t worker, const Resources& amount);

    /** Adjusts the part of a worker's usage that belongs to services. */
    void addPinned(std::uint32_t worker, const Resources& amount);
    void removePinned(std::uint32_t worker, const Resources& amount);

    /** Raises the time at which the worker's running tasks are expected to have ended. */
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
    /** Sum of the free capacity (each clamped to zero) of the usable workers of a rack. */
    const Resources& rackFree(std::uint32_t rack) const { return m_racks[rack].free; }
    /** Sum of the capacity of all usable workers. */
    const Resources& totalCapacity() const { return m_totalCapacity; }
    /** The number of tasks of this size that all present workers, usable or not, could hold if empty. */
    std::uint64_t fitCountWhenEmpty(const Resources& need) const;

    /** Best fit: the worker with enough free capacity that passes the filter and has the fewest free
     * accelerators, then cpu, then memory, compared by bucket. */
    std::optional<std::uint32_t> bestFit(const Resources& need, const WorkerFilter& accept) const;

    /** First fit: the lowest-numbered worker with enough free capacity that passes the filter. Linear scan.
     */
    std::optional<std::uint32_t> firstFit(const Resources& need, const WorkerFilter& accept) const;

    /** First fit with a scan that starts at a random worker and wraps around. */
    std::optional<std::uint32_t> randomFit(
        const Resources& need, const WorkerFilter& accept, std::mt19937_64& random) const;

private:
    static constexpr std::size_t bucketCount = 64; // rows and columns of a plane; one bit of a word each
    // Plane 0: no accelerators in the capacity; else 1 + free accelerators.
    static constexpr std::size_t planeCount = 18;

    struct Entry {
        WorkerView view;
        std::uint32_t rack = 0;
        bool isPresent = false; // not removed
        bool isInGrid = false; // is usable and in a cell
        std::uint32_t cell = 0; // valid while isInGrid
        std::uint32_t position = 0; // index in the cell's vector
    };
    struct CapacityClass {
        Resources capacity;
        std::uint32_t workers = 0; // present workers with this capacity
    };
    struct Rack {
        std::string name;
        std::vector<std::uint32_t> workers;
        Resources free;
    };
    struct Plane {
        std::array<std::uint64_t, bucketCount> rows {}; // bit m of rows[c]: cell (c, m) is not empty
        std::uint64_t rowsInUse = 0; // bit c: rows[c] is not zero
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
    std::vector<CapacityClass> m_capacityClasses; // the distinct capacities; only few
};

} // namespace quay
