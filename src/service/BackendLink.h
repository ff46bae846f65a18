#pragma once

#include "net/HttpClient.h"
#include "quay/core/JobLedger.h"
#include "quay/kernel/Duty.h"

#include <functional>
#include <optional>
#include <string>

namespace quay {

/** One interactive request as an executor gets it. */
struct ExecuteRequest {
    TeamId team;
    std::string requestId; // of the caller; empty if it gave none
    std::string traceparent;
    std::string body;
};

/** The adapter to workers and executors, on its own thread. docs/contracts/ says what it speaks. */
class BackendLink : public Duty {
public:
    using ExecuteDone = std::function<void(HttpResult)>;
    using BusyDone = std::function<void(std::optional<std::uint32_t>)>;
    using StartDone = std::function<void(StartAnswer)>;
    using ReportDone = std::function<void(std::optional<WorkerReport>)>;

    BackendLink();
    ~BackendLink() override { stop(); } // its thread ends before its members go

    /** Sends an interactive request to an executor. `done` runs on this link's thread, exactly once. */
    void execute(const std::string& address, ExecuteRequest request, Duration timeout, ExecuteDone done);

    /** Asks an executor for its own count of busy slots; nullopt if it doesn't answer. */
    void queryBusySlots(const std::string& address, BusyDone done);

    /** Starts a task; Unknown unless the worker answered or no byte was sent. */
    void startTask(const std::string& address, SendStart message, StartDone done);

    void renew(const std::string& address, const SendRenew& message);
    void stopTask(const std::string& address, const SendStop& message);
    void acknowledge(const std::string& address, const SendAck& message);

    /** Asks a worker what it runs and what ended; nullopt if it doesn't answer. */
    void report(const std::string& address, const ServerId& worker, ReportDone done);

private:
    void sendWithoutReply(const std::string& address, std::string target, std::string body);

    HttpClient m_executors;
    HttpClient m_workers;
};

} // namespace quay
