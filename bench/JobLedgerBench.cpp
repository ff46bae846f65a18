#include "quay/core/JobLedger.h"

#include <benchmark/benchmark.h>

// CPU cost of a task in the ledger from submission to acknowledged end, with a constant number of other tasks
// running. Each job has one task. Reports, renewals and ticks of the elapsed time are included.
namespace quay {
namespace {

constexpr std::int64_t workerCount = 80;
constexpr std::int64_t tasksPerSecond = 20; // sets the share of renewals and reports that each task pays for
constexpr Duration pollInterval = 500ms;
constexpr Duration tickInterval = 100ms;

class BenchDomain {
public:
    explicit BenchDomain(std::int64_t running)
    {
        m_ledger.domain = DomainId("d");
        WorkerList list;
        for (std::int64_t number = 0; number < workerCount; ++number)
            list.servers.push_back(makeWorker(number));
        feed(list);
        feed(BecameLeader { 1, {} });
        m_now += m_ledger.settings.staleLeaderBound + m_ledger.settings.messageDelayBound;
        reportAll();
        for (std::int64_t task = 0; task < running; ++task)
            startNext();
        m_running = running;
    }

    /** Submits and starts one task and ends the oldest one. */
    void cycle()
    {
        startNext();
        endOldest();
        passTime(Duration(1s) / tasksPerSecond);
    }

    std::size_t jobCount() const { return m_ledger.jobs.size(); }

private:
    static ServerInfo makeWorker(std::int64_t number)
    {
        ServerInfo info;
        info.id = workerId(number);
        info.domain = DomainId("d");
        info.capacity = { 32000, 64000, 0 };
        return info;
    }

    static ServerId workerId(std::int64_t number) { return ServerId("w" + std::to_string(number)); }

    static JobId jobId(std::int64_t number) { return JobId("j" + std::to_string(number)); }

    std::vector<LedgerAction> feed(const LedgerEvent& event) { return step(m_ledger, event, m_now); }

    // Confirms all writes immediately, also those that follow from a confirmation.
    void confirmWrites(const std::vector<LedgerAction>& actions)
    {
        for (const LedgerAction& action : actions)
            if (const auto* write = std::get_if<WriteRecord>(&action))
                confirmWrites(feed(WriteDone { write->writeId, ++m_version }));
    }

    void startNext()
    {
        const std::int64_t number = m_next++;
        JobRecord record;
        record.id = jobId(number);
        record.domain = DomainId("d");
        record.spec.team = TeamId("t");
        record.spec.perTask = { 100, 100, 0 };
        record.tasks.resize(1);
        feed(JobAccepted { record, ++m_version });
        const ServerId worker = workerId(number % workerCount);
        confirmWrites(feed(PlacementsChosen { { { record.id, 0, worker } } }));
        const TaskAttempt attempt { taskId(record.id, 0), 1 };
        feed(StartAnswer { worker, attempt, StartOutcome::Accepted, {} });
    }

    void endOldest()
    {
        const std::int64_t number = m_next - m_running - 1;
        WorkerReport report = reportOf(number % workerCount, number + 1);
        report.ended.push_back({ { taskId(jobId(number), 0), 1 }, true, "done" });
        confirmWrites(feed(report));
        takeFinished(m_ledger);
    }

    WorkerReport reportOf(std::int64_t worker, std::int64_t oldest) const
    {
        WorkerReport report;
        report.worker = workerId(worker);
        report.incarnation = "1";
        report.requestedAt = m_now;
        report.epoch = 1;
        const std::int64_t offset = (worker - oldest % workerCount + workerCount) % workerCount;
        for (std::int64_t number = oldest + offset; number < m_next; number += workerCount)
            report.running.push_back({ { taskId(jobId(number), 0), 1 }, 1 });
        return report;
    }

    void reportAll()
    {
        for (std::int64_t worker = 0; worker < workerCount; ++worker)
            feed(reportOf(worker, m_next - m_running));
        m_reportAt = m_now + pollInterval;
    }

    void passTime(Duration duration)
    {
        m_now += duration;
        if (m_now >= m_tickAt) {
            m_tickAt = m_now + tickInterval;
            feed(LedgerTick {});
        }
        if (m_now >= m_reportAt)
            reportAll();
    }

    JobLedger m_ledger;
    Instant m_now = Instant {} + 1000s;
    Instant m_tickAt;
    Instant m_reportAt;
    std::uint64_t m_version = 0;
    std::int64_t m_next = 0;
    std::int64_t m_running = 0;
};

void submitToEnd(benchmark::State& state)
{
    BenchDomain domain(state.range(0));
    for (auto step : state) {
        (void)step;
        domain.cycle();
    }
    if (domain.jobCount() != static_cast<std::size_t>(state.range(0)))
        state.SkipWithError("tasks were lost or kept");
}
BENCHMARK(submitToEnd)->Arg(1000)->Arg(4000)->Arg(11000)->Unit(benchmark::kMicrosecond);

} // namespace
} // namespace quay
