#pragma once

#include "fleet/CrashBlame.h"
#include "fleet/DurationModel.h"
#include "fleet/SpeedPreference.h"
#include "fleet/StepOrder.h"
#include "fleet/TeamShares.h"
#include "fleet/WarmUp.h"
#include "quay/fleet/FleetScheduler.h"

#include <deque>
#include <map>
#include <set>
#include <unordered_map>

namespace quay::fleet {

namespace internal {

struct JobState;

// Bounds the rate of an executor's clock against ours in both directions: 1 / 0.98, rounded up, because the
// published bound is 2 %.
constexpr double maxClockRateRatio = 1.0205;

// A long-running step that has waited this long comes before all others if it can get room: a user has done
// without it since, and an approval, a commit and the ends of running tasks have to fit into the rest of six
// seconds.
constexpr auto overdueAfter = 1500ms;

// How long an order without an answer may still be carried out; delays of 12 s were observed.
constexpr auto maxOrderDelay = 20s;

constexpr double otherDomainPenalty = 500; // of an executor outside the step's failure domain, in placement

constexpr std::size_t maxEndsPerReport = 500; // executors truncate a report at this number of ends

enum class TaskPhase {
    Waiting,
    Active,
    Done,
};

struct TaskState {
    TaskPhase phase = TaskPhase::Waiting;
    int run = 0; // number of the newest run; 0: never started
    int failures = 0;
    IncarnationId incarnation = -1; // where the active run is
    IncarnationId lastFailedOn = -1; // where the last failed run was
    int crashes = 0; // of executors, in a row, that are blamed on it; above 0 it is a suspect
    std::uint64_t lastCrash = 0; // number in Impl::crashHistory; 0: none, or of an earlier leader
    bool wasBlamed = false; // by this leader, since it was cleared
    Instant startNotBefore; // of a long-running suspect
    Instant apartUntil; // afterwards a suspect may share an executor with others
    std::string checkpoint;
};

// The decision of the approval service about one executor for one step. It is final; only its ticket expires.
struct ExecutorApproval {
    bool isApproved = false;
    std::string ticket;
    Instant ticketUntil; // the ticket may be used for a start until then
    int ticketRefusals = 0; // consecutive: the executor refused the ticket, or an answer had none for it
    Instant renewFrom; // earliest time of the next call for a ticket
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
    int lastCrashedGangRun = 0;
    std::string gangCheckpoint; // newest checkpoint of any member; valid for all members
    std::unordered_map<IncarnationId, ExecutorApproval> approvals; // of the executors with a decision
    bool isApprovalInFlight = false;
    Instant nextApprovalCall;
    Instant lastApprovalCall;
    const QueuePolicy* queue = nullptr; // see Impl::policyOf()
    const TeamPolicy* team = nullptr; // current policy; null: no team, or it was removed
    bool isReady = false; // the steps it depends on are complete, and its occurrence is due
    Instant readySince;
    Instant waitingSince; // since when it has had waiting tasks; meaningful only while it is ready
    Instant turnLapsedAt; // see StepTurns; meaningful only if later than waitingSince
    Instant nextRoomCheck; // of an overdue step
    bool hasPossibleRoom = false; // result of the last check, see Impl::canServiceGetRoom()
    int criticalPathMs
        = 0; // sum of expected durations on the longest path from this step to the end of the job
    StepPace pace; // of its first runs

    const StepRequest& request() const;
    bool isApproved(IncarnationId executor) const;
    bool isComplete() const { return done == static_cast<int>(tasks.size()); }
};

struct Occurrence {
    std::vector<std::unique_ptr<StepState>> steps;
    bool isDone = false;
};

struct JobState {
    std::uint64_t number = 0; // in the order in which the scheduler came to know its jobs
    JobRequest request;
    JobPhase phase = JobPhase::Queued;
    JobPhase durablePhase = JobPhase::Queued; // the phase that callers see
    std::map<int, Occurrence> occurrences; // those that are due; a job without a schedule has one
    int nextOccurrence = 0;
    std::set<int> doneOccurrences;
    std::size_t openOccurrences = 0; // of `occurrences`, those that are not done
    Instant acceptedAt;
    Instant finishedAt;
    Instant deadline; // of the objective
    bool hasStarted = false; // an executor is known to have started one of its tasks
    bool isDirty = false; // its record has changed since the last commit was built
    std::uint64_t dirtySince = 0; // number of the first commit that could have contained the change
    bool isExpired = false; // past its retention
    bool isBeingRemoved = false; // the next commit with this job deletes its record
    bool isBeyondShare = false; // see TeamShares; not kept across leaders
};

enum class RunPhase {
    Recording, // waits for its commit; no order was sent
    Starting, // committed; a start may have been sent
    Running, // confirmed by the executor
    Inherited, // recorded by an earlier leader; not yet confirmed by the executor
};

// Ordered by the number of the job and not by its address, so that the scheduler is deterministic. The number
// is a copy, because a key may outlive its job.
struct RunKey {
    RunKey(JobState* theJob, int theOccurrence, int theStep, int theIndex, int theRun)
        : jobNumber(theJob->number)
        , job(theJob)
        , occurrence(theOccurrence)
        , step(theStep)
        , index(theIndex)
        , run(theRun)
    {
    }

    std::uint64_t jobNumber;
    JobState* job;
    int occurrence;
    int step;
    int index;
    int run;

    auto operator<=>(const RunKey&) const = default;
};

struct Run {
    RunPhase phase = RunPhase::Recording;
    Resources demand; // counted against the executor's capacity
    Resources charged; // counted against the team's upper limit
    bool isOpenEnded = false; // of a long-running step, and not asked to stop: its end is not in sight
    Instant placedAt; // zero if an earlier leader placed it
    std::string ticket;
    Instant ticketUntil; // afterwards the executor refuses a start with this ticket
    Instant nextSend; // earliest time of the next start, or stop if isStopRequested, that is sent
    bool isInFlight = false; // a start or stop was sent and not answered yet
    bool isStartInFlight = false; // and it was a start
    std::int64_t sentEpoch = 0; // of the start or stop that was sent last
    int unansweredAttempts = 0; // starts without an answer, which may still be carried out
    int unreachableAttempts = 0; // starts that could not be sent
    bool isOrphan = false; // its end no longer changes the state of its task
    bool isStopRequested = false;
    bool isStopAcknowledged = false;
    // When the start or stop was confirmed. A report that was requested later and omits the run proves its
    // end.
    Instant confirmedAt;
    int progress = 0; // percent done, as last reported
    Instant startedAt;
    Instant startSentAt; // for the first time; zero: it was not sent by this leader
    bool hasSpeedSample = false; // its progress was taken as one, see Impl::learnFromProgress()
    bool isOutlier = false; // and this sample was one
    int targetPercent = 100; // CPU share that the run should have
    int percent = 100; // CPU share that the executor has confirmed
    bool isThrottleInFlight = false;
    std::int64_t throttleEpoch = 0; // of the throttle that was sent last

    // Of the last start without an answer. The process refuses it once it has answered a heartbeat of a
    // higher epoch. -1: none, or refused.
    std::int64_t openEpoch = -1;

    // A start that was sent may yet be carried out without the scheduler knowing.
    bool isStartOpen() const { return isStartInFlight || openEpoch >= 0; }
};

// Executors of one service to which a step may be limited, such as those with a label.
struct ExecutorGroup {
    std::size_t size = 0;
    std::size_t reserved = 0; // during one placement pass: those with reservedFor set
    Resources total;
    Resources used;
    Resources usedByOpenEndedRuns;
};

// The registered executors of one service.
struct ServicePool {
    std::set<std::pair<std::int64_t, IncarnationId>> byFreeCpu; // free CPU in millicores, least first
    ExecutorGroup all;
    ExecutorGroup withAccelerators;
    std::map<std::string, ExecutorGroup> byLabel;
    // Like byFreeCpu, by speed class, fastest first. Classes without executors are absent.
    std::map<int, std::set<std::pair<std::int64_t, IncarnationId>>> bySpeed;
    ServiceSpeeds speeds;
    // Demand of the waiting tasks of steps with an approval call in flight.
    std::int64_t awaitingApprovalCpu = 0;

    std::int64_t freeCpu() const { return all.total.cpuMilli - all.used.cpuMilli; }
    bool isUnderHalfUsed() const { return (all.used * 2).fitsIn(all.total); }
    void removeOfSpeed(int speedClass, const std::pair<std::int64_t, IncarnationId>& executor);
    std::int64_t largestFreeCpu() const { return byFreeCpu.empty() ? 0 : byFreeCpu.rbegin()->first; }
};

// State of one incarnation of an executor.
struct Incarnation {
    IncarnationId number = -1;
    ExecutorEntry entry;
    std::string rack;
    std::size_t domain = 0; // index of its failure domain in Impl::domains
    bool isRegistered = false;
    bool isClosed = false;
    bool hasAnswered = false; // with our fencing token, so it refuses orders of earlier leaders
    bool isUnresponsive = true; // the last heartbeat failed, or none was answered yet
    Resources used;
    Resources usedByOpenEndedRuns; // part of `used`, see Run::isOpenEnded
    std::map<RunKey, Run> runs;
    std::set<std::pair<TaskRef, int>> unknownRuns; // reported as running, but not in `runs`
    bool hasUncountedRuns = false; // the last report listed runs that are not in `runs`, nor in `used`
    std::set<TaskRef> strayTasks; // with a run in the last report that was given up; see Impl::hasStrayRun()
    std::int64_t clockMs = 0; // last reported reading of its clock
    Instant clockReceivedAt;
    std::int64_t requestedLeaseClockMs = 0; // end of the longest lease requested so far, on its clock
    Instant leaseEndsAt; // upper bound of the end of its lease, on our clock
    Instant lastAnswer; // to a heartbeat
    Instant silentSince; // of the first heartbeat without an answer since the last answer; zero: none
    bool isCrashJudged = false; // since the last answer
    Instant lastAnswerSentAt; // when that heartbeat was sent
    Instant
        acknowledgementHeldSince; // meaningful only while an acknowledgement is due and held back; else zero
    Instant lastUnverifiedStart; // when a start was last answered that a later process may have carried out
    Instant servesUntil; // a draining executor runs tasks at least until then
    WarmUp warmUp;
    std::int64_t processedEnds = 0; // number of the newest end that was applied in memory
    std::int64_t acknowledgedEnds = 0; // number of the newest end that is durable
    Instant unacknowledgedSince; // meaningful only while processedEnds > acknowledgedEnds
    bool isHeartbeatInFlight = false;
    std::int64_t heartbeatEpoch = 0; // of the heartbeat that was sent last
    std::int64_t sentAcknowledgement = 0; // carried by the last heartbeat; 0: none
    std::int64_t confirmedAcknowledgement = 0; // the highest one that the executor has answered
    // Until then a heartbeat that acknowledges ends of this process may still be carried out.
    Instant unansweredAcknowledgementUntil;
    // Until then such a heartbeat to an earlier process may make this one discard its own ends.
    Instant staleAcknowledgementUntil;
    Instant nextHeartbeat;
    int missedHeartbeats = 0;
    Instant lastMiss; // when a heartbeat last failed
    int consecutiveFailures = 0;
    Instant backoffUntil;
    ExecutorSpeed speed;
    SpeedMean* speedOfKind = nullptr; // of its kind, in `pool`; null while it is in none
    int speedClass = 0;
    // Starts without an answer, which may still be carried out, and when each was last given up.
    std::map<RunKey, Instant> unansweredStarts;
    // The pool that contains this executor, with the values under which it was added; null: none.
    ServicePool* pool = nullptr;
    std::int64_t claimedCpu = 0; // expected by the approval calls in flight that name it
    // During one placement pass: an overdue step for which room is reserved here, and what others may take.
    const StepState* reservedFor = nullptr;
    Resources unreserved;
    std::vector<ExecutorGroup*> groups; // those of `pool` that contain this executor
    Resources pooledTotal;
    Resources pooledUsed;
    Resources pooledUsedByOpenEndedRuns;
    // An earlier incarnation of the executor, whose runs are known to have ended once this one answers.
    IncarnationId predecessor = -1;

    bool hasStartInFlight() const;
    bool hasOpenStart() const;
    bool isAcknowledgementOverdue(Instant now) const;
    bool isSameProcess(std::int64_t clock) const;
    std::int64_t pooledFreeCpu() const { return pooledTotal.cpuMilli - pooledUsed.cpuMilli; }
    void addUsage(const Run& run);
    void removeUsage(const Run& run);
    bool mayHaveStartedInLaterProcess() const;
    // An acknowledgement was sent and not answered yet.
    bool isAcknowledgementInFlight() const { return isHeartbeatInFlight && sentAcknowledgement > 0; }
};

// An approval call that was sent, with the CPU demand of the waiting tasks of its step.
struct ApprovalInFlight {
    double expectedMs = 0;
    ServicePool* pool = nullptr;
    std::int64_t cpuMilli = 0;
    bool isOverdue = false; // of an overdue step, see Impl::isOverdue()
    std::vector<IncarnationId> named;
    std::int64_t claimEach = 0; // of each named one, in claimedCpu
};

// Requests to empty failure domains.
struct Evacuations {
    EvacuationView view;
    std::map<std::string, Instant> heededSince; // by domain of the view
    Instant nextMove; // earliest time of the next pass over the tasks that may be moved
    Instant nextHeldReport; // earliest time of the next starts_held event
};

struct CommitInFlight {
    std::uint64_t number = 0;
    std::vector<std::pair<IncarnationId, RunKey>> starts;
    std::vector<std::pair<IncarnationId, std::int64_t>> acknowledgements;
    std::vector<std::pair<std::string, JobPhase>> committedPhases;
    std::vector<std::string> removedJobs;
};

// What the active tasks of a team are charged, of which long-running ones, see Run::isOpenEnded.
struct TeamUsage {
    Resources total;
    Resources openEnded;

    void add(const Run& run);
    void remove(const Run& run);
};

std::string rackOf(const ExecutorEntry& entry);
std::vector<int> criticalPaths(const JobRequest& request, const std::vector<double>& durationsMs);
// Number of active tasks of the step by executor.
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
                  (theBounds.maxRenewalWithoutCommit + theBounds.maxLeaseDuration)
                  * internal::maxClockRateRatio))
        , renewalAllowedUntil(leadershipCommitSentAt + theBounds.maxRenewalWithoutCommit)
    {
    }

    // Jobs (SchedulerJobs.cpp)
    JobState& addJob(const JobRequest& request, Instant now);
    void openOccurrence(JobState& job, int number, Instant now);
    void openDueOccurrences(Instant now, std::int64_t unixMs);
    void updateReadySteps(JobState& job, int occurrence, Instant now);
    void restoreTask(JobState& job, const TaskRecord& record, Instant now);
    void advanceJob(JobState& job, Instant now);
    void finishJob(JobState& job, JobPhase phase, Instant now);
    void stopRuns(JobState& job, Instant now);
    void markTaskDone(StepState& step, int index);
    void markTaskWaiting(StepState& step, int index, Instant now);
    void markDirty(JobState& job);
    JobRecord recordOf(const JobState& job) const;
    void expireFinishedJobs(Instant now, SchedulerActions& actions);
    void orderDirtyJobs();
    void buildCommit(SchedulerActions& actions);

    // Executors (SchedulerExecutors.cpp)
    Incarnation& addIncarnation(const ExecutorEntry& entry, Instant now);
    Incarnation* incarnationOf(const std::string& id);
    std::int64_t epochOf(const Incarnation& incarnation) const;
    void raiseEpoch(const Incarnation& incarnation, std::int64_t epoch);
    Incarnation& replaceIncarnation(
        Incarnation& old, const ExecutorEntry& entry, bool isRegistered, Instant now);
    void moveRun(Incarnation& from, Incarnation& to, const RunKey& key);
    void closePredecessor(Incarnation& incarnation, const ExecutorReport& report, Instant now);
    void loseRuns(Incarnation& incarnation, Instant now, std::string_view why);
    void closeIncarnation(Incarnation& incarnation);

    // Crashes (SchedulerCrashes.cpp)
    void judgeCrash(Incarnation& incarnation, bool isGone, Instant now);
    std::size_t silentTogether(const Incarnation& incarnation, Instant silentSince) const;
    RunAtCrash runAtCrash(const RunKey& key, const Run& run) const;
    void blame(const RunKey& key, Instant now);
    void clearSuspect(const TaskRef& ref, TaskState& task, std::string_view why);
    void forgetSuspects(const JobState& job);
    bool isKeptApart(const TaskState& task, const Incarnation& incarnation, Instant now) const;

    void updatePool(Incarnation& incarnation);
    void leavePool(Incarnation& incarnation);
    std::size_t domainIndex(const std::string& zone);
    void evacuate(Incarnation& incarnation, Instant now);
    std::int64_t cpuAwaitingPlacement(const std::string& service) const;
    bool hasRoomElsewhere(const StepState& step, std::int64_t claimed, Instant now) const;
    Duration expectedTimeLeft(
        const Incarnation& incarnation, const RunKey& key, const Run& run, Instant now) const;
    void applyReport(Incarnation& incarnation, const ExecutorReport& report, Instant sentAt, Instant now);
    void applyEnd(Incarnation& incarnation, const EndedTask& end, Instant now);
    void applyRunning(Incarnation& incarnation, const ExecutorReport& report, Instant sentAt, Instant now);
    std::set<TaskRef> strayTasks(const Incarnation& incarnation, const ExecutorReport& report) const;
    void setStrayTasks(Incarnation& incarnation, std::set<TaskRef> tasks);
    bool hasStrayRun(const StepState& step, int index) const;
    void updateThrottling(Incarnation& incarnation, const ExecutorReport& report);
    void endRun(Incarnation& incarnation, const RunKey& key, RunOutcome outcome,
        const std::string& checkpoint, Instant now);
    void completeTask(StepState& step, int index);
    void applyLateDone(const RunKey& key, Instant now);
    void countFailure(Incarnation& incarnation, StepState& step, const RunKey& key, Instant now);
    void requeue(Incarnation& incarnation, const RunKey& key, Instant now);
    void releaseRun(Incarnation& incarnation, const RunKey& key);
    void requestStop(Incarnation& incarnation, const RunKey& key, Instant now);
    void markStopRequested(Incarnation& incarnation, const RunKey& key, Run& run);
    std::optional<RunKey> keyOf(const TaskRef& task, int run) const;
    TaskRef taskRefOf(const RunKey& key) const;
    void boundLease(Incarnation& incarnation, Instant now) const;
    std::int64_t extendLease(Incarnation& incarnation, Instant now);
    void checkExecutors(Instant now);
    void sendOrders(Instant now, SchedulerActions& actions);
    void sendHeartbeats(Instant now, SchedulerActions& actions);
    void sendThrottles(SchedulerActions& actions);

    // Evacuations (SchedulerEvacuation.cpp)
    void setEvacuations(const EvacuationView& view, Instant now);
    EvacuationCounts countEvacuation(const std::string& domain) const;
    bool isEmptied(const Incarnation& incarnation) const;
    bool mayPlace() const;
    bool isStartHeld(const Incarnation& incarnation, Instant now);
    void withdrawStart(Incarnation& incarnation, const RunKey& key, const std::string& why, Instant now);
    void withdrawStarts(Incarnation& incarnation, Instant now);
    std::size_t startsLeft(const Incarnation& incarnation, Instant now) const;
    bool isWorthMoving(const Incarnation& incarnation, const RunKey& key, const Run& run, Instant now) const;
    void moveOffEmptiedDomains(Instant now);
    std::size_t domainOutsideEvacuations(std::size_t hash) const;

    // Speeds (SchedulerSpeeds.cpp)
    double logFactorOf(const Incarnation& incarnation, Instant now) const;
    void learnFromEnd(Incarnation& incarnation, const RunKey& key, const Run& run, Instant now);
    void learnFromProgress(Incarnation& incarnation, const RunKey& key, Run& run, Instant now);
    void updateSpeedClass(Incarnation& incarnation, Instant now);
    void checkSpeeds(Instant now);
    double expectedTaskMs(const StepState& step) const;
    std::vector<double> expectedDurations(const JobRequest& request) const;
    SpeedPreference speedPreferenceOf(const StepState& step, Instant now) const;

    // Placement (SchedulerPlacement.cpp)
    void place(Instant now, SchedulerActions& actions);
    WaitingStep waitingStep(StepState& step, Instant now) const;
    bool mayFindRoom(const StepState& step, bool isTurn) const;
    void placeStep(StepState& step, bool overdue, bool isTurn, Instant now, SchedulerActions& actions);
    bool placeGang(StepState& step, const std::vector<IncarnationId>& candidates, Instant now);
    void requestApproval(
        StepState& step, bool overdue, const SpeedPreference& speeds, Instant now, SchedulerActions& actions);
    void rejectTicket(StepState& step, IncarnationId number, const std::string& ticket, Instant now) const;
    bool isOverdue(StepState& step, Instant now) const;
    void reserveExecutors(StepState& step, Instant now);
    bool isReservedForOther(const StepState& step, const Incarnation& incarnation) const;
    Resources roomFor(const StepState& step, const Incarnation& incarnation, Instant now) const;
    bool reportHold(StepState& step, Instant now);
    void reportShare(const std::vector<StepState*>& steps, Instant now);
    bool hasCallerCapacityForOverdueStep() const;
    bool hasCallerCapacityForApproval(double expectedMs) const;
    bool hasExecutorCapacityForApproval(const StepState& step) const;
    bool isUsable(const StepState& step, const Incarnation& incarnation, Instant now) const;
    bool isCandidate(
        const StepState& step, const Incarnation& incarnation, const Resources& demand, Instant now) const;
    std::vector<IncarnationId> candidates(
        const StepState& step, const SpeedPreference& speeds, Instant now) const;
    std::vector<IncarnationId> approvedCandidates(const StepState& step, Instant now) const;
    const QueuePolicy* policyOf(const JobRequest& request) const;
    void lookUpPolicies(StepState& step) const;
    int pickExecutor(const StepState& step, const TaskState& task, const std::vector<IncarnationId>& from,
        const std::unordered_map<IncarnationId, int>& perIncarnation, const SpeedPreference& speeds,
        Instant now) const;
    std::optional<std::size_t> preferredDomain(const StepState& step) const;
    bool fitsQuota(const StepState& step) const;
    bool isKeptForUrgentSteps(const StepState& step, const internal::ServicePool& pool) const;
    void assign(StepState& step, int index, IncarnationId incarnation, int run, Instant now);
    Resources demandOf(const StepRequest& request) const;
    bool canGetRoom(const StepState& step, const Incarnation& incarnation) const;
    bool canServiceGetRoom(const StepState& step) const;
    bool isEligible(const StepState& step, const Incarnation& incarnation) const;

    void addEvent(std::string eventName, std::string job, std::string detail);

    SchedulerBounds bounds;
    Instant predecessorLeasesUntil; // upper bound of the end of all leases granted by earlier leaders
    Instant renewalAllowedUntil; // leases must not be renewed from this time on
    FleetConfiguration configuration;
    std::map<std::string, QueuePolicy> lastPolicies; // of queues that earlier configurations had, by name
    std::unordered_map<std::string, std::unique_ptr<JobState>> jobs;
    std::uint64_t nextJobNumber = 1;
    std::deque<Incarnation> incarnations; // indexed by IncarnationId; closed ones are never erased
    std::unordered_map<std::string, IncarnationId> currentIncarnations; // by executor id
    // By executor id; kept when an incarnation is closed, because its orders may reach the next one.
    std::unordered_map<std::string, std::int64_t> epochs;
    std::map<std::string, internal::ServicePool> pools; // by service
    std::vector<std::string> domains; // failure domains of all executors so far
    internal::Evacuations evacuations;
    std::map<std::string, internal::TeamUsage> teamUsage;
    std::set<StepState*> readySteps; // steps with waiting tasks
    std::vector<JobState*> scheduledJobs; // jobs with occurrences that are not due yet
    std::vector<JobState*> dirtyJobs;
    std::set<std::pair<IncarnationId, RunKey>> openOrders; // runs with an unconfirmed start or stop
    std::optional<internal::CommitInFlight> commit;
    std::uint64_t nextCommit = 1;
    Instant nextExecutorCheck;
    Instant nextHeartbeatCheck;
    std::set<IncarnationId> unacknowledgedExecutors; // with processedEnds > acknowledgedEnds
    std::set<IncarnationId> executorsWithUnknownRuns;
    CrashHistory crashHistory;
    std::set<TaskRef> suspects; // tasks with `crashes` above 0 of jobs that are not finished
    std::map<TaskRef, int> strayRuns; // number of executors by task, see Incarnation::strayTasks
    std::set<IncarnationId> throttlesDue; // executors with a run whose CPU share has to change
    bool isPlacementDue = true;
    Instant nextPlacement;
    int approvalCallerCount = 1; // nodes that call the approval service, one call at a time each
    std::unordered_map<std::string, internal::ApprovalInFlight> approvalsInFlight; // by stepText()
    double approvalsInFlightMs = 0; // sum of the expected durations
    double longApprovalsInFlightMs = 0; // sum over the long calls
    int overdueApprovalsInFlight = 0; // calls for overdue steps
    std::vector<IncarnationId> reservedExecutors; // with reservedFor set
    StepTurns turns;
    TeamShares shares;
    Instant nextHoldReport; // earliest time of the next step_held event
    Instant nextExpiry;
    DurationModel durations;
    Instant nextSpeedCheck;
    std::size_t slowExecutors = 0; // at the last check
    std::vector<DecisionEvent> events;
    SchedulerTimes times;
    SchedulerCounts totals;
};

} // namespace quay::fleet
