#include "quay/fleet/FleetScheduler.h"

#include <algorithm>
#include <benchmark/benchmark.h>
#include <cstdio>
#include <map>
#include <string>
#include <vector>

using namespace quay;
using namespace quay::fleet;

namespace {

constexpr int designExecutors = 1'900;
constexpr int longRunningTasksAtDesignSize = 2'200; // a fifth of 11,000 tasks
constexpr int batchTasksAtDesignSize = 8'800; // the other four fifths
constexpr double startsPerSecondAtDesignSize = 440;
constexpr int tasksPerJob = 6; // of urgent jobs
constexpr auto roundTime = 5ms;
constexpr auto taskTime = 800ms; // of tasks of urgent jobs
constexpr auto idleHeartbeatTime = 600ms; // longest wait before a heartbeat without ends is answered
constexpr std::size_t approvedPerCall = 12;

std::string jobId(int number)
{
    char text[17];
    std::snprintf(text, sizeof text, "%016x", number);
    return text;
}

FleetConfiguration configuration(bool withApproval)
{
    FleetConfiguration result;
    result.version = 1;
    result.queues = { { "urgent", "h", "/u/", "service", 0, 3, 1.5, 300, true, {} },
        { "batch", "h", "/b/", "service", 2, 3, 2.2, 1200, true, {} },
        { "lasting", "h", "/l/", "service", 1, 3, 2.2, 2500, true, {} } };
    if (withApproval)
        result.queues[0].approval = ApprovalPolicy { 17, 0.24, 2500 };
    result.services = { { "service", false, false } };
    return result;
}

JobRequest job(int number, const char* queue, int tasks, std::int64_t cpu, bool isLongRunning)
{
    JobRequest request;
    request.id = jobId(number);
    request.queue = queue;
    StepRequest step;
    step.taskCount = tasks;
    step.perTask = { cpu, 100, 0 };
    step.estimateMs = toMilliseconds(taskTime);
    step.isLongRunning = isLongRunning;
    request.steps = { step };
    return request;
}

// A scheduler with simulated executors that answer every call. The fleet runs long-running and batch tasks,
// and urgent jobs arrive at a constant rate.
class SimulatedCell {
public:
    SimulatedCell(int executors, bool withApproval, int backlog)
        : m_now(Instant {} + 3600s)
        , m_scheduler({}, m_now, m_now)
        , m_executors(executors)
        , m_startsEachRound(startsPerSecondAtDesignSize * executors / designExecutors
              * std::chrono::duration<double>(roundTime).count())
    {
        m_scheduler.configure(configuration(withApproval));
        for (int i = 0; i < executors; ++i) {
            ExecutorEntry entry;
            entry.id = "e" + std::to_string(i);
            entry.startedUnixMs = 1;
            entry.service = "service";
            entry.address = "a" + std::to_string(i);
            entry.capacity = { 32'000, 65'536, 0 };
            entry.labels = { "kind", "r" + std::to_string(i / 6) };
            m_scheduler.executorRegistered(entry, m_now);
        }
        for (int left = longRunningTasksAtDesignSize * executors / designExecutors; left > 0; left -= 8)
            m_scheduler.submit(job(m_nextJob++, "lasting", 8, 4000, true), m_now);
        for (int left = batchTasksAtDesignSize * executors / designExecutors; left > 0; left -= 16)
            m_scheduler.submit(job(m_nextJob++, "batch", 16, 2000, false), m_now);
        // These jobs keep waiting, because each of their tasks needs a whole executor.
        for (int i = 0; i < backlog; ++i)
            m_scheduler.submit(job(m_nextJob++, "batch", 16, 32'000, false), m_now);
        m_firstUrgent = jobId(m_nextJob);
        for (int i = 0; i < 2000; ++i)
            step();
        m_starts = 0;
        m_pumps.clear();
        m_schedulerTime = {};
    }

    void step()
    {
        m_now += roundTime;
        m_dueTasks += m_startsEachRound;
        for (; m_dueTasks >= tasksPerJob; m_dueTasks -= tasksPerJob) {
            const auto request = job(m_nextJob++, "urgent", tasksPerJob, 2500, false);
            measure([&] { m_scheduler.submit(request, m_now); });
        }
        endTasks();
        answerHeartbeats();
        SchedulerActions actions;
        const auto before = std::chrono::steady_clock::now();
        m_scheduler.pump(m_now, 0, actions);
        const auto spent = std::chrono::steady_clock::now() - before;
        m_schedulerTime += spent;
        m_pumps.push_back(std::chrono::duration<double, std::micro>(spent).count());
        carryOut(actions);
    }

    std::size_t starts() const { return m_starts; }
    double schedulerTimeUs() const
    {
        return std::chrono::duration<double, std::micro>(m_schedulerTime).count();
    }
    double pumpP99Us()
    {
        auto nth = m_pumps.begin() + static_cast<std::ptrdiff_t>(m_pumps.size() * 99 / 100);
        std::nth_element(m_pumps.begin(), nth, m_pumps.end());
        return *nth;
    }

private:
    struct Executor {
        std::map<TaskRef, int> running;
        std::vector<EndedTask> ended;
        std::int64_t lastEnd = 0;
        IncarnationId incarnation = -1;
        bool isHeartbeatOpen = false;
        Instant heartbeatSentAt;
        Instant answerAt;
    };

    template <typename Call> void measure(Call call)
    {
        const auto before = std::chrono::steady_clock::now();
        call();
        m_schedulerTime += std::chrono::steady_clock::now() - before;
    }

    static int numberOf(const std::string& executor) { return std::stoi(executor.substr(1)); }

    void endTasks()
    {
        while (!m_ends.empty() && m_ends.begin()->first <= m_now) {
            const auto [executor, task] = m_ends.begin()->second;
            m_ends.erase(m_ends.begin());
            auto& it = m_executors[executor];
            const int run = it.running[task];
            it.running.erase(task);
            it.ended.push_back({ ++it.lastEnd, task, run, RunOutcome::Done, {} });
            it.answerAt = m_now;
        }
    }

    void answerHeartbeats()
    {
        for (auto& it : m_executors) {
            if (!it.isHeartbeatOpen || it.answerAt > m_now)
                continue;
            it.isHeartbeatOpen = false;
            ExecutorReport report { toMilliseconds(m_now.time_since_epoch()), 1, {}, it.ended };
            for (const auto& [task, run] : it.running)
                report.running.push_back({ task, run, {}, 50, 0 });
            measure([&] {
                m_scheduler.heartbeatAnswered(
                    it.incarnation, OrderResult::Ok, report, it.heartbeatSentAt, m_now);
            });
        }
    }

    void carryOut(const SchedulerActions& actions)
    {
        for (const auto& it : actions.starts) {
            ++m_starts;
            auto& executor = m_executors[numberOf(it.executor)];
            executor.running[it.task] = it.run;
            if (it.task.job >= m_firstUrgent)
                m_ends.emplace(m_now + taskTime, std::pair(numberOf(it.executor), it.task));
            measure(
                [&] { m_scheduler.startAnswered(it.incarnation, it.task, it.run, OrderResult::Ok, m_now); });
        }
        for (const auto& it : actions.heartbeats) {
            auto& executor = m_executors[numberOf(it.executor)];
            std::erase_if(
                executor.ended, [&](const EndedTask& end) { return end.number <= it.acknowledgedEnd; });
            executor.incarnation = it.incarnation;
            executor.isHeartbeatOpen = true;
            executor.heartbeatSentAt = m_now;
            executor.answerAt
                = executor.ended.empty() ? m_now + std::min<Duration>(it.wait, idleHeartbeatTime) : m_now;
        }
        for (const auto& it : actions.approvals) {
            std::vector<Approval> approved;
            for (std::size_t i = 0; i < it.workers.size() && i < approvedPerCall; ++i)
                approved.push_back({ it.workers[i], "ticket" });
            measure(
                [&] { m_scheduler.approvalAnswered(it.step, true, it.workers, approved, 2500ms, m_now); });
        }
        if (actions.commit)
            measure([&] { m_scheduler.committed(actions.commit->number, m_now, m_now); });
    }

    Instant m_now;
    FleetScheduler m_scheduler;
    std::vector<Executor> m_executors;
    double m_startsEachRound;
    double m_dueTasks = 0;
    int m_nextJob = 1;
    std::string m_firstUrgent;
    std::multimap<Instant, std::pair<int, TaskRef>> m_ends;
    std::size_t m_starts = 0;
    std::vector<double> m_pumps;
    std::chrono::steady_clock::duration m_schedulerTime {};
};

void decide(benchmark::State& state)
{
    SimulatedCell cell(
        static_cast<int>(state.range(0)), state.range(1) != 0, static_cast<int>(state.range(2)));
    for ([[maybe_unused]] auto it : state)
        cell.step();
    state.counters["start_us"]
        = cell.schedulerTimeUs() / static_cast<double>(std::max<std::size_t>(1, cell.starts()));
    state.counters["pump_p99_us"] = cell.pumpP99Us();
    state.counters["cores"] = cell.schedulerTimeUs()
        / (static_cast<double>(state.iterations())
            * std::chrono::duration<double, std::micro>(roundTime).count());
}

} // namespace

// One iteration simulates 5 ms. The load is that of the design size, 1,900 executors, scaled to the number of
// executors.
BENCHMARK(decide)
    ->ArgNames({ "executors", "approval", "backlog" })
    ->ArgsProduct({ { 48, 350, 1900 }, { 0, 1 }, { 0, 300 } })
    ->Iterations(2000)
    ->Unit(benchmark::kMicrosecond);
