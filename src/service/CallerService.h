#pragma once

#include "net/HttpServer.h"
#include "quay/core/Settings.h"
#include "quay/kernel/ServiceThread.h"
#include "quay/telemetry/Telemetry.h"
#include "service/ConfigurationService.h"
#include "service/InteractiveService.h"
#include "service/JobService.h"
#include "service/MembershipService.h"
#include "service/QuotaService.h"

#include <atomic>
#include <optional>
#include <string>

namespace quay {

/**
 * The HTTP API for callers and operators, versioned under /v1. It authenticates keys, authorizes the use of
 * queues, and translates requests into calls to the other services. Each request gets one complete response,
 * on the connection it came from.
 *
 * Usage: `callers.start(); callers.open();` and on shutdown `callers.failHealthCheck(); callers.drain();`
 */
class CallerService : public ServiceThread {
public:
    CallerService(const Settings& settings, MembershipService& membership,
        ConfigurationService& configuration, QuotaService& quota, InteractiveService& interactive,
        JobService& jobs, Telemetry telemetry);
    ~CallerService() override { stop(); } // ends the thread before the members are destroyed

    /** The bound address as "ip:port". */
    std::string address() const { return m_server.address(); }

    /** Starts to accept connections. */
    void open() { m_server.start(); }

    /** Makes the health check fail from now on; requests are still answered. */
    void failHealthCheck() { m_isLeavingBalancer = true; }

    /** Closes each connection after its next response from now on. */
    void drain() { m_server.drain(); }

    /** Number of requests received whose response is not sent in full. */
    std::size_t inFlight() const { return m_server.inFlight(); }

private:
    /** An authorized request: the key it presented and the queue it names. */
    struct Admission {
        KeyMatch key;
        QueueConfig queue;
    };

    void refreshCertificate();
    void handle(HttpRequest request, Respond respond);
    void route(const HttpRequest& request, const Respond& respond);
    Respond instrument(const HttpRequest& request, Span span, Respond respond);
    bool handleOperatorRequest(const HttpRequest& request, const Respond& respond);
    void ask(const HttpRequest& request, const Respond& respond);
    void submit(const HttpRequest& request, const Respond& respond);
    void handleJobCall(const HttpRequest& request, const Respond& respond);
    void watch(const HttpRequest& request, const Respond& respond);
    void health(const Respond& respond);
    void showFleet(const Respond& respond);
    void showMetrics(const Respond& respond);
    void showTrace(const HttpRequest& request, const Respond& respond);
    void showConfiguration(const Respond& respond);
    void showRollout(const Respond& respond);
    void showTeams(const Respond& respond);
    void applyConfiguration(
        const HttpRequest& request, const KeyMatch& operatorMatch, const Respond& respond);
    std::optional<KeyMatch> authenticate(const HttpRequest& request, Reason& reason) const;
    std::optional<KeyMatch> authenticateOperator(const HttpRequest& request, Reason& reason) const;
    std::optional<Admission> admit(const HttpRequest& request, const QueueId& queue, Reason& reason) const;

    MembershipService& m_membership;
    ConfigurationService& m_configuration;
    QuotaService& m_quota;
    InteractiveService& m_interactive;
    JobService& m_jobs;
    Telemetry m_telemetry;
    std::atomic<bool> m_isLeavingBalancer = false;
    std::shared_ptr<TlsCertificate> m_certificate; // null: plain HTTP
    HttpServer m_server;
};

} // namespace quay
