#include "quay/fleet/FleetScheduler.h"

#include "fleet/SchedulerState.h"

#include <algorithm>
#include <array>
#include <utility>

namespace quay::fleet {

using namespace internal;

FleetScheduler::FleetScheduler(
    const SchedulerBounds& bounds, Instant lastPredecessorCommit, Instant leadershipCommitSentAt)
    : m_impl(std::make_unique<Impl>(bounds, lastPredecessorCommit, leadershipCommitSentAt))
{
}

FleetScheduler::~FleetScheduler() = default;

void FleetScheduler::Impl::addEvent(std::string eventName, std::string job, std::string detail)
{
    events.push_back({ std::move(eventName), std::move(job), std::move(detail) });
}

void FleetScheduler::configure(const FleetConfiguration& configuration)
{
    const auto isUnusable = [](const TeamPolicy& team) {
        return team.weight && TeamShares::usableWeight(*team.weight) != *team.weight;
    };
    const auto& teams = configuration.teams;
    if (const auto first = std::find_if(teams.begin(), teams.end(), isUnusable); first != teams.end())
        m_impl->addEvent("weight_unusable", {},
            "team=" + first->name + " weight=" + std::to_string(*first->weight)
                + " used=" + std::to_string(TeamShares::usableWeight(*first->weight))
                + " teams=" + std::to_string(std::count_if(teams.begin(), teams.end(), isUnusable)));
    for (const auto& queue : m_impl->configuration.queues)
        m_impl->lastPolicies.insert_or_assign(queue.name, queue);
    m_impl->configuration = configuration;
    for (auto& [id, job] : m_impl->jobs) {
        for (auto& [number, occurrence] : job->occurrences) {
            for (auto& step : occurrence.steps)
                m_impl->lookUpPolicies(*step);
        }
    }
    m_impl->isPlacementDue = true;
}

void FleetScheduler::submit(const JobRequest& request, Instant now, bool isFound)
{
    if (m_impl->jobs.count(request.id))
        return;
    auto& job = m_impl->addJob(request, now);
    const auto* team = m_impl->configuration.teamNamed(request.team);
    // The mark stays, and these would wait behind others long after the burst.
    const bool isLasting = request.occurrences > 0
        || std::any_of(request.steps.begin(), request.steps.end(),
            [](const StepRequest& step) { return step.isLongRunning; });
    job.isBeyondShare = !isFound && !isLasting && team && team->weight
        && !m_impl->shares.takes(team->name, *team->weight, now);
    m_impl->addEvent("job_known", request.id,
        "queue=" + request.queue + " team=" + request.team + " steps=" + std::to_string(request.steps.size())
            + (job.isBeyondShare ? " beyond_share=1" : ""));
    for (std::size_t i = 0; i < request.steps.size(); ++i) {
        if (static_cast<double>(request.steps[i].estimateMs) <= maxDurationMs)
            continue;
        m_impl->addEvent("estimate_bounded", request.id,
            "step=" + std::to_string(i) + " estimate_ms=" + std::to_string(request.steps[i].estimateMs)
                + " used_ms=" + std::to_string(static_cast<std::int64_t>(maxDurationMs)));
        break; // one line a job
    }
}

void FleetScheduler::restore(const JobRequest& request, const JobRecord& record, Instant now)
{
    if (m_impl->jobs.count(request.id))
        return;
    auto& job = m_impl->addJob(request, now);
    job.phase = job.durablePhase = record.phase;
    // A recorded run may not have started yet; this is known only from its executor's report.
    job.hasStarted = !record.done.empty() || !record.doneOccurrences.empty()
        || std::any_of(record.tasks.begin(), record.tasks.end(),
            [](const TaskRecord& task) { return task.failures > 0; });
    if (request.occurrences > 0)
        job.doneOccurrences.insert(record.doneOccurrences.begin(), record.doneOccurrences.end());
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
                m_impl->markTaskDone(step, index);
        }
    }
    for (const auto& task : record.tasks)
        m_impl->restoreTask(job, task, now);
    if (isFinal(job.phase)) {
        job.finishedAt = now;
        for (auto& [number, occurrence] : job.occurrences) {
            for (auto& step : occurrence.steps)
                m_impl->readySteps.erase(step.get());
        }
        m_impl->stopRuns(job, now);
    } else {
        for (auto& [number, occurrence] : job.occurrences) {
            for (auto& step : occurrence.steps) {
                if (step->waiting == 0)
                    m_impl->readySteps.erase(step.get());
                step->waitingSince = now - overdueAfter; // the wait under earlier leaders is unknown
            }
        }
        m_impl->advanceJob(job, now);
    }
}

bool FleetScheduler::cancel(const std::string& id, Instant now)
{
    auto it = m_impl->jobs.find(id);
    if (it == m_impl->jobs.end())
        return false;
    if (!isFinal(it->second->phase))
        m_impl->finishJob(*it->second, JobPhase::Cancelled, now);
    return true;
}

void FleetScheduler::remove(const std::string& id)
{
    const auto it = m_impl->jobs.find(id);
    if (it == m_impl->jobs.end() || !it->second->isExpired)
        return;
    it->second->isBeingRemoved = true;
    m_impl->markDirty(*it->second);
}

void FleetScheduler::executorRegistered(const ExecutorEntry& entry, Instant now)
{
    auto* incarnation = m_impl->incarnationOf(entry.id);
    if (incarnation && incarnation->entry.startedUnixMs != 0 && entry.startedUnixMs != 0
        && entry.startedUnixMs != incarnation->entry.startedUnixMs) {
        if (entry.startedUnixMs > incarnation->entry.startedUnixMs) {
            auto& next = m_impl->replaceIncarnation(*incarnation, entry, true, now);
            next.warmUp = warmUpOfCold({}, entry.coldRemainingMs, now);
        }
        return;
    }
    if (!incarnation) {
        incarnation = &m_impl->addIncarnation(entry, now);
        m_impl->currentIncarnations[entry.id] = incarnation->number;
        m_impl->addEvent("executor_seen", {},
            "executor=" + entry.id + " address=" + entry.address + " zone=" + entry.zone);
    }
    incarnation->warmUp = warmUpOfCold(incarnation->warmUp, entry.coldRemainingMs, now);
    incarnation->entry.coldRemainingMs = entry.coldRemainingMs; // it may change with each registration
    if (incarnation->isRegistered && incarnation->entry == entry)
        return; // a large cell hears this hundreds of times a second
    if (entry.isDraining && !incarnation->entry.isDraining) {
        m_impl->addEvent("executor_leaving", {},
            "executor=" + entry.id + " runs=" + std::to_string(incarnation->runs.size())
                + " remaining_ms=" + std::to_string(entry.remainingMs));
        incarnation->servesUntil = now + std::chrono::milliseconds(entry.remainingMs);
    }
    m_impl->leavePool(*incarnation);
    const auto previousStart = incarnation->entry.startedUnixMs;
    incarnation->entry = entry;
    if (entry.startedUnixMs == 0)
        incarnation->entry.startedUnixMs = previousStart;
    incarnation->rack = rackOf(entry);
    incarnation->domain = m_impl->domainIndex(entry.zone);
    incarnation->isRegistered = true;
    m_impl->updatePool(*incarnation);
    m_impl->isPlacementDue = true;
}

void FleetScheduler::executorDeregistered(const std::string& id, Instant now)
{
    auto* incarnation = m_impl->incarnationOf(id);
    if (!incarnation || !incarnation->isRegistered)
        return;
    incarnation->isRegistered = false;
    m_impl->updatePool(*incarnation);
    incarnation->nextHeartbeat = std::min(incarnation->nextHeartbeat, now);
    m_impl->addEvent(
        "executor_unlisted", {}, "executor=" + id + " runs=" + std::to_string(incarnation->runs.size()));
}

void FleetScheduler::throttleAnswered(
    IncarnationId number, const TaskRef& task, int runNumber, int percent, OrderResult result, Instant now)
{
    (void)now;
    const auto key = m_impl->keyOf(task, runNumber);
    auto& incarnation = m_impl->incarnations[number];
    auto it = key ? incarnation.runs.find(*key) : incarnation.runs.end();
    if (it == incarnation.runs.end())
        return;
    it->second.isThrottleInFlight = false;
    if (result == OrderResult::NoAnswer)
        m_impl->raiseEpoch(incarnation, it->second.throttleEpoch);
    if (result == OrderResult::Ok)
        it->second.percent = percent;
    if (it->second.percent != it->second.targetPercent)
        m_impl->throttlesDue.insert(number);
}

void FleetScheduler::committed(std::uint64_t number, Instant sentAt, Instant now)
{
    auto& it = *m_impl;
    it.renewalAllowedUntil = std::max(it.renewalAllowedUntil, sentAt + it.bounds.maxRenewalWithoutCommit);
    if (!it.commit || it.commit->number != number)
        return;
    const auto batch = std::move(*it.commit);
    it.commit.reset();
    for (const auto& [incarnation, key] : batch.starts) {
        auto run = it.incarnations[incarnation].runs.find(key);
        if (run == it.incarnations[incarnation].runs.end() || run->second.phase != RunPhase::Recording)
            continue;
        run->second.phase = RunPhase::Starting;
        run->second.nextSend = now;
        it.openOrders.insert({ incarnation, key });
    }
    for (const auto& [incarnation, acknowledgedEnd] : batch.acknowledgements) {
        it.incarnations[incarnation].acknowledgedEnds = acknowledgedEnd;
        it.times.endToCommit.push_back(now - it.incarnations[incarnation].unacknowledgedSince);
        // Further ends may have been reported since the commit was built; their wait is counted from now.
        it.incarnations[incarnation].unacknowledgedSince = now;
        if (!it.incarnations[incarnation].isHeartbeatInFlight)
            it.incarnations[incarnation].nextHeartbeat = now;
    }
    for (const auto& [id, phase] : batch.committedPhases) {
        auto job = it.jobs.find(id);
        if (job == it.jobs.end())
            continue;
        if (isFinal(phase) && !isFinal(job->second->durablePhase))
            it.times.finishToVisible.push_back(now - job->second->finishedAt);
        job->second->durablePhase = phase;
    }
    for (const auto& id : batch.removedJobs) {
        auto job = it.jobs.find(id);
        if (job == it.jobs.end())
            continue;
        const auto* removedJob = job->second.get();
        const bool isInUse = std::any_of(
            it.incarnations.begin(), it.incarnations.end(), [&](const Incarnation& incarnation) {
                return std::any_of(incarnation.runs.begin(), incarnation.runs.end(),
                    [&](const auto& run) { return run.first.job == removedJob; });
            });
        if (!isInUse)
            it.jobs.erase(job);
    }
}

void FleetScheduler::pump(Instant now, std::int64_t unixMs, SchedulerActions& actions)
{
    auto& it = *m_impl;
    it.openDueOccurrences(now, unixMs);
    it.checkExecutors(now);
    it.moveOffEmptiedDomains(now);
    it.checkSpeeds(now);
    it.expireFinishedJobs(now, actions);
    it.place(now, actions);
    it.buildCommit(actions);
    it.sendOrders(now, actions);
    it.sendHeartbeats(now, actions);
    it.sendThrottles(actions);
    actions.events.insert(actions.events.end(), std::make_move_iterator(it.events.begin()),
        std::make_move_iterator(it.events.end()));
    it.events.clear();
    actions.times = std::exchange(it.times, {});
}

std::optional<JobPhase> FleetScheduler::durablePhase(const std::string& id) const
{
    auto it = m_impl->jobs.find(id);
    if (it == m_impl->jobs.end())
        return std::nullopt;
    const auto& job = *it->second;
    // cancel() is called only after the cancellation is durable.
    if (job.phase == JobPhase::Cancelled)
        return JobPhase::Cancelled;
    return job.durablePhase;
}

std::map<std::string, std::int64_t> FleetScheduler::pending() const
{
    std::map<std::string, std::int64_t> result;
    for (const auto& queue : m_impl->configuration.queues)
        result[queue.name] = 0;
    for (const auto& [id, job] : m_impl->jobs) {
        if (!job->hasStarted && !isFinal(job->phase))
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
    for (const auto& incarnation : m_impl->incarnations) {
        if (incarnation.isClosed)
            continue;
        ++counts.executors[!incarnation.isRegistered ? "unlisted"
                : incarnation.isUnresponsive         ? "silent"
                : incarnation.entry.isDraining       ? "leaving"
                                                     : "at_work"];
        for (const auto& [key, run] : incarnation.runs)
            ++counts.runs[run.isStopRequested ? "stopping" : phaseNames[static_cast<std::size_t>(run.phase)]];
    }
    for (const auto* step : m_impl->readySteps) {
        counts.waitingTasks += static_cast<std::size_t>(step->waiting);
        if (step->queue && step->queue->priority == 0)
            counts.waitingUrgentTasks += static_cast<std::size_t>(step->waiting);
        if (step->job->isBeyondShare)
            counts.waitingTasksBeyondShare += static_cast<std::size_t>(step->waiting);
    }
    if (m_impl->readySteps.empty())
        counts.agedSteps = 0; // there was no pass since
    counts.slowExecutors = m_impl->slowExecutors;
    counts.approvalsInFlight = m_impl->approvalsInFlight.size();
    for (const auto& [service, pool] : m_impl->pools) {
        counts.totalCpuMilli += pool.all.total.cpuMilli;
        counts.usedCpuMilli += pool.all.used.cpuMilli;
    }
    counts.uncommittedJobs = m_impl->dirtyJobs.size();
    for (const auto& [domain, since] : m_impl->evacuations.heededSince)
        counts.evacuations[domain] = m_impl->countEvacuation(domain);
    counts.suspects = m_impl->suspects.size();
    for (const auto& [team, usage] : m_impl->teamUsage)
        counts.teamUsage[team] = usage.total;
    return counts;
}

} // namespace quay::fleet
