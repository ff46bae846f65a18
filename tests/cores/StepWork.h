#pragma once

#include "FleetSimulation.h"

namespace quay::fleet::test {

constexpr auto longestWait = 3s; // the bound of the platform for a step that there is room for

/** Tasks of one step. */
struct StepWork {
    int tasks = 1;
    Resources each;
    bool isLongRunning = false;
    bool isGang = false;
    const char* label = nullptr; // that an executor must have; null: none
};

/** Returns a job of one step for the queue. */
inline JobRequest jobOf(const std::string& id, const char* queue, const StepWork& work)
{
    auto request = jobOf(id, work.tasks, work.each);
    request.queue = queue;
    request.steps[0].isLongRunning = work.isLongRunning;
    request.steps[0].isGang = work.isGang;
    if (work.label)
        request.steps[0].requiredLabel = work.label;
    return request;
}

/** Returns a queue of the service "service". */
inline QueuePolicy queueOf(const char* name, int priority, std::optional<ApprovalPolicy> approval = {})
{
    return { name, "host", "/", "service", priority, 3, 1.5, 300, false, approval };
}

} // namespace quay::fleet::test
