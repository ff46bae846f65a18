#include "fleet/SchedulerState.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>
#include <utility>

// Placement: which waiting task goes to which executor, and how much of a processor spare work may take.
namespace quay::fleet {

using namespace internal;

namespace {

constexpr auto placementInterval = 4ms; // a burst of events is answered by one pass
// Steps that wait for a time, not for an event: asked again, avoided no more.
constexpr auto idlePlacementInterval = 100ms;
constexpr std::size_t stepsPerPass = 200; // a longer line of steps without room is looked at in the next pass
constexpr std::size_t spareCandidates = 32; // beside one for each waiting task: some are avoided or take none
constexpr auto longestSilence = 2500ms; // two looks of a second and their timeout
constexpr auto ticketMargin = 150ms; // a commit and a start are on their way meanwhile
constexpr double urgentReserve = 0.06; // share of a service that only the most urgent queue may use
// The same of a team's upper limit; less urgent work lasts ten times as long.
constexpr double urgentQuotaReserve = 0.12;

struct Candidate {
    StepState* step;
    int priority;
    bool isHopeless; // beyond three times its objective it is worth nothing more
    bool isLate; // beyond its objective it is worth little
    Instant deadline;
};

// A limit with its zeros, which mean "none", replaced by amounts that nothing reaches.
Resources unlimited(const Resources& limit)
{
    constexpr auto most = std::numeric_limits<std::int64_t>::max() / 2;
    return { limit.cpuMilli ? limit.cpuMilli : most, limit.memoryMb ? limit.memoryMb : most,
        limit.accelerators ? limit.accelerators : most };
}

Resources fillsAdjusted(const StepRequest& request)
{
    Resources room = request.perTask;
    if (request.usesSpareCpu)
        room.cpuMilli = 0;
    return room;
}

} // namespace

std::unordered_map<LifeId, int> internal::tasksPerLife(const StepState& step)
{
    std::unordered_map<LifeId, int> result;
    for (const auto& task : step.tasks) {
        if (task.phase == TaskPhase::Active)
            ++result[task.life];
    }
    return result;
}

Resources FleetScheduler::Impl::roomOf(const StepRequest& request) const { return fillsAdjusted(request); }

void FleetScheduler::Impl::lookUpPolicies(StepState& step) const
{
    step.queue = configuration.queueNamed(step.job->request.queue);
    step.team = configuration.teamNamed(step.job->request.team);
}

void FleetScheduler::Impl::place(Instant now, SchedulerActions& actions)
{
    const bool isTimeDue = !ready.empty() && now >= nextPlacement + idlePlacementInterval;
    if ((!placementDue && !isTimeDue) || now < nextPlacement)
        return;
    placementDue = false;
    nextPlacement = now + placementInterval;
    std::vector<Candidate> order;
    order.reserve(ready.size());
    for (auto* step : ready) {
        const auto* queue = step->queue;
        if (!queue)
            continue; // of a queue that nobody has configured
        const auto objective = step->job->deadline - step->job->acceptedAt;
        const bool isLasting = step->request().isLasting;
        const auto end = now + std::chrono::milliseconds(step->chainMs);
        order.push_back({ step, queue->priority, !isLasting && now > step->job->acceptedAt + 3 * objective,
            !isLasting && end > step->job->deadline, step->job->deadline });
    }
    std::sort(order.begin(), order.end(), [](const Candidate& a, const Candidate& b) {
        return std::tie(
                   a.isHopeless, a.priority, a.isLate, a.deadline, a.step->job->request.id, a.step->number)
            < std::tie(
                b.isHopeless, b.priority, b.isLate, b.deadline, b.step->job->request.id, b.step->number);
    });
    std::size_t looked = 0;
    for (const auto& it : order) {
        if (++looked > stepsPerPass)
            break;
        placeStep(*it.step, now, actions);
    }
}

bool FleetScheduler::Impl::fitsQuota(const StepState& step) const
{
    const double usable = step.queue->priority > 0 && !step.request().isLasting ? 1 - urgentQuotaReserve : 1;
    const auto fits = [&](std::int64_t after, std::int64_t limit) {
        return limit == 0 || static_cast<double>(after) <= usable * static_cast<double>(limit);
    };
    const auto* team = step.team;
    if (!team)
        return true;
    const auto& limit = team->upperLimit;
    const auto used = teamUsage.find(team->name);
    const auto after = (used == teamUsage.end() ? Resources() : used->second) + step.request().perTask;
    // A task that is larger than what is left beside the reserve runs alone, but runs.
    if (used == teamUsage.end() || used->second == Resources())
        return step.request().perTask.fitsIn(unlimited(limit));
    return fits(after.cpuMilli, limit.cpuMilli) && fits(after.memoryMb, limit.memoryMb)
        && fits(after.accelerators, limit.accelerators);
}

// Whether the executor may be given a task of the step now; what the step has there already is not counted.
bool FleetScheduler::Impl::isCandidate(
    const StepState& step, const Life& life, const Resources& room, Instant now) const
{
    const auto& request = step.request();
    if (!life.isListed || life.isSilent || life.entry.isDraining || life.entry.service != step.queue->service
        || now < life.avoidUntil || now - life.lastAnswer > longestSilence || life.replaced >= 0)
        return false;
    if (!(life.used + room).fitsIn(life.entry.capacity))
        return false;
    if (request.usesSpareCpu
        && life.used.cpuMilli + request.perTask.cpuMilli / 4 > life.entry.capacity.cpuMilli)
        return false; // hardly anything would be left to fill
    const auto& labels = life.entry.labels;
    return request.requiredLabel.empty()
        || std::find(labels.begin(), labels.end(), request.requiredLabel) != labels.end();
}

// Executors of the service that have room for a task of the step now. The fullest come first, and more than a
// step could use are not looked for, unless where they are matters.
std::vector<LifeId> FleetScheduler::Impl::candidates(const StepState& step, Instant now) const
{
    const auto& request = step.request();
    const auto pool = pools.find(step.queue->service);
    if (pool == pools.end())
        return {};
    const auto room = fillsAdjusted(request);
    const bool isPlaceImportant = request.isGang || !request.dataRack.empty();
    const auto enough = static_cast<std::size_t>(step.waiting) + spareCandidates;
    const auto atWork = request.maxPerExecutor > 0 ? tasksPerLife(step) : std::unordered_map<LifeId, int>();
    std::vector<LifeId> result;
    const auto& byFreeCpu = pool->second.byFreeCpu;
    for (auto it = byFreeCpu.lower_bound({ room.cpuMilli, -1 }); it != byFreeCpu.end(); ++it) {
        if (!isPlaceImportant && result.size() >= enough)
            break;
        const auto& life = lives[it->second];
        const auto here = atWork.find(life.number);
        const bool isFull = here != atWork.end() && here->second >= request.maxPerExecutor;
        if (!isFull && isCandidate(step, life, room, now))
            result.push_back(life.number);
    }
    std::sort(result.begin(), result.end());
    return result;
}

// The same among those that the step has a valid ticket for.
std::vector<LifeId> FleetScheduler::Impl::approvedCandidates(const StepState& step, Instant now) const
{
    const auto& request = step.request();
    const auto room = fillsAdjusted(request);
    const auto atWork = request.maxPerExecutor > 0 ? tasksPerLife(step) : std::unordered_map<LifeId, int>();
    std::vector<LifeId> result;
    for (const auto& [number, ticket] : step.tickets) {
        const auto here = atWork.find(number);
        const bool isFull = here != atWork.end() && here->second >= request.maxPerExecutor;
        if (ticket.validUntil >= now + ticketMargin && !isFull && isCandidate(step, lives[number], room, now))
            result.push_back(number);
    }
    std::sort(result.begin(), result.end());
    return result;
}

// The best executor for a task: near its data, not where it failed, and where the least room is left over.
int FleetScheduler::Impl::pickLife(const StepState& step, const TaskState& task,
    const std::vector<LifeId>& from, const std::unordered_map<LifeId, int>& perLife) const
{
    const auto& request = step.request();
    const auto room = fillsAdjusted(request);
    int best = -1;
    double bestScore = 0;
    for (LifeId number : from) {
        const auto& life = lives[number];
        if (!(life.used + room).fitsIn(life.entry.capacity))
            continue;
        auto it = perLife.find(number);
        const int already = it == perLife.end() ? 0 : it->second;
        if (request.maxPerExecutor > 0 && already >= request.maxPerExecutor)
            continue;
        const auto left = life.entry.capacity - life.used - room;
        double score = static_cast<double>(left.cpuMilli) / 1000.0;
        if (number == task.avoid)
            score += 10'000;
        if (!request.dataRack.empty() && life.rack != request.dataRack)
            score += 1'000;
        if (request.isLasting)
            score += 100.0 * already; // a lost executor takes few of them with it
        if (life.failuresInRow > 0)
            score += 50.0 * life.failuresInRow;
        if (best < 0 || score < bestScore) {
            best = number;
            bestScore = score;
        }
    }
    return best;
}

void FleetScheduler::Impl::assign(StepState& step, int index, LifeId number, int runNumber, Instant now)
{
    auto& life = lives[number];
    auto& task = step.tasks[index];
    Run run;
    run.room = roomOf(step.request());
    run.charged = step.request().perTask;
    run.nextSend = now;
    if (auto it = step.tickets.find(number); it != step.tickets.end()) {
        run.ticket = it->second.text;
        run.ticketUntil = it->second.validUntil;
    }
    life.used += run.room;
    repool(life);
    teamUsage[step.job->request.team] += run.charged;
    if (task.run == 0)
        times.waitForRoom.push_back(now - step.readySince);
    task.run = runNumber;
    task.phase = TaskPhase::Active;
    task.life = number;
    --step.waiting;
    ++step.active;
    life.runs.emplace(RunKey { step.job, step.occurrence, step.number, index, runNumber }, run);
    if (step.waiting == 0)
        ready.erase(&step);
    if (step.job->phase == JobPhase::Queued)
        step.job->phase = JobPhase::Running;
    markDirty(*step.job);
}

// All members at once or none. On one rack if the gang asks for it and a rack has the room.
bool FleetScheduler::Impl::placeGang(StepState& step, const std::vector<LifeId>& from, Instant now)
{
    if (step.active > 0 || step.waiting != static_cast<int>(step.tasks.size()))
        return false; // the last run is not over everywhere
    const auto& request = step.request();
    const auto room = fillsAdjusted(request);
    const auto plan = [&](const std::string& rack) {
        std::vector<LifeId> chosen;
        for (LifeId number : from) {
            const auto& life = lives[number];
            if (!rack.empty() && life.rack != rack)
                continue;
            auto used = life.used;
            int here = 0;
            while (chosen.size() < step.tasks.size() && (used + room).fitsIn(life.entry.capacity)
                && (request.maxPerExecutor == 0 || here < request.maxPerExecutor)) {
                used += room;
                ++here;
                chosen.push_back(number);
            }
        }
        return chosen;
    };
    std::vector<LifeId> chosen;
    if (request.wantsOneRack) {
        std::set<std::string> racks;
        for (LifeId number : from)
            racks.insert(lives[number].rack);
        for (const auto& rack : racks) {
            chosen = plan(rack);
            if (chosen.size() == step.tasks.size())
                break;
        }
    }
    if (chosen.size() < step.tasks.size())
        chosen = plan({});
    if (chosen.size() < step.tasks.size())
        return false;
    // The team's limit holds for the gang as a whole.
    if (const auto* team = step.team) {
        auto after = teamUsage[team->name];
        for (std::size_t i = 0; i < step.tasks.size(); ++i)
            after += request.perTask;
        if (!after.fitsIn(unlimited(team->upperLimit)))
            return false;
    }
    int run = 0;
    for (const auto& task : step.tasks)
        run = std::max(run, task.run);
    for (std::size_t i = 0; i < step.tasks.size(); ++i)
        assign(step, static_cast<int>(i), chosen[i], run + 1, now);
    return true;
}

void FleetScheduler::Impl::placeStep(StepState& step, Instant now, SchedulerActions& actions)
{
    const auto& request = step.request();
    if (!fitsQuota(step))
        return;
    const auto found = pools.find(step.queue->service);
    if (found == pools.end() || found->second.largestFreeCpu() < roomOf(request).cpuMilli)
        return;
    const auto& pool = found->second;
    if (step.queue->priority > 0 // room that only the most urgent may use
        && static_cast<double>(pool.freeCpu()) < urgentReserve * static_cast<double>(pool.totalCpu))
        return;
    const bool needsApproval = step.queue->approval.has_value();
    const auto from = needsApproval ? approvedCandidates(step, now) : candidates(step, now);
    if (request.isGang) {
        if (!placeGang(step, from, now) && step.active == 0 && needsApproval)
            askApproval(step, now, actions);
        return;
    }
    std::unordered_map<LifeId, int> perLife;
    if (request.maxPerExecutor > 0 || request.isLasting)
        perLife = tasksPerLife(step);
    for (std::size_t i = 0; i < step.tasks.size() && step.waiting > 0; ++i) {
        auto& task = step.tasks[i];
        if (task.phase != TaskPhase::Waiting)
            continue;
        if (!fitsQuota(step))
            return;
        const int life = pickLife(step, task, from, perLife);
        if (life < 0)
            break;
        ++perLife[life];
        assign(step, static_cast<int>(i), life, task.run + 1, now);
    }
    if (step.waiting > 0 && needsApproval)
        askApproval(step, now, actions);
}

// Tasks that fill disturb tasks that serve. Where a serving task nears its target, what fills beside it is
// slowed at once; when all is calm it is let go on step by step.
void FleetScheduler::Impl::applyPacing(Life& life, const ExecutorReport& report)
{
    double worst = 0; // tail against target
    bool anyFill = false;
    for (const auto& it : report.running) {
        const auto key = keyOf(it.task, it.run);
        if (!key || life.runs.count(*key) == 0)
            continue;
        const auto& request = key->job->request.steps[key->step];
        if (request.isLasting && request.tailTargetMs > 0)
            worst = std::max(
                worst, static_cast<double>(it.recentLoad) / static_cast<double>(request.tailTargetMs));
        anyFill = anyFill || request.usesSpareCpu;
    }
    if (!anyFill)
        return;
    for (auto& [key, run] : life.runs) {
        if (!key.job->request.steps[key.step].usesSpareCpu || run.phase != RunPhase::Running)
            continue;
        if (worst > 1.0)
            run.wantedPercent = 0;
        else if (worst > 0.8)
            run.wantedPercent = std::min(run.wantedPercent, 30);
        else if (worst < 0.6)
            run.wantedPercent = std::min(100, run.wantedPercent + 15);
        if (run.wantedPercent != run.percent)
            pacing.insert(life.number);
    }
}

void FleetScheduler::Impl::sendPaces(SchedulerActions& actions)
{
    for (LifeId number : std::exchange(pacing, {})) {
        auto& life = lives[number];
        if (life.isClosed || life.isSilent)
            continue;
        for (auto& [key, run] : life.runs) {
            if (run.phase != RunPhase::Running || run.isPacing || run.percent == run.wantedPercent)
                continue;
            run.isPacing = true;
            actions.paces.push_back(
                { number, life.entry.address, life.entry.id, refOf(key), key.run, run.wantedPercent });
        }
    }
}

} // namespace quay::fleet
