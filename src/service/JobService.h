#pragma once

#include "net/PeerLink.h"
#include "quay/core/JobEventLog.h"
#include "quay/core/JobLedger.h"
#include "quay/core/TeamTokens.h"
#include "quay/kernel/ServiceThread.h"
#include "service/BackendLink.h"
#include "service/ConfigurationService.h"
#include "service/JobPlacement.h"
#include "service/MembershipService.h"
#include "service/QuotaService.h"

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace quay {

/** Operations on durable jobs. The numeric values are part of the peer protocol. */
enum class JobOperation : unsigned {
    Submit = 1,
    Status = 2,
    Cancel = 3,
    List = 4,
    Explain = 5,
    Watch = 6,
};

/** A request about durable jobs, addressed to the leader of a failure domain. */
struct JobCall {
    JobOperation operation = JobOperation::Status;
    DomainId domain;
    TeamId team; // of the API key that authenticated the caller
    std::string requestId; // Submit
    JobSpec spec; // Submit
    JobId job; // Status, Cancel, Explain; List: the last job of the previous page
    std::uint64_t cursor = 0; // Watch
    std::uint32_t waitMs = 0; // Watch: longest wait for the first event
};

/** The response to a JobCall: an HTTP status and a JSON body. */
struct JobReply {
    unsigned status = 200;
    std::string body;
    int retryAfterMs = 0; // 0: none
};

/**
 * Serves durable jobs. On the leader of the failure domain it owns the job ledger and executes the ledger's
 * actions; on every process it forwards calls to the leader of the failure domain that they address.
 *
 * Usage: `jobs.call(call, [](JobReply reply) { respond(reply.status, reply.body); });`
 */
class JobService : public ServiceThread {
public:
    using Done = std::function<void(JobReply)>;

    JobService(MembershipService& membership, ConfigurationService& configuration, StoreService& store,
        BackendLink& backend, PeerLink& peers, TeamTokens& tokens, QuotaService& quota);
    ~JobService() override { stop(); } // ends the thread before the members are destroyed

    /**
     * Serves the call here or forwards it to the leader. Callable from any thread.
     *
     * @param done called exactly once, on any thread, possibly before this method returns; refusals and
     * errors are replies as well
     */
    void call(JobCall call, Done done);

private:
    // Leadership changes and the ledger.
    void tick();
    void updateLeadership(Instant now);
    void onLeadershipLost();
    void reportInheritedWork();
    void updateInheritedWork();
    void loadLedger(std::uint64_t epoch);
    void onLoaded(std::uint64_t epoch, const std::optional<std::vector<TableRow>>& rows);
    void reconcile();
    void onReconciled(const std::vector<TableRow>& rows);
    void applyEvent(const LedgerEvent& event);
    void perform(const LedgerAction& action);
    void perform(const WriteRecord& action);
    void perform(const SendStart& action);
    void perform(const SendRenew& action);
    void perform(const SendStop& action);
    void perform(const SendAck& action);
    void perform(const JobEnded& action);
    void perform(const Explain& action);
    void perform(const ReleaseTokens& action);
    void placePending();
    void archiveFinished();
    void archive(const VersionedRecord& finished);
    void removeArchived();
    void onRecordStored(const JobRecord& record, std::uint64_t version);
    void pollWorkers();
    bool holdsLeadership() const;
    std::string addressOf(const ServerId& worker) const;

    // Calls.
    void serve(const JobCall& call, const Done& done);
    void submit(const JobCall& call, const Done& done);
    void onSubmitted(const JobRecord& record, const TransactionOutcome& outcome, const Done& done);
    void answerDuplicateSubmission(const JobCall& call, const Done& done);
    void withStoredJob(const JobCall& call, const Done& done, std::function<void()> action);
    void status(const JobCall& call, const Done& done);
    void cancel(const JobCall& call, const Done& done);
    void answerStoredCancels();
    void list(const JobCall& call, const Done& done);
    void explain(const JobCall& call, const Done& done);
    void watch(const JobCall& call, const Done& done);
    bool answerWatch(const JobCall& call, const Done& done, bool evenIfEmpty);
    void answerWatchers();
    void forward(const JobCall& call, const Done& done);
    void onForward(const wire::Envelope& envelope);

    // A watch call that is held open until its first event or its deadline.
    struct Watcher {
        JobCall call;
        Instant deadline;
        Done done;
    };
    // A cancellation whose change of the job's record is not known to be stored yet.
    struct PendingCancel {
        JobCall call;
        std::uint64_t change = 0;
        Instant deadline;
        Done done;
    };
    // An ended job that is in the object store; its row stays so that watchers can still see the end.
    struct ArchivedJob {
        JobId id;
        std::string key;
        std::uint64_t version = 0;
        Instant removeAt;
    };

    MembershipService& m_membership;
    ConfigurationService& m_configuration;
    StoreService& m_store;
    BackendLink& m_backend;
    PeerLink& m_peers;
    TeamTokens& m_tokens;
    QuotaService& m_quota;
    std::map<TeamId, std::int64_t> m_inheritedUnits; // by team, as last reported to the quota service
    Instant m_inheritedSettledAt {}; // after this time no task started by a former leader can still appear
    JobLedger m_ledger;
    JobPlacement m_placement;
    bool m_isLoading = false;
    Instant m_leadershipValidUntil {}; // as of the last tick
    std::uint64_t m_nextJobNumber = 1;
    std::set<ServerId> m_workersBeingPolled; // workers with a report request in flight
    std::map<JobId, std::deque<std::string>> m_explanations;
    std::deque<JobId> m_finishedOrder; // oldest first; limits the size of m_finished
    JobEventLog m_events;
    std::vector<PendingCancel> m_pendingCancels;
    std::vector<Watcher> m_watchers;
    std::deque<ArchivedJob> m_archived; // in order of removeAt
    std::uint64_t m_trimRowVersion = 0; // version of the trim row; 0: no such row
    bool m_isRemovingArchived = false;
    std::map<JobId, JobRecord> m_finished; // recently ended jobs, kept for status calls
};

} // namespace quay
