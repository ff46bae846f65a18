#pragma once

#include "quay/core/WorkerIndex.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace quay::internal {

// The usable capacity of a worker: either what is free now or what is free once it has drained.
using UsableCapacity = std::function<Resources(std::uint32_t)>;

// The resource request of a gang.
struct GangRequest {
    Resources perTask;
    std::uint32_t taskCount = 0;
    bool preferIdle = false; // ties: most free cpu first (it drains sooner); else least free cpu
};

// Greedily chooses a worker for each task on as few racks as it finds; nullopt if the tasks don't all fit.
// Considers only usable workers that pass the filter. Does not modify the index.
std::optional<std::vector<std::uint32_t>> findGangWorkers(const WorkerIndex& index, const GangRequest& need,
    const UsableCapacity& usableCapacity, const WorkerIndex::WorkerFilter& accept);

// Like findGangWorkers() with the capacity that is free now. A gang that needs no accelerators uses workers
// with accelerators only if the other workers don't suffice.
std::optional<std::vector<std::uint32_t>> findGangWorkersNow(
    const WorkerIndex& index, const GangRequest& need, const WorkerIndex::WorkerFilter& accept);

} // namespace quay::internal
