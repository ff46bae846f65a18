#include "fleet/SchedulerState.h"

#include <algorithm>
#include <limits>

// Tracks the steps and occurrences of jobs, and builds commits from their records.
namespace quay::fleet {

using namespace internal;

namespace {

// A transaction of the store holds 100 entries and 1 MB, which commits share with newly accepted jobs.
constexpr std::size_t maxRecordsPerCommit = 80;
constexpr std::uint64_t maxCommitsPassedOver = 4;
constexpr std::size_t maxBytesPerCommit = 400'000; // before base64, which adds a third
constexpr auto expiryInterval = 5s;
constexpr std::size_t maxJobsPerExpiry = 4;

// Bounds the tasks of open occurrences, which a record has to hold: those that are due beyond it wait.
std::size_t maxOpenOccurrences(const JobRequest& request)
{
    int tasks = 0;
    for (const auto& step : request.steps)
        tasks += step.taskCount;
    return static_cast<std::size_t>(std::max(1, maxTasksPerJob / std::max(1, tasks)));
}

} // namespace

// Returns for each step the sum of the durations on the longest path from it to the end of the job.
std::vector<int> internal::criticalPaths(const JobRequest& request, const std::vector<double>& durationsMs)
{
    std::vector<int> result(request.steps.size(), 0);
    for (std::size_t i = request.steps.size(); i-- > 0;) {
        const double length = result[i] + std::clamp(durationsMs[i], 0.0, maxDurationMs);
        result[i] = static_cast<int>(std::min<double>(length, std::numeric_limits<int>::max()));
        for (int earlier : request.steps[i].dependsOn)
            result[earlier] = std::max(result[earlier], result[i]);
    }
    return result;
}

const StepRequest& internal::StepState::request() const { return job->request.steps[number]; }

bool internal::StepState::isApproved(IncarnationId executor) const
{
    const auto it = approvals.find(executor);
    return it != approvals.end() && it->second.isApproved;
}

FleetScheduler::Impl::JobState& FleetScheduler::Impl::addJob(const JobRequest& request, Instant now)
{
    auto job = std::make_unique<JobState>();
    job->number = nextJobNumber++;
    job->request = request;
    job->acceptedAt = now;
    const auto* queue = policyOf(request);
    std::vector<double> estimates;
    for (const auto& step : request.steps)
        estimates.push_back(static_cast<double>(step.estimateMs));
    const auto lengths = criticalPaths(request, estimates);
    const int longest = lengths.empty() ? 0 : *std::max_element(lengths.begin(), lengths.end());
    const double objectiveMs
        = queue ? queue->objectiveFactor * longest + static_cast<double>(queue->objectiveSlackMs) : longest;
    job->deadline = now + std::chrono::milliseconds(static_cast<long long>(objectiveMs));
    auto& added = *(jobs[request.id] = std::move(job));
    if (request.occurrences == 0) {
        openOccurrence(added, 0, now);
        added.nextOccurrence = 1;
    } else {
        scheduledJobs.push_back(&added);
    }
    return added;
}

void FleetScheduler::Impl::openOccurrence(JobState& job, int number, Instant now)
{
    ++job.openOccurrences;
    auto& occurrence = job.occurrences[number];
    const auto lengths = criticalPaths(job.request, expectedDurations(job.request));
    for (std::size_t i = 0; i < job.request.steps.size(); ++i) {
        auto step = std::make_unique<StepState>();
        step->job = &job;
        step->occurrence = number;
        step->number = static_cast<int>(i);
        step->tasks.resize(job.request.steps[i].taskCount);
        step->waiting = job.request.steps[i].taskCount;
        step->criticalPathMs = lengths[i];
        lookUpPolicies(*step);
        occurrence.steps.push_back(std::move(step));
    }
    updateReadySteps(job, number, now);
}

void FleetScheduler::Impl::openDueOccurrences(Instant now, std::int64_t unixMs)
{
    for (auto* job : scheduledJobs) {
        const auto& request = job->request;
        const auto limit = maxOpenOccurrences(request);
        while (!isFinal(job->phase) && job->nextOccurrence < request.occurrences
            && job->openOccurrences < limit
            && unixMs >= request.firstDueUnixMs + request.intervalMs * job->nextOccurrence) {
            const int number = job->nextOccurrence++;
            if (job->doneOccurrences.count(number) == 0 && job->occurrences.count(number) == 0) {
                openOccurrence(*job, number, now);
                addEvent("occurrence_due", request.id, "occurrence=" + std::to_string(number));
            }
            job->deadline += now - job->acceptedAt; // the objective of an occurrence starts when it is due
            job->acceptedAt = now;
        }
    }
    std::erase_if(scheduledJobs, [](const JobState* job) {
        return isFinal(job->phase) || job->nextOccurrence >= job->request.occurrences;
    });
}

// A step becomes ready once all steps that it depends on are complete.
void FleetScheduler::Impl::updateReadySteps(JobState& job, int occurrence, Instant now)
{
    if (isFinal(job.phase))
        return;
    auto it = job.occurrences.find(occurrence);
    if (it == job.occurrences.end())
        return;
    for (auto& step : it->second.steps) {
        if (!step->isReady) {
            const auto& after = step->request().dependsOn;
            step->isReady = std::all_of(after.begin(), after.end(),
                [&](int earlier) { return it->second.steps[earlier]->isComplete(); });
            step->readySince = step->waitingSince = now;
        }
        if (step->isReady && step->waiting > 0) {
            readySteps.insert(step.get());
            isPlacementDue = true;
        }
    }
}

void FleetScheduler::Impl::markTaskDone(StepState& step, int index)
{
    auto& task = step.tasks[index];
    if (task.phase == TaskPhase::Done)
        return;
    --(task.phase == TaskPhase::Active ? step.active : step.waiting);
    ++step.done;
    task.phase = TaskPhase::Done;
    clearSuspect(TaskRef { step.job->request.id, step.occurrence, step.number, index }, task, "done");
    task.incarnation = -1;
    task.checkpoint.clear();
    if (step.waiting == 0)
        readySteps.erase(&step);
}

void FleetScheduler::Impl::markTaskWaiting(StepState& step, int index, Instant now)
{
    auto& task = step.tasks[index];
    if (task.phase != TaskPhase::Active)
        return;
    if (step.waiting == 0)
        step.waitingSince = now;
    --step.active;
    ++step.waiting;
    task.phase = TaskPhase::Waiting;
    task.incarnation = -1;
    if (!isFinal(step.job->phase)) {
        readySteps.insert(&step);
        isPlacementDue = true;
    }
}

// Called after tasks were done: marks dependent steps as ready, and completes the job if all tasks are done.
void FleetScheduler::Impl::advanceJob(JobState& job, Instant now)
{
    if (isFinal(job.phase))
        return;
    for (auto it = job.occurrences.begin(); it != job.occurrences.end(); ++it) {
        auto& occurrence = it->second;
        if (occurrence.isDone)
            continue;
        updateReadySteps(job, it->first, now);
        occurrence.isDone = std::all_of(occurrence.steps.begin(), occurrence.steps.end(),
            [](const auto& step) { return step->isComplete(); });
        if (occurrence.isDone) {
            job.doneOccurrences.insert(it->first);
            --job.openOccurrences;
        }
    }
    const auto wanted = static_cast<std::size_t>(std::max(1, job.request.occurrences));
    if (job.doneOccurrences.size() >= wanted)
        finishJob(job, JobPhase::Completed, now);
}

void FleetScheduler::Impl::finishJob(JobState& job, JobPhase phase, Instant now)
{
    job.phase = phase;
    job.finishedAt = now;
    for (auto& [number, occurrence] : job.occurrences) {
        for (auto& step : occurrence.steps)
            readySteps.erase(step.get());
    }
    markDirty(job);
    forgetSuspects(job);
    stopRuns(job, now);
    addEvent(phase == JobPhase::Completed ? "job_completed"
            : phase == JobPhase::Failed   ? "job_failed"
                                          : "job_cancelled",
        job.request.id, "age_ms=" + std::to_string(toMilliseconds(now - job.acceptedAt)));
}

void FleetScheduler::Impl::stopRuns(JobState& job, Instant now)
{
    for (auto& [number, occurrence] : job.occurrences) {
        for (auto& step : occurrence.steps) {
            for (std::size_t i = 0; i < step->tasks.size(); ++i) {
                const auto& task = step->tasks[i];
                if (task.phase != TaskPhase::Active)
                    continue;
                requestStop(incarnations[task.incarnation],
                    RunKey { &job, step->occurrence, step->number, static_cast<int>(i), task.run }, now);
            }
        }
    }
}

void FleetScheduler::Impl::markDirty(JobState& job)
{
    if (job.isDirty)
        return;
    job.isDirty = true;
    job.dirtySince = nextCommit;
    dirtyJobs.push_back(&job);
}

// If there are more changes than a commit holds, those of the highest priority come first: a person waits for
// each of them. A job that some commits have passed over comes before all.
void FleetScheduler::Impl::orderDirtyJobs()
{
    if (dirtyJobs.size() <= maxRecordsPerCommit)
        return;
    const auto rank = [this](const JobState* job) {
        if (nextCommit - job->dirtySince >= maxCommitsPassedOver)
            return std::numeric_limits<int>::min();
        const auto* queue = policyOf(job->request);
        return queue ? queue->priority : std::numeric_limits<int>::max();
    };
    std::vector<std::pair<int, JobState*>> ranked;
    ranked.reserve(dirtyJobs.size());
    for (auto* it : dirtyJobs)
        ranked.emplace_back(rank(it), it);
    std::stable_sort(
        ranked.begin(), ranked.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    std::transform(ranked.begin(), ranked.end(), dirtyJobs.begin(), [](const auto& it) { return it.second; });
}

JobRecord FleetScheduler::Impl::recordOf(const JobState& job) const
{
    JobRecord record;
    record.phase = job.phase;
    if (isFinal(job.phase) && job.phase == JobPhase::Completed)
        return record; // the tasks of a completed job are not needed any more
    record.doneOccurrences.assign(job.doneOccurrences.begin(), job.doneOccurrences.end());
    for (const auto& [number, occurrence] : job.occurrences) {
        if (occurrence.isDone && job.request.occurrences > 0)
            continue;
        for (const auto& step : occurrence.steps) {
            DoneRecord done { number, step->number, {} };
            for (std::size_t i = 0; i < step->tasks.size(); ++i) {
                const auto& task = step->tasks[i];
                if (task.phase == TaskPhase::Done) {
                    done.indexes.push_back(static_cast<int>(i));
                } else if (task.run > 0) {
                    TaskRecord row { number, step->number, static_cast<int>(i), task.run, task.failures,
                        task.phase == TaskPhase::Active, {}, 0, task.checkpoint, task.crashes };
                    if (row.isAssigned) {
                        row.executor = incarnations[task.incarnation].entry.id;
                        row.executorStartedUnixMs = incarnations[task.incarnation].entry.startedUnixMs;
                    }
                    record.tasks.push_back(std::move(row));
                }
            }
            if (!done.indexes.empty())
                record.done.push_back(std::move(done));
        }
    }
    return record;
}

void FleetScheduler::Impl::restoreTask(JobState& job, const TaskRecord& record, Instant now)
{
    auto it = job.occurrences.find(record.occurrence);
    if (it == job.occurrences.end() || record.step >= static_cast<int>(it->second.steps.size())
        || record.index >= static_cast<int>(it->second.steps[record.step]->tasks.size())) {
        addEvent("record_ignored", job.request.id, "it names a task that the job does not have");
        return;
    }
    auto& step = *it->second.steps[record.step];
    auto& task = step.tasks[record.index];
    task.run = record.run;
    task.failures = record.failures;
    task.checkpoint = record.checkpoint;
    task.crashes = boundedCrashes(record.crashes);
    if (task.crashes > 0)
        task.apartUntil = apartUntil(now, {});
    if (task.crashes > 0 && !isFinal(job.phase))
        suspects.insert({ job.request.id, record.occurrence, record.step, record.index });
    if (step.request().isGang && !record.checkpoint.empty())
        step.gangCheckpoint = record.checkpoint;
    if (!record.isAssigned)
        return;
    auto* incarnation = incarnationOf(record.executor);
    if (incarnation && incarnation->entry.startedUnixMs != record.executorStartedUnixMs)
        addEvent("executor_record_differs", job.request.id,
            "task=" + text(TaskRef { job.request.id, record.occurrence, record.step, record.index })
                + " executor=" + record.executor + " recorded=" + std::to_string(record.executorStartedUnixMs)
                + " registered=" + std::to_string(incarnation->entry.startedUnixMs));
    if (!incarnation || incarnation->entry.startedUnixMs != record.executorStartedUnixMs) {
        ExecutorEntry entry;
        entry.id = record.executor;
        entry.startedUnixMs = record.executorStartedUnixMs;
        if (incarnation) { // the run was on an earlier incarnation than the registered one
            entry.address.clear();
            auto& newer = *incarnation;
            if (newer.predecessor < 0)
                newer.predecessor = addIncarnation(entry, now).number;
            incarnation = &incarnations[incarnations[currentIncarnations[record.executor]].predecessor];
        } else {
            incarnation = &addIncarnation(entry, now);
            currentIncarnations[record.executor] = incarnation->number;
        }
    }
    incarnation->leaseEndsAt = std::max(incarnation->leaseEndsAt, predecessorLeasesUntil);
    Run run;
    run.phase = RunPhase::Inherited;
    run.demand = demandOf(step.request());
    run.charged = step.request().perTask;
    run.isOpenEnded = step.request().isLongRunning;
    incarnation->addUsage(run);
    updatePool(*incarnation);
    teamUsage[job.request.team].add(run);
    incarnation->runs.emplace(RunKey { &job, record.occurrence, record.step, record.index, record.run }, run);
    task.phase = TaskPhase::Active;
    task.incarnation = incarnation->number;
    --step.waiting;
    ++step.active;
}

void FleetScheduler::Impl::expireFinishedJobs(Instant now, SchedulerActions& actions)
{
    if (now < nextExpiry)
        return;
    nextExpiry = now + expiryInterval;
    for (auto& [id, job] : jobs) {
        if (actions.expiredJobs.size() >= maxJobsPerExpiry)
            break;
        if (isFinal(job->durablePhase) && !job->isExpired
            && now - job->finishedAt > bounds.finishedJobRetention * 2) {
            job->isExpired = true;
            actions.expiredJobs.push_back(id);
        }
    }
}

void FleetScheduler::Impl::buildCommit(SchedulerActions& actions)
{
    if (commit)
        return;
    CommitInFlight batch;
    CommitAction action;
    for (IncarnationId number : unacknowledgedExecutors) {
        if (!incarnations[number].isClosed)
            batch.acknowledgements.emplace_back(number, incarnations[number].processedEnds);
    }
    orderDirtyJobs();
    std::size_t bytes = 0;
    std::size_t taken = 0;
    while (taken < dirtyJobs.size() && taken < maxRecordsPerCommit && bytes < maxBytesPerCommit) {
        auto& job = *dirtyJobs[taken++];
        job.isDirty = false;
        if (job.isBeingRemoved) {
            action.removedJobs.push_back(job.request.id);
            continue;
        }
        auto record = encode(recordOf(job));
        bytes += record.size();
        batch.committedPhases.emplace_back(job.request.id, job.phase);
        action.records.emplace_back(job.request.id, std::move(record));
        for (const auto& [number, occurrence] : job.occurrences) {
            for (const auto& step : occurrence.steps) {
                if (step->active == 0)
                    continue;
                for (std::size_t i = 0; i < step->tasks.size(); ++i) {
                    const auto& task = step->tasks[i];
                    if (task.phase != TaskPhase::Active)
                        continue;
                    const RunKey key { &job, number, step->number, static_cast<int>(i), task.run };
                    const auto it = incarnations[task.incarnation].runs.find(key);
                    if (it != incarnations[task.incarnation].runs.end()
                        && it->second.phase == RunPhase::Recording)
                        batch.starts.emplace_back(task.incarnation, key);
                }
            }
        }
    }
    dirtyJobs.erase(dirtyJobs.begin(), dirtyJobs.begin() + static_cast<std::ptrdiff_t>(taken));
    if (dirtyJobs.empty())
        unacknowledgedExecutors.clear();
    else
        batch.acknowledgements.clear(); // an end may belong to a job that this commit doesn't contain
    if (action.records.empty() && action.removedJobs.empty()) {
        // Ends that change no record need no commit.
        for (const auto& [incarnation, number] : batch.acknowledgements)
            incarnations[incarnation].acknowledgedEnds = number;
        return;
    }
    batch.number = action.number = nextCommit++;
    batch.removedJobs = action.removedJobs;
    commit = std::move(batch);
    actions.commit = std::move(action);
}

} // namespace quay::fleet
