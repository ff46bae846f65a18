#pragma once

#include "quay/core/Configuration.h"
#include "quay/core/JobLedger.h"
#include "quay/core/OutlierEjection.h"
#include "quay/core/Placement.h"
#include "quay/core/TeamTokens.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace quay {

/** What a round of placement decided. */
struct PlacementRound {
    PlacementsChosen chosen; // one team token is held for each placement
    std::vector<Explain> explanations; // only those that changed since the last round
};

/**
 * Joins the job ledger, the placement policy, the team tokens and the health of the workers.
 * It follows the ledger by differences, so that a round costs what has changed.
 *
 * Usage: `auto round = placement.run(ledger, configuration, tokens, now); feed(round.chosen);`
 */
class JobPlacement {
public:
    explicit JobPlacement(std::uint64_t seed);

    /** Decides what starts now. The tokens of placements not made are given back before it returns. */
    PlacementRound run(
        const JobLedger& ledger, const Configuration& configuration, TeamTokens& tokens, Instant now);

    /** Workers that get nothing now because their tasks failed too often. */
    std::size_t ejectedCount() const;

private:
    /** Counts of a worker that were already told to the outlier detection. */
    struct OutcomeCounts {
        std::uint64_t failures = 0;
        std::uint64_t successes = 0;
    };
    /** Tokens held while a round is decided. */
    struct AcquiredTokens {
        std::uint32_t wanted = 0;
        std::uint32_t held = 0;
    };
    /** The pending tasks of one job. */
    struct PendingJob {
        PendingWork work;
        std::vector<std::uint32_t> indices;
    };

    void reset(const std::string& packing, std::uint64_t epoch);
    void updatePolicy(const JobLedger& ledger, const Configuration& configuration);
    void updateWorkers(const JobLedger& ledger, Instant now);
    void updateTasks(const JobLedger& ledger, const std::vector<LedgerWorker>& views, Instant now);
    void updateHealth(const std::vector<LedgerWorker>& views, Instant now);
    bool isEjected(const ServerId& worker) const;
    std::vector<PendingJob> pendingJobs(const JobLedger& ledger) const;
    std::map<TeamId, AcquiredTokens> acquire(
        const std::vector<PendingJob>& jobs, TeamTokens& tokens, Instant now);
    AcquiredTokens acquireFor(const TeamId& team, std::uint32_t wanted, TeamTokens& tokens, Instant now);
    std::vector<Explain> explainUnplacedJobs(const std::vector<UnplacedJob>& unplacedJobs);
    std::string explanationText(const UnplacedJob& unplaced) const;

    std::uint64_t m_seed;
    std::string m_packing;
    std::uint64_t m_epoch = 0; // the term of the ledger that is followed
    PlacementState m_state;
    OutlierState m_outliers;
    Instant m_nextHealthCheck {};
    std::map<ServerId, LedgerWorker> m_workerViews; // as last passed to m_state
    std::map<ServerId, bool> m_workerUsable; // as last passed to m_state
    std::set<ServerId> m_changedWorkers; // workers whose view must be passed on again
    std::map<ServerId, OutcomeCounts> m_outcomeCounts;
    std::map<TaskRef, RunningTask> m_running; // tasks that m_state counts
    std::map<TeamId, Instant> m_nextTokenRequestAt; // no more than what is free is asked for before
    std::map<JobId, std::string> m_lastExplanations;
};

/** The packing that a configuration names. */
PlacementPolicy placementPolicy(const std::string& name);

} // namespace quay
