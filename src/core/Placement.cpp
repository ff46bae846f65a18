#include "quay/core/Placement.h"

#include "core/GangPlacement.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace quay {

namespace {

using internal::GangRequest;

constexpr std::size_t maxFailedSizes = 16; // bounds the linear search of isKnownToFail()

// Jobs that are placed in order of submission: those of one team, or all jobs under FIFO.
// Unrelated to the configured queues, see QueueConfig.
struct JobQueue {
    ShareUsage* usage = nullptr; // usage of the team; null under FIFO
    std::vector<std::uint32_t> jobs; // indexes in `pending`, oldest first
    std::size_t next = 0;
    std::uint32_t placedTasksOfNext = 0;
};

struct JobQueueRank {
    double score;
    std::size_t queue;
};

// A task size that fit no worker in this call. A task that is at least as large and runs at least as long
// doesn't fit either.
struct FailedSize {
    Resources size;
    std::int64_t runTimeMs;
};

// A job without placements that has waited long enough for a reservation.
struct StarvedJob {
    Instant since;
    std::int64_t submittedAtMs;
    const PendingWork* work;
};

std::uint32_t tasksPerPlacement(const PendingWork& work)
{
    return work.kind == JobKind::Gang ? work.taskCount : 1;
}

std::int64_t runTimeOrUnbounded(const PendingWork& work)
{
    if (work.kind == JobKind::Service || work.declaredRunTimeMs <= 0)
        return std::numeric_limits<std::int64_t>::max();
    return work.declaredRunTimeMs;
}

class PlacementPass {
public:
    PlacementPass(PlacementState& state, const std::vector<PendingWork>& pending,
        const AvailableTokens& availableTokens, Instant now, std::uint32_t maxPlacements)
        : m_state(state)
        , m_index(state.workers())
        , m_policy(state.policy())
        , m_pending(pending)
        , m_availableTokens(availableTokens)
        , m_now(now)
        , m_maxPlacements(maxPlacements)
    {
    }

    PlacementResult run()
    {
        placeReservedJob();
        buildQueues();
        serveQueues();
        updateUnplacedSince();
        reserveForStarvedJob();
        return std::move(m_result);
    }

private:
    // --- job order ---

    void buildQueues()
    {
        std::unordered_map<TeamId, std::size_t> queueOf;
        for (std::uint32_t job = 0; job < m_pending.size(); ++job) {
            if (m_pending[job].taskCount == 0 || job == m_reservedJobNumber)
                continue;
            const bool isFairShare = m_policy.sharing == PlacementPolicy::Sharing::FairShare;
            const auto& key = isFairShare ? m_pending[job].team : TeamId {};
            const auto [it, added] = queueOf.try_emplace(key, m_queues.size());
            if (added)
                m_queues.push_back({ isFairShare ? &m_state.fairShare().teams[key] : nullptr, {}, 0, 0 });
            m_queues[it->second].jobs.push_back(job);
        }
        for (auto& queue : m_queues)
            sortBySubmission(queue.jobs);
    }

    void sortBySubmission(std::vector<std::uint32_t>& jobs) const
    {
        const auto older = [this](std::uint32_t a, std::uint32_t b) {
            return std::tie(m_pending[a].submittedAtMs, a) < std::tie(m_pending[b].submittedAtMs, b);
        };
        if (!std::is_sorted(jobs.begin(), jobs.end(), older))
            std::sort(jobs.begin(), jobs.end(), older);
    }

    double scoreOf(const JobQueue& queue) const
    {
        if (!queue.usage)
            return 0;
        return shareScore(*queue.usage, m_index.totalCapacity(), m_state.fairShare().halfLife, m_now);
    }

    // Placing a task changes only the score of its own queue, so only that queue moves within the heap.
    void serveQueues()
    {
        const auto isServedLater = [](const JobQueueRank& a, const JobQueueRank& b) {
            return std::tie(a.score, a.queue) > std::tie(b.score, b.queue);
        };
        std::vector<JobQueueRank> heap;
        for (std::size_t queue = 0; queue < m_queues.size(); ++queue)
            heap.push_back({ scoreOf(m_queues[queue]), queue });
        std::make_heap(heap.begin(), heap.end(), isServedLater);
        while (!heap.empty() && !hasReachedLimit()) {
            std::pop_heap(heap.begin(), heap.end(), isServedLater);
            auto& queue = m_queues[heap.back().queue];
            if (serveNextJob(queue))
                heap.back().score = scoreOf(queue);
            if (queue.next == queue.jobs.size())
                heap.pop_back();
            else
                std::push_heap(heap.begin(), heap.end(), isServedLater);
        }
        m_allJobsSeen = heap.empty();
    }

    bool hasReachedLimit() const { return m_result.placements.size() >= m_maxPlacements; }

    // Returns true if something was placed. A job that can't be placed is reported and skipped.
    bool serveNextJob(JobQueue& queue)
    {
        const auto& work = m_pending[queue.jobs[queue.next]];
        const auto placed = placeGangOrTask(work, queue.placedTasksOfNext);
        queue.placedTasksOfNext += placed;
        if (placed == 0 || queue.placedTasksOfNext == work.taskCount) {
            ++queue.next;
            queue.placedTasksOfNext = 0;
        }
        return placed > 0;
    }

    // --- placement ---

    std::uint32_t placeGangOrTask(const PendingWork& work, std::uint32_t alreadyPlaced)
    {
        const bool placesWholeGang = work.kind == JobKind::Gang && m_policy.rules.gangsAreAtomic;
        const std::uint32_t count = placesWholeGang ? work.taskCount : 1;
        if (!hasEnoughTokens(work, count))
            return 0;
        const auto workers = placesWholeGang ? findWorkersForGang(work) : findWorkerForTask(work);
        if (workers.empty()) {
            reportNoCapacity(work, alreadyPlaced);
            return 0;
        }
        for (std::uint32_t i = 0; i < workers.size(); ++i)
            startTask(work, alreadyPlaced + i, workers[i]);
        if (m_state.reservation() && m_state.reservation()->job == work.job)
            m_state.reservation().reset();
        m_state.unplacedSince().erase(work.job);
        return count;
    }

    void startTask(const PendingWork& work, std::uint32_t pendingIndex, std::uint32_t worker)
    {
        const auto& server = m_index.at(worker).id;
        m_result.placements.push_back({ work.job, pendingIndex, server });
        m_state.taskStarted(
            { work.job, work.team, work.kind, server, work.perTask, work.declaredRunTimeMs }, m_now);
        --tokensLeft(work.team);
    }

    Resources requestedSize(const PendingWork& work) const
    {
        auto size = work.perTask;
        if (!m_policy.rules.checkMemory)
            size.memoryMb = std::numeric_limits<std::int64_t>::min() / 2;
        return size;
    }

    bool mayUseWorker(const PendingWork& work, std::uint32_t worker) const
    {
        if (!work.avoid.empty()
            && std::find(work.avoid.begin(), work.avoid.end(), m_index.at(worker).id) != work.avoid.end())
            return false;
        const auto& reservation = m_state.reservation();
        if (!reservation || reservation->job == work.job || !reservation->workers.contains(worker))
            return true;
        return endsBefore(work, reservation->neededAt);
    }

    // Back-fill on a reserved worker: only a task whose expected end is known and before `limit`.
    bool endsBefore(const PendingWork& work, Instant limit) const
    {
        if (work.kind == JobKind::Service || work.declaredRunTimeMs <= 0)
            return false;
        return m_now + std::chrono::milliseconds(work.declaredRunTimeMs) <= limit;
    }

    std::optional<std::uint32_t> findWorker(const PendingWork& work, const WorkerIndex::WorkerFilter& accept)
    {
        switch (m_policy.packing) {
        case PlacementPolicy::Packing::FirstFit:
            return m_index.firstFit(requestedSize(work), accept);
        case PlacementPolicy::Packing::Random:
            return m_index.randomFit(requestedSize(work), accept, m_state.random());
        case PlacementPolicy::Packing::BestFit:
            break;
        }
        return m_index.bestFit(requestedSize(work), accept);
    }

    std::vector<std::uint32_t> findWorkerForTask(const PendingWork& work)
    {
        if (isKnownToFail(work))
            return {};
        auto worker = findOnLeastUsedRack(work);
        if (!worker)
            worker = findWorker(work, [&](std::uint32_t it) { return mayUseWorker(work, it); });
        if (worker)
            return { *worker };
        if (work.avoid.empty() && m_failedSizes.size() < maxFailedSizes)
            m_failedSizes.push_back({ work.perTask, runTimeOrUnbounded(work) });
        return {};
    }

    bool isKnownToFail(const PendingWork& work) const
    {
        // The job that has the reservation may use workers that were refused to other jobs.
        if (m_state.reservation() && m_state.reservation()->job == work.job)
            return false;
        return std::any_of(m_failedSizes.begin(), m_failedSizes.end(), [&](const FailedSize& failed) {
            return failed.size.fitsIn(work.perTask) && failed.runTimeMs <= runTimeOrUnbounded(work);
        });
    }

    // Spreads a service over racks: prefers the racks that hold the fewest tasks of this service.
    std::optional<std::uint32_t> findOnLeastUsedRack(const PendingWork& work)
    {
        const auto* racks = work.kind == JobKind::Service ? m_state.racksOfService(work.job) : nullptr;
        if (!racks || m_policy.packing != PlacementPolicy::Packing::BestFit)
            return std::nullopt;
        const auto [fewest, most] = std::minmax_element(racks->begin(), racks->end(),
            [](const auto& one, const auto& other) { return one.second < other.second; });
        const bool isOnAllRacks = racks->size() == m_index.rackCount();
        for (auto maxTasksOnRack = isOnAllRacks ? fewest->second : 0; maxTasksOnRack <= most->second;
             ++maxTasksOnRack) {
            const auto worker = m_index.bestFit(requestedSize(work), [&](std::uint32_t it) {
                const auto rack = racks->find(m_index.rackOf(it));
                return (rack == racks->end() || rack->second <= maxTasksOnRack) && mayUseWorker(work, it);
            });
            if (worker)
                return worker;
        }
        return std::nullopt;
    }

    std::vector<std::uint32_t> findWorkersForGang(const PendingWork& work)
    {
        const GangRequest need { requestedSize(work), work.taskCount, false };
        const WorkerIndex::WorkerFilter accept
            = [&](std::uint32_t worker) { return mayUseWorker(work, worker); };
        if (m_policy.packing == PlacementPolicy::Packing::BestFit)
            return internal::findGangWorkersNow(m_index, need, accept)
                .value_or(std::vector<std::uint32_t> {});
        return findGangTaskByTask(work, accept);
    }

    // Charges each task to the index, so that the next one sees the remaining capacity, then undoes them all.
    std::vector<std::uint32_t> findGangTaskByTask(
        const PendingWork& work, const WorkerIndex::WorkerFilter& accept)
    {
        std::vector<std::uint32_t> chosen;
        while (chosen.size() < work.taskCount) {
            const auto worker = findWorker(work, accept);
            if (!worker)
                break;
            m_index.addUsed(*worker, work.perTask);
            chosen.push_back(*worker);
        }
        for (const auto worker : chosen)
            m_index.removeUsed(worker, work.perTask);
        if (chosen.size() < work.taskCount)
            chosen.clear();
        return chosen;
    }

    // --- tokens ---

    std::uint32_t& tokensLeft(const TeamId& team)
    {
        const auto it = m_tokensLeft.find(team);
        if (it != m_tokensLeft.end())
            return it->second;
        const bool isQuotaEnforced = m_policy.rules.enforceQuota;
        const auto tokens
            = isQuotaEnforced ? m_availableTokens(team) : std::numeric_limits<std::uint32_t>::max();
        return m_tokensLeft.emplace(team, tokens).first->second;
    }

    // Tokens that are reserved for a starved job are not available to the team's other jobs.
    bool hasEnoughTokens(const PendingWork& work, std::uint32_t count)
    {
        const auto left = tokensLeft(work.team);
        const auto reserved = m_reservedTokens.find(work.team);
        const auto reservedCount = reserved == m_reservedTokens.end() || reserved->second.work == &work
            ? 0
            : reserved->second.count;
        if (left >= reservedCount && left - reservedCount >= count)
            return true;
        const auto why
            = reservedCount > 0 ? "quota is reserved for an older job of the team: " : "unused quota: ";
        reportUnplaced(work, ErrorKind::QuotaExhausted,
            why + std::to_string(left) + " tasks, needed " + std::to_string(count + reservedCount));
        recordUnplaced(work);
        reserveTokens(work, count);
        return false;
    }

    // Without a reservation, smaller jobs of the team would take every token that is released, and a gang
    // would starve. Tokens are reserved only if those that the team's running tasks release can be enough;
    // its services release none.
    void reserveTokens(const PendingWork& work, std::uint32_t count)
    {
        if (!m_policy.rules.reserveCapacity || !isReservationDue(work)
            || m_reservedTokens.contains(work.team))
            return;
        const auto running = m_state.usageOf(work.team).runningTasks;
        const auto releasable = running - std::min(running, m_state.serviceTasksOf(work.team));
        if (std::uint64_t { tokensLeft(work.team) } + releasable >= count)
            m_reservedTokens.emplace(work.team, ReservedTokens { &work, count });
    }

    // --- unplaced jobs ---

    void reportUnplaced(const PendingWork& work, ErrorKind why, std::string detail)
    {
        m_result.unplacedJobs.push_back({ work.job, why, std::move(detail) });
    }

    void reportNoCapacity(const PendingWork& work, std::uint32_t alreadyPlaced)
    {
        if (m_state.isWorkerListComplete()
            && m_index.fitCountWhenEmpty(work.perTask) < tasksPerPlacement(work)) {
            reportUnplaced(work, ErrorKind::NeverRunnable,
                work.kind == JobKind::Gang ? "even the empty fleet can't hold all tasks at once"
                                           : "the task is larger than every worker");
            return;
        }
        const auto& reservation = m_state.reservation();
        const bool hasReservation = reservation && reservation->job == work.job;
        reportUnplaced(work, ErrorKind::NoCapacity,
            hasReservation ? "its reserved workers are still draining"
                           : "no allowed worker has enough free capacity");
        if (alreadyPlaced > 0)
            return;
        recordUnplaced(work);
        if (!isReservationDue(work))
            return;
        // Tokens would be of no use to a job that services leave no workers.
        if (!m_reservedTokens.contains(work.team) && findDrainedWorkers(work))
            reserveTokens(work, tasksPerPlacement(work));
        m_starvedJobs.push_back({ m_stillUnplacedSince[work.job], work.submittedAtMs, &work });
    }

    void recordUnplaced(const PendingWork& work)
    {
        const auto it = m_state.unplacedSince().try_emplace(work.job, m_now).first;
        m_stillUnplacedSince.emplace(work.job, it->second);
    }

    bool isReservationDue(const PendingWork& work) const
    {
        const auto it = m_state.unplacedSince().find(work.job);
        return it != m_state.unplacedSince().end() && m_now - it->second >= m_policy.reservationDelay;
    }

    void updateUnplacedSince()
    {
        // A call that stopped at maxPlacements has not seen all jobs, so it must not discard any entry.
        if (m_allJobsSeen)
            m_state.unplacedSince() = std::move(m_stillUnplacedSince);
    }

    // --- capacity reservation ---

    // The job with the reservation is placed first, so that no other job takes its workers in the same call.
    void placeReservedJob()
    {
        auto& reservation = m_state.reservation();
        if (!reservation || hasReachedLimit())
            return;
        const auto it = std::find_if(m_pending.begin(), m_pending.end(),
            [&](const PendingWork& work) { return work.job == reservation->job && work.taskCount > 0; });
        if (it == m_pending.end() || !isReservationValid(*reservation)
            || tokensLeft(it->team) < tasksPerPlacement(*it)) {
            reservation.reset();
            return;
        }
        placeGangOrTask(*it, 0);
        m_reservedJobNumber = static_cast<std::uint32_t>(it - m_pending.begin());
    }

    bool isReservationValid(const CapacityReservation& reservation) const
    {
        return m_now < reservation.expiresAt
            && std::all_of(reservation.workers.begin(), reservation.workers.end(),
                [&](std::uint32_t worker) { return m_index.at(worker).usable; });
    }

    // Only one reservation exists at a time, for the job that waited longest, so reservations can't deadlock.
    void reserveForStarvedJob()
    {
        if (!m_policy.rules.reserveCapacity || m_state.reservation())
            return;
        std::sort(m_starvedJobs.begin(), m_starvedJobs.end(), [](const StarvedJob& a, const StarvedJob& b) {
            return std::tie(a.since, a.submittedAtMs, a.work->job.text)
                < std::tie(b.since, b.submittedAtMs, b.work->job.text);
        });
        for (const auto& starved : m_starvedJobs) {
            if (reserve(*starved.work))
                return;
        }
    }

    // Workers that could hold the work once all tasks have ended that end by themselves.
    std::optional<std::vector<std::uint32_t>> findDrainedWorkers(const PendingWork& work)
    {
        const GangRequest need { work.perTask, tasksPerPlacement(work), true };
        const internal::UsableCapacity drained
            = [&](std::uint32_t worker) { return m_index.at(worker).capacity - m_index.at(worker).pinned; };
        const WorkerIndex::WorkerFilter accept
            = [&](std::uint32_t worker) { return mayUseWorker(work, worker); };
        return internal::findGangWorkers(m_index, need, drained, accept);
    }

    bool reserve(const PendingWork& work)
    {
        const auto workers = findDrainedWorkers(work);
        if (!workers)
            return false;
        CapacityReservation reservation { work.job, { workers->begin(), workers->end() }, m_now, {} };
        for (const auto worker : reservation.workers)
            reservation.neededAt = std::max(reservation.neededAt, m_index.at(worker).drainsAt);
        reservation.neededAt = std::min(reservation.neededAt, m_now + m_policy.backfillHorizon);
        reservation.expiresAt = reservation.neededAt + m_policy.backfillHorizon;
        m_state.reservation() = std::move(reservation);
        return true;
    }

    struct ReservedTokens {
        const PendingWork* work;
        std::uint32_t count;
    };

    PlacementState& m_state;
    WorkerIndex& m_index;
    const PlacementPolicy& m_policy;
    const std::vector<PendingWork>& m_pending;
    const AvailableTokens& m_availableTokens;
    Instant m_now;
    std::uint32_t m_maxPlacements;
    PlacementResult m_result;
    std::vector<JobQueue> m_queues;
    std::unordered_map<TeamId, std::uint32_t> m_tokensLeft;
    std::unordered_map<TeamId, ReservedTokens> m_reservedTokens;
    std::vector<FailedSize> m_failedSizes;
    std::vector<StarvedJob> m_starvedJobs;
    std::unordered_map<JobId, Instant> m_stillUnplacedSince;
    std::uint32_t m_reservedJobNumber = std::numeric_limits<std::uint32_t>::max();
    bool m_allJobsSeen = false;
};

} // namespace

PlacementResult place(PlacementState& state, const std::vector<PendingWork>& pending,
    const AvailableTokens& availableTokens, Instant now, std::uint32_t maxPlacements)
{
    return PlacementPass(state, pending, availableTokens, now, maxPlacements).run();
}

} // namespace quay
