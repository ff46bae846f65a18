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

/** The tasks of one job that wait for a worker. */
struct PendingWork {
    JobId job;
    TeamId team;
    JobKind kind = JobKind::Batch;
    Resources perTask;
    std::uint32_t taskCount = 0; // pending tasks; for a gang all of them
    std::int64_t submittedAtMs = 0; // only orders jobs against each other
    std::int64_t declaredRunTimeMs = 0; // declared or learned; 0: not known
    std::vector<ServerId> avoid; // workers where it failed

    bool operator==(const PendingWork&) const = default;
};

/** One task goes to one worker. All placements of a gang are in one answer, or none is. */
struct Placement {
    JobId job;
    std::uint32_t pendingIndex = 0; // counts the job's pending tasks from 0
    ServerId worker;

    bool operator==(const Placement&) const = default;
};

/** Why a job was not (wholly) placed this time. */
struct UnplacedJob {
    JobId job;
    ErrorKind why = ErrorKind::None; // QuotaExhausted, NoCapacity or NeverRunnable
    std::string detail;

    bool operator==(const UnplacedJob&) const = default;
};

/** The answer of place(). */
struct PlacementResult {
    std::vector<Placement> placements;
    std::vector<UnplacedJob> unplacedJobs; // none for work that maxPlacements cut off

    bool operator==(const PlacementResult&) const = default;
};

/** How work is ordered and packed. */
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
    // Rules that tests switch off to prove that the checkers notice.
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
    Duration reservationDelay = std::chrono::seconds(60); // then held work reserves draining workers
    Duration backfillHorizon = std::chrono::minutes(30); // back-fill never delays reserved work by more
    Rules rules;

    bool operator==(const PlacementPolicy&) const = default;
};

/** A task that holds room on a worker. */
struct RunningTask {
    JobId job;
    TeamId team;
    JobKind kind = JobKind::Batch;
    ServerId worker;
    Resources amount; // what is counted for it, see countedUsage()
    std::int64_t declaredRunTimeMs = 0; // what remains of it; 0: not known

    bool operator==(const RunningTask&) const = default;
};

/** Draining workers set aside for work that waited too long: a gang, or a task too large for any gap. */
struct CapacityReservation {
    JobId job;
    std::unordered_set<std::uint32_t> workers; // numbers in the WorkerIndex
    Instant neededAt {}; // back-fill on these workers must have ended by then
    Instant expiresAt {}; // if they haven't drained by then, others are chosen

    bool operator==(const CapacityReservation&) const = default;
};

/**
 * Everything that placement remembers between calls.
 *
 * place() counts its placements as used (worker and team) at once. Whoever carries them out reports
 * the end, or that a placement was not carried out, with taskEnded().
 *
 * Usage:
 *     PlacementState state(policy, seed);
 *     state.setWorkers(views, true);
 *     auto result = place(state, pending, tokensOf, now, 100);
 */
class PlacementState {
public:
    explicit PlacementState(PlacementPolicy policy = {}, std::uint64_t seed = 1);

    /**
     * Replaces the list of workers. `isWorkerListComplete` says that this is the whole list of the failure
     * domain; only then may a job be called never runnable.
     */
    void setWorkers(const std::vector<WorkerView>& workers, bool isWorkerListComplete);

    /**
     * Adds a worker or replaces what is known of it. Only `pinned` and `drainsAt` of a known worker,
     * which placements and ends keep current, can't be lowered this way.
     */
    void updateWorker(const WorkerView& worker);

    /** Forgets a worker that left. */
    void removeWorker(const ServerId& worker);

    /** Sets a team's weight (its share); teams start with 1. */
    void setWeight(const TeamId& team, double weight);

    /** Counts a task on its worker and its team; for tasks that place() did not start here (after a
     * takeover). */
    void taskStarted(const RunningTask& task, Instant now);

    /** Takes an ended (or never started) task off its worker and its team. */
    void taskEnded(const RunningTask& task, Instant now);

    /** Counts a running task for its team only, if the worker's view has it in `used` already. */
    void charge(const TeamId& team, const Resources& amount, Instant now);

    /** Takes an ended task off its team only, if the worker's view has been updated without it. */
    void release(const TeamId& team, const Resources& amount, Instant now);

    /** What a team holds and held; a team that is not known holds nothing. */
    ShareUsage usageOf(const TeamId& team) const;

    const PlacementPolicy& policy() const { return m_policy; }
    const WorkerIndex& workers() const { return m_index; }
    WorkerIndex& workers() { return m_index; }
    FairShare& fairShare() { return m_fairShare; }
    bool isWorkerListComplete() const { return m_isWorkerListComplete; }
    std::mt19937_64& random() { return m_random; }
    std::optional<CapacityReservation>& reservation() { return m_reservation; }
    std::unordered_map<JobId, Instant>& unplacedSince() { return m_unplacedSince; }
    const RackCounts* racksOfService(const JobId& job) const;

private:
    PlacementPolicy m_policy;
    WorkerIndex m_index;
    FairShare m_fairShare;
    bool m_isWorkerListComplete = false;
    std::mt19937_64 m_random;
    std::optional<CapacityReservation> m_reservation;
    std::unordered_map<JobId, Instant> m_unplacedSince; // work that found no room or tokens at all
    std::unordered_map<JobId, RackCounts> m_serviceRacks; // for spreading
};

/** How many tasks a team may still start: its unused quota grant. */
using AvailableTokens = std::function<std::uint32_t(const TeamId&)>;

/**
 * Decides which pending tasks start now, and where.
 *
 * @param state what is remembered between calls; changed by the placements made
 * @param pending all pending work, each job once
 * @param availableTokens asked once for each team; never more placements for the team than this
 * @param now of the monotonic clock, not falling between calls
 * @param maxPlacements the call stops when it has made this many; a gang is still placed whole
 */
PlacementResult place(PlacementState& state, const std::vector<PendingWork>& pending,
    const AvailableTokens& availableTokens, Instant now, std::uint32_t maxPlacements);

/**
 * What to count for a task: the declared size is the floor, what was counted before is kept,
 * and a lagging report may only raise it.
 */
Resources countedUsage(const Resources& declared, const Resources& countedBefore, const Resources& reported);

} // namespace quay
