#pragma once

#include "ApprovalClient.h"
#include "edge/JobRows.h"
#include "net/HttpClient.h"
#include "quay/fleet/WorkRequest.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

// Messages between our own nodes: HTTP with JSON on the first free port of each machine.
namespace quay::edge {

constexpr const char* greetPath = "/peer/greet";
constexpr const char* acceptPath = "/peer/accept";
constexpr const char* jobPath = "/peer/job";
constexpr const char* cancelPath = "/peer/cancel";
constexpr const char* statePath = "/peer/state";
constexpr const char* approvePath = "/peer/approve";

/** Who greets the leader. */
struct Greeter {
    std::string node;
    std::string address; // for peers
    double processorShare = 0; // 0: it could not lead now, or was not told its share

    bool operator==(const Greeter&) const = default;
};

std::string encode(const Greeter& greeter);
std::optional<Greeter> decodeGreeter(const std::string& body);

/** What the leader tells a node that greets it. */
struct Greeting {
    bool isAnswered = false;
    bool isLeader = false;
    bool isUsable = false; // it reaches the store
    std::int64_t configurationVersion = 0;
    // By queue; absent while the leader still reads what is durable: it knows no counts then, not even zeros.
    std::optional<std::map<std::string, std::int64_t>> pending;

    bool operator==(const Greeting&) const = default;
};

std::string encode(const Greeting& greeting);
std::optional<Greeting> decodeGreeting(const std::string& body);

std::string encodeApprovalQuestion(
    const std::string& step, const std::vector<std::string>& workers, Duration timeout);
bool decodeApprovalQuestion(
    const std::string& body, std::string& step, std::vector<std::string>& workers, Duration& timeout);
std::string encodeApprovalAnswer(const platform::ApprovalResponse& answer);

/** What a question for a job's state came to. */
struct StateAnswer {
    bool isAnswered = false; // false: the leader gave no answer
    std::optional<fleet::JobPhase> phase; // nothing: it does not know the job
};

/**
 * Usage: `peers.greet(address, { "edge-1", ownAddress, 0.25 }, 500ms, [](Greeting greeting) { ... });`
 */
class PeerClient {
public:
    explicit PeerClient(boost::asio::io_context& context);

    void greet(const std::string& address, const Greeter& self, Duration timeout,
        std::function<void(Greeting)> done);
    void accept(const std::string& address, const StoredJob& job, Duration timeout,
        std::function<void(AcceptOutcome)> done);
    void tellJob(const std::string& address, const StoredJob& job);
    void tellCancel(const std::string& address, const std::string& id);
    void askState(const std::string& address, const std::string& id, Duration timeout,
        std::function<void(StateAnswer)> done);
    void approve(const std::string& address, const std::string& step, const std::vector<std::string>& workers,
        Duration timeout, std::function<void(platform::ApprovalResponse)> done);

private:
    // A greeting must never wait behind calls that take their time: the leader would seem silent.
    HttpClient m_greetings;
    HttpClient m_accepts; // each is open until the leader's commit
    HttpClient m_client;
    HttpClient m_slow; // approvals may take a second each
};

} // namespace quay::edge
