#pragma once

#include "quay/fleet/FleetScheduler.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

// A small world around the scheduler: executors that fence, lease and list ends; messages that are late, lost
// or unanswered; commits that may be lost; successors that start from what is durable. Deterministic for a
// seed.
namespace quay::fleet::test {

/** Chances of a message's fate, of 1000. */
struct MessageFaults {
    int lostOrder = 0;
    int lostAnswer = 0; // carried out, not answered
    int lateOrder = 0; // not answered, carried out seconds later
};

struct FakeRun {
    int run = 0;
    Instant endsAt;
    RunOutcome end = RunOutcome::Done;
    Resources demand;
};

/** An executor as the published interface describes it. */
struct FakeExecutor {
    ExecutorEntry entry;
    std::int64_t fence = 0;
    std::map<TaskRef, FakeRun> running;
    std::map<TaskRef, int> highestEndedRun; // run numbers that ended or were stopped here
    std::vector<EndedTask> ended;
    std::int64_t lastNumber = 0;
    std::int64_t leaseUntil = 0; // on its clock
    Instant processStart;
    bool isUp = true;
    bool isReachable = true;
    bool hasLeft = false; // its port is closed
};

class FleetSimulation {
public:
    FleetSimulation(unsigned seed, int executors, MessageFaults faults = {});

    /** Length and outcome of a run; the default is 300 ms, done. */
    std::function<FakeRun(const TaskRef&, int run)> behaviour;

    FleetConfiguration configuration;
    std::vector<std::string> violations;
    Instant now;
    std::unique_ptr<FleetScheduler> scheduler;
    std::map<std::string, FakeExecutor> executors; // by id
    int startedRuns = 0;
    bool isStoreAvailable = true;
    std::set<std::string> approved; // executors that the approval service lets through
    int approvalCalls = 0;

    void submit(const JobRequest& request);
    void cancel(const std::string& id);
    /** Advances in steps of 5 ms. */
    void run(Duration span);
    /** The scheduler is gone; a successor starts from what is durable. Orders on their way stay on their way.
     */
    void takeover();
    void crash(const std::string& id);
    /** Starts again under the same id, knowing nothing. */
    void restart(const std::string& id);
    void deregister(const std::string& id);
    /** Drains for the time given, then leaves: what runs ends, the registration goes, the port is closed. */
    void drainAndLeave(const std::string& id, Duration after);
    std::size_t runsOf(const TaskRef& task) const;
    JobPhase phase(const std::string& job) const;
    /** When the store carried out the last commit. */
    Instant lastCommit() const { return m_lastCommit; }

private:
    struct Message {
        Instant at;
        std::uint64_t sequence;
        std::function<void()> deliver;
        bool operator<(const Message& other) const
        {
            return std::tie(at, sequence) < std::tie(other.at, other.sequence);
        }
    };

    void schedule(Duration delay, std::function<void()> action);
    bool chance(int perMille);
    std::int64_t clockOf(const FakeExecutor& executor) const;
    void advanceExecutors();
    void endRun(FakeExecutor& executor, const TaskRef& task, RunOutcome outcome);
    void perform(SchedulerActions& actions);
    template <typename Answer>
    void sendOrder(const std::string& id, std::function<OrderResult(FakeExecutor&)> carryOut, Answer answer);
    OrderResult start(FakeExecutor& executor, const StartAction& action, std::int64_t fence);
    OrderResult stop(FakeExecutor& executor, const StopAction& action, std::int64_t fence);
    void heartbeat(const HeartbeatAction& action);
    void commit(const CommitAction& action);
    void recordViolation(const std::string& what) { violations.push_back(what); }

    std::mt19937 m_random;
    MessageFaults m_faults;
    std::set<Message> m_messages;
    std::uint64_t m_nextMessage = 0;
    std::int64_t m_fence = 1;
    Instant m_lastCommit; // when the store carried it out
    int m_generation = 0; // of the scheduler: answers to an earlier one are dropped
    std::map<std::string, JobRequest> m_jobs; // durable
    std::set<std::string> m_cancelled; // durable
    std::map<std::string, std::string> m_records; // durable
    std::set<TaskRef> m_acknowledgedDone; // ends 'done' that were acknowledged
    std::set<std::string> m_deregistered;
};

/** A job of one step. */
JobRequest jobOf(const std::string& id, int tasks, Resources each = { 1000, 100, 0 });

} // namespace quay::fleet::test
