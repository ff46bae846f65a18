#pragma once

#include "ApprovalClient.h"
#include "edge/JobRows.h"
#include "net/HttpClient.h"
#include "quay/fleet/JobRequest.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

// Requests between nodes: HTTP with JSON on each machine's first port for peers.
namespace quay::edge {

constexpr const char* probePath = "/peer/greet";
constexpr const char* takeoverPath = "/peer/takeover";
constexpr const char* takenBody = "{\"taken\":true}";
constexpr const char* acceptPath = "/peer/accept";
constexpr const char* jobPath = "/peer/job";
constexpr const char* cancelPath = "/peer/cancel";
constexpr const char* cancelRequestPath = "/peer/cancel-request";
constexpr const char* statePath = "/peer/state";
constexpr const char* approvePath = "/peer/approve";
constexpr const char* configurationPath = "/peer/configuration";

/** Health check that a node sends to the leader. */
struct LeaderProbe {
    std::string node;
    std::string address; // for peers
    std::string zone;
    double processorShare = 0; // 0: the node is not eligible as leader, or does not know its share

    bool operator==(const LeaderProbe&) const = default;
};

std::string encode(const LeaderProbe& probe);
std::optional<LeaderProbe> decodeLeaderProbe(const std::string& body);

/** The leader's answer to a probe. */
struct LeaderStatus {
    bool isAnswered = false;
    bool isLeader = false;
    bool canCommit = false; // its commits to the store succeed
    std::int64_t configurationVersion = 0;
    // Since this version was last known to be the newest. Absent if the leader can't tell.
    std::optional<Duration> configurationAge;
    std::size_t nodeCount = 0; // nodes that probe the leader
    // Jobs that have not started, by queue. Absent until the leader has read all jobs, since counts of 0
    // would be wrong.
    std::optional<std::map<std::string, std::int64_t>> pending;

    bool operator==(const LeaderStatus&) const = default;
};

std::string encode(const LeaderStatus& status);
std::optional<LeaderStatus> decodeLeaderStatus(const std::string& body);

std::string encode(CancelAnswer answer);
/** Unavailable if the body is not an answer. */
CancelAnswer decodeCancelAnswer(const std::string& body);

std::string encodeApprovalRequest(
    const std::string& step, const std::vector<std::string>& workers, Duration timeout);
bool decodeApprovalRequest(
    const std::string& body, std::string& step, std::vector<std::string>& workers, Duration& timeout);
std::string encodeApprovalResponse(const platform::ApprovalResponse& answer);

/** The leader's answer to a request for a job's state. */
struct StateAnswer {
    bool isAnswered = false; // false: the leader gave no answer
    std::optional<fleet::JobPhase> phase; // absent: the leader does not know the job
};

/**
 * Sends requests to other nodes. Every `done` is called exactly once.
 *
 * Usage: `peers.probe(address, { "edge-1", ownAddress, "zone-a", 0.25 }, 500ms, [](LeaderStatus status) { ...
 * });`
 */
class PeerClient {
public:
    explicit PeerClient(boost::asio::io_context& context);

    void probe(const std::string& address, const LeaderProbe& probe, Duration timeout,
        std::function<void(LeaderStatus)> done);
    /** Asks a node to take the leadership row, if its version is still `version`. */
    void requestTakeover(
        const std::string& address, std::int64_t version, std::function<void(bool isTaken)> done);
    /** Asks the leader to make a job durable. */
    void accept(const std::string& address, const StoredJob& job, Duration timeout,
        std::function<void(AcceptOutcome)> done);
    /** Notifies the leader of a durable job. Never retries: the leader also reads the store's changes. */
    void notifyJob(const std::string& address, const StoredJob& job);
    /** Notifies the leader of a durable cancellation. Never retries, as notifyJob(). */
    void notifyCancel(const std::string& address, const std::string& id);
    /** Asks the leader whether there is a job that a caller cancels, before the cancellation is stored. */
    void requestCancel(const std::string& address, const std::string& id, const std::string& team,
        Duration timeout, std::function<void(CancelAnswer)> done);
    void requestJobState(const std::string& address, const std::string& id, Duration timeout,
        std::function<void(StateAnswer)> done);
    /** Asks the leader for the operator's configuration as stored; `done` gets nothing if there is no answer.
     */
    void requestConfiguration(
        const std::string& address, std::function<void(std::optional<std::string>)> done);
    /** Has the node at `address` call the approval service. */
    void approve(const std::string& address, const std::string& step, const std::vector<std::string>& workers,
        Duration timeout, std::function<void(platform::ApprovalResponse)> done);

private:
    // Probes have their own connections: if they waited behind slow requests, the leader would seem to have
    // failed.
    HttpClient m_probes;
    HttpClient m_accepts; // each request is open until the leader has committed
    HttpClient m_messages;
    HttpClient m_approvals; // each request may take a second
    HttpClient m_configurations; // the only large responses
};

} // namespace quay::edge
