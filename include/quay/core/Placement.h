#pragma once

#include "quay/core/FairShare.h"
#include "quay/core/Job.h"
#include "quay/core/Reason.h"
#include "quay/core/Time.h"
#include "quay/core/WorkerIndex.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace quay {

/** The pending tasks of one job. */
struct PendingWork {
    JobId job;
    TeamId team;
    JobKind kind = JobKind::Batch;
    Resources perTask;
    std::uint32_t taskCount = 0; // pending tasks; for a gang all its tasks
    std::int64_t submittedAtMs = 0; // used only to order jobs
    std::int64_t declaredRunTimeMs = 0; // declared or learned; 0: unknown
    std::vector<ServerId> avoid; // workers on which the job failed

    bool operator==(const PendingWork&) const = default;
};

/** Assigns one task to one worker. One result has the placements of all tasks of a gang or of none. */
struct Placement {
    JobId job;
    std::uint32_t pendingIndex = 0; // index among the job's pending tasks, from 0
    ServerId worker;

    bool operator==(const Placement&) const = default;
};

/** A job with tasks that this call did not place, and the reason. */
struct UnplacedJob {
    JobId job;
    ErrorKind why = ErrorKind::None; // QuotaExhausted, NoCapacity or NeverRunnable
    std::string detail;

    bool operator==(const UnplacedJob&) const = default;
};

/** The result of place(). */
struct PlacementResult {
    std::vector<Placement> placements;
    std::vector<UnplacedJob> unplacedJobs; // without jobs that were not reached because of maxPlacements

    bool operator==(const PlacementResult&) const = default;
};

/** How jobs are ordered and assigned to workers. */
struct PlacementPolicy {
    enum class Packing {
        BestFit,
        FirstFit,
        Random,
    };
    enum class Sharing {
        FairShare,
        Fifo,
    };
    // Safety rules. Production uses the defaults; tests disable one to prove that the violation is detected.
    struct Rules {
        bool checkMemory = true;
        bool gangsAreAtomic = true;
        bool enforceQuota = true;
        bool reserveCapacity = true;

        bool operator==(const Rules&) const = default;
    };

    Packing packing = Packing::BestFit;
    Sharing sharing = Sharing::FairShare;
    Duration usageHalfLife = std::chrono::minutes(10);
    Duration reservationDelay = std::chrono::seconds(60); // then an unplaced job may reserve draining workers
    Duration backfillHorizon = std::chrono::minutes(30); // longest delay of a reserved job by back-fill
    Rules rules;

    bool operator==(const PlacementPolicy&) const = default;
};

/** A task that occupies resources of a worker. */
struct RunningTask {
    JobId job;
    TeamId team;
    JobKind kind = JobKind::Batch;
    ServerId worker;
    Resources amount; // resources charged for it, see countedUsage()
    std::int64_t declaredRunTimeMs = 0; // remaining run time; 0: unknown

    bool operator==(const RunningTask&) const = default;
};

/** Draining workers reserved for a starved job: a gang, or a task that fits no worker's free resources. */
struct CapacityReservation {
    JobId job;
    std::unordered_set<std::uint32_t> workers; // numbers in the WorkerIndex
    Instant neededAt {}; // back-fill on these workers must end by then
    Instant expiresAt {}; // if they haven't drained by then, the reservation is dropped

    bool operator==(const CapacityReservation&) const = default;
};

/**
 * The state that placement keeps between calls.
 *
 * place() immediately charges its placements to the worker and the team. The caller reports the end of a
 * task, or that a placement was not carried out, with taskEnded().
 *
 * Usage:
 *     PlacementState state(policy, seed);
 *     state.setWorkers(views, true);
 *     auto result = place(state, pending, availableTokens, now, 100);
 */
class PlacementState {
public:
    explicit PlacementState(PlacementPolicy policy = {}, std::uint64_t seed = 1);

    /**
     * Replaces the list of workers. `isWorkerListComplete` means that `workers` are all workers of
     * the failure domain; only then may a job be reported as NeverRunnable.
     */
    void setWorkers(const std::vector<WorkerView>& workers, bool isWorkerListComplete);

    /**
     * Adds a worker or replaces its view. `pinned` and `drainsAt` of a known worker can't be lowered this
     * way, because taskStarted() and taskEnded() maintain them.
     */
    void updateWorker(const WorkerView& worker);

    /** Removes a worker that left the fleet. */
    void removeWorker(const ServerId& worker);

    /** Sets a team's fair-share weight; the default is 1. */
    void setWeight(const TeamId& team, double weight);

    /** Charges a task to its worker and its team. Only needed for tasks that this state's place() did not
     * start, for example after a failover. */
    void taskStarted(const RunningTask& task, Instant now);

    /** Releases the resources of an ended or never started task on its worker and for its team. */
    void taskEnded(const RunningTask& task, Instant now);

    /** Charges a running task to its team only; for a worker whose view already includes it in `used`. */
    void charge(const TeamId& team, const Resources& amount, Instant now);

    /** Releases an ended task for its team only; for a worker whose view no longer includes it. */
    void release(const TeamId& team, const Resources& amount, Instant now);

    /** The current and past usage of a team; zero for an unknown team. */
    ShareUsage usageOf(const TeamId& team) const;

    const PlacementPolicy& policy() const { return m_policy; }
    const WorkerIndex& workers() const { return m_index; }
    WorkerIndex& workers() { return m_index; }
    FairShare& fairShare() { return m_fairShare; }
    bool isWorkerListComplete() const { return m_isWorkerListComplete; }
    std::mt19937_64& random() { return m_random; }
    std::optional<CapacityReservation>& reservation() { return m_reservation; }
    std::unordered_map<JobId, Instant>& unplacedSince() { return m_unplacedSince; }
    /** How many of a team's running tasks belong to services, which don't end by themselves. */
    std::uint32_t serviceTasksOf(const TeamId& team) const;
    /** The racks that hold tasks of a service; null if there are none. */
    const RackCounts* racksOfService(const JobId& job) const;

private:
    PlacementPolicy m_policy;
    WorkerIndex m_index;
    FairShare m_fairShare;
    bool m_isWorkerListComplete = false;
    std::mt19937_64 m_random;
    std::optional<CapacityReservation> m_reservation;
    // Jobs for which placement found no capacity or too few tokens.
    std::unordered_map<JobId, Instant> m_unplacedSince;
    std::unordered_map<TeamId, std::uint32_t> m_serviceTasks;
    std::unordered_map<JobId, RackCounts> m_serviceRacks; // spreads services over racks
};

/** The number of tasks that a team may still start: its unused quota grant. */
using AvailableTokens = std::function<std::uint32_t(const TeamId&)>;

/**
 * Decides which pending tasks start now, and on which workers.
 *
 * @param state state kept between calls; updated with the placements
 * @param pending all pending jobs, each once
 * @param availableTokens called at most once per team; limits the placements for the team
 * @param now monotonic time, never lower than in an earlier call
 * @param maxPlacements the call stops at this number of placements; a gang is still placed as a whole
 */
PlacementResult place(PlacementState& state, const std::vector<PendingWork>& pending,
    const AvailableTokens& availableTokens, Instant now, std::uint32_t maxPlacements);

/**
 * The resources to charge for a task: the maximum of the declared size, the amount charged so far and the
 * reported usage. Reports lag, so they never lower the charge.
 */
Resources countedUsage(const Resources& declared, const Resources& countedBefore, const Resources& reported);

} // namespace quay
