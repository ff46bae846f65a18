#pragma once

#include "quay/core/Ids.h"
#include "quay/core/Job.h"
#include "quay/core/Resources.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace quay {

/** What can be done to a running task to get room back, mildest first. */
enum class PreemptionStep {
    Throttle, // frees part of its cpu; no work is lost
    Checkpoint, // frees all it holds; it goes on later from the checkpoint
    Stop, // frees all it holds; what it did since its last checkpoint is lost
};

/** A running task as seen when victims are chosen. */
struct RunningTaskView {
    TaskId task;
    ServerId worker;
    JobKind kind = JobKind::Batch;
    Resources size;
    std::int64_t throttledCpuMilli = 0; // what it would keep if throttled; >= its cpu: can't be throttled
    bool canCheckpoint = false;
    bool idempotent = false; // only such tasks may be stopped
    std::int64_t workSinceCheckpointMs = 0; // run time since its start or last checkpoint

    bool operator==(const RunningTaskView&) const = default;
};

/** One thing to do. */
struct PreemptionAction {
    TaskId task;
    ServerId worker;
    PreemptionStep step = PreemptionStep::Throttle;
    Resources freed;
    std::int64_t lostWorkMs = 0;

    bool operator==(const PreemptionAction&) const = default;
};

/** What to do on one worker. */
struct PreemptionPlan {
    std::vector<PreemptionAction> actions;

    bool operator==(const PreemptionPlan&) const = default;

    /** The harshest step in the plan; Throttle if it is empty. */
    PreemptionStep mostDisruptiveStep() const;

    std::int64_t lostWorkMs() const;
};

/**
 * Chooses what to take back so that `need` fits on one worker.
 *
 * Services are never checkpointed or stopped, tasks of gangs are never touched (one slow or lost member
 * stalls them all), tasks that aren't idempotent are never stopped. Of several workers, the one with the
 * mildest harshest step is taken, then the least work lost, then the fewest actions.
 *
 * @param need what urgent work asks for
 * @param freeOf what is free now on each worker that may be used, in parallel to `workers`
 * @return nullopt if no worker can be freed enough; an empty plan if `need` fits already
 */
std::optional<PreemptionPlan> choosePreemption(const Resources& need, const std::vector<ServerId>& workers,
    const std::vector<Resources>& freeOf, const std::vector<RunningTaskView>& running);

} // namespace quay
