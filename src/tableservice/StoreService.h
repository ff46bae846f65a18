#pragma once

#include "net/HttpClient.h"
#include "quay/kernel/ServiceThread.h"
#include "tableservice/Transaction.h"

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace quay {

/** How the store client spends its share of the table service. */
struct StoreLimits {
    Duration minCommitInterval = 20ms; // between the group commits of this process
    Duration requestTimeout = 2s; // one HTTP exchange
    Duration maxBackoff = 2s; // between tries while the table service is down
    std::size_t maxRowsPerCommit = 200;
    std::size_t maxQueued = 4096; // transactions that wait for a commit
};

/** Counts of the store client, readable from any thread. */
struct StoreCounters {
    std::atomic<std::uint64_t> commits = 0; // HTTP transactions sent
    std::atomic<std::uint64_t> transactions = 0; // transactions of callers carried by them
    std::atomic<std::uint64_t> reads = 0;
    std::atomic<std::uint64_t> lostAnswers = 0; // commits without an answer
    std::atomic<std::uint64_t> conflicts = 0;
};

/**
 * The client of the platform's table service and object store, on its own thread.
 *
 * Transactions that wait at the same time travel in one group commit. A lost answer is resolved by
 * sending the same conditional transaction again and, on a conflict, by reading the rows back:
 * it took effect if all its puts stand in the table under one version. Values that are put should therefore
 * be unique to their writer.
 *
 * Usage: `store.commit(transaction, 5s, [](TransactionOutcome outcome) { ... });`
 * Callbacks run on the store's thread and hand over to their own duty.
 */
class StoreService : public ServiceThread {
public:
    using CommitDone = std::function<void(TransactionOutcome)>;
    using ReadDone = std::function<void(std::optional<std::vector<TableRow>>)>;
    using ObjectDone = std::function<void(HttpResult)>;

    StoreService(std::string address, StoreLimits limits);
    ~StoreService() override { stop(); } // its thread ends before its members go

    /**
     * Commits a transaction; each should check the version of every row it puts, or else a retry after a
     * lost answer could write twice. Without a definite answer inside `timeout` the outcome is Unknown,
     * or NotSent if it never left this process.
     */
    void commit(Transaction transaction, Duration timeout, CommitDone done);

    /** Reads rows by key; rows that don't exist come back with version 0. nullopt: no answer in time. */
    void read(std::vector<std::string> keys, Duration timeout, ReadDone done);

    /** Reads all rows whose keys begin with `prefix`. nullopt: no answer in time. */
    void scan(std::string prefix, Duration timeout, ReadDone done);

    /** Stores an object under a name. */
    void putObject(std::string name, std::string content, Duration timeout, ObjectDone done);

    /** Reads an object; 404 if there is none. */
    void getObject(std::string name, Duration timeout, ObjectDone done);

    /** Reads the platform's VM list. */
    void getServers(Duration timeout, ObjectDone done);

    const StoreCounters& counters() const { return m_counters; }

private:
    struct PendingTransaction {
        Transaction transaction;
        Instant deadline;
        CommitDone done;
        bool wasSent = false; // some commit with it may have reached the table service
        bool mustCommitAlone = false; // its group met a conflict, or its answer was lost: it travels alone
        bool mayHaveCommitted = false; // an earlier try may have taken effect
    };
    using CommitGroup = std::vector<PendingTransaction>;
    struct Scan;

    void scheduleCommit();
    void sendGroupCommit();
    void finishCommit();
    CommitGroup takeCommitGroup();
    void expireQueued();
    void onCommitResponse(CommitGroup group, HttpResult result);
    void onConflict(CommitGroup group, const TransactionOutcome& outcome);
    void resolveByReadBack(PendingTransaction pending, TransactionOutcome conflict);
    void requeueWithBackoff(CommitGroup group);
    void sendRequest(HttpRequest request, Duration timeout, HttpClient::Done done);
    void scanPage(std::shared_ptr<Scan> scan);

    std::string m_address;
    StoreLimits m_limits;
    HttpClient m_client;
    StoreCounters m_counters;
    std::deque<PendingTransaction> m_queue;
    bool m_isCommitInFlight = false;
    bool m_isCommitScheduled = false;
    Instant m_nextCommitAt {};
    Duration m_backoff {};
};

} // namespace quay
