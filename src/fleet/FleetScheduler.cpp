#include "quay/fleet/FleetScheduler.h"

#include "fleet/SchedulerState.h"

#include <algorithm>
#include <array>
#include <utility>

namespace quay::fleet {

using namespace internal;

FleetScheduler::FleetScheduler(
    const SchedulerBounds& bounds, Instant lastForeignCommit, Instant ownCommitSent)
    : m_impl(std::make_unique<Impl>(bounds, lastForeignCommit, ownCommitSent))
{
}

FleetScheduler::~FleetScheduler() = default;

void FleetScheduler::Impl::note(std::string what, std::string job, std::string detail)
{
    notes.push_back({ std::move(what), std::move(job), std::move(detail) });
}

void FleetScheduler::configure(const FleetConfiguration& configuration)
{
    // A queue that was removed keeps its last policy for the jobs that it holds.
    auto merged = configuration;
    for (const auto& queue : m_impl->configuration.queues) {
        if (!merged.queueNamed(queue.name))
            merged.queues.push_back(queue);
    }
    m_impl->configuration = std::move(merged);
    for (auto& [id, job] : m_impl->jobs) {
        for (auto& [number, occurrence] : job->occurrences) {
            for (auto& step : occurrence.steps)
                m_impl->lookUpPolicies(*step);
        }
    }
    m_impl->placementDue = true;
}

void FleetScheduler::submit(const WorkRequest& request, Instant now)
{
    if (m_impl->jobs.count(request.id))
        return;
    m_impl->add(request, now);
    m_impl->note("job_known", request.id,
        "queue=" + request.queue + " team=" + request.team
            + " steps=" + std::to_string(request.steps.size()));
}

void FleetScheduler::restore(const WorkRequest& request, const JobRecord& record, Instant now)
{
    if (m_impl->jobs.count(request.id))
        return;
    auto& job = m_impl->add(request, now);
    job.phase = job.shown = record.phase;
    // Whether a task that is only recorded has begun is for its executor to say.
    job.hasBegun = !record.done.empty()
        || std::any_of(record.tasks.begin(), record.tasks.end(),
            [](const TaskRecord& task) { return task.failures > 0; });
    if (request.occurrences > 0 && !isFinal(record.phase)) {
        for (const auto& task : record.tasks) {
            if (!job.occurrences.count(task.occurrence))
                m_impl->openOccurrence(job, task.occurrence, now);
        }
        for (const auto& done : record.done) {
            if (!job.occurrences.count(done.occurrence))
                m_impl->openOccurrence(job, done.occurrence, now);
        }
    }
    for (const auto& done : record.done) {
        auto it = job.occurrences.find(done.occurrence);
        if (it == job.occurrences.end() || done.step >= static_cast<int>(it->second.steps.size()))
            continue;
        auto& step = *it->second.steps[done.step];
        for (int index : done.indexes) {
            if (index >= 0 && index < static_cast<int>(step.tasks.size()))
                m_impl->taskDone(step, index);
        }
    }
    for (const auto& task : record.tasks)
        m_impl->restoreTask(job, task, now);
    if (isFinal(job.phase)) {
        job.finishedAt = now;
        for (auto& [number, occurrence] : job.occurrences) {
            for (auto& step : occurrence.steps)
                m_impl->ready.erase(step.get());
        }
        m_impl->stopRuns(job, now);
    } else {
        for (auto& [number, occurrence] : job.occurrences) {
            for (auto& step : occurrence.steps) {
                if (step->waiting == 0)
                    m_impl->ready.erase(step.get());
            }
        }
        m_impl->settle(job, now);
    }
}

bool FleetScheduler::cancel(const std::string& id, Instant now)
{
    auto it = m_impl->jobs.find(id);
    if (it == m_impl->jobs.end())
        return false;
    if (!isFinal(it->second->phase))
        m_impl->finish(*it->second, JobPhase::Cancelled, now);
    return true;
}

void FleetScheduler::executorSeen(const ExecutorEntry& entry, Instant now)
{
    auto* life = m_impl->lifeOfId(entry.id);
    if (life && life->entry.bornUnixMs != 0 && entry.bornUnixMs != 0
        && entry.bornUnixMs != life->entry.bornUnixMs) {
        if (entry.bornUnixMs > life->entry.bornUnixMs)
            m_impl->replaceLife(*life, entry, now);
        return;
    }
    if (!life) {
        life = &m_impl->addLife(entry, now);
        m_impl->lifeById[entry.id] = life->number;
        m_impl->note("executor_seen", {},
            "executor=" + entry.id + " address=" + entry.address + " zone=" + entry.zone);
    }
    if (entry.isDraining && !life->entry.isDraining)
        m_impl->note("executor_leaving", {},
            "executor=" + entry.id + " runs=" + std::to_string(life->runs.size())
                + " remaining_ms=" + std::to_string(entry.remainingMs));
    const auto born = life->entry.bornUnixMs;
    if (entry.isDraining && !life->entry.isDraining)
        life->leavesAt = now + std::chrono::milliseconds(entry.remainingMs);
    life->entry = entry;
    if (entry.bornUnixMs == 0)
        life->entry.bornUnixMs = born;
    life->rack = rackOf(entry);
    life->isListed = true;
    m_impl->repool(*life);
    m_impl->placementDue = true;
    if (life->entry.isDraining && !life->isEvacuated)
        m_impl->evacuate(*life, now);
}

void FleetScheduler::executorGone(const std::string& id, Instant now)
{
    auto* life = m_impl->lifeOfId(id);
    if (!life || !life->isListed)
        return;
    life->isListed = false;
    m_impl->repool(*life);
    life->unlistedAt = now;
    life->nextHold = std::min(life->nextHold, now);
    m_impl->note("executor_unlisted", {}, "executor=" + id + " runs=" + std::to_string(life->runs.size()));
}

void FleetScheduler::paceAnswered(
    LifeId number, const TaskRef& task, int runNumber, int percent, OrderResult result, Instant now)
{
    (void)now;
    const auto key = m_impl->keyOf(task, runNumber);
    auto& life = m_impl->lives[number];
    auto it = key ? life.runs.find(*key) : life.runs.end();
    if (it == life.runs.end())
        return;
    it->second.isPacing = false;
    if (result == OrderResult::Ok)
        it->second.percent = percent;
    if (it->second.percent != it->second.wantedPercent)
        m_impl->pacing.insert(number);
}

void FleetScheduler::committed(std::uint64_t number, Instant sentAt, Instant now)
{
    auto& it = *m_impl;
    it.authorityUntil = std::max(it.authorityUntil, sentAt + it.bounds.leaseAuthority);
    if (!it.commit || it.commit->number != number)
        return;
    const auto batch = std::move(*it.commit);
    it.commit.reset();
    for (const auto& [life, key] : batch.starts) {
        auto run = it.lives[life].runs.find(key);
        if (run == it.lives[life].runs.end() || run->second.phase != RunPhase::Recording)
            continue;
        run->second.phase = RunPhase::Starting;
        run->second.nextSend = now;
        it.attention.insert({ life, key });
    }
    for (const auto& [life, acknowledged] : batch.acknowledgements) {
        it.lives[life].acknowledgedEnds = acknowledged;
        it.times.endToNote.push_back(now - it.lives[life].endsOpenSince);
        it.lives[life].endsOpenSince = now; // further ends came meanwhile, if any
        if (!it.lives[life].holdInFlight)
            it.lives[life].nextHold = now;
    }
    for (const auto& [id, phase] : batch.shown) {
        auto job = it.jobs.find(id);
        if (job == it.jobs.end())
            continue;
        if (isFinal(phase) && !isFinal(job->second->shown))
            it.times.finishToShown.push_back(now - job->second->finishedAt);
        job->second->shown = phase;
    }
    for (const auto& id : batch.forgotten) {
        auto job = it.jobs.find(id);
        if (job == it.jobs.end())
            continue;
        const auto* gone = job->second.get();
        const bool isInUse = std::any_of(it.lives.begin(), it.lives.end(), [&](const Life& life) {
            return std::any_of(
                life.runs.begin(), life.runs.end(), [&](const auto& run) { return run.first.job == gone; });
        });
        if (!isInUse)
            it.jobs.erase(job);
    }
}

void FleetScheduler::pump(Instant now, std::int64_t unixMs, SchedulerActions& actions)
{
    auto& it = *m_impl;
    it.openDueOccurrences(now, unixMs);
    it.expireLeases(now);
    it.forgetFinished(now);
    it.place(now, actions);
    it.buildCommit(actions);
    it.sendOrders(now, actions);
    it.sendHolds(now, actions);
    it.sendPaces(actions);
    actions.notes.insert(actions.notes.end(), std::make_move_iterator(it.notes.begin()),
        std::make_move_iterator(it.notes.end()));
    it.notes.clear();
    actions.times = std::exchange(it.times, {});
}

std::optional<JobPhase> FleetScheduler::shownPhase(const std::string& id) const
{
    auto it = m_impl->jobs.find(id);
    if (it == m_impl->jobs.end())
        return std::nullopt;
    const auto& job = *it->second;
    // A cancellation is durable before it is known here.
    if (job.phase == JobPhase::Cancelled)
        return JobPhase::Cancelled;
    return job.shown;
}

std::map<std::string, std::int64_t> FleetScheduler::pending() const
{
    std::map<std::string, std::int64_t> result;
    for (const auto& queue : m_impl->configuration.queues)
        result[queue.name] = 0;
    for (const auto& [id, job] : m_impl->jobs) {
        if (!job->hasBegun && !isFinal(job->phase))
            ++result[job->request.queue];
    }
    return result;
}

SchedulerCounts FleetScheduler::counts() const
{
    auto counts = m_impl->totals;
    counts.jobs = m_impl->jobs.size();
    for (const auto& [id, job] : m_impl->jobs) {
        if (!isFinal(job->phase))
            ++counts.openJobs;
    }
    counts.executors = { { "at_work", 0 }, { "leaving", 0 }, { "silent", 0 }, { "unlisted", 0 } };
    counts.runs
        = { { "recording", 0 }, { "starting", 0 }, { "running", 0 }, { "inherited", 0 }, { "stopping", 0 } };
    static constexpr std::array<const char*, 4> phaseNames { "recording", "starting", "running",
        "inherited" };
    for (const auto& life : m_impl->lives) {
        if (life.isClosed)
            continue;
        ++counts.executors[!life.isListed ? "unlisted"
                : life.isSilent           ? "silent"
                : life.entry.isDraining   ? "leaving"
                                          : "at_work"];
        for (const auto& [key, run] : life.runs)
            ++counts.runs[run.wantsStop ? "stopping" : phaseNames[static_cast<std::size_t>(run.phase)]];
    }
    for (const auto* step : m_impl->ready)
        counts.waitingTasks += static_cast<std::size_t>(step->waiting);
    counts.teamUsage = m_impl->teamUsage;
    return counts;
}

} // namespace quay::fleet
