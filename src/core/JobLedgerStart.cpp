#include "JobLedgerParts.h"

#include <algorithm>

namespace quay::ledger {

namespace {

void sendStart(Turn& turn, const Found& task)
{
    const LedgerSettings& settings = turn.ledger.settings;
    const JobSpec& spec = task.entry->record.spec;
    WorkerEntry& worker = turn.ledger.workers[task.record().worker];
    ++worker.starts;
    TaskLive& live = task.live();
    live.startSent = true;
    live.incarnation = worker.incarnation;
    live.startBy = turn.now + settings.flightBound;
    live.lapsesAt = turn.now + lapseAfterSend(turn.ledger);
    setTimer(turn, task, live.lapsesAt);
    turn.actions.emplace_back(SendStart {
        .worker = task.record().worker,
        .attempt = { taskId(task.ref.job, task.ref.index), task.record().attempt },
        .epoch = turn.ledger.epoch,
        .leaseMs = toMilliseconds(settings.taskLease),
        .size = spec.perTask,
        .team = spec.team,
        .payload = spec.payload,
    });
}

// The attempt is decided: capacity is held from here on.
void decide(Turn& turn, const Found& task, const ServerId& worker)
{
    occupy(turn, task, worker);
    task.record().state = TaskState::Starting;
    ++task.record().attempt;
    task.record().result.clear();
}

// The change that must be durable before the start is sent. Idempotent work may run one attempt
// ahead of its record, never two: a new lead skips that one number (see skipUnrecorded), so that
// a number names one attempt only, whichever lead gave it. A first attempt is never ahead: if two
// leads were told of a new job, only one of their intents takes effect, and only that one starts it.
std::uint64_t requiredChange(const JobLedger& ledger, const Found& task, std::uint64_t formerAttempt)
{
    const bool mayBeAhead = mayRerun(task.entry->record.spec) && task.record().attempt > 1;
    if (mayBeAhead || !ledger.rules.intentBeforeStart)
        return formerAttempt;
    return task.entry->changed;
}

void launchTask(Turn& turn, const Found& task)
{
    TaskLive& live = task.live();
    live.intentSequence = requiredChange(turn.ledger, task, live.attemptSequence);
    live.attemptSequence = task.entry->changed;
    if (live.intentSequence <= task.entry->durable)
        return sendStart(turn, task);
    live.awaitsIntent = true;
    task.entry->awaitingIntent.push_back(task.ref.index);
}

// Starts tasks that were decided together; their intents share one write.
void launch(Turn& turn, JobEntry& entry, const std::vector<Found>& tasks)
{
    touch(turn, entry);
    for (const Found& task : tasks)
        launchTask(turn, task);
}

bool mayPlace(const JobLedger& ledger, const Found& task, const ServerId& worker)
{
    if (!task || !ledger.ready.contains(task.ref) || task.entry->record.cancelRequested
        || task.entry->unwinding)
        return false;
    const auto found = ledger.workers.find(worker);
    if (found == ledger.workers.end() || !takesWork(found->second))
        return false;
    return task.entry->record.spec.perTask.fitsIn(freeRoom(ledger, found->second));
}

// Undoes decide() before anything was written or sent.
void takeBack(Turn& turn, const Found& task)
{
    vacate(turn, task);
    --task.record().attempt;
    makePending(turn, task, turn.now);
}

void releaseToken(Turn& turn, const JobId& job)
{
    if (const JobRecord* record = findJob(turn.ledger, job))
        turn.actions.emplace_back(ReleaseTokens { record->spec.team, 1, false });
}

using Placements = std::vector<TaskPlacement>;

// Decides the placements that are still possible; the tokens of the others are given back.
std::vector<Found> decideAll(Turn& turn, const Placements& placements)
{
    std::vector<Found> decided;
    for (const TaskPlacement& placement : placements) {
        const Found task = find(turn.ledger, TaskRef { placement.job, placement.index });
        if (!mayPlace(turn.ledger, task, placement.worker)) {
            releaseToken(turn, placement.job);
            continue;
        }
        decide(turn, task, placement.worker);
        decided.push_back(task);
    }
    return decided;
}

void placeJob(Turn& turn, const Placements& placements)
{
    const auto found = turn.ledger.jobs.find(placements.front().job);
    if (found == turn.ledger.jobs.end())
        return;
    JobEntry& entry = found->second;
    const std::vector<Found> decided = decideAll(turn, placements);
    const bool incompleteGang = isGang(entry) && decided.size() != entry.tasks.size();
    if (incompleteGang && turn.ledger.rules.wholeGangs) {
        for (const Found& task : decided)
            takeBack(turn, task);
        return;
    }
    if (!decided.empty())
        launch(turn, entry, decided);
}

} // namespace

Duration lapseAfterSend(const JobLedger& ledger)
{
    return ledger.rules.boundedLapse ? sureLapse(ledger.settings) : ledger.settings.taskLease;
}

void onPlacements(Turn& turn, const PlacementsChosen& event)
{
    std::map<JobId, Placements> byJob;
    for (const TaskPlacement& placement : event.placements)
        byJob[placement.job].push_back(placement);
    for (const auto& [job, placements] : byJob)
        placeJob(turn, placements);
}

namespace {

bool stillOpen(const JobLedger& ledger, const Found& task)
{
    const auto worker = ledger.workers.find(task.record().worker);
    return worker != ledger.workers.end() && takesWork(worker->second);
}

} // namespace

void startDurableIntents(Turn& turn, JobEntry& entry)
{
    const std::vector<std::uint32_t> waiting = entry.awaitingIntent;
    for (const std::uint32_t index : waiting) {
        const Found task { &entry, { entry.record.id, index } };
        // An earlier member of this list may have been refused its start and unwound the gang.
        if (!task.live().awaitsIntent || task.live().intentSequence > entry.durable)
            continue;
        if (!stillOpen(turn.ledger, task)) {
            settle(turn, task, AttemptEnd::NotStarted, "the worker takes no new work");
            continue;
        }
        task.live().awaitsIntent = false;
        std::erase(entry.awaitingIntent, index);
        sendStart(turn, task);
    }
}

namespace {

// The answer belongs to the attempt that the ledger knows, and that attempt was sent by this lead.
bool isCurrent(const Found& task, const StartAnswer& event)
{
    return task && task.live().occupies && task.live().startSent && task.record().worker == event.worker
        && task.record().attempt == event.attempt.attempt;
}

} // namespace

void onStartAnswer(Turn& turn, const StartAnswer& event)
{
    const Found task = find(turn.ledger, event.attempt.task);
    if (!isCurrent(task, event) || task.live().confirmed)
        return;
    if (event.outcome == StartOutcome::Accepted) {
        task.live().confirmed = true;
        task.record().state = TaskState::Running;
        return;
    }
    ++turn.ledger.workers[event.worker].startFailures;
    const bool refused = event.outcome == StartOutcome::Refused || !turn.ledger.rules.refusalNeedsProof;
    if (refused)
        settle(turn, task, AttemptEnd::NotStarted,
            "worker " + event.worker.text + " refused the start: " + event.why);
}

namespace {

void renewTask(Turn& turn, const Found& task, SendRenew& renewal)
{
    TaskLive& live = task.live();
    const TaskAttempt attempt { taskId(task.ref.job, task.ref.index), task.record().attempt };
    if (live.stopping)
        return void(turn.actions.emplace_back(SendStop { renewal.worker, attempt }));
    if (live.awaitsIntent)
        return;
    live.lapsesAt = std::max(live.lapsesAt, turn.now + lapseAfterSend(turn.ledger));
    setTimer(turn, task, live.lapsesAt);
    renewal.tasks.push_back(attempt);
}

void renewWorker(Turn& turn, const ServerId& id, WorkerEntry& worker)
{
    // A worker out of reach must not have its leases extended by sends that never arrive:
    // our side of the lease would then never lapse.
    const bool silent = turn.now - worker.heardAt > turn.ledger.settings.silenceBound;
    // Nor does it get new work until it reports: a start sent now would most likely end unknown.
    worker.lost = worker.lost || (silent && turn.ledger.rules.closeSilent);
    if (worker.tasks.empty() || silent)
        return;
    worker.renewAt = turn.now + turn.ledger.settings.renewInterval;
    SendRenew renewal { id, turn.ledger.epoch, toMilliseconds(turn.ledger.settings.taskLease), {} };
    for (const TaskRef& ref : worker.tasks)
        renewTask(turn, find(turn.ledger, ref), renewal);
    if (!renewal.tasks.empty())
        turn.actions.emplace_back(std::move(renewal));
}

} // namespace

void renewLeases(Turn& turn)
{
    for (auto& [id, worker] : turn.ledger.workers)
        if (turn.now >= worker.renewAt)
            renewWorker(turn, id, worker);
}

} // namespace quay::ledger
