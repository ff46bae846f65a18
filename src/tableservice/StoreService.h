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

/** Limits on the load that this process puts on the table service. */
struct StoreLimits {
    Duration minCommitInterval = 20ms; // between the starts of two group commits of this process
    Duration requestTimeout = 2s; // of one HTTP request of a commit
    Duration maxBackoff = 2s; // longest delay between retries while the table service is down
    std::size_t maxRowsPerCommit = 200;
    std::size_t maxQueued = 4096; // transactions that wait for a group commit
};

/** Counters of a StoreService, readable from any thread. */
struct StoreCounters {
    std::atomic<std::uint64_t> commits = 0; // group commits sent
    std::atomic<std::uint64_t> transactions = 0; // callers' transactions in them, including retries
    std::atomic<std::uint64_t> reads = 0;
    std::atomic<std::uint64_t> lostAnswers = 0; // group commits without a valid response
    std::atomic<std::uint64_t> conflicts = 0;
};

/**
 * The client of the platform's table service and object store, on its own thread.
 *
 * Pending transactions are merged into group commits. If a response is lost, the same conditional
 * transaction is sent again. If that fails with a conflict, the rows are read back: an earlier attempt took
 * effect if the table holds all values that were put, under one version. Values that are put should therefore
 * be unique to their writer.
 *
 * Usage: `store.commit(transaction, 5s, [](TransactionOutcome outcome) { ... });`
 * Callbacks run on this service's thread; a caller with its own thread posts the result to it.
 */
class StoreService : public ServiceThread {
public:
    using CommitHandler = std::function<void(TransactionOutcome)>;
    using ReadHandler = std::function<void(std::optional<std::vector<TableRow>>)>;
    using ObjectHandler = std::function<void(HttpResult)>;

    StoreService(std::string address, StoreLimits limits);
    ~StoreService() override { stop(); } // ends the thread before the members are destroyed

    /**
     * Commits a transaction. It should check the version of every row it puts; otherwise a retry after a lost
     * response could apply it twice. Without a definite response within `timeout` the outcome is Unknown, or
     * NotSent if the transaction never left this process. The outcome may be reported later than `timeout`,
     * because a request in flight is awaited.
     */
    void commit(Transaction transaction, Duration timeout, CommitHandler done);

    /** Reads rows by key. Rows that don't exist are returned with version 0; nullopt means no response in
     * time. */
    void read(std::vector<std::string> keys, Duration timeout, ReadHandler done);

    /** Reads all rows whose keys start with `prefix`; nullopt means no response in time. */
    void scan(std::string prefix, Duration timeout, ReadHandler done);

    /** Stores an object under a name. */
    void putObject(std::string name, std::string content, Duration timeout, ObjectHandler done);

    /** Reads an object. The response has status 404 if it doesn't exist. */
    void getObject(std::string name, Duration timeout, ObjectHandler done);

    /** Reads the platform's VM list. */
    void getServers(Duration timeout, ObjectHandler done);

    const StoreCounters& counters() const { return m_counters; }

private:
    struct PendingTransaction {
        Transaction transaction;
        Instant deadline;
        CommitHandler done;
        bool wasSent = false; // a commit with this transaction was attempted and may have reached the service
        bool mustCommitAlone = false; // its group commit failed; it is retried in a commit of its own
        bool mayHaveCommitted = false; // an earlier attempt whose response was lost may have taken effect
    };
    using CommitGroup = std::vector<PendingTransaction>;
    struct ScanState;

    void scheduleCommit();
    void sendGroupCommit();
    void finishCommit();
    CommitGroup takeCommitGroup();
    void expireQueued();
    void onCommitResponse(CommitGroup group, HttpResult result);
    void onConflict(CommitGroup group, const TransactionOutcome& outcome);
    void resolveByReadBack(PendingTransaction pending, TransactionOutcome conflict);
    void requeueWithBackoff(CommitGroup group);
    void sendRequest(HttpRequest request, Duration timeout, HttpClient::ResponseHandler done);
    void scanPage(std::shared_ptr<ScanState> scan);

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
