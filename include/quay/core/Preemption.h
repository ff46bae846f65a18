#pragma once

#include "quay/core/Ids.h"
#include "quay/core/Job.h"
#include "quay/core/Resources.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace quay {

/** Ways to reclaim resources of a running task, in ascending order of disruption. */
enum class PreemptionStep {
    Throttle, // frees part of its cpu; no work is lost
    Checkpoint, // frees all its resources; it resumes later from the checkpoint
    Stop, // frees all its resources; the work since its last checkpoint is lost
};

/** A running task as a candidate for preemption. */
struct PreemptionCandidate {
    TaskId task;
    ServerId worker;
    JobKind kind = JobKind::Batch;
    Resources size;
    std::int64_t throttledCpuMilli = 0; // cpu left when throttled; >= size.cpuMilli: can't be throttled
    bool canCheckpoint = false;
    bool idempotent = false; // only idempotent tasks may be stopped
    std::int64_t workSinceCheckpointMs = 0; // run time since its start or last checkpoint

    bool operator==(const PreemptionCandidate&) const = default;
};

/** One preemption of one task. */
struct PreemptionAction {
    TaskId task;
    ServerId worker;
    PreemptionStep step = PreemptionStep::Throttle;
    Resources freed;
    std::int64_t lostWorkMs = 0;

    bool operator==(const PreemptionAction&) const = default;
};

/** The preemptions on one worker. */
struct PreemptionPlan {
    std::vector<PreemptionAction> actions;

    bool operator==(const PreemptionPlan&) const = default;

    /** The most disruptive step in the plan; Throttle if it is empty. */
    PreemptionStep mostDisruptiveStep() const;

    /** The run time that the plan loses in total. */
    std::int64_t lostWorkMs() const;
};

/**
 * Chooses the tasks to preempt so that `need` fits on one worker.
 *
 * Services are never checkpointed or stopped. Gang tasks are never preempted, because one slow or lost
 * member stalls the whole gang. Tasks that aren't idempotent are never stopped. Among several workers the
 * plan with the least disruptive maximum step is chosen, then the least lost work, then the fewest actions.
 *
 * @param need resources that the urgent work requests
 * @param workers the workers that may be used
 * @param freeOf free resources of each worker, parallel to `workers`
 * @param running the running tasks on these workers
 * @return nullopt if no worker can free enough; an empty plan if `need` already fits
 */
std::optional<PreemptionPlan> choosePreemption(const Resources& need, const std::vector<ServerId>& workers,
    const std::vector<Resources>& freeOf, const std::vector<PreemptionCandidate>& running);

} // namespace quay
