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

/** Result of one placement round. */
struct PlacementRound {
    PlacementsChosen chosen; // each placement holds one team token
    std::vector<Explain> explanations; // only those that differ from the last round
};

/**
 * Assigns pending tasks to workers, subject to the placement policy, the team tokens and the health of the
 * workers. The placement state is updated incrementally from the ledger: only changed workers are passed on
 * to it, so that the cost of the update follows the changes and not the number of workers.
 *
 * Usage: `auto round = placement.run(ledger, configuration, tokens, now); step(ledger, round.chosen, now);`
 */
class JobPlacement {
public:
    explicit JobPlacement(std::uint64_t seed);

    /** Chooses the tasks to start now. Tokens that no placement uses are released before it returns. */
    PlacementRound run(
        const JobLedger& ledger, const Configuration& configuration, TeamTokens& tokens, Instant now);

    /**
     * Number of workers that outlier detection has ejected: they get no tasks because too many tasks failed
     * there.
     */
    std::size_t ejectedCount() const;

private:
    /** Start outcomes of a worker that outlier detection has already recorded. */
    struct OutcomeCounts {
        std::uint64_t failures = 0;
        std::uint64_t successes = 0;
    };
    /** Tokens of one team that are held during a round. */
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
    std::uint64_t m_epoch = 0; // of the ledger that the state below was built from
    PlacementState m_state;
    OutlierState m_outliers;
    Instant m_nextHealthCheck {};
    std::map<ServerId, LedgerWorker> m_workerViews; // as last passed to m_state
    std::map<ServerId, bool> m_workerUsable; // as last passed to m_state
    std::set<ServerId> m_changedWorkers; // workers to pass to m_state again
    std::map<ServerId, OutcomeCounts> m_outcomeCounts;
    std::map<TaskRef, RunningTask> m_running; // tasks counted in m_state
    std::map<TeamId, Instant> m_nextTokenRequestAt; // until then a team requests no more than its free tokens
    std::map<JobId, std::string> m_lastExplanations;
};

/** The placement policy for a configuration value; unknown names give the default. */
PlacementPolicy placementPolicy(const std::string& name);

} // namespace quay
