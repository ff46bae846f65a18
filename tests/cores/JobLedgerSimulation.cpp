#include "JobLedgerSimulation.h"

#include <algorithm>

namespace quay::test {

namespace {

constexpr Duration tickInterval = 100ms;
constexpr Duration faultPhaseDuration = 90s;
constexpr Duration faultFreePhaseLimit = 900s;
constexpr std::size_t workerCount = 3;
constexpr std::size_t maxJobs = 14;
const DomainId domain { "d1" };

bool mayRunTwice(const JobSpec& spec) { return spec.idempotent || spec.kind == JobKind::Service; }

} // namespace

LedgerSimulation::LedgerSimulation(std::uint64_t seed, LedgerRules rules)
    : m_choices(seed)
    , m_rules(rules)
    , m_now(Instant {} + 1000s)
{
    m_processes.reserve(64);
    for (std::size_t number = 0; number < workerCount; ++number) {
        Worker worker;
        worker.info.id = ServerId("w" + std::to_string(number));
        worker.info.domain = domain;
        worker.info.capacity = { 4000, 4000, 0 };
        worker.ratePermille = m_choices.between(980, 1020);
        m_workers.emplace(worker.info.id, worker);
    }
}

void LedgerSimulation::recordViolation(std::string text)
{
    if (m_violation.empty())
        m_violation = std::move(text);
}

std::size_t LedgerSimulation::ended(JobState state) const
{
    return static_cast<std::size_t>(std::count_if(
        m_rows.begin(), m_rows.end(), [&](const auto& row) { return row.second.record.state == state; }));
}

bool LedgerSimulation::allEnded() const { return ended(JobState::Active) == 0; }

void LedgerSimulation::run()
{
    takeOver(0);
    const Instant faultsEndAt = m_now + faultPhaseDuration;
    while (m_now < faultsEndAt && m_violation.empty())
        advance();
    m_faults = false;
    const Instant limit = m_now + faultFreePhaseLimit;
    while (m_now < limit && !allEnded() && m_violation.empty())
        advance();
    for (const auto& [job, row] : m_rows)
        if (row.record.state == JobState::Active)
            recordViolation("job " + job.text + " did not end: " + toJson(row.record));
}

void LedgerSimulation::advance()
{
    m_now += tickInterval;
    if (m_faults)
        injectFaults();
    if (m_now.time_since_epoch() % 1s == 0s && (!m_faults || m_choices.percent(20)))
        m_processes[m_leader].inbox.push_back(listWithout({}));
    cancelSome();
    deliverDue();
    for (auto& [id, worker] : m_workers)
        runWorker(worker);
    for (std::size_t index = 0; index < m_processes.size(); ++index)
        runProcess(index);
    ++m_steps;
    checkWorkerState();
}

void LedgerSimulation::injectFaults()
{
    if (m_choices.below(25) == 0)
        submit();
    if (m_choices.below(150) == 0)
        takeOver(m_choices.below(2));
    if (m_choices.below(200) == 0)
        m_storeDownUntil = m_now + Duration(m_choices.between(1, 20) * 1s);
    if (m_choices.below(200) == 0)
        m_processes[m_leader].pausedUntil = m_now + Duration(m_choices.between(1, 15) * 1s);
    injectWrongHints();
    for (auto& [id, worker] : m_workers) {
        if (m_choices.below(400) == 0)
            crash(worker);
        if (m_choices.below(250) == 0)
            worker.partitionedUntil = m_now + Duration(m_choices.between(1, 30) * 1s);
        if (m_choices.below(250) == 0)
            worker.answersLostUntil = m_now + Duration(m_choices.between(1, 30) * 1s);
    }
}

// The platform's list lags behind, and hints may be wrong.
void LedgerSimulation::injectWrongHints()
{
    auto& inbox = m_processes[m_leader].inbox;
    const ServerId worker("w" + std::to_string(m_choices.below(workerCount)));
    if (m_choices.below(200) == 0)
        inbox.push_back(listWithout(worker));
    if (m_choices.below(200) == 0)
        inbox.push_back(WorkerSuspected { worker });
    if (m_choices.below(600) == 0)
        inbox.push_back(WorkerLeaving { worker });
}

WorkerList LedgerSimulation::listWithout(const ServerId& missing) const
{
    WorkerList list;
    for (const auto& [id, worker] : m_workers)
        if (id != missing)
            list.servers.push_back(worker.info);
    return list;
}

void LedgerSimulation::scheduleAfter(Duration delay, Message message)
{
    m_messages.emplace(m_now + delay, std::move(message));
}

void LedgerSimulation::deliverDue()
{
    while (!m_messages.empty() && m_messages.begin()->first <= m_now) {
        const Message message = std::move(m_messages.begin()->second);
        m_messages.erase(m_messages.begin());
        message();
    }
}

// Mostly short; in 10 % of the cases up to nearly messageDelayBound.
Duration LedgerSimulation::messageDelay()
{
    if (m_faults && m_choices.percent(10))
        return Duration(m_choices.between(0, 2900) * 1ms);
    return Duration(m_choices.between(0, 150) * 1ms);
}

void LedgerSimulation::sendToWorker(
    std::size_t from, const ServerId& to, const std::function<void(Worker&)>& message)
{
    // Models mayAct(): a deposed leader stops sending within staleLeaderBound.
    if (m_now > m_processes[from].maySendUntil)
        return;
    if (m_faults && m_choices.percent(5))
        return;
    Worker& worker = m_workers.at(to);
    const auto deliver = [this, &worker, message] {
        if (worker.alive && m_now >= worker.partitionedUntil)
            message(worker);
    };
    scheduleAfter(messageDelay(), deliver);
    if (m_faults && m_choices.percent(5))
        scheduleAfter(messageDelay(), deliver);
}

void LedgerSimulation::sendToProcess(std::size_t to, LedgerEvent event)
{
    if (m_faults && m_choices.percent(5))
        return;
    const auto deliver = [this, to, event = std::move(event)] { m_processes[to].inbox.push_back(event); };
    scheduleAfter(messageDelay(), deliver);
    if (m_faults && m_choices.percent(5))
        scheduleAfter(messageDelay(), deliver);
}

void LedgerSimulation::answer(const Worker& worker, std::size_t to, LedgerEvent event)
{
    if (m_now >= worker.answersLostUntil)
        sendToProcess(to, std::move(event));
}

// Kind 0: the old leader crashes. Kind 1: it keeps running and learns of the takeover late.
void LedgerSimulation::takeOver(std::size_t kind)
{
    if (!m_processes.empty()) {
        m_processes[m_leader].alive = kind == 1;
        m_processes[m_leader].maySendUntil = m_now + LedgerSettings().staleLeaderBound;
    }
    m_leader = m_processes.size();
    Process process;
    process.ledger.domain = domain;
    process.ledger.rules = m_rules;
    // Short, so that the backoff can't hide an attempt that is started too early.
    process.ledger.settings.retryBackoff = 100ms;
    process.maySendUntil = Instant::max();
    m_processes.push_back(std::move(process));
    BecameLeader event { ++m_epoch, {} };
    for (const auto& [id, row] : m_rows)
        event.records.push_back({ row.record, row.version });
    feed(m_leader, listWithout({}));
    feed(m_leader, event);
}

void LedgerSimulation::runProcess(std::size_t index)
{
    Process& process = m_processes[index];
    if (!process.alive || m_now < process.pausedUntil)
        return;
    const std::vector<LedgerEvent> inbox = std::move(process.inbox);
    process.inbox.clear();
    for (const LedgerEvent& event : inbox)
        feed(index, event);
    feed(index, LedgerTick {});
    takeFinished(process.ledger);
    if (!process.ledger.isLeading) {
        if (index == m_leader)
            takeOver(1);
        return;
    }
    poll(index);
    place(index);
}

void LedgerSimulation::feed(std::size_t index, const LedgerEvent& event)
{
    const std::vector<LedgerAction> actions = step(m_processes[index].ledger, event, m_now);
    for (const LedgerAction& action : actions)
        perform(index, action);
}

void LedgerSimulation::perform(std::size_t index, const LedgerAction& action)
{
    if (const auto* row = std::get_if<WriteRecord>(&action))
        return write(index, *row);
    if (const auto* start = std::get_if<SendStart>(&action))
        checkGang(index, *start);
    if (const auto* start = std::get_if<SendStart>(&action))
        return sendToWorker(index, start->worker,
            [this, index, start = *start](Worker& worker) { startTask(index, worker, start); });
    if (const auto* renewal = std::get_if<SendRenew>(&action))
        return sendToWorker(
            index, renewal->worker, [this, renewal = *renewal](Worker& worker) { renew(worker, renewal); });
    if (const auto* ack = std::get_if<SendAck>(&action))
        return sendToWorker(
            index, ack->worker, [this, ack = *ack](Worker& worker) { acknowledge(worker, ack); });
    if (const auto* stop = std::get_if<SendStop>(&action))
        sendToWorker(index, stop->worker,
            [this, attempt = stop->attempt](Worker& worker) { stopAttempt(worker, attempt); });
}

void LedgerSimulation::poll(std::size_t index)
{
    Process& process = m_processes[index];
    if (m_now < process.pollAt)
        return;
    process.pollAt = m_now + 500ms;
    for (const auto& item : m_workers)
        sendToWorker(index, item.first,
            [this, index, asked = m_now](Worker& worker) { answer(worker, index, report(worker, asked)); });
}

void LedgerSimulation::place(std::size_t index)
{
    Process& process = m_processes[index];
    if (m_now < process.placeAt)
        return;
    process.placeAt = m_now + 300ms;
    std::vector<PendingTask> group;
    for (const PendingTask& task : pendingWork(process.ledger, 100)) {
        if (!group.empty() && (task.kind != JobKind::Gang || group.back().job != task.job)) {
            placeJob(index, group);
            group.clear();
        }
        group.push_back(task);
    }
    if (!group.empty())
        placeJob(index, group);
}

// First fit that ignores free capacity in 5 % of the cases: the ledger must refuse what doesn't fit.
void LedgerSimulation::placeJob(std::size_t index, const std::vector<PendingTask>& tasks)
{
    PlacementsChosen chosen;
    std::vector<LedgerWorker> views = workerViews(m_processes[index].ledger);
    const bool ignoresCapacity = m_choices.percent(5);
    const std::size_t first = m_choices.below(views.size());
    for (const PendingTask& task : tasks) {
        for (std::size_t offset = 0; offset < views.size(); ++offset) {
            LedgerWorker& view = views[(first + offset) % views.size()];
            if (!ignoresCapacity && (!view.isOpen || !task.size.fitsIn(view.free)))
                continue;
            view.free -= task.size;
            chosen.placements.push_back({ task.job, task.index, view.id });
            break;
        }
    }
    if (!chosen.placements.empty())
        feed(index, chosen);
}

void LedgerSimulation::submit()
{
    Process& process = m_processes[m_leader];
    if (m_rows.size() >= maxJobs || m_now < m_storeDownUntil || !process.alive || !process.ledger.isLeading)
        return;
    JobRecord record;
    record.id = JobId("j" + std::to_string(m_rows.size()));
    record.domain = domain;
    record.spec.team = TeamId("t");
    record.spec.kind = static_cast<JobKind>(m_choices.below(3));
    record.spec.idempotent = m_choices.percent(50);
    record.spec.taskCount = static_cast<std::uint32_t>(m_choices.between(1, 3));
    record.spec.maxAttempts = 3;
    record.spec.perTask = { m_choices.between(5, 25) * 100, 500, 0 };
    record.tasks.resize(record.spec.taskCount);
    m_rows[record.id] = { record, ++m_version, {} };
    announce(m_leader, record, m_version);
    // An announcement that got no answer is repeated, possibly to the next leader.
    if (m_choices.percent(50))
        scheduleAfter(Duration(m_choices.between(0, 6000) * 1ms),
            [this, record, version = m_version] { announce(m_leader, record, version); });
}

void LedgerSimulation::announce(std::size_t process, const JobRecord& record, std::uint64_t version)
{
    scheduleAfter(messageDelay(), [this, process, record, version] {
        m_processes[process].inbox.push_back(JobAccepted { record, version });
    });
}

void LedgerSimulation::cancelSome()
{
    for (const auto& [id, row] : m_rows) {
        const bool endService = !m_faults && row.record.spec.kind == JobKind::Service;
        if (endService || (m_faults && m_choices.below(2500) == 0))
            m_cancelled.insert(id);
    }
    // A caller repeats a cancellation until it is answered.
    if (m_now.time_since_epoch() % 1s == 0s)
        for (const JobId& job : m_cancelled)
            sendToProcess(m_leader, CancelRequested { job });
}

void LedgerSimulation::write(std::size_t index, const WriteRecord& action)
{
    if (m_now < m_storeDownUntil || (m_faults && m_choices.percent(5))) {
        scheduleAfter(500ms,
            [this, index, id = action.writeId] { m_processes[index].inbox.push_back(WriteFailed { id }); });
        return;
    }
    const bool answerLost = m_faults && m_choices.percent(15);
    scheduleAfter(
        messageDelay(), [this, index, action, answerLost] { applyWrite(index, action, answerLost); });
}

void LedgerSimulation::applyWrite(std::size_t index, const WriteRecord& action, bool answerLost)
{
    Row& row = m_rows.at(action.job);
    LedgerEvent answer = WriteConflict { action.writeId };
    if (row.version == action.expectedVersion) {
        checkWrite(row.record, action.record);
        row = { action.record, ++m_version, { index, action.writeId } };
        answer = WriteDone { action.writeId, m_version };
    }
    auto& inbox = m_processes[index].inbox;
    if (!answerLost)
        return inbox.push_back(answer);
    inbox.push_back(WriteUnknown { action.writeId });
    if (m_choices.percent(20))
        return; // the read-back gives no answer either
    scheduleAfter(Duration(m_choices.between(500, 6000) * 1ms),
        [this, index, answer] { m_processes[index].inbox.push_back(answer); });
}

void LedgerSimulation::checkWrite(const JobRecord& before, const JobRecord& after)
{
    if (before.state != JobState::Active && before.state != after.state)
        recordViolation("job " + before.id.text + " left its final state");
    for (std::uint32_t index = 0; index < before.tasks.size(); ++index) {
        const TaskId task = taskId(before.id, index);
        const TaskState state = after.tasks[index].state;
        if (isFinal(before.tasks[index].state) && before.tasks[index].state != state)
            recordViolation("task " + task.text + " left its final state");
        if (state == TaskState::Succeeded && !m_succeededTasks.contains(task))
            recordViolation("task " + task.text + " recorded as succeeded, but its work did not end well");
        const bool denied = state == TaskState::Failed || state == TaskState::Cancelled;
        if (denied && m_succeededTasks.contains(task) && !mayRunTwice(after.spec))
            recordViolation(
                "task " + task.text + " recorded as failed or cancelled, but its work ended well");
    }
    const auto succeeded = [](const TaskRecord& task) { return task.state == TaskState::Succeeded; };
    const bool all = std::all_of(after.tasks.begin(), after.tasks.end(), succeeded);
    if (after.state != JobState::Active && all != (after.state == JobState::Succeeded))
        recordViolation("job " + before.id.text + " and its tasks differ on success");
}

} // namespace quay::test
