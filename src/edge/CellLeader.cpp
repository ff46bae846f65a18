#include "edge/CellLeader.h"

#include "Wire.h"
#include "edge/Delay.h"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace quay::edge {

using namespace fleet;
using namespace platform;

namespace {

constexpr auto tickInterval = 10ms;
constexpr auto unusableAfter = 2000ms; // some transactions at sixty times their usual length
constexpr auto refusedFor = 450ms; // a store that refuses this node may serve the others
constexpr int refusalsUntilUnusable = 3;
constexpr auto pendingInterval = 100ms; // many nodes ask within the interval of greetings
constexpr auto orderTimeout = 300ms; // thirty round trips across failure domains
// A start may be repeated, and its task waits for it: the first one is given up sooner.
constexpr auto startTimeoutFirst = 90ms; // a new connection across failure domains, and some orders before it

Instant clockNow() { return std::chrono::steady_clock::now(); }

std::int64_t unixNowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

CellLeader::CellLeader(EdgeServices services, const SchedulerBounds& bounds, LeadRecord lead,
    std::int64_t version, Instant lastForeignCommit, Instant rowSentAt, std::function<void()> deposed)
    : m_services(services)
    , m_scheduler(bounds, lastForeignCommit, rowSentAt)
    , m_lead(std::move(lead))
    , m_leadVersion(version)
    , m_fence(version)
    , m_deposed(std::move(deposed))
    , m_lastCommit(clockNow())
    , m_tickTimer(services.context)
    , m_starts(services.metrics.counter("quay_start_orders_total", "Orders to start a task"))
    , m_commits(services.metrics.counter("quay_commits_total", "Durable commits of the scheduler"))
    , m_commitTime(services.metrics.histogram("quay_commit_seconds", "From sending a commit to its answer"))
    , m_startTime(
          services.metrics.histogram("quay_start_order_seconds", "From sending a start to its answer"))
    , m_approvalTime(
          services.metrics.histogram("quay_approval_seconds", "From asking for approval to its answer"))
    , m_waitForRoom(services.metrics.histogram(
          "quay_wait_for_room_seconds", "Of a task's first run, from its step's turn to its place"))
    , m_endToNote(services.metrics.histogram("quay_end_to_note_seconds",
          "Of an executor's oldest open end, from hearing of it to its durable note"))
    , m_finishToShown(services.metrics.histogram(
          "quay_finish_to_shown_seconds", "Of a job, from its last end to its final state being shown"))
{
}

void CellLeader::begin(const FleetConfiguration& configuration)
{
    configure(configuration);
    load();
    tick();
}

void CellLeader::configure(const FleetConfiguration& configuration)
{
    m_scheduler.configure(configuration);
    pumpSoon();
}

bool CellLeader::isUsable(Instant now) const
{
    const auto silence = now - m_lastCommit;
    return silence < unusableAfter && (silence < refusedFor || m_commitFailures < refusalsUntilUnusable);
}

const std::map<std::string, std::int64_t>& CellLeader::pending()
{
    const auto now = clockNow();
    if (now - m_pendingAt >= pendingInterval) {
        m_pending = m_scheduler.pending();
        m_pendingAt = now;
    }
    return m_pending;
}

void CellLeader::after(Duration delay, std::function<void()> action)
{
    callLater(m_services.context, delay, [self = shared_from_this(), action = std::move(action)] {
        if (!self->m_isStopped)
            action();
    });
}

void CellLeader::submit(const StoredJob& job)
{
    if (!m_isLoaded || m_isStopped)
        return; // its row is read with the others
    Reason reason;
    if (const auto request = requestOf(job, reason)) {
        m_scheduler.submit(*request, clockNow());
        if (m_earlyCancels.erase(request->id))
            m_scheduler.cancel(request->id, clockNow());
        pumpSoon();
    }
}

void CellLeader::cancel(const std::string& id)
{
    if (!m_scheduler.cancel(id, clockNow()))
        m_earlyCancels.insert(id);
    pumpSoon();
}

void CellLeader::tick()
{
    if (m_isStopped)
        return;
    m_tickTimer.expires_after(tickInterval);
    m_tickTimer.async_wait([self = shared_from_this()](boost::system::error_code ec) {
        if (ec || self->m_isStopped)
            return;
        self->pump();
        self->beatIfIdle();
        self->tick();
    });
}

void CellLeader::pumpSoon()
{
    if (m_pumpPosted || !m_isLoaded)
        return;
    m_pumpPosted = true;
    boost::asio::post(m_services.context, [self = shared_from_this()] {
        self->m_pumpPosted = false;
        self->pump();
    });
}

void CellLeader::pump()
{
    if (m_isStopped || m_isGivingUp || !m_isLoaded)
        return;
    SchedulerActions actions;
    m_scheduler.approvalCallers(m_services.approvals.callers(clockNow()));
    m_scheduler.pump(clockNow(), unixNowMs(), actions);
    carryOut(actions);
}

void CellLeader::carryOut(SchedulerActions& actions)
{
    for (const auto& it : actions.notes)
        m_services.log.writeText(it.what, it.job, it.detail);
    for (const auto& it : actions.times.waitForRoom)
        m_waitForRoom.record(it);
    for (const auto& it : actions.times.endToNote)
        m_endToNote.record(it);
    for (const auto& it : actions.times.finishToShown)
        m_finishToShown.record(it);
    if (actions.commit)
        beginCommit(std::move(*actions.commit));
    for (const auto& it : actions.starts)
        sendStart(it);
    for (const auto& it : actions.stops)
        sendStop(it);
    for (const auto& it : actions.paces)
        sendPace(it);
    for (const auto& it : actions.holds)
        sendHold(it);
    for (const auto& it : actions.approvals)
        sendApproval(it);
}

OrderTarget CellLeader::target(const std::string& address, const std::string& executor) const
{
    return { address, executor, m_fence };
}

void CellLeader::checkFence(OrderResult result, const std::string& executor)
{
    if (result == OrderResult::Fenced)
        depose("executor " + executor + " has obeyed a later scheduler");
}

void CellLeader::sendStart(const StartAction& action)
{
    m_starts.add();
    const auto sentAt = clockNow();
    const StartOrder order { action.task, action.run, action.payload, action.checkpoint, action.ticket,
        action.leaseUntilClockMs };
    m_services.log.write("start_sent", action.task.job,
        { { "task", text(action.task) }, { "run", std::to_string(action.run) },
            { "executor", action.executor } });
    m_services.executors.start(target(action.address, action.executor), order,
        std::min<Duration>(startTimeoutFirst * (1 + action.unanswered), orderTimeout),
        [self = shared_from_this(), life = action.life, task = action.task, run = action.run, sentAt,
            executor = action.executor](OrderResponse answer) {
            if (self->m_isStopped)
                return;
            self->m_startTime.record(clockNow() - sentAt);
            self->checkFence(answer.result, executor);
            self->m_scheduler.startAnswered(life, task, run, answer.result, clockNow());
            self->pumpSoon();
        });
}

void CellLeader::sendStop(const StopAction& action)
{
    m_services.log.write("stop_sent", action.task.job,
        { { "task", text(action.task) }, { "run", std::to_string(action.run) },
            { "executor", action.executor } });
    m_services.executors.stop(target(action.address, action.executor), action.task, action.run, orderTimeout,
        [self = shared_from_this(), life = action.life, task = action.task, run = action.run,
            executor = action.executor](OrderResponse answer) {
            if (self->m_isStopped)
                return;
            self->checkFence(answer.result, executor);
            self->m_scheduler.stopAnswered(life, task, run, answer.result, clockNow());
            self->pumpSoon();
        });
}

void CellLeader::sendPace(const PaceAction& action)
{
    m_services.executors.throttle(target(action.address, action.executor), action.task, action.run,
        action.percent, orderTimeout,
        [self = shared_from_this(), life = action.life, task = action.task, run = action.run,
            percent = action.percent, executor = action.executor](OrderResponse answer) {
            if (self->m_isStopped)
                return;
            self->checkFence(answer.result, executor);
            self->m_scheduler.paceAnswered(life, task, run, percent, answer.result, clockNow());
        });
}

void CellLeader::sendHold(const HoldAction& action)
{
    const auto sentAt = clockNow();
    m_services.executors.heartbeat(target(action.address, action.executor), action.acknowledged,
        action.leaseUntilClockMs, action.wait, action.wait + longPollSpare,
        [self = shared_from_this(), life = action.life, sentAt, executor = action.executor](
            HeartbeatResponse answer) {
            if (self->m_isStopped)
                return;
            self->checkFence(answer.order.result, executor);
            self->m_scheduler.holdAnswered(life, answer.order.result, answer.report, sentAt, clockNow());
            self->pumpSoon();
        });
}

void CellLeader::sendApproval(const ApprovalAction& action)
{
    const auto sentAt = clockNow();
    m_services.approvals.ask(action.step, action.workers, action.expectedMs, sentAt,
        [self = shared_from_this(), step = action.step, workers = action.workers, sentAt](
            ApprovalResponse answer) {
            if (self->m_isStopped)
                return;
            const auto now = clockNow();
            self->m_approvalTime.record(now - sentAt);
            self->m_services.log.write("approval_answered", step.substr(0, step.find('.')),
                { { "step", step }, { "asked", std::to_string(workers.size()) },
                    { "approved", std::to_string(answer.approved.size()) },
                    { "status", std::to_string(answer.status) },
                    { "ms", std::to_string(toMilliseconds(now - sentAt)) } });
            self->m_scheduler.approvalAnswered(step, answer.isDecided, workers, answer.approved,
                std::chrono::milliseconds(answer.ticketLifeMs), now);
            self->pumpSoon();
        });
}

void CellLeader::stop()
{
    m_isStopped = true;
    m_tickTimer.cancel();
    dropAccepts();
}

void CellLeader::depose(std::string_view why)
{
    if (m_isStopped)
        return;
    stop();
    m_services.log.write(
        "leadership_lost", {}, { { "fence", std::to_string(m_fence) }, { "reason", std::string(why) } });
    boost::asio::post(m_services.context, m_deposed);
}

} // namespace quay::edge
