#pragma once

#include "quay/fleet/FleetScheduler.h"

#include <deque>
#include <map>
#include <set>
#include <unordered_map>
#include <unordered_set>

namespace quay::fleet {

namespace internal {

struct JobState;

// A clock may run this much slow or fast against ours; the published bound is 2 %.
constexpr double maxClockRateRatio = 1.0205;

enum class TaskPhase {
    Waiting,
    Active,
    Done,
};

struct TaskState {
    TaskPhase phase = TaskPhase::Waiting;
    int run = 0; // number of the newest run; 0: never started
    int failures = 0;
    IncarnationId incarnation = -1; // of the active run
    IncarnationId lastFailedOn = -1; // where it failed last
    std::string checkpoint;
};

struct Ticket {
    std::string text;
    Instant validUntil;
};

struct StepState {
    JobState* job = nullptr;
    int occurrence = 0;
    int number = 0;
    std::vector<TaskState> tasks;
    int waiting = 0;
    int active = 0;
    int done = 0;
    int lastFailedGangRun = 0;
    std::string gangCheckpoint; // newest of any member; valid for all
    std::unordered_map<IncarnationId, Ticket> tickets; // approved executors
    std::unordered_set<IncarnationId> decidedExecutors; // approved or not; a decision never changes
    bool isApprovalInFlight = false;
    Instant nextApprovalCall;
    Instant lastApprovalCall;
    const QueuePolicy* queue = nullptr; // as configured now; null: the queue was never configured
    const TeamPolicy* team = nullptr; // null: none, or it was removed
    bool isReady = false; // its dependencies are done and its time has come
    Instant readySince;
    int criticalPathMs = 0; // longest chain of estimates from here to the job's end

    const StepRequest& request() const;
    bool isComplete() const { return done == static_cast<int>(tasks.size()); }
};

struct Occurrence {
    std::vector<std::unique_ptr<StepState>> steps;
    bool isDone = false;
};

struct JobState {
    JobRequest request;
    JobPhase phase = JobPhase::Queued;
    JobPhase durablePhase = JobPhase::Queued; // what is durable
    std::map<int, Occurrence> occurrences; // those whose time has come and that are not done
    int nextOccurrence = 0;
    std::set<int> doneOccurrences; // of a scheduled job
    Instant acceptedAt;
    Instant finishedAt;
    Instant deadline; // of the objective
    bool hasStarted = false; // an executor has begun a task of it, as far as we have heard
    bool isDirty = false;
    bool isBeingRemoved = false; // its rows are being removed
};

enum class RunPhase {
    Recording, // its record is not durable yet; nothing was sent
    Starting, // the order may be on its way
    Running, // the executor said so
    Inherited, // an earlier scheduler recorded it; the executor has not answered us yet
};

struct RunKey {
    JobState* job = nullptr;
    int occurrence = 0;
    int step = 0;
    int index = 0;
    int run = 0;

    auto operator<=>(const RunKey&) const = default;
};

struct Run {
    RunPhase phase = RunPhase::Recording;
    Resources demand; // what it takes of the executor
    Resources charged; // what its team is charged with
    std::string ticket;
    Instant ticketUntil; // a start without a valid ticket is refused
    Instant nextSend; // of the start, or of the stop once `isStopRequested` is set
    bool isInFlight = false; // an order was sent and its answer is open
    int unansweredAttempts = 0; // starts that got no answer and may be carried out later
    int unreachableAttempts = 0; // starts of which no byte was sent
    bool isOrphan = false; // its task does not depend on it any more
    bool isStopRequested = false;
    bool isStopAcknowledged = false;
    Instant confirmedAt; // of the start or the stop: reports asked for later are conclusive
    int progress = 0; // percent done, as last reported
    Instant startedAt;
    int targetPercent = 100;
    int percent = 100; // acknowledged by the executor
    bool isThrottleInFlight = false;
};

// The registered executors of one service.
struct ServicePool {
    std::set<std::pair<std::int64_t, IncarnationId>> byFreeCpu; // the fullest first; counts processors only
    std::int64_t totalCpu = 0;
    std::int64_t usedCpu = 0;
    std::int64_t awaitingApprovalCpu = 0; // what the steps of open calls for approval would take

    std::int64_t freeCpu() const { return totalCpu - usedCpu; }
    std::int64_t largestFreeCpu() const { return byFreeCpu.empty() ? 0 : byFreeCpu.rbegin()->first; }
};

struct Incarnation {
    IncarnationId number = -1;
    ExecutorEntry entry;
    std::string rack;
    bool isRegistered = false;
    bool isClosed = false;
    bool hasAnswered = false; // under our fence
    bool isUnresponsive = true; // the last look failed
    Resources used;
    std::map<RunKey, Run> runs;
    std::set<std::pair<TaskRef, int>> unknownRuns; // at work there, not ordered by us
    std::int64_t clockMs = 0;
    Instant clockReceivedAt; // when the clock's reading arrived
    std::int64_t requestedLeaseClockMs = 0; // the longest lease that was asked for, on its clock
    Instant leaseEndsAt; // all that runs there has ended by then, unless prolonged
    Instant lastAnswer;
    Instant deregisteredAt;
    Instant servesUntil; // of a draining one: it serves at least until then
    bool isEvacuated = false;
    std::int64_t processedEnds = 0; // in memory
    std::int64_t acknowledgedEnds = 0; // durable
    Instant unacknowledgedSince; // of no meaning while both are equal
    bool isHeartbeatInFlight = false;
    Instant nextHeartbeat;
    int missedHeartbeats = 0;
    int consecutiveFailures = 0;
    Instant backoffUntil;
    std::map<RunKey, Instant>
        unansweredStarts; // starts that got no answer, when last sent: they may be carried out late
    // As it stands in the pool of its service; null: it is in none.
    ServicePool* pool = nullptr;
    std::int64_t pooledFreeCpu = 0;
    std::int64_t pooledTotalCpu = 0;
    IncarnationId predecessor
        = -1; // an earlier life of the same id whose runs are settled by our first report
};

// A call for approval in hand, and what its step would take.
struct ApprovalInFlight {
    double expectedMs = 0;
    ServicePool* pool = nullptr;
    std::int64_t cpuMilli = 0;
};

struct CommitInFlight {
    std::uint64_t number = 0;
    std::vector<std::pair<IncarnationId, RunKey>> starts;
    std::vector<std::pair<IncarnationId, std::int64_t>> acknowledgements;
    std::vector<std::pair<std::string, JobPhase>> committedPhases;
    std::vector<std::string> removedJobs;
};

std::string rackOf(const ExecutorEntry& entry);
// How many tasks of the step each executor has in hand.
std::unordered_map<IncarnationId, int> tasksPerIncarnation(const StepState& step);

} // namespace internal

struct FleetScheduler::Impl {
    using Incarnation = internal::Incarnation;
    using JobState = internal::JobState;
    using StepState = internal::StepState;
    using TaskState = internal::TaskState;
    using Run = internal::Run;
    using RunKey = internal::RunKey;

    Impl(const SchedulerBounds& theBounds, Instant lastPredecessorCommit, Instant leadershipCommitSentAt)
        : bounds(theBounds)
        , predecessorLeasesUntil(lastPredecessorCommit
              + std::chrono::duration_cast<Duration>(
                  (theBounds.maxRenewalWithoutCommit + theBounds.longestLease) * internal::maxClockRateRatio))
        , renewalAllowedUntil(leadershipCommitSentAt + theBounds.maxRenewalWithoutCommit)
    {
    }

    // Jobs (SchedulerJobs.cpp)
    JobState& add(const JobRequest& request, Instant now);
    void openOccurrence(JobState& job, int number, Instant now);
    void openDueOccurrences(Instant now, std::int64_t unixMs);
    void updateReadySteps(JobState& job, int occurrence, Instant now);
    void restoreTask(JobState& job, const TaskRecord& record, Instant now);
    void advanceJob(JobState& job, Instant now);
    void finish(JobState& job, JobPhase phase, Instant now);
    void stopRuns(JobState& job, Instant now);
    void markTaskDone(StepState& step, int index);
    void markTaskWaiting(StepState& step, int index);
    void markDirty(JobState& job);
    JobRecord recordOf(const JobState& job) const;
    void removeFinishedJobs(Instant now);
    void buildCommit(SchedulerActions& actions);

    // Executors (SchedulerExecutors.cpp)
    Incarnation& addIncarnation(const ExecutorEntry& entry, Instant now);
    Incarnation* incarnationOf(const std::string& id);
    void replaceIncarnation(Incarnation& old, const ExecutorEntry& entry, Instant now);
    void settlePredecessor(Incarnation& incarnation, Instant now);
    void loseRuns(Incarnation& incarnation, Instant now, std::string_view why);
    void closeIncarnation(Incarnation& incarnation);
    void updatePool(Incarnation& incarnation);
    void evacuate(Incarnation& incarnation, Instant now);
    bool hasLeft(const Incarnation& incarnation, OrderResult result) const;
    void applyReport(Incarnation& incarnation, const ExecutorReport& report, Instant sentAt, Instant now);
    void applyEnd(Incarnation& incarnation, const EndedTask& end, Instant now);
    void applyRunning(Incarnation& incarnation, const ExecutorReport& report, Instant sentAt, Instant now);
    void updateThrottling(Incarnation& incarnation, const ExecutorReport& report);
    void endRun(Incarnation& incarnation, const RunKey& key, RunOutcome outcome,
        const std::string& checkpoint, Instant now);
    void countFailure(Incarnation& incarnation, StepState& step, const RunKey& key, Instant now);
    void requeue(Incarnation& incarnation, const RunKey& key, Instant now);
    void release(Incarnation& incarnation, const RunKey& key);
    void requestStop(Incarnation& incarnation, const RunKey& key, Instant now);
    std::optional<RunKey> keyOf(const TaskRef& task, int run) const;
    TaskRef refOf(const RunKey& key) const;
    std::int64_t extendLease(Incarnation& incarnation, Instant now);
    void expireLeases(Instant now);
    void sendOrders(Instant now, SchedulerActions& actions);
    void sendHeartbeats(Instant now, SchedulerActions& actions);
    void sendThrottles(SchedulerActions& actions);

    // Placement (SchedulerPlacement.cpp)
    void place(Instant now, SchedulerActions& actions);
    void placeStep(StepState& step, Instant now, SchedulerActions& actions);
    bool placeGang(StepState& step, const std::vector<IncarnationId>& candidates, Instant now);
    void requestApproval(StepState& step, Instant now, SchedulerActions& actions);
    bool hasApprovalCapacity(double expectedMs) const;
    bool hasRoomForApproval(const StepState& step) const;
    bool isCandidate(
        const StepState& step, const Incarnation& incarnation, const Resources& demand, Instant now) const;
    std::vector<IncarnationId> candidates(const StepState& step, Instant now) const;
    std::vector<IncarnationId> approvedCandidates(const StepState& step, Instant now) const;
    void lookUpPolicies(StepState& step) const;
    int pickExecutor(const StepState& step, const TaskState& task, const std::vector<IncarnationId>& from,
        const std::unordered_map<IncarnationId, int>& perIncarnation) const;
    bool fitsQuota(const StepState& step) const;
    void assign(StepState& step, int index, IncarnationId incarnation, int run, Instant now);
    Resources demandOf(const StepRequest& request) const;

    void addEvent(std::string eventName, std::string job, std::string detail);

    SchedulerBounds bounds;
    Instant predecessorLeasesUntil; // no lease that an earlier scheduler asked for reaches further
    Instant renewalAllowedUntil; // leases are prolonged until then
    FleetConfiguration configuration;
    std::unordered_map<std::string, std::unique_ptr<JobState>> jobs;
    std::deque<Incarnation> incarnations; // by IncarnationId; closed ones stay as small shells
    std::unordered_map<std::string, IncarnationId> currentIncarnations;
    std::map<std::string, internal::ServicePool> pools; // by service
    std::map<std::string, Resources> teamUsage;
    std::set<StepState*> ready; // steps with waiting tasks
    std::vector<JobState*> scheduled; // jobs with occurrences still to come
    std::vector<JobState*> dirty;
    std::set<std::pair<IncarnationId, RunKey>> openOrders; // runs whose start or stop is open
    std::optional<internal::CommitInFlight> commit;
    std::uint64_t nextCommit = 1;
    std::set<IncarnationId> throttlesDue; // lives where a task's share is to be changed
    bool isPlacementDue = true;
    Instant nextPlacement;
    int approvalCallerCount = 1; // nodes that can ask for approvals, one call at a time each
    std::unordered_map<std::string, internal::ApprovalInFlight> approvalsInFlight; // calls in hand by step
    double approvalsInFlightMs = 0; // of all of them
    double longApprovalsInFlightMs = 0; // of the long ones among them
    Instant nextRemoval;
    std::vector<DecisionEvent> events;
    SchedulerTimes times;
    SchedulerCounts totals;
};

} // namespace quay::fleet
