#include "edge/CellLeader.h"

#include "Wire.h"
#include "edge/Clock.h"
#include "edge/Delay.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

namespace quay::edge {

using namespace fleet;
using namespace platform;

namespace {

constexpr auto tickInterval = 10ms;
constexpr Duration minSchedulerInterval = 3ms; // answers that arrive within it share a round
constexpr Duration maxSchedulerInterval = 30ms;
// A long round, with many steps that find no room, is followed by three times its duration without one, so
// that the answers which could make room are handled.
constexpr int roundPauseFactor = 3;
constexpr auto maxTimeWithoutCommit = 2000ms; // several transactions at sixty times their usual latency
// Limit while the store refuses commits. The store may still be reachable from other nodes, one of which
// should then become the leader.
constexpr auto maxTimeWithRefusedCommits = 450ms;
constexpr auto loadLogInterval = 1000ms;
constexpr auto pendingCacheTime = 100ms; // many nodes ask within one leader probe interval
constexpr auto orderTimeout = 300ms; // thirty round trips across failure domains
// A start is idempotent and delays its task, so its first attempt has a short timeout: enough to connect
// across failure domains and to wait for a few orders queued on the same connection.
constexpr auto initialStartTimeout = 90ms;

std::int64_t unixNowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

CellLeader::CellLeader(EdgeServices services, const SchedulerBounds& bounds, LeadershipRecord leadership,
    std::int64_t version, Instant lastPredecessorCommit, Instant rowSentAt,
    std::function<void()> onLeadershipLost)
    : m_services(services)
    , m_scheduler(bounds, lastPredecessorCommit, rowSentAt)
    , m_leadership(std::move(leadership))
    , m_leadershipVersion(version)
    , m_term(version)
    , m_onLeadershipLost(std::move(onLeadershipLost))
    , m_tombstones({ .lifetime = bounds.finishedJobRetention })
    , m_lastCommitAt(clockNow())
    , m_tickTimer(services.context)
    , m_starts(services.metrics.counter("quay_start_orders_total", "Orders to start a task"))
    , m_commits(services.metrics.counter("quay_commits_total", "Durable commits of the scheduler"))
    , m_commitLatency(
          services.metrics.histogram("quay_commit_seconds", "From sending a commit to its answer"))
    , m_startLatency(
          services.metrics.histogram("quay_start_order_seconds", "From sending a start to its answer"))
    , m_approvalLatency(
          services.metrics.histogram("quay_approval_seconds", "From asking for approval to its answer"))
    , m_placementWaitTime(services.metrics.histogram(
          "quay_wait_for_room_seconds", "Of a task's first run, from its step's turn to its place"))
    , m_endToCommitTime(services.metrics.histogram("quay_end_to_note_seconds",
          "Of an executor's oldest open end, from hearing of it to its durable note"))
    , m_finishToVisibleTime(services.metrics.histogram(
          "quay_finish_to_shown_seconds", "Of a job, from its last end to its final state being shown"))
{
}

void CellLeader::begin(const FleetConfiguration& configuration, const EvacuationView& evacuations)
{
    m_services.orders.beginSession(m_term);
    setEvacuations(evacuations);
    configure(configuration);
    loadTables();
    tick();
}

void CellLeader::configure(const FleetConfiguration& configuration)
{
    m_scheduler.configure(configuration);
    runSchedulerSoon();
}

void CellLeader::setEvacuations(const EvacuationView& evacuations)
{
    m_scheduler.setEvacuations(evacuations, clockNow());
    runSchedulerSoon();
}

bool CellLeader::canCommit(Instant now) const
{
    const auto timeSinceCommit = now - m_lastCommitAt;
    return timeSinceCommit < maxTimeWithoutCommit
        && (timeSinceCommit < maxTimeWithRefusedCommits
            || m_consecutiveCommitFailures < maxConsecutiveCommitFailures);
}

const std::map<std::string, std::int64_t>& CellLeader::pending()
{
    const auto now = clockNow();
    if (now - m_pendingAt >= pendingCacheTime) {
        m_pending = m_scheduler.pending();
        m_pendingAt = now;
    }
    return m_pending;
}

void CellLeader::runLater(Duration delay, std::function<void()> action)
{
    callLater(m_services.context, delay, [self = shared_from_this(), action = std::move(action)] {
        if (!self->m_isStopped)
            action();
    });
}

void CellLeader::submit(const StoredJob& job)
{
    if (!m_isLoaded || m_isStopped)
        return; // its row will be read with the rest of the table
    if (m_heldJobs.count(job.id))
        return;
    Reason reason;
    if (const auto request = toJobRequest(job, reason)) {
        addJob(*request, false);
        runSchedulerSoon();
    }
}

void CellLeader::addJob(const JobRequest& request, bool isFound)
{
    const auto now = clockNow();
    m_scheduler.submit(request, now, isFound);
    if (m_tombstones.resolve(request.id))
        m_scheduler.cancel(request.id, now);
}

// Whether the job has rows that only another version of the program can read.
bool CellLeader::isStoredUnread(const std::string& id) const
{
    return m_heldJobs.count(id) || m_unreadableJobs.count(id);
}

CancelAnswer CellLeader::requestCancel(const std::string& id, const std::string& team)
{
    if (!m_isLoaded || m_isStopped || m_isRelinquishing)
        return CancelAnswer::Unavailable;
    if (m_scheduler.durablePhase(id) || isStoredUnread(id) || isBeingAccepted(id))
        return CancelAnswer::JobKnown;
    if (!canCommit(clockNow())) // another leader may have deleted what this one has as stored
        return CancelAnswer::Unavailable;
    switch (m_tombstones.reserve(id, team, clockNow())) {
    case CancelTombstones::Reservation::Reserved:
        return CancelAnswer::Reserved;
    case CancelTombstones::Reservation::Durable:
        return CancelAnswer::Stored;
    case CancelTombstones::Reservation::Refused:
        break;
    }
    return CancelAnswer::LimitReached;
}

void CellLeader::cancel(const std::string& id, std::int64_t rowVersion)
{
    const auto now = clockNow();
    if (!m_scheduler.cancel(id, now)) {
        m_tombstones.add(id, rowVersion, now);
        refuseWaitingAccept(id);
    }
    runSchedulerSoon();
}

void CellLeader::tick()
{
    if (m_isStopped)
        return;
    m_tickTimer.expires_after(tickInterval);
    m_tickTimer.async_wait([self = shared_from_this()](boost::system::error_code ec) {
        if (ec || self->m_isStopped)
            return;
        if (clockNow() - self->m_lastSchedulerRun >= self->m_schedulerInterval)
            self->runScheduler();
        self->commitHeartbeatIfIdle();
        const auto now = clockNow();
        if (now - self->m_load.since >= loadLogInterval)
            self->logLoad(now);
        self->deleteExpiredTombstones(now);
        self->tick();
    });
}

void CellLeader::logLoad(Instant now)
{
    const auto load = std::exchange(m_load, { now, 0, {}, 0, 0, {} });
    if (load.since == Instant {} || !m_isLoaded)
        return;
    const auto counts = m_scheduler.counts();
    m_services.log.write("leader_load", {},
        { { "open_jobs", std::to_string(counts.openJobs) },
            { "waiting_tasks", std::to_string(counts.waitingTasks) },
            { "waiting_urgent_tasks", std::to_string(counts.waitingUrgentTasks) },
            { "used_cpu_percent",
                std::to_string(100 * counts.usedCpuMilli / std::max<std::int64_t>(counts.totalCpuMilli, 1)) },
            { "approvals_in_flight", std::to_string(counts.approvalsInFlight) },
            { "uncommitted_jobs", std::to_string(counts.uncommittedJobs) },
            { "waiting_accepts", std::to_string(m_waitingAccepts.size()) },
            { "commits", std::to_string(load.commits) }, { "records", std::to_string(load.commitRecords) },
            { "commit_ms",
                std::to_string(load.commits ? toMilliseconds(load.commitTime / load.commits) : 0) },
            { "rounds", std::to_string(load.rounds) },
            { "longest_round_ms", std::to_string(toMilliseconds(load.longestRound)) } });
}

void CellLeader::runSchedulerSoon()
{
    if (m_isSchedulerRunPosted || !m_isLoaded)
        return;
    m_isSchedulerRunPosted = true;
    const auto run = [self = shared_from_this()] {
        self->m_isSchedulerRunPosted = false;
        self->runScheduler();
    };
    const auto sinceLastRun = clockNow() - m_lastSchedulerRun;
    if (sinceLastRun >= m_schedulerInterval)
        boost::asio::post(m_services.context, run);
    else
        callLater(m_services.context, m_schedulerInterval - sinceLastRun, run);
}

void CellLeader::runScheduler()
{
    if (m_isStopped || m_isRelinquishing || !m_isLoaded)
        return;
    SchedulerActions actions;
    m_lastSchedulerRun = clockNow();
    m_scheduler.setApprovalCallers(m_services.approvals.liveNodes(m_lastSchedulerRun));
    m_scheduler.pump(m_lastSchedulerRun, unixNowMs(), actions);
    const auto roundTime = clockNow() - m_lastSchedulerRun;
    ++m_load.rounds;
    m_load.longestRound = std::max(m_load.longestRound, roundTime);
    m_schedulerInterval
        = std::clamp<Duration>(roundPauseFactor * roundTime, minSchedulerInterval, maxSchedulerInterval);
    execute(actions);
}

void CellLeader::execute(SchedulerActions& actions)
{
    for (const auto& it : actions.events)
        m_services.log.writeText(it.eventName, it.job, it.detail);
    for (const auto& it : actions.times.placementWait)
        m_placementWaitTime.record(it);
    for (const auto& it : actions.times.endToCommit)
        m_endToCommitTime.record(it);
    for (const auto& it : actions.times.finishToVisible)
        m_finishToVisibleTime.record(it);
    if (actions.commit)
        beginCommit(std::move(*actions.commit));
    for (const auto& it : actions.starts)
        sendStart(it);
    for (const auto& it : actions.stops)
        sendStop(it);
    for (const auto& it : actions.throttles)
        sendThrottle(it);
    for (const auto& it : actions.heartbeats)
        sendExecutorHeartbeat(it);
    for (const auto& it : actions.approvals)
        sendApproval(it);
    for (const auto& it : actions.expiredJobs)
        deleteIntakeRows(it);
}

OrderTarget CellLeader::target(
    const std::string& address, const std::string& executor, std::int64_t epoch) const
{
    return { address, executor, fencingToken(m_term, epoch) };
}

void CellLeader::checkFenced(
    OrderResult result, IncarnationId incarnation, const std::string& executor, std::int64_t epoch)
{
    if (result != OrderResult::Fenced)
        return;
    if (m_scheduler.isSuperseded(incarnation, epoch)) {
        m_services.log.write(
            "order_superseded", {}, { { "executor", executor }, { "epoch", std::to_string(epoch) } });
        return;
    }
    loseLeadership("executor " + executor + " has accepted orders with a higher fencing token");
}

void CellLeader::sendStart(const StartAction& action)
{
    m_starts.add();
    const auto sentAt = clockNow();
    const StartOrder order { action.task, action.run, action.payload, action.checkpoint, action.ticket,
        action.leaseUntilClockMs };
    m_services.log.write("start_sent", action.task.job,
        { { "task", text(action.task) }, { "run", std::to_string(action.run) },
            { "executor", action.executor }, { "epoch", std::to_string(action.epoch) } });
    m_services.orders.start(target(action.address, action.executor, action.epoch), order,
        std::min<Duration>(initialStartTimeout * (1 + action.unansweredAttempts), orderTimeout),
        [self = shared_from_this(), incarnation = action.incarnation, task = action.task, run = action.run,
            sentAt, executor = action.executor, epoch = action.epoch](OrderResponse answer) {
            if (self->m_isStopped)
                return;
            self->m_startLatency.record(clockNow() - sentAt);
            self->checkFenced(answer.result, incarnation, executor, epoch);
            self->m_scheduler.startAnswered(
                incarnation, task, run, { answer.result, answer.clockMs }, clockNow());
            self->runSchedulerSoon();
        });
}

void CellLeader::sendStop(const StopAction& action)
{
    m_services.log.write("stop_sent", action.task.job,
        { { "task", text(action.task) }, { "run", std::to_string(action.run) },
            { "executor", action.executor }, { "epoch", std::to_string(action.epoch) } });
    m_services.orders.stop(target(action.address, action.executor, action.epoch), action.task, action.run,
        orderTimeout,
        [self = shared_from_this(), incarnation = action.incarnation, task = action.task, run = action.run,
            executor = action.executor, epoch = action.epoch](OrderResponse answer) {
            if (self->m_isStopped)
                return;
            self->checkFenced(answer.result, incarnation, executor, epoch);
            self->m_scheduler.stopAnswered(incarnation, task, run, answer.result, clockNow());
            self->runSchedulerSoon();
        });
}

void CellLeader::sendThrottle(const ThrottleAction& action)
{
    m_services.orders.throttle(target(action.address, action.executor, action.epoch), action.task, action.run,
        action.percent, orderTimeout,
        [self = shared_from_this(), incarnation = action.incarnation, task = action.task, run = action.run,
            percent = action.percent, executor = action.executor,
            epoch = action.epoch](OrderResponse answer) {
            if (self->m_isStopped)
                return;
            self->checkFenced(answer.result, incarnation, executor, epoch);
            self->m_scheduler.throttleAnswered(incarnation, task, run, percent, answer.result, clockNow());
        });
}

void CellLeader::sendExecutorHeartbeat(const HeartbeatAction& action)
{
    const auto sentAt = clockNow();
    m_services.orders.heartbeat(target(action.address, action.executor, action.epoch), action.acknowledgedEnd,
        action.leaseUntilClockMs, action.wait, action.wait + longPollMargin,
        [self = shared_from_this(), incarnation = action.incarnation, sentAt, executor = action.executor,
            epoch = action.epoch](HeartbeatResponse answer) {
            if (self->m_isStopped)
                return;
            self->checkFenced(answer.order.result, incarnation, executor, epoch);
            self->m_scheduler.heartbeatAnswered(
                incarnation, answer.order.result, answer.report, sentAt, clockNow());
            self->runSchedulerSoon();
        });
}

void CellLeader::sendApproval(const ApprovalAction& action)
{
    const auto sentAt = clockNow();
    m_services.approvals.requestApprovals(action.step, action.workers, action.expectedMs, sentAt,
        [self = shared_from_this(), step = action.step, workers = action.workers, sentAt](
            ApprovalResponse answer) {
            if (self->m_isStopped)
                return;
            const auto now = clockNow();
            self->m_approvalLatency.record(now - sentAt);
            self->m_services.log.write("approval_answered", step.substr(0, step.find('.')),
                { { "step", step }, { "asked", std::to_string(workers.size()) },
                    { "approved", std::to_string(answer.approved.size()) },
                    { "status", std::to_string(answer.status) },
                    { "ms", std::to_string(toMilliseconds(now - sentAt)) } });
            self->m_scheduler.approvalAnswered(step, answer.isDecided, workers, answer.approved,
                std::chrono::milliseconds(answer.ticketValidityMs), now);
            self->runSchedulerSoon();
        });
}

void CellLeader::stop()
{
    m_isStopped = true;
    m_tickTimer.cancel();
    m_services.orders.endSession();
    abandonAccepts();
}

void CellLeader::loseLeadership(std::string_view why)
{
    if (m_isStopped)
        return;
    stop();
    m_services.log.write(
        "leadership_lost", {}, { { "fence", std::to_string(m_term) }, { "reason", std::string(why) } });
    boost::asio::post(m_services.context, m_onLeadershipLost);
}

} // namespace quay::edge
