#pragma once

#include "net/HttpClient.h"
#include "quay/core/JobLedger.h"
#include "quay/kernel/ServiceThread.h"

#include <functional>
#include <optional>
#include <string>

namespace quay {

/** An interactive request as sent to an executor. */
struct ExecuteRequest {
    TeamId team;
    std::string requestId; // set by the caller; may be empty
    std::string traceparent;
    std::string body;
};

/**
 * HTTP client for workers and executors, on its own thread. The protocols are specified in docs/contracts/.
 * All methods are callable from any thread; callbacks run on the thread of this service, or on the calling
 * thread if the task queue is full.
 */
class BackendLink : public ServiceThread {
public:
    using ExecuteDone = std::function<void(HttpResult)>;
    using BusyDone = std::function<void(std::optional<std::uint32_t>)>;
    using StartDone = std::function<void(StartAnswer)>;
    using ReportDone = std::function<void(std::optional<WorkerReport>)>;

    BackendLink();
    ~BackendLink() override { stop(); } // ends the thread before the members are destroyed

    /** Sends an interactive request to an executor; `done` is called exactly once. */
    void execute(const std::string& address, ExecuteRequest request, Duration timeout, ExecuteDone done);

    /** Queries an executor for its count of busy slots; nullopt if there is no valid answer. */
    void queryBusySlots(const std::string& address, BusyDone done);

    /** Starts a task. The outcome is Unknown unless the worker answered or no byte was sent. */
    void startTask(const std::string& address, SendStart message, StartDone done);

    void renew(const std::string& address, const SendRenew& message);
    void stopTask(const std::string& address, const SendStop& message);
    void acknowledge(const std::string& address, const SendAck& message);

    /** Queries a worker for its running and ended tasks; nullopt if there is no valid answer. */
    void report(const std::string& address, const ServerId& worker, ReportDone done);

private:
    void sendWithoutReply(const std::string& address, std::string target, std::string body);

    HttpClient m_executors;
    HttpClient m_workers;
};

} // namespace quay
