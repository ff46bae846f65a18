#include "edge/JobApiCall.h"

#include "Wire.h"
#include "edge/Clock.h"
#include "edge/Delay.h"

// Cancellation of jobs. A submission may still be on its way when its caller cancels the job: unread by a
// frozen node, or between a node and the leader. So also the cancellation of a job that does not exist is
// stored before it is acknowledged, and submissions that arrive later are refused. The leader decides how
// many of these are stored; without one, each node does.
namespace quay::edge {

using namespace fleet;
using namespace platform;

namespace {

constexpr auto limitRetryDelay = 200ms; // a few cancellations of the team's rate

} // namespace

void JobApi::cancel(const CallPointer& call)
{
    if (auto* leader = m_election.leader()) {
        continueCancel(call, leader->requestCancel(call->id, call->team));
        return;
    }
    const auto address = m_election.leaderAddress();
    if (address.empty()) {
        continueCancel(call, CancelAnswer::Unavailable);
        return;
    }
    m_peers.requestCancel(address, call->id, call->team, stateTimeout,
        [this, call](CancelAnswer answer) { continueCancel(call, answer); });
}

void JobApi::continueCancel(const CallPointer& call, CancelAnswer answer)
{
    switch (answer) {
    case CancelAnswer::JobKnown:
        writeCancel(call, true);
        break;
    case CancelAnswer::Reserved:
        writeCancel(call, false);
        break;
    case CancelAnswer::Stored:
        answerCancel(call, false);
        break;
    case CancelAnswer::LimitReached:
        retryLimitedCancel(call);
        break;
    case CancelAnswer::Unavailable:
        cancelIfStored(call, cellPartition);
        break;
    }
}

// Looks for the job's row in the partition, in the intake partition next.
void JobApi::cancelIfStored(const CallPointer& call, const std::string& partition)
{
    if (refuseIfStoreDown(call))
        return;
    m_services.store.readRow(jobTable, partition, call->id, m_storeBreaker.timeout(),
        withOutcomeRecorded([this, call, partition](const StoreResult& result) {
            if (result.outcome != StoreOutcome::Ok)
                retryRead(call, result.detail, [this, call, partition] { cancelIfStored(call, partition); });
            else if (!result.rows.empty())
                writeCancel(call, true);
            else if (partition == cellPartition)
                cancelIfStored(call, intakePartitionOf(call->id));
            else if (m_unmatchedCancels.tryTake(clockNow()))
                writeCancel(call, false);
            else
                retryLimitedCancel(call);
        }));
}

void JobApi::retryLimitedCancel(const CallPointer& call)
{
    if (clockNow() + limitRetryDelay + stateTimeout < call->deadline)
        callLater(m_services.context, limitRetryDelay, [this, call] { cancel(call); });
    else
        refuse(call, ErrorKind::Overloaded, "too many cancellations of jobs that do not exist");
}

// Without a row of the job in the intake partition, the transaction also keeps nodes from writing one.
void JobApi::writeCancel(const CallPointer& call, bool isJobKnown)
{
    if (refuseIfStoreDown(call))
        return;
    StoreTransaction transaction;
    const auto partition = intakePartitionOf(call->id);
    if (!isJobKnown)
        transaction.conditions.push_back({ jobTable, partition, call->id, {}, 0, false });
    transaction.puts.push_back({ jobTable, partition, call->id + cancellationSuffix, "cancelled", 0, false });
    m_services.store.transact(transaction, m_storeBreaker.timeout(),
        withOutcomeRecorded([this, call, isJobKnown](const StoreResult& result) {
            if (result.outcome == StoreOutcome::Ok) {
                tellLeaderOfCancel(call->id);
                answerCancel(call, isJobKnown);
                return;
            }
            if (result.outcome == StoreOutcome::ConditionFailed) {
                writeCancel(call, true);
                return;
            }
            if (result.outcome == StoreOutcome::Unknown)
                call->mayBeWritten = true;
            if (clockNow() + writeRetryDelay < call->deadline)
                callLater(m_services.context, writeRetryDelay,
                    [this, call, isJobKnown] { writeCancel(call, isJobKnown); });
            else if (call->mayBeWritten)
                refuseOutcomeUnknown(call, result.detail);
            else
                refuse(call, ErrorKind::StoreUnavailable, result.detail);
        }));
}

void JobApi::tellLeaderOfCancel(const std::string& id)
{
    if (auto* leader = m_election.leader())
        leader->cancel(id);
    else if (const auto address = m_election.leaderAddress(); !address.empty())
        m_peers.notifyCancel(address, id);
}

void JobApi::answerCancel(const CallPointer& call, bool isJobKnown)
{
    if (isJobKnown)
        answer(call, statusOk, encodeJobState(JobPhase::Cancelled), "cancel_accepted");
    else
        answer(call, statusGone, "{\"error\":\"no such job\"}", "cancel_unmatched");
}

} // namespace quay::edge
