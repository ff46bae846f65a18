#pragma once

#include "edge/ConfigurationWatcher.h"
#include "edge/Election.h"
#include "edge/PeerClient.h"
#include "edge/StoreCircuitBreaker.h"
#include "net/HttpServer.h"

#include <memory>
#include <string>

namespace quay::edge {

/**
 * Serves callers: takes jobs in, shows their state, cancels them, counts those that have not begun.
 * A job is durable in the store before it is answered; the scheduler is told afterwards.
 *
 * Usage: `JobApi front(services, peers, follower, election); server handler = [&](auto r, auto a) {
 * front.serve(r, a); }`
 */
class JobApi {
public:
    /** `maxRowBytes`: the largest row that the store takes. */
    JobApi(EdgeServices services, PeerClient& peers, ConfigurationWatcher& configurationWatcher,
        Election& election, std::size_t maxRowBytes);

    void serve(HttpRequest request, Respond respond);

private:
    struct Call;
    using CallPointer = std::shared_ptr<Call>;

    void submit(const CallPointer& call);
    void sendToLeader(const CallPointer& call, const std::string& address);
    void awaitLeaderAnswer(const CallPointer& call, const std::string& address);
    void leaderAnswered(const CallPointer& call, AcceptOutcome outcome);
    void writeJob(const CallPointer& call);
    void retryWrite(const CallPointer& call, const std::string& detail);
    void jobWritten(const CallPointer& call, const platform::StoreResult& result);
    void acknowledge(const CallPointer& call);
    void jobDurable(const CallPointer& call);
    void showState(const CallPointer& call);
    void showStateFromStore(const CallPointer& call);
    void showStateFromRecord(const CallPointer& call);
    void cancel(const CallPointer& call);
    void writeCancel(const CallPointer& call);
    void countPending(const CallPointer& call);
    /** Passes an exchange's result on, once the gate has heard it. */
    platform::StoreClient::Done withOutcomeRecorded(platform::StoreClient::Done done);
    /** True, with the answer given, if the store is known not to answer. */
    bool refuseIfStoreDown(const CallPointer& call);

    void answer(const CallPointer& call, unsigned status, std::string body, std::string_view why);
    void countRefusal(std::string_view reason);
    void refuse(const CallPointer& call, ErrorKind kind, const std::string& detail);
    /** Says neither that it ran nor that it did not. */
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
};

} // namespace quay::edge
