#pragma once

#include "quay/core/WorkerIndex.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace quay::internal {

// What may be used of a worker: its free room now, or its room once it has drained.
using RoomOf = std::function<Resources(std::uint32_t)>;

// What a gang asks for.
struct GangRequest {
    Resources perTask;
    std::uint32_t taskCount = 0;
    bool preferIdle = false; // among equals, what has most free now (it drains first); else the least free
};

// A worker for each task, on as few racks as the greedy choice finds; nullopt if they don't all fit.
// Only usable and accepted workers count. Neither the index nor anything else changes.
std::optional<std::vector<std::uint32_t>> findGangWorkers(const WorkerIndex& index, const GangRequest& need,
    const RoomOf& roomOf, const WorkerIndex::WorkerFilter& accept);

// The same on what is free now; workers with accelerators are a last resort for work without.
std::optional<std::vector<std::uint32_t>> findGangWorkersNow(
    const WorkerIndex& index, const GangRequest& need, const WorkerIndex::WorkerFilter& accept);

} // namespace quay::internal
