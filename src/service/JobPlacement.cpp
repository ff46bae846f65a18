#include "service/JobPlacement.h"

#include <algorithm>
#include <set>

namespace quay {

namespace {

constexpr std::uint32_t maxPlacementsPerRound = 200;
constexpr std::size_t maxPendingTasksPerRound = 20'000; // pending tasks considered
constexpr auto healthCheckPeriod = std::chrono::seconds(1);
constexpr auto tokenRequestPeriod = std::chrono::milliseconds(250);

RunningTask runningTask(const JobSpec& spec, const JobId& job, const ServerId& worker)
{
    return { job, spec.team, spec.kind, worker, spec.perTask, spec.declaredRunTimeMs };
}

WorkerView toWorkerView(const LedgerWorker& worker, bool usable)
{
    WorkerView view;
    view.id = worker.id;
    view.rack = worker.rack;
    view.capacity = worker.capacity;
    view.used = worker.capacity - worker.free;
    view.usable = usable;
    return view;
}

PendingWork toPendingWork(const JobLedger& ledger, const PendingTask& task)
{
    PendingWork work;
    work.job = task.job;
    work.team = task.team;
    work.kind = task.kind;
    work.perTask = task.size;
    work.submittedAtMs = task.submittedAtMs;
    work.declaredRunTimeMs = task.declaredRunTimeMs;
    const JobEntry& entry = ledger.jobs.at(task.job);
    std::set<ServerId> avoid;
    for (std::size_t i = 0; i < entry.tasks.size(); ++i) {
        if (entry.tasks[i].failures + entry.tasks[i].refusals)
            avoid.insert(entry.record.tasks[i].worker);
    }
    work.avoid.assign(avoid.begin(), avoid.end());
    return work;
}

} // namespace

PlacementPolicy placementPolicy(const std::string& name)
{
    PlacementPolicy policy;
    if (name == "first_fit")
        policy.packing = PlacementPolicy::Packing::FirstFit;
    else if (name == "random")
        policy.packing = PlacementPolicy::Packing::Random;
    return policy;
}

JobPlacement::JobPlacement(std::uint64_t seed)
    : m_seed(seed)
    , m_state(PlacementPolicy {}, seed)
{
}

void JobPlacement::reset(const std::string& packing, std::uint64_t epoch)
{
    *this = JobPlacement(m_seed + 1);
    m_state = PlacementState(placementPolicy(packing), m_seed);
    m_packing = packing;
    m_epoch = epoch;
}

std::size_t JobPlacement::ejectedCount() const
{
    return static_cast<std::size_t>(std::count_if(m_outliers.servers.begin(), m_outliers.servers.end(),
        [](const auto& item) { return item.second.state == HealthState::Ejected; }));
}

PlacementRound JobPlacement::run(
    const JobLedger& ledger, const Configuration& configuration, TeamTokens& tokens, Instant now)
{
    PlacementRound round;
    updatePolicy(ledger, configuration);
    updateWorkers(ledger, now);
    const auto jobs = pendingJobs(ledger);
    if (jobs.empty())
        return round;
    auto grants = acquire(jobs, tokens, now);
    std::vector<PendingWork> pending;
    std::map<JobId, const PendingJob*> byId;
    for (const auto& job : jobs) {
        pending.push_back(job.work);
        byId[job.work.job] = &job;
    }
    const auto result = place(
        m_state, pending, [&grants](const TeamId& team) { return grants[team].held; }, now,
        maxPlacementsPerRound);
    for (const auto& placement : result.placements) {
        const auto& job = *byId.at(placement.job);
        const TaskRef ref { placement.job, job.indices[placement.pendingIndex] };
        round.chosen.placements.push_back({ ref.job, ref.index, placement.worker });
        m_running[ref] = runningTask(ledger.jobs.at(ref.job).record.spec, placement.job, placement.worker);
        --grants[job.work.team].held;
        m_lastExplanations.erase(placement.job);
    }
    for (const auto& [team, grant] : grants) {
        if (grant.held)
            tokens.release(team, grant.held);
    }
    round.explanations = explainUnplacedJobs(result.unplacedJobs);
    return round;
}

void JobPlacement::updatePolicy(const JobLedger& ledger, const Configuration& configuration)
{
    if (m_packing != configuration.policy.placement || m_epoch != ledger.epoch)
        reset(configuration.policy.placement, ledger.epoch);
    for (const auto& [team, config] : configuration.teams)
        m_state.setWeight(team, config.share);
}

void JobPlacement::updateWorkers(const JobLedger& ledger, Instant now)
{
    const auto views = workerViews(ledger);
    updateHealth(views, now);
    updateTasks(ledger, views, now);
    if (m_workerViews.empty() && !views.empty())
        m_state.setWorkers({}, true); // all workers are known from here on
    std::set<ServerId> listed;
    for (const auto& view : views) {
        listed.insert(view.id);
        const bool usable = view.isOpen && !isEjected(view.id);
        const auto known = m_workerViews.find(view.id);
        const bool isKnown = known != m_workerViews.end() && known->second == view;
        if (isKnown && m_workerUsable[view.id] == usable && !m_changedWorkers.count(view.id))
            continue;
        m_state.updateWorker(toWorkerView(view, usable));
        m_workerViews[view.id] = view;
        m_workerUsable[view.id] = usable;
    }
    m_changedWorkers.clear();
    std::erase_if(m_workerViews, [this, &listed](const auto& item) {
        if (listed.count(item.first))
            return false;
        m_state.removeWorker(item.first);
        m_workerUsable.erase(item.first);
        return true;
    });
}

// Reconciles m_running with the ledger: removes tasks that ended or whose placement was not accepted, and
// adds tasks that were started by a former leader or under an earlier policy.
void JobPlacement::updateTasks(const JobLedger& ledger, const std::vector<LedgerWorker>& views, Instant now)
{
    std::map<TaskRef, ServerId> held;
    for (const auto& view : views) {
        for (const auto& task : view.tasks)
            held.emplace(task, view.id);
    }
    std::erase_if(m_running, [&](const auto& item) {
        const auto it = held.find(item.first);
        if (it != held.end() && it->second == item.second.worker)
            return false;
        m_state.taskEnded(item.second, now);
        m_changedWorkers.insert(item.second.worker);
        return true;
    });
    for (const auto& [ref, worker] : held) {
        const auto* record = findJob(ledger, ref.job);
        if (!record || m_running.count(ref))
            continue;
        m_running[ref] = runningTask(record->spec, ref.job, worker);
        m_state.taskStarted(m_running[ref], now);
        m_changedWorkers.insert(worker);
    }
}

void JobPlacement::updateHealth(const std::vector<LedgerWorker>& views, Instant now)
{
    std::vector<ServerId> ids;
    ids.reserve(views.size());
    for (const auto& view : views)
        ids.push_back(view.id);
    setTrackedServers(m_outliers, ids);
    for (const auto& view : views) {
        auto& counts = m_outcomeCounts[view.id];
        // A worker that was removed from the list and added again starts with new counters.
        if (view.startFailures < counts.failures)
            counts = {};
        for (; counts.failures < view.startFailures; ++counts.failures)
            recordOutcome(m_outliers, view.id, false);
        const auto unsuccessful = view.startFailures + view.tasks.size();
        for (; counts.successes + unsuccessful < view.starts; ++counts.successes)
            recordOutcome(m_outliers, view.id, true);
    }
    if (now < m_nextHealthCheck)
        return;
    m_nextHealthCheck = now + healthCheckPeriod;
    checkOutliers(m_outliers, now);
}

bool JobPlacement::isEjected(const ServerId& worker) const
{
    const auto it = m_outliers.servers.find(worker);
    return it != m_outliers.servers.end() && it->second.state == HealthState::Ejected;
}

std::vector<JobPlacement::PendingJob> JobPlacement::pendingJobs(const JobLedger& ledger) const
{
    std::vector<PendingJob> jobs;
    for (const auto& task : pendingWork(ledger, maxPendingTasksPerRound)) {
        if (jobs.empty() || jobs.back().work.job != task.job)
            jobs.push_back({ toPendingWork(ledger, task), {} });
        jobs.back().indices.push_back(task.index);
        ++jobs.back().work.taskCount;
    }
    return jobs;
}

std::map<TeamId, JobPlacement::AcquiredTokens> JobPlacement::acquire(
    const std::vector<PendingJob>& jobs, TeamTokens& tokens, Instant now)
{
    std::map<TeamId, AcquiredTokens> grants;
    for (const auto& job : jobs)
        grants[job.work.team].wanted += job.work.taskCount;
    for (auto& [team, grant] : grants)
        grant = acquireFor(team, grant.wanted, tokens, now);
    return grants;
}

// A refused request for more tokens signals demand to the quota service. Such requests are limited to one per
// tokenRequestPeriod and team.
JobPlacement::AcquiredTokens JobPlacement::acquireFor(
    const TeamId& team, std::uint32_t wanted, TeamTokens& tokens, Instant now)
{
    const auto free = tokens.available(team, now);
    const auto mayRequestMore = now >= m_nextTokenRequestAt[team];
    if ((free >= wanted || mayRequestMore) && tokens.tryAcquire(team, wanted, now))
        return { wanted, wanted };
    if (mayRequestMore)
        m_nextTokenRequestAt[team] = now + tokenRequestPeriod;
    const auto part = std::min<std::int64_t>(free, wanted);
    if (part <= 0 || !tokens.tryAcquire(team, part, now))
        return { wanted, 0 };
    return { wanted, static_cast<std::uint32_t>(part) };
}

std::vector<Explain> JobPlacement::explainUnplacedJobs(const std::vector<UnplacedJob>& unplacedJobs)
{
    std::vector<Explain> lines;
    std::map<JobId, std::string> current;
    for (const auto& unplaced : unplacedJobs) {
        auto explanation = explanationText(unplaced);
        const auto last = m_lastExplanations.find(unplaced.job);
        if (last == m_lastExplanations.end() || last->second != explanation)
            lines.push_back({ unplaced.job, explanation });
        current[unplaced.job] = std::move(explanation);
    }
    m_lastExplanations = std::move(current);
    return lines;
}

std::string JobPlacement::explanationText(const UnplacedJob& unplaced) const
{
    const auto detail = unplaced.detail.empty() ? std::string() : " (" + unplaced.detail + ")";
    const auto ejected = ejectedCount();
    switch (unplaced.why) {
    case ErrorKind::QuotaExhausted:
        return "waits: the team's upper limit is in use" + detail
            + "; it starts when the team's other work ends or an operator raises upper_limit";
    case ErrorKind::NeverRunnable:
        return "can't run: no worker of this failure domain could hold it even when empty" + detail
            + "; ask for less, fewer tasks at a time, or another domain";
    default:
        break;
    }
    auto explanation = "waits: no worker has room now" + detail
        + "; it starts when running work ends, in the order of the teams' shares";
    if (ejected)
        explanation += "; " + std::to_string(ejected)
            + " workers are temporarily ejected because too many tasks failed there";
    return explanation;
}

} // namespace quay
