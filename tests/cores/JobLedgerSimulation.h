#pragma once

#include "SeededRandom.h"
#include "quay/core/JobLedger.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace quay::test {

/**
 * A failure domain in virtual time: a store, workers with state of their own, and successive leaders.
 * Checks after every step that no worker exceeds its capacity and no task runs in two places; checks starts,
 * gangs, writes and acknowledgements as they happen.
 *
 * Usage: `LedgerSimulation simulation(seed, rules); simulation.run(); CHECK(simulation.violation() == "");`
 */
class LedgerSimulation {
public:
    LedgerSimulation(std::uint64_t seed, LedgerRules rules);

    /** Runs with faults, then without faults until every job has ended. Stops at the first violation. */
    void run();

    /** The first violation; empty if there was none. */
    const std::string& violation() const { return m_violation; }
    std::size_t acceptedStarts() const { return m_acceptedStarts; }
    std::size_t takeovers() const { return m_epoch; }
    std::size_t steps() const { return m_steps; }
    std::size_t ended(JobState state) const;

private:
    struct Row {
        JobRecord record;
        std::uint64_t version = 0;
        std::pair<std::size_t, std::uint64_t> writer; // process and write id of the latest write
    };
    struct Process {
        JobLedger ledger;
        bool alive = true;
        Instant pausedUntil;
        Instant maySendUntil;
        std::vector<LedgerEvent> inbox;
        Instant pollAt;
        Instant placeAt;
    };
    struct Running {
        std::uint64_t epoch = 0;
        Instant leaseEnds; // on the worker's clock, converted to simulation time
        Instant killedAt; // when the task has ended after its lease expired
        Instant endsAt;
        bool ok = true;
        Resources size;
    };
    // The worker keeps its answers only for messageDelayBound, as its contract requires.
    struct CachedAnswer {
        bool accepted = false;
        Instant until;
    };
    struct Worker {
        ServerInfo info;
        std::uint64_t incarnation = 1;
        bool alive = true;
        Instant downUntil;
        Instant startsRefusedUntil; // after a restart, because earlier starts are not known any more
        Instant partitionedUntil;
        Instant answersLostUntil; // messages reach it, but its answers and reports are lost
        std::int64_t ratePermille = 1000; // rate of its clock relative to simulation time
        std::uint64_t epoch = 0;
        std::map<TaskAttempt, Running> running;
        std::map<TaskAttempt, EndedTask> ended;
        std::map<TaskAttempt, CachedAnswer> answers;
        std::map<TaskAttempt, Instant> stopped; // until when the stop is kept
    };
    using Message = std::function<void()>;

    void recordViolation(std::string text);
    void advance();
    void checkWorkerState();
    void checkGang(std::size_t index, const SendStart& start);
    void injectFaults();
    void injectWrongHints();
    WorkerList listWithout(const ServerId& missing) const;
    void deliverDue();
    void scheduleAfter(Duration delay, Message message);
    Duration messageDelay();
    Duration killDelay();
    void sendToWorker(std::size_t from, const ServerId& to, const std::function<void(Worker&)>& message);
    void sendToProcess(std::size_t to, LedgerEvent event);
    void answer(const Worker& worker, std::size_t to, LedgerEvent event);

    void takeOver(std::size_t index);
    void runProcess(std::size_t index);
    void feed(std::size_t index, const LedgerEvent& event);
    void perform(std::size_t index, const LedgerAction& action);
    void poll(std::size_t index);
    void place(std::size_t index);
    void placeJob(std::size_t index, const std::vector<PendingTask>& tasks);

    void submit();
    void announce(std::size_t process, const JobRecord& record, std::uint64_t version);
    void cancelSome();
    void write(std::size_t index, const WriteRecord& action);
    void applyWrite(std::size_t index, const WriteRecord& action, bool answerLost);
    void checkWrite(const JobRecord& before, const JobRecord& after);
    bool allEnded() const;

    void startTask(std::size_t from, Worker& worker, const SendStart& start);
    bool acceptStart(Worker& worker, const SendStart& start);
    void checkStart(const Worker& worker, const SendStart& start);
    void expireMemory(Worker& worker);
    void stopAttempt(Worker& worker, const TaskAttempt& attempt);
    void runWorker(Worker& worker);
    void endTask(Worker& worker, const TaskAttempt& attempt, bool ok, const std::string& result);
    void renew(Worker& worker, const SendRenew& renewal);
    void acknowledge(Worker& worker, const SendAck& ack);
    void crash(Worker& worker);
    Resources usage(const Worker& worker) const;
    WorkerReport report(const Worker& worker, Instant requestedAt) const;

    SeededRandom m_choices;
    LedgerRules m_rules;
    Instant m_now;
    bool m_faults = true;
    Instant m_storeDownUntil;
    std::uint64_t m_epoch = 0;
    std::size_t m_leader = 0;
    std::uint64_t m_version = 0;
    std::map<JobId, Row> m_rows;
    std::vector<Process> m_processes;
    std::map<ServerId, Worker> m_workers;
    std::multimap<Instant, Message> m_messages;
    std::map<TaskId, std::size_t> m_starts; // accepted starts, by task
    std::set<TaskId> m_succeededTasks;
    std::set<JobId> m_cancelled;
    std::size_t m_acceptedStarts = 0;
    std::size_t m_steps = 0;
    std::string m_violation;
};

} // namespace quay::test
