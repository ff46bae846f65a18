#include "edge/EdgeNode.h"

#include "edge/CallerFront.h"

#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/json.hpp>
#include <csignal>
#include <random>

namespace quay::edge {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace platform;

namespace {

constexpr std::size_t maxBodyBytes = 512 * 1024; // the configured bound of callers' bodies is below it
constexpr auto drainPause = 1300ms; // the balancer asks once a second whether this node is ready
constexpr auto countsKept = 200ms; // longer than a page takes, shorter than any pause between pages
constexpr double milliPerProcessor = 1000;
// The rest is for a long poll to each executor, for peers and for callers.
constexpr std::size_t idleOrderPart = 4;
constexpr auto drainPoll = 50ms;
constexpr auto graceSpare = 700ms; // before the platform kills the process
constexpr std::uint16_t metricsPort = 9464; // the same on all machines, named in the deploy file

} // namespace

class EdgeNode::Impl {
public:
    explicit Impl(const NodeSettings& settings)
        : m_settings(settings)
        , m_log(settings.node)
        , m_store(m_context, settings.storeAddress)
        , m_executors(m_context, settings.maxFileDescriptors / idleOrderPart)
        , m_approvalClient(m_context, settings.approvalAddress)
        , m_peers(m_context)
        , m_approvals(m_approvalClient,
              m_metrics.histogram("quay_approval_queue_seconds",
                  "A call for approval's expected wait behind others of its caller"),
              [this](const std::string& address, const std::string& step,
                  const std::vector<std::string>& workers, Duration timeout, ApprovalBroker::Done done) {
                  m_peers.approve(address, step, workers, timeout, std::move(done));
              })
        , m_services { m_context, m_store, m_executors, m_approvals, m_log, m_metrics }
        , m_follower(m_context, m_store, m_log,
              [this](const fleet::FleetConfiguration& configuration) {
                  watchTeams(configuration);
                  m_election.configurationChanged(configuration);
              })
        , m_election(m_services, m_peers, m_follower, identity(settings), boundsOf(settings))
        , m_front(m_services, m_peers, m_follower, m_election, settings.maxRowBytes)
        , m_callers(m_context, settings.jobApiAddress, limits(),
              [this](HttpRequest request, Respond respond) {
                  m_front.serve(std::move(request), std::move(respond));
              })
        , m_readiness(m_context, settings.readinessAddress, limits(),
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
        , m_hangup(m_context, SIGHUP)
        , m_drainTimer(m_context)
    {
    }

    int run()
    {
        watchStore();
        watchScheduler();
        m_metrics.counted("quay_log_bytes_total", "Bytes of log lines",
            [this] { return static_cast<double>(m_log.bytesWritten()); });
        m_metrics.gauge("quay_leads", "1 while this node schedules the cell",
            [this] { return m_election.leader() ? 1.0 : 0.0; });
        m_signals.async_wait([this](boost::system::error_code ec, int) {
            if (!ec)
                drain();
        });
        waitForHangup();
        m_approvals.callerSeen(m_settings.node, {}, std::chrono::steady_clock::now());
        m_log.write("node_started", {},
            { { "zone", m_settings.zone }, { "callers", m_settings.jobApiAddress },
                { "store", m_settings.storeAddress } });
        m_callers.start();
        m_readiness.start();
        m_peerServer.start();
        m_metricsServer.start();
        m_follower.start();
        m_election.start();
        m_context.run();
        m_log.write("node_stopped", {}, { { "in_flight", std::to_string(m_callers.inFlight()) } });
        return 0;
    }

    void halt() { m_context.stop(); }

    void postDrain()
    {
        asio::post(m_context, [this] { drain(); });
    }

private:
    void watchStore()
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

    // What only the leader knows reads 0 on the other nodes.
    void watchScheduler()
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
        gauge("quay_waiting_tasks", "Tasks whose turn has come and that wait for room",
            [](const fleet::SchedulerCounts& counts) { return counts.waitingTasks; }, {});
        gauge("quay_open_jobs", "Jobs that are not finished",
            [](const fleet::SchedulerCounts& counts) { return counts.openJobs; }, {});
    }

    // One look at all jobs serves a whole page.
    const fleet::SchedulerCounts& schedulerCounts()
    {
        const auto now = std::chrono::steady_clock::now();
        if (now - m_countedAt >= countsKept) {
            m_counts = m_election.leader()->counts();
            m_countedAt = now;
        }
        return m_counts;
    }

    void watchTeams(const fleet::FleetConfiguration& configuration)
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
        return { settings.node, peerAddress(settings), incarnation, settings.processorShare };
    }

    static fleet::SchedulerBounds boundsOf(const NodeSettings& settings)
    {
        fleet::SchedulerBounds bounds;
        bounds.longestLease = settings.longestLease;
        bounds.stopTime = settings.stopTime;
        bounds.keepFinished = settings.keepFinished;
        return bounds;
    }

    // The settings name addresses, which can't change under a running process, and bounds.
    void waitForHangup()
    {
        m_hangup.async_wait([this](boost::system::error_code ec, int) {
            if (ec)
                return;
            m_log.write("settings_reload", {}, { { "outcome", "kept until the next start" } });
            waitForHangup();
        });
    }

    void answerReadiness(const Respond& respond)
    {
        const auto now = std::chrono::steady_clock::now();
        const bool isReady = !m_isDraining && m_follower.current() && m_follower.isStoreReachable(now);
        if (isReady != m_wasReady)
            m_log.write(isReady ? "node_ready" : "node_not_ready", {},
                { { "draining", m_isDraining ? "yes" : "no" },
                    { "configuration", std::to_string(m_follower.version()) } });
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
        if (path == acceptPath && leader) {
            serveAccept(request, *leader, std::move(respond));
            return;
        }
        const auto body = json::parse(request.body, ec);
        const auto textOf = [&](std::string_view name) {
            const auto* it = !ec && body.is_object() ? body.get_object().if_contains(name) : nullptr;
            return it && it->is_string() ? std::string(it->get_string()) : std::string();
        };
        if (path == greetPath) {
            const auto greeter = decodeGreeter(request.body);
            if (!greeter) {
                response.status = 400;
                respond(std::move(response));
                return;
            }
            Greeting greeting;
            greeting.isLeader = leader != nullptr;
            greeting.isUsable = leader && leader->isUsable(std::chrono::steady_clock::now());
            greeting.configurationVersion = m_follower.version();
            if (leader) {
                if (leader->isLoaded())
                    greeting.pending = leader->pending();
                m_approvals.callerSeen(greeter->node, greeter->address, std::chrono::steady_clock::now());
                m_election.heard(greeter->node, greeter->processorShare);
            }
            response.body = encode(greeting);
        } else if (path == jobPath && leader) {
            Reason reason;
            if (const auto job = decodeStoredJob(request.body, reason))
                leader->submit(*job);
            response.body = "{}";
        } else if (path == cancelPath && leader) {
            leader->cancel(textOf("id"));
            response.body = "{}";
        } else if (path == statePath && leader && leader->isLoaded()) {
            const auto phase = leader->shownPhase(textOf("id"));
            response.body
                = json::serialize(json::object { { "phase", phase ? static_cast<int>(*phase) : -1 } });
        } else {
            response.status = 409;
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
        if (const auto job = decodeStoredJob(request.body, reason))
            leader.accept(*job, answer);
        else
            answer(AcceptOutcome::NotWritten);
    }

    void serveApproval(const HttpRequest& request, Respond respond)
    {
        std::string step;
        std::vector<std::string> workers;
        Duration timeout {};
        if (!decodeApprovalQuestion(request.body, step, workers, timeout)) {
            HttpResponse response;
            response.status = 400;
            respond(std::move(response));
            return;
        }
        m_approvalClient.requestApprovals(step, workers, timeout, [respond](const ApprovalResponse& answer) {
            HttpResponse response;
            response.body = encodeApprovalAnswer(answer);
            respond(std::move(response));
        });
    }

    // Not ready at once; the balancer's view follows; then idle connections end and the last answers go out.
    void drain()
    {
        m_isDraining = true;
        m_drainStarted = std::chrono::steady_clock::now();
        m_log.write("node_draining", {}, { { "in_flight", std::to_string(m_callers.inFlight()) } });
        m_election.retire([] {});
        m_drainTimer.expires_after(drainPause);
        m_drainTimer.async_wait([this](boost::system::error_code) {
            m_callers.drain();
            awaitLastAnswer();
        });
    }

    void awaitLastAnswer()
    {
        const auto spent = std::chrono::steady_clock::now() - m_drainStarted;
        if ((m_callers.inFlight() == 0 && !m_election.leader())
            || spent > m_settings.terminationGracePeriod - graceSpare) {
            m_drainTimer.expires_after(drainPoll); // the last answer's bytes leave
            m_drainTimer.async_wait([this](boost::system::error_code) { m_context.stop(); });
            return;
        }
        m_drainTimer.expires_after(drainPoll);
        m_drainTimer.async_wait([this](boost::system::error_code) { awaitLastAnswer(); });
    }

    NodeSettings m_settings;
    asio::io_context m_context { 1 };
    Metrics m_metrics;
    DecisionLog m_log;
    StoreClient m_store;
    ExecutorClient m_executors;
    ApprovalClient m_approvalClient;
    PeerClient m_peers;
    ApprovalBroker m_approvals;
    EdgeServices m_services;
    ConfigurationFollower m_follower;
    Election m_election;
    CallerFront m_front;
    HttpServer m_callers;
    HttpServer m_readiness;
    HttpServer m_peerServer;
    HttpServer m_metricsServer;
    asio::signal_set m_signals;
    asio::signal_set m_hangup;
    asio::steady_timer m_drainTimer;
    bool m_isDraining = false;
    bool m_wasReady = false;
    Instant m_drainStarted;
    fleet::SchedulerCounts m_counts; // of the leader
    Instant m_countedAt {};
};

EdgeNode::EdgeNode(const NodeSettings& settings)
    : m_impl(std::make_unique<Impl>(settings))
{
}

EdgeNode::~EdgeNode() = default;

int EdgeNode::run()
{
    std::signal(SIGPIPE, SIG_IGN); // NOLINT: a closed connection is an error code, not an end
    return m_impl->run();
}

void EdgeNode::drain() { m_impl->postDrain(); }

void EdgeNode::halt() { m_impl->halt(); }

} // namespace quay::edge
