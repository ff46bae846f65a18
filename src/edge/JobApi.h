#pragma once

#include "edge/ConfigurationWatcher.h"
#include "edge/Election.h"
#include "edge/PeerClient.h"
#include "edge/StoreCircuitBreaker.h"
#include "edge/TokenBucket.h"
#include "net/HttpServer.h"

#include <memory>
#include <string>

namespace quay::edge {

/**
 * HTTP API for callers: submits jobs, returns their state, cancels them, and counts the jobs of a queue that
 * have not started. A job is durable in the store before its submission is acknowledged and before the
 * scheduler learns of it.
 *
 * Usage: `JobApi api(services, peers, configurationWatcher, election, maxRowBytes); api.serve(request,
 * respond);`
 */
class JobApi {
public:
    /** `maxRowBytes`: size of the largest row that the store accepts. */
    JobApi(EdgeServices services, PeerClient& peers, ConfigurationWatcher& configurationWatcher,
        Election& election, std::size_t maxRowBytes);

    /** Handles one request. Calls `respond` once its result is known, possibly before this returns. */
    void serve(HttpRequest request, Respond respond);

private:
    struct Call;
    using CallPointer = std::shared_ptr<Call>;

    void submit(const CallPointer& call);
    void sendToLeader(const CallPointer& call, const std::string& address);
    void awaitLeaderAnswer(const CallPointer& call, const std::string& address);
    void leaderAnswered(const CallPointer& call, AcceptOutcome outcome);
    void writeJob(const CallPointer& call);
    void writeIntakeRow(const CallPointer& call);
    void compareWithStoredJob(const CallPointer& call, const platform::StoreRow& row);
    void retryRead(const CallPointer& call, const std::string& detail, std::function<void()> read);
    void retryWrite(const CallPointer& call, const std::string& detail);
    void jobWritten(const CallPointer& call, const platform::StoreResult& result);
    void acknowledge(const CallPointer& call);
    void jobDurable(const CallPointer& call);
    void getJobState(const CallPointer& call);
    void getJobStateFromStore(const CallPointer& call);
    void getJobStateFromIntake(const CallPointer& call, bool isKnown);
    void getJobStateFromRecord(const CallPointer& call);
    void cancel(const CallPointer& call);
    void cancelIfStored(const CallPointer& call, const std::string& partition);
    void continueCancel(const CallPointer& call, CancelAnswer answer);
    void writeCancel(const CallPointer& call, bool isJobKnown);
    void retryLimitedCancel(const CallPointer& call);
    void tellLeaderOfCancel(const std::string& id);
    void answerCancel(const CallPointer& call, bool isJobKnown);
    void countPending(const CallPointer& call);
    /** Wraps `done` so that the circuit breaker records each outcome first. */
    platform::StoreClient::Done withOutcomeRecorded(platform::StoreClient::Done done);
    /** Refuses the request and returns true if the breaker has tripped, unless a write may have succeeded. */
    bool refuseIfStoreDown(const CallPointer& call);

    void answer(const CallPointer& call, unsigned status, std::string body, std::string_view why);
    void countRefusal(std::string_view reason);
    void refuse(const CallPointer& call, ErrorKind kind, const std::string& detail);
    /** Refuses a submission because the job was cancelled before. */
    void refuseCancelled(const CallPointer& call);
    /** Answers that it is unknown whether the request took effect. */
    void refuseOutcomeUnknown(const CallPointer& call, const std::string& detail);

    EdgeServices m_services;
    PeerClient& m_peers;
    ConfigurationWatcher& m_configurationWatcher;
    Election& m_election;
    StoreCircuitBreaker m_storeBreaker;
    std::size_t m_maxRowBytes;
    Counter& m_accepted;
    DurationHistogram& m_acceptTime;
    int m_writesInFlight = 0;
    // Of jobs that do not exist, while no leader limits them.
    TokenBucket m_unmatchedCancels;
};

} // namespace quay::edge
