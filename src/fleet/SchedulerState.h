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
constexpr double clockTolerance = 1.0205;

enum class TaskPhase {
    Waiting,
    Active,
    Done,
};

struct TaskState {
    TaskPhase phase = TaskPhase::Waiting;
    int run = 0; // number of the newest run; 0: never started
    int failures = 0;
    LifeId life = -1; // of the active run
    LifeId avoid = -1; // where it failed last
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
    std::unordered_map<LifeId, Ticket> tickets; // approved executors
    std::unordered_set<LifeId> decided; // approved or not; a decision never changes
    bool isAsking = false;
    Instant nextAsk;
    Instant lastAsk;
    const QueuePolicy* queue = nullptr; // as configured now; null: the queue was never configured
    const TeamPolicy* team = nullptr; // null: none, or it was removed
    bool isReady = false; // its dependencies are done and its time has come
    Instant readySince;
    int chainMs = 0; // longest chain of estimates from here to the job's end

    const StepRequest& request() const;
    bool isComplete() const { return done == static_cast<int>(tasks.size()); }
};

struct Occurrence {
    std::vector<std::unique_ptr<StepState>> steps;
    bool isDone = false;
};

struct JobState {
    WorkRequest request;
    JobPhase phase = JobPhase::Queued;
    JobPhase shown = JobPhase::Queued; // what is durable
    std::map<int, Occurrence> occurrences; // those whose time has come and that are not done
    int nextOccurrence = 0;
    std::set<int> doneOccurrences; // of a scheduled job
    Instant acceptedAt;
    Instant finishedAt;
    Instant deadline; // of the objective
    bool hasBegun = false; // an executor has begun a task of it, as far as we have heard
    bool isDirty = false;
    bool isForgotten = false; // its rows are being removed
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
    Resources room; // what it takes of the executor
    Resources charged; // what its team is charged with
    std::string ticket;
    Instant ticketUntil; // a start without a valid ticket is refused
    Instant nextSend; // of the start, or of the stop once `wantsStop` is set
    bool inFlight = false; // an order was sent and its answer is open
    int unanswered = 0; // starts that got no answer and may be carried out later
    int unreached = 0; // starts of which no byte was sent
    bool isOrphan = false; // its task does not depend on it any more
    bool wantsStop = false;
    bool stopAcknowledged = false;
    Instant confirmedAt; // of the start or the stop: reports asked for later are conclusive
    int progress = 0; // percent done, as last reported
    Instant startedAt;
    int wantedPercent = 100;
    int percent = 100; // acknowledged by the executor
    bool isPacing = false;
};

// The registered executors of one service.
struct ServicePool {
    std::set<std::pair<std::int64_t, LifeId>> byFreeCpu; // the fullest first; counts processors only
    std::int64_t totalCpu = 0;
    std::int64_t usedCpu = 0;
    std::int64_t promisedCpu = 0; // what the steps of open calls for approval would take

    std::int64_t freeCpu() const { return totalCpu - usedCpu; }
    std::int64_t largestFreeCpu() const { return byFreeCpu.empty() ? 0 : byFreeCpu.rbegin()->first; }
};

struct Life {
    LifeId number = -1;
    ExecutorEntry entry;
    std::string rack;
    bool isListed = false;
    bool isClosed = false;
    bool hasAnswered = false; // under our fence
    bool isSilent = true; // the last look failed
    Resources used;
    std::map<RunKey, Run> runs;
    std::set<std::pair<TaskRef, int>> strays; // at work there, not ordered by us
    std::int64_t clockMs = 0;
    Instant clockAt; // when the clock's reading arrived
    std::int64_t grantedClockMs = 0; // the longest lease that was asked for, on its clock
    Instant leaseEnds; // all that runs there has ended by then, unless prolonged
    Instant lastAnswer;
    Instant unlistedAt;
    Instant leavesAt; // of a draining one: it serves at least until then
    bool isEvacuated = false;
    std::int64_t processedEnds = 0; // in memory
    std::int64_t acknowledgedEnds = 0; // durable
    Instant endsOpenSince; // of no meaning while both are equal
    bool holdInFlight = false;
    Instant nextHold;
    int silentLooks = 0;
    int failuresInRow = 0;
    Instant avoidUntil;
    std::map<RunKey, Instant>
        echoes; // starts that got no answer, when last sent: they may be carried out late
    // As it stands in the pool of its service; null: it is in none.
    ServicePool* pool = nullptr;
    std::int64_t pooledFree = 0;
    std::int64_t pooledTotal = 0;
    LifeId replaced = -1; // an earlier life of the same id whose runs are settled by our first report
};

// A call for approval in hand, and what its step would take.
struct OpenAsk {
    double expectedMs = 0;
    ServicePool* pool = nullptr;
    std::int64_t cpuMilli = 0;
};

struct CommitInFlight {
    std::uint64_t number = 0;
    std::vector<std::pair<LifeId, RunKey>> starts;
    std::vector<std::pair<LifeId, std::int64_t>> acknowledgements;
    std::vector<std::pair<std::string, JobPhase>> shown;
    std::vector<std::string> forgotten;
};

std::string rackOf(const ExecutorEntry& entry);
// How many tasks of the step each executor has in hand.
std::unordered_map<LifeId, int> tasksPerLife(const StepState& step);

} // namespace internal

struct FleetScheduler::Impl {
    using Life = internal::Life;
    using JobState = internal::JobState;
    using StepState = internal::StepState;
    using TaskState = internal::TaskState;
    using Run = internal::Run;
    using RunKey = internal::RunKey;

    Impl(const SchedulerBounds& theBounds, Instant lastForeignCommit, Instant ownCommitSent)
        : bounds(theBounds)
        , foreignLeasesUntil(lastForeignCommit
              + std::chrono::duration_cast<Duration>(
                  (theBounds.leaseAuthority + theBounds.longestLease) * internal::clockTolerance))
        , authorityUntil(ownCommitSent + theBounds.leaseAuthority)
    {
    }

    // Jobs (SchedulerJobs.cpp)
    JobState& add(const WorkRequest& request, Instant now);
    void openOccurrence(JobState& job, int number, Instant now);
    void openDueOccurrences(Instant now, std::int64_t unixMs);
    void refreshReady(JobState& job, int occurrence, Instant now);
    void restoreTask(JobState& job, const TaskRecord& record, Instant now);
    void settle(JobState& job, Instant now);
    void finish(JobState& job, JobPhase phase, Instant now);
    void stopRuns(JobState& job, Instant now);
    void taskDone(StepState& step, int index);
    void taskWaiting(StepState& step, int index);
    void markDirty(JobState& job);
    JobRecord recordOf(const JobState& job) const;
    void forgetFinished(Instant now);
    void buildCommit(SchedulerActions& actions);

    // Executors (SchedulerExecutors.cpp)
    Life& addLife(const ExecutorEntry& entry, Instant now);
    Life* lifeOfId(const std::string& id);
    void replaceLife(Life& old, const ExecutorEntry& entry, Instant now);
    void settleReplaced(Life& life, Instant now);
    void loseRuns(Life& life, Instant now, std::string_view why);
    void closeLife(Life& life);
    void repool(Life& life);
    void evacuate(Life& life, Instant now);
    bool hasLeft(const Life& life, OrderResult result) const;
    void applyReport(Life& life, const ExecutorReport& report, Instant sentAt, Instant now);
    void applyEnd(Life& life, const EndedTask& end, Instant now);
    void applyRunning(Life& life, const ExecutorReport& report, Instant sentAt, Instant now);
    void applyPacing(Life& life, const ExecutorReport& report);
    void endRun(Life& life, const RunKey& key, RunEnd how, const std::string& checkpoint, Instant now);
    void countFailure(Life& life, StepState& step, const RunKey& key, Instant now);
    void requeue(Life& life, const RunKey& key, Instant now);
    void release(Life& life, const RunKey& key);
    void wantStop(Life& life, const RunKey& key, Instant now);
    std::optional<RunKey> keyOf(const TaskRef& task, int run) const;
    TaskRef refOf(const RunKey& key) const;
    std::int64_t leaseClock(Life& life, Instant now);
    void expireLeases(Instant now);
    void sendOrders(Instant now, SchedulerActions& actions);
    void sendHolds(Instant now, SchedulerActions& actions);
    void sendPaces(SchedulerActions& actions);

    // Placement (SchedulerPlacement.cpp)
    void place(Instant now, SchedulerActions& actions);
    void placeStep(StepState& step, Instant now, SchedulerActions& actions);
    bool placeGang(StepState& step, const std::vector<LifeId>& candidates, Instant now);
    void askApproval(StepState& step, Instant now, SchedulerActions& actions);
    bool hasCaller(double expectedMs) const;
    bool hasRoomBesideOpenAsks(const StepState& step) const;
    bool isCandidate(const StepState& step, const Life& life, const Resources& room, Instant now) const;
    std::vector<LifeId> candidates(const StepState& step, Instant now) const;
    std::vector<LifeId> approvedCandidates(const StepState& step, Instant now) const;
    void lookUpPolicies(StepState& step) const;
    int pickLife(const StepState& step, const TaskState& task, const std::vector<LifeId>& from,
        const std::unordered_map<LifeId, int>& perLife) const;
    bool fitsQuota(const StepState& step) const;
    void assign(StepState& step, int index, LifeId life, int run, Instant now);
    Resources roomOf(const StepRequest& request) const;

    void note(std::string what, std::string job, std::string detail);

    SchedulerBounds bounds;
    Instant foreignLeasesUntil; // no lease that an earlier scheduler asked for reaches further
    Instant authorityUntil; // leases are prolonged until then
    FleetConfiguration configuration;
    std::unordered_map<std::string, std::unique_ptr<JobState>> jobs;
    std::deque<Life> lives; // by LifeId; closed ones stay as small shells
    std::unordered_map<std::string, LifeId> lifeById;
    std::map<std::string, internal::ServicePool> pools; // by service
    std::map<std::string, Resources> teamUsage;
    std::set<StepState*> ready; // steps with waiting tasks
    std::vector<JobState*> scheduled; // jobs with occurrences still to come
    std::vector<JobState*> dirty;
    std::set<std::pair<LifeId, RunKey>> attention; // runs whose start or stop is open
    std::optional<internal::CommitInFlight> commit;
    std::uint64_t nextCommit = 1;
    std::set<LifeId> pacing; // lives where a task's share is to be changed
    bool placementDue = true;
    Instant nextPlacement;
    int approvalCallers = 1; // nodes that can ask for approvals, one call at a time each
    std::unordered_map<std::string, internal::OpenAsk> asking; // calls in hand by step
    double askingMs = 0; // of all of them
    double askingLongMs = 0; // of the long ones among them
    Instant nextForget;
    std::vector<DecisionNote> notes;
    SchedulerTimes times;
    SchedulerCounts totals;
};

} // namespace quay::fleet
