#include "edge/EdgeNode.h"

#include "edge/Clock.h"
#include "edge/JobApi.h"
#include "edge/OrderRelay.h"

#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/json.hpp>
#include <csignal>
#include <random>
#include <set>

namespace quay::edge {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace platform;

namespace {

constexpr std::size_t maxBodyBytes = 512 * 1024; // larger than the configured limit of job bodies
constexpr auto drainDelay = 1300ms; // the balancer checks readiness once a second
// Longer than one metrics scrape takes and shorter than the time between scrapes.
constexpr auto countsCacheTime = 200ms;
constexpr std::size_t maxEvacuationSeries = 64; // more failure domains than a site has
constexpr double milliPerProcessor = 1000;
// Part of the file descriptors that idle connections for orders may use. The rest is for one long poll to
// each executor, for peers and for callers.
constexpr std::size_t idleConnectionsDivisor = 4;
constexpr auto drainPollInterval = 50ms;
constexpr auto graceMargin = 700ms; // before the grace period ends and the platform kills the process
constexpr std::chrono::nanoseconds peerConfigurationByteTime { 500 }; // 2 MB a second for all peers
constexpr std::uint16_t metricsPort = 9464; // as configured in the deployment file for all machines

// As gauges show it; -1: never.
double secondsSince(Instant moment)
{
    return moment == Instant {} ? -1.0 : std::chrono::duration<double>(clockNow() - moment).count();
}

} // namespace

class EdgeNode::Impl {
public:
    explicit Impl(const NodeSettings& settings)
        : m_settings(settings)
        , m_log(settings.node)
        , m_store(m_context, settings.storeAddress)
        , m_executors(m_context, settings.maxFileDescriptors / idleConnectionsDivisor)
        , m_approvalClient(m_context, settings.approvalAddress)
        , m_peers(m_context)
        , m_approvals(m_approvalClient,
              m_metrics.histogram("quay_approval_queue_seconds",
                  "A call for approval's expected wait behind others of its caller"),
              [this](const std::string& address, const std::string& step,
                  const std::vector<std::string>& workers, Duration timeout, ApprovalBroker::Done done) {
                  m_peers.approve(address, step, workers, timeout, std::move(done));
              })
        , m_startGuard(settings.maxEvacuationDelay, m_log, m_metrics)
        , m_orders(m_context, m_executors, m_startGuard, m_log, m_metrics)
        , m_relay(m_context, m_executors, m_startGuard)
        , m_services { m_context, m_store, m_orders, m_approvals, m_log, m_metrics }
        , m_configurationWatcher(
              m_context, m_store, m_log, { settings.maxConfigurationDelay, settings.maxEvacuationDelay },
              [this](const fleet::FleetConfiguration& configuration) {
                  registerTeamMetrics(configuration);
                  m_election.configurationChanged(configuration);
              },
              [this](const fleet::EvacuationView& evacuations) {
                  m_startGuard.setView(evacuations);
                  registerEvacuationMetrics(evacuations);
                  m_election.evacuationsRead(evacuations);
              })
        , m_election(m_services, m_peers, m_configurationWatcher, identity(settings), boundsOf(settings))
        , m_jobApi(m_services, m_peers, m_configurationWatcher, m_election, settings.maxRowBytes)
        , m_apiServer(m_context, settings.jobApiAddress, limits(),
              [this](HttpRequest request, Respond respond) {
                  m_jobApi.serve(std::move(request), std::move(respond));
              })
        , m_readinessServer(m_context, settings.readinessAddress, limits(),
              [this](const HttpRequest&, const Respond& respond) { answerReadiness(respond); })
        , m_peerServer(m_context, peerAddress(settings), limits(),
              [this](const HttpRequest& request, Respond respond) { servePeer(request, std::move(respond)); })
        , m_metricsServer(m_context, settings.ip + ":" + std::to_string(metricsPort), limits(),
              [this](const HttpRequest&, const Respond& respond) {
                  HttpResponse response;
                  response.contentType = "text/plain; version=0.0.4";
                  response.body = m_metrics.page();
                  respond(std::move(response));
              })
        , m_signals(m_context, SIGTERM, SIGINT)
        , m_reloadSignal(m_context, SIGHUP)
        , m_drainTimer(m_context)
    {
    }

    int run()
    {
        registerStoreMetrics();
        registerSchedulerMetrics();
        m_metrics.observableCounter("quay_log_bytes_total", "Bytes of log lines",
            [this] { return static_cast<double>(m_log.bytesWritten()); });
        m_metrics.gauge("quay_may_lead", "0 if this node can't read the rows that the leader stores",
            [this] { return m_election.isFormatKnown() ? 1.0 : 0.0; });
        m_metrics.gauge("quay_leads", "1 while this node schedules the cell",
            [this] { return m_election.leader() ? 1.0 : 0.0; });
        m_metrics.gauge("quay_evacuations", "Failure domains that the operator has asked to empty",
            [this] { return static_cast<double>(m_configurationWatcher.evacuations().evacuations.size()); });
        m_metrics.gauge("quay_evacuations_age_seconds",
            "Since the node last asked the store which failure domains to empty; -1: not answered yet",
            [this] { return secondsSince(m_configurationWatcher.evacuations().readAt); });
        m_metrics.gauge("quay_configuration_version", "Version of the configuration in force; 0: none",
            [this] { return static_cast<double>(m_configurationWatcher.version()); });
        m_metrics.gauge("quay_configuration_age_seconds",
            "Since the configuration in force was last known to be the newest; -1: never",
            [this] { return secondsSince(m_configurationWatcher.currentAsOf()); });
        m_signals.async_wait([this](boost::system::error_code ec, int) {
            if (!ec)
                drain();
        });
        awaitReloadSignal();
        m_approvals.nodeSeen(m_settings.node, {}, clockNow());
        m_log.write("node_started", {},
            { { "zone", m_settings.zone }, { "callers", m_settings.jobApiAddress },
                { "store", m_settings.storeAddress } });
        m_apiServer.start();
        m_readinessServer.start();
        m_peerServer.start();
        m_metricsServer.start();
        m_configurationWatcher.start();
        m_election.start();
        m_context.run();
        m_log.write("node_stopped", {}, { { "in_flight", std::to_string(m_apiServer.inFlight()) } });
        return 0;
    }

    void halt() { m_context.stop(); }

    void postDrain()
    {
        asio::post(m_context, [this] { drain(); });
    }

private:
    void registerStoreMetrics()
    {
        m_store.setObserver([this](StoreCall call, StoreOutcome outcome, Duration taken) {
            const auto label = "call=\"" + std::string(text(call)) + "\"";
            m_metrics
                .counter("quay_store_calls_total", "Calls to the platform's store, by what came of them",
                    label + ",outcome=\"" + std::string(text(outcome)) + "\"")
                .add();
            m_metrics
                .histogram("quay_store_call_seconds", "From sending a call to the store to its answer", label)
                .record(taken);
        });
    }

    // Only the leader knows these values; the other nodes report 0.
    void registerSchedulerMetrics()
    {
        const auto gauge = [this](const char* name, const char* help, auto read, const std::string& labels) {
            m_metrics.gauge(
                name, help,
                [this, read] {
                    return m_election.leader() ? static_cast<double>(read(schedulerCounts())) : 0.0;
                },
                labels);
        };
        for (const char* state : { "at_work", "leaving", "silent", "unlisted" })
            gauge(
                "quay_executors", "Executors that the leader knows, by state",
                [state](const fleet::SchedulerCounts& counts) { return counts.executors.at(state); },
                std::string("state=\"") + state + "\"");
        for (const char* state : { "recording", "starting", "running", "inherited", "stopping" })
            gauge(
                "quay_runs", "Runs of tasks, by state",
                [state](const fleet::SchedulerCounts& counts) { return counts.runs.at(state); },
                std::string("state=\"") + state + "\"");
        gauge("quay_slow_executors", "Executors whose tasks take far longer than on others of their kind",
            [](const fleet::SchedulerCounts& counts) { return counts.slowExecutors; }, {});
        gauge("quay_waiting_tasks", "Tasks whose turn has come and that wait for room",
            [](const fleet::SchedulerCounts& counts) { return counts.waitingTasks; }, {});
        gauge("quay_suspected_tasks", "Tasks that may have crashed the executors that they ran on",
            [](const fleet::SchedulerCounts& counts) { return counts.suspects; }, {});
        gauge("quay_waiting_tasks_beyond_share",
            "Those of jobs beyond their team's share, see TeamPolicy::weight",
            [](const fleet::SchedulerCounts& counts) { return counts.waitingTasksBeyondShare; }, {});
        gauge("quay_aged_steps", "Steps that have waited for room for ten seconds or more",
            [](const fleet::SchedulerCounts& counts) { return counts.agedSteps; }, {});
        gauge("quay_open_jobs", "Jobs that are not finished",
            [](const fleet::SchedulerCounts& counts) { return counts.openJobs; }, {});
        m_metrics.gauge("quay_cancelled_unknown_jobs",
            "Cancellations of jobs that do not exist, whose submissions would be refused", [this] {
                return m_election.leader() ? static_cast<double>(m_election.leader()->tombstones()) : 0.0;
            });
    }

    // Counting visits all jobs, so the result is cached for all gauges of one scrape.
    const fleet::SchedulerCounts& schedulerCounts()
    {
        const auto now = clockNow();
        if (now - m_countsReadAt >= countsCacheTime) {
            m_counts = m_election.leader()->counts();
            m_countsReadAt = now;
        }
        return m_counts;
    }

    void registerTeamMetrics(const fleet::FleetConfiguration& configuration)
    {
        for (const auto& team : configuration.teams) {
            const auto label = "team=\"" + team.name + "\"";
            m_metrics.gauge(
                "quay_team_cpu_used", "Processors that count against a team's upper limit",
                [this, name = team.name] {
                    if (!m_election.leader())
                        return 0.0;
                    const auto& usage = schedulerCounts().teamUsage;
                    const auto it = usage.find(name);
                    return it == usage.end() ? 0.0
                                             : static_cast<double>(it->second.cpuMilli) / milliPerProcessor;
                },
                label);
            m_metrics.gauge(
                "quay_team_cpu_limit", "A team's upper limit of processors; 0: none",
                [limit = team.upperLimit.cpuMilli] { return static_cast<double>(limit) / milliPerProcessor; },
                label);
        }
    }

    // A series stays after its request was taken back, and shows 0 then.
    void registerEvacuationMetrics(const fleet::EvacuationView& view)
    {
        for (const auto& request : view.evacuations) {
            if (m_evacuationSeries.size() >= maxEvacuationSeries
                || !m_evacuationSeries.insert(request.domain).second)
                continue;
            const auto label = "domain=\"" + labelText(request.domain) + "\"";
            const auto gauge = [&](const char* name, const char* help, auto read) {
                m_metrics.gauge(
                    name, help,
                    [this, domain = request.domain, read] {
                        if (!m_election.leader())
                            return 0.0;
                        const auto& evacuations = schedulerCounts().evacuations;
                        const auto it = evacuations.find(domain);
                        return it == evacuations.end() ? 0.0 : static_cast<double>(read(it->second));
                    },
                    label);
            };
            gauge("quay_evacuated_domain_runs", "Runs that are still in an emptied failure domain",
                [](const fleet::EvacuationCounts& counts) { return counts.runs; });
            gauge("quay_evacuated_domain_executors", "Executors of an emptied failure domain",
                [](const fleet::EvacuationCounts& counts) { return counts.executors; });
            gauge("quay_evacuation_seconds", "Since the leader heeds the request to empty a failure domain",
                [](const fleet::EvacuationCounts& counts) { return secondsSince(counts.heededSince); });
        }
    }

    static std::string labelText(const std::string& value)
    {
        std::string text;
        for (const char c : value) {
            if (c == '"' || c == '\\')
                text += '\\';
            text += static_cast<unsigned char>(c) < ' ' ? '?' : c;
        }
        return text;
    }

    static HttpLimits limits()
    {
        HttpLimits limits;
        limits.maxBodyBytes = maxBodyBytes;
        return limits;
    }

    static std::string peerAddress(const NodeSettings& settings)
    {
        return settings.ip + ":" + std::to_string(settings.firstPeerPort);
    }

    static Election::Identity identity(const NodeSettings& settings)
    {
        std::random_device random;
        const auto incarnation = (static_cast<std::uint64_t>(random()) << 20U) ^ random();
        return { settings.node, peerAddress(settings), settings.zone, incarnation, settings.processorShare };
    }

    static fleet::SchedulerBounds boundsOf(const NodeSettings& settings)
    {
        fleet::SchedulerBounds bounds;
        bounds.maxLeaseDuration = settings.maxLeaseDuration;
        bounds.maxStopDuration = settings.maxStopDuration;
        bounds.maxEvacuationDelay = settings.maxEvacuationDelay;
        bounds.finishedJobRetention = settings.finishedJobRetention;
        return bounds;
    }

    // SIGHUP does not reload the settings: they hold addresses, which can't change in a running process, and
    // limits.
    void awaitReloadSignal()
    {
        m_reloadSignal.async_wait([this](boost::system::error_code ec, int) {
            if (ec)
                return;
            m_log.write(
                "settings_reload", {}, { { "outcome", "settings are unchanged until the next start" } });
            awaitReloadSignal();
        });
    }

    void answerReadiness(const Respond& respond)
    {
        const auto now = clockNow();
        const bool isReady = !m_isDraining && m_configurationWatcher.isCurrent(now)
            && m_configurationWatcher.isStoreReachable(now);
        if (isReady != m_wasReady)
            m_log.write(isReady ? "node_ready" : "node_not_ready", {},
                { { "draining", m_isDraining ? "yes" : "no" },
                    { "configuration", std::to_string(m_configurationWatcher.version()) },
                    { "age_ms", ageText(m_configurationWatcher.currentAsOf(), now) },
                    { "store", m_configurationWatcher.isStoreReachable(now) ? "reachable" : "lost" } });
        m_wasReady = isReady;
        HttpResponse response;
        response.status = isReady ? 200 : 503;
        response.body = isReady ? "{}" : "{\"error\":\"not ready\"}";
        respond(std::move(response));
    }

    void servePeer(const HttpRequest& request, Respond respond)
    {
        const auto path = request.path();
        HttpResponse response;
        auto* leader = m_election.leader();
        json::error_code ec;
        if (path == approvePath) {
            serveApproval(request, std::move(respond));
            return;
        }
        if (path == relayPath) {
            m_relay.serve(request, std::move(respond));
            return;
        }
        if (path == configurationPath) {
            serveConfiguration(std::move(respond));
            return;
        }
        if (path == acceptPath && leader) {
            serveAccept(request, *leader, std::move(respond));
            return;
        }
        const auto body = json::parse(request.body, ec);
        const auto textOf = [&](std::string_view name) {
            const auto* it = !ec && body.is_object() ? body.get_object().if_contains(name) : nullptr;
            return it && it->is_string() ? std::string(it->get_string()) : std::string();
        };
        if (path == probePath) {
            const auto probe = decodeLeaderProbe(request.body);
            if (!probe) {
                response.status = 400;
                respond(std::move(response));
                return;
            }
            LeaderStatus status;
            status.isLeader = leader != nullptr;
            status.canCommit = leader && leader->canCommit(clockNow());
            status.configurationVersion = m_configurationWatcher.version();
            if (m_configurationWatcher.isCurrent(clockNow()))
                status.configurationAge = clockNow() - m_configurationWatcher.currentAsOf();
            if (leader) {
                if (leader->isLoaded())
                    status.pending = leader->pending();
                m_approvals.nodeSeen(probe->node, probe->address, clockNow());
                m_orders.nodeSeen(
                    probe->node, { probe->address, probe->zone, probe->processorShare }, clockNow());
                m_election.probeReceived(probe->node, probe->address, probe->processorShare);
                status.nodeCount = m_election.probingNodes();
            }
            response.body = encode(status);
        } else if (path == takeoverPath) {
            const auto* version
                = !ec && body.is_object() ? body.get_object().if_contains("version") : nullptr;
            if (version && version->is_int64()) {
                m_election.takeOver(version->get_int64(), [respond = std::move(respond)](bool isTaken) {
                    HttpResponse answer;
                    answer.body = isTaken ? takenBody : "{}";
                    respond(std::move(answer));
                });
                return;
            }
            response.status = 400;
        } else if (path == jobPath && leader) {
            Reason reason;
            const auto job = decodeStoredJob(request.body, reason);
            if (job && reason.kind == ErrorKind::None) // otherwise the leader reads the row itself
                leader->submit(*job);
            response.body = "{}";
        } else if (path == cancelPath && leader && fleet::isJobId(textOf("id"))) {
            leader->cancel(textOf("id"));
            response.body = "{}";
        } else if (path == cancelRequestPath && leader && fleet::isJobId(textOf("id"))) {
            response.body = encode(leader->requestCancel(textOf("id"), textOf("team")));
        } else if (path == statePath && leader && leader->isLoaded()) {
            const auto phase = leader->durablePhase(textOf("id"));
            response.body
                = json::serialize(json::object { { "phase", phase ? static_cast<int>(*phase) : -1 } });
        } else {
            response.status = 409;
        }
        respond(std::move(response));
    }

    // Paced: a large configuration for each of many nodes at once would fill the link. A node that is refused
    // asks again after its next probe.
    void serveConfiguration(Respond respond)
    {
        HttpResponse response;
        const auto now = clockNow();
        const auto text = m_configurationWatcher.currentText();
        if (!text || now < m_nextConfigurationAt) {
            response.status = 429;
        } else {
            m_nextConfigurationAt = now + peerConfigurationByteTime * text->size();
            response.body = *text;
        }
        respond(std::move(response));
    }

    static void serveAccept(const HttpRequest& request, CellLeader& leader, Respond respond)
    {
        Reason reason;
        const auto answer = [respond](AcceptOutcome outcome) {
            HttpResponse response;
            response.body = "{\"outcome\":" + std::to_string(static_cast<int>(outcome)) + "}";
            respond(std::move(response));
        };
        const auto job = decodeStoredJob(request.body, reason);
        if (job && reason.kind == ErrorKind::None) // otherwise the other node writes the job with its policy
            leader.accept(*job, answer);
        else
            answer(AcceptOutcome::NotWritten);
    }

    void serveApproval(const HttpRequest& request, Respond respond)
    {
        std::string step;
        std::vector<std::string> workers;
        Duration timeout {};
        if (!decodeApprovalRequest(request.body, step, workers, timeout)) {
            HttpResponse response;
            response.status = 400;
            respond(std::move(response));
            return;
        }
        m_approvalClient.requestApprovals(step, workers, timeout, [respond](const ApprovalResponse& answer) {
            HttpResponse response;
            response.body = encodeApprovalResponse(answer);
            respond(std::move(response));
        });
    }

    // Reports not ready immediately, waits until the balancer has noticed, then closes idle connections and
    // waits for the last responses.
    void drain()
    {
        m_isDraining = true;
        m_drainStarted = clockNow();
        m_log.write("node_draining", {}, { { "in_flight", std::to_string(m_apiServer.inFlight()) } });
        m_election.resign([] {});
        m_drainTimer.expires_after(drainDelay);
        m_drainTimer.async_wait([this](boost::system::error_code) {
            m_apiServer.drain();
            awaitLastResponse();
        });
    }

    void awaitLastResponse()
    {
        const auto spent = clockNow() - m_drainStarted;
        if ((m_apiServer.inFlight() == 0 && !m_election.leader())
            || spent > m_settings.terminationGracePeriod - graceMargin) {
            m_drainTimer.expires_after(drainPollInterval); // time to send the last response
            m_drainTimer.async_wait([this](boost::system::error_code) { m_context.stop(); });
            return;
        }
        m_drainTimer.expires_after(drainPollInterval);
        m_drainTimer.async_wait([this](boost::system::error_code) { awaitLastResponse(); });
    }

    NodeSettings m_settings;
    asio::io_context m_context { 1 };
    Metrics m_metrics;
    NodeLog m_log;
    StoreClient m_store;
    ExecutorClient m_executors;
    ApprovalClient m_approvalClient;
    PeerClient m_peers;
    ApprovalBroker m_approvals;
    StartGuard m_startGuard;
    OrderDispatcher m_orders;
    OrderRelay m_relay;
    EdgeServices m_services;
    ConfigurationWatcher m_configurationWatcher;
    Election m_election;
    JobApi m_jobApi;
    HttpServer m_apiServer;
    HttpServer m_readinessServer;
    HttpServer m_peerServer;
    HttpServer m_metricsServer;
    asio::signal_set m_signals;
    asio::signal_set m_reloadSignal;
    asio::steady_timer m_drainTimer;
    Instant m_nextConfigurationAt {}; // for peers
    bool m_isDraining = false;
    bool m_wasReady = false;
    Instant m_drainStarted;
    fleet::SchedulerCounts m_counts; // cached while this node is the leader
    Instant m_countsReadAt {};
    std::set<std::string> m_evacuationSeries; // failure domains that have metrics
};

EdgeNode::EdgeNode(const NodeSettings& settings)
    : m_impl(std::make_unique<Impl>(settings))
{
}

EdgeNode::~EdgeNode() = default;

int EdgeNode::run()
{
    std::signal(SIGPIPE, SIG_IGN); // NOLINT: writes to closed connections return an error code
    return m_impl->run();
}

void EdgeNode::drain() { m_impl->postDrain(); }

void EdgeNode::halt() { m_impl->halt(); }

} // namespace quay::edge
