#include "JobLedgerSimulation.h"

#include <algorithm>

// The workers of the simulation, and the invariant checks against their state.
namespace quay::test {

namespace {

JobId jobOf(const TaskId& task, std::uint32_t& index)
{
    JobId job;
    splitTaskId(task, job, index);
    return job;
}

} // namespace

Resources LedgerSimulation::usage(const Worker& worker) const
{
    Resources sum;
    for (const auto& [attempt, running] : worker.running)
        sum += running.size;
    return sum;
}

void LedgerSimulation::startTask(std::size_t from, Worker& worker, const SendStart& start)
{
    worker.epoch = std::max(worker.epoch, start.epoch);
    const bool known = worker.running.contains(start.attempt) || worker.ended.contains(start.attempt);
    if (!known && !worker.answers.contains(start.attempt))
        worker.answers[start.attempt]
            = { acceptStart(worker, start), m_now + LedgerSettings().messageDelayBound };
    StartAnswer reply { start.worker, start.attempt, StartOutcome::Refused, "busy" };
    if (known || worker.answers[start.attempt].accepted)
        reply.outcome = StartOutcome::Accepted;
    if (m_faults && m_choices.percent(10))
        reply.outcome = StartOutcome::Unknown;
    answer(worker, from, reply);
}

// Up to nearly taskStopBound (2 s), and in 30 % of the cases the maximum.
Duration LedgerSimulation::killDelay()
{
    constexpr std::int64_t latestMs = 1900;
    return m_choices.percent(30) ? Duration(latestMs * 1ms) : Duration(m_choices.between(0, latestMs) * 1ms);
}

bool LedgerSimulation::acceptStart(Worker& worker, const SendStart& start)
{
    if (worker.stopped.contains(start.attempt) || m_now < worker.startsRefusedUntil)
        return false;
    if (m_faults && m_choices.percent(8))
        return false;
    checkStart(worker, start);
    Running running;
    running.epoch = start.epoch;
    running.size = start.size;
    running.leaseEnds = m_now + Duration(start.leaseMs * 1ms) * 1000 / worker.ratePermille;
    running.killedAt = running.leaseEnds + killDelay();
    running.endsAt = m_now + Duration(m_choices.between(200, 40000) * 1ms);
    running.ok = !m_faults || m_choices.percent(80);
    worker.running[start.attempt] = running;
    ++m_acceptedStarts;
    ++m_starts[start.attempt.task];
    return true;
}

void LedgerSimulation::checkStart(const Worker& worker, const SendStart& start)
{
    const std::string name = start.attempt.task.text + " at " + worker.info.id.text;
    if (!(usage(worker) + start.size).fitsIn(worker.info.capacity))
        recordViolation("capacity exceeded by " + name);
    for (const auto& [id, other] : m_workers)
        for (const auto& [attempt, running] : other.running)
            if (attempt.task == start.attempt.task)
                recordViolation("task runs in two places: " + name + " and " + id.text);
    std::uint32_t index = 0;
    const JobSpec& spec = m_rows.at(jobOf(start.attempt.task, index)).record.spec;
    const bool mayRunTwice = spec.idempotent || spec.kind == JobKind::Service;
    if (!mayRunTwice && m_starts[start.attempt.task] > 0)
        recordViolation("second start of non-idempotent " + name);
}

// Invariants that must hold between any two steps, checked on the workers' state alone.
void LedgerSimulation::checkWorkerState()
{
    std::map<TaskId, ServerId> places;
    for (const auto& [id, worker] : m_workers) {
        if (!usage(worker).fitsIn(worker.info.capacity))
            recordViolation("capacity exceeded at " + id.text);
        for (const auto& item : worker.running)
            if (!places.emplace(item.first.task, id).second)
                recordViolation("task runs in two places: " + item.first.task.text);
    }
}

// A gang member may be started only when all other members have been assigned too.
void LedgerSimulation::checkGang(std::size_t index, const SendStart& start)
{
    std::uint32_t member = 0;
    const JobRecord* job = findJob(m_processes[index].ledger, jobOf(start.attempt.task, member));
    if (!job || job->spec.kind != JobKind::Gang)
        return;
    for (const TaskRecord& task : job->tasks)
        if (task.state == TaskState::Pending)
            recordViolation("gang started in part: " + start.attempt.task.text);
}

void LedgerSimulation::endTask(Worker& worker, const TaskAttempt& attempt, bool ok, const std::string& result)
{
    worker.running.erase(attempt);
    worker.ended[attempt] = { attempt, ok, result };
    if (ok)
        m_succeededTasks.insert(attempt.task);
}

void LedgerSimulation::stopAttempt(Worker& worker, const TaskAttempt& attempt)
{
    worker.stopped[attempt] = m_now + LedgerSettings().messageDelayBound;
    if (worker.running.contains(attempt))
        endTask(worker, attempt, false, "stopped");
}

void LedgerSimulation::expireMemory(Worker& worker)
{
    std::erase_if(worker.answers, [&](const auto& item) { return m_now > item.second.until; });
    std::erase_if(worker.stopped, [&](const auto& item) { return m_now > item.second; });
}

void LedgerSimulation::runWorker(Worker& worker)
{
    expireMemory(worker);
    if (!worker.alive) {
        worker.alive = m_now >= worker.downUntil;
        return;
    }
    const std::map<TaskAttempt, Running> before = worker.running;
    for (const auto& [attempt, running] : before) {
        if (m_now >= running.endsAt && m_now < running.leaseEnds)
            endTask(worker, attempt, running.ok, running.ok ? "done" : "broken");
        else if (m_now >= running.killedAt)
            endTask(worker, attempt, false, "lease expired");
    }
}

void LedgerSimulation::renew(Worker& worker, const SendRenew& renewal)
{
    worker.epoch = std::max(worker.epoch, renewal.epoch);
    for (const TaskAttempt& attempt : renewal.tasks) {
        const auto found = worker.running.find(attempt);
        if (found == worker.running.end() || m_now >= found->second.leaseEnds)
            continue;
        Running& running = found->second;
        running.epoch = std::max(running.epoch, renewal.epoch);
        running.leaseEnds = m_now + Duration(renewal.leaseMs * 1ms) * 1000 / worker.ratePermille;
        running.killedAt = running.leaseEnds + killDelay();
    }
}

void LedgerSimulation::acknowledge(Worker& worker, const SendAck& ack)
{
    for (const TaskAttempt& attempt : ack.tasks) {
        std::uint32_t index = 0;
        const JobRecord& record = m_rows.at(jobOf(attempt.task, index)).record;
        const TaskRecord& task = record.tasks[index];
        const bool open = task.state == TaskState::Starting || task.state == TaskState::Running;
        const bool same = task.attempt == attempt.attempt && task.worker == worker.info.id;
        if (open && same && worker.ended.contains(attempt))
            recordViolation("end of " + attempt.task.text + " acknowledged before it was durable");
        worker.ended.erase(attempt);
    }
}

void LedgerSimulation::crash(Worker& worker)
{
    worker.alive = false;
    worker.downUntil = m_now + Duration(m_choices.between(500, 20000) * 1ms);
    worker.startsRefusedUntil = worker.downUntil + LedgerSettings().messageDelayBound;
    ++worker.incarnation;
    worker.epoch = 0;
    worker.running.clear();
    worker.ended.clear();
    worker.answers.clear();
    worker.stopped.clear();
}

WorkerReport LedgerSimulation::report(const Worker& worker, Instant requestedAt) const
{
    WorkerReport report;
    report.worker = worker.info.id;
    report.incarnation = std::to_string(worker.incarnation);
    report.requestedAt = requestedAt;
    report.epoch = worker.epoch;
    report.usage = usage(worker);
    for (const auto& [attempt, running] : worker.running)
        report.running.push_back({ attempt, running.epoch });
    for (const auto& [attempt, ended] : worker.ended)
        report.ended.push_back(ended);
    return report;
}

} // namespace quay::test
