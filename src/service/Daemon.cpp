#include "service/Daemon.h"

#include "net/PeerLink.h"
#include "quay/core/TeamTokens.h"
#include "quay/kernel/ServiceRegistry.h"
#include "quay/telemetry/Telemetry.h"
#include "service/BackendLink.h"
#include "service/CallerService.h"
#include "service/ConfigurationService.h"
#include "service/InteractiveService.h"
#include "service/JobService.h"
#include "service/MembershipService.h"
#include "service/QuotaService.h"
#include "tableservice/StoreService.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

namespace quay {

namespace {

constexpr auto pollPeriod = std::chrono::milliseconds(50);
// Time for the load balancer to notice the failing health check and to stop sending requests.
constexpr auto balancerDetectionTime = std::chrono::milliseconds(1500);
// Time for peers to read the roster without this process; until then they may forward requests to it.
constexpr auto peerDetectionTime = std::chrono::milliseconds(2500);
constexpr int exitWorkLeftBehind = 1;
constexpr std::size_t maxOrdinarySpans = 20'000;
constexpr std::size_t maxNotableSpans = 5'000;
constexpr int exitRemoved = 3; // the service manager restarts the process as a new incarnation

MemberId newIncarnation(const std::string& name)
{
    std::random_device random;
    std::ostringstream text;
    text << name << "#" << std::hex << random() << random();
    return MemberId { text.str() };
}

// The outcome of a lease renewal must be known well before the lease expires.
StoreLimits rosterStoreLimits()
{
    StoreLimits limits;
    limits.minCommitInterval = std::chrono::milliseconds(5);
    limits.requestTimeout = std::chrono::seconds(1);
    limits.maxBackoff = std::chrono::milliseconds(250);
    return limits;
}

// Writes to a temporary file and renames it, so that readers never see a partial file.
void writePortFile(const std::string& path, const std::string& callers, const std::string& peers)
{
    if (path.empty())
        return;
    const auto partial = path + ".partial";
    std::ofstream(partial) << "callers " << callers << "\npeers " << peers << "\n";
    std::filesystem::rename(partial, path);
}

// All services of the daemon, declared so that each depends only on earlier ones. They are destroyed in the
// reverse order; stopAll() ends all threads before that.
class Services {
public:
    explicit Services(const Settings& settings);
    ~Services() { stopAll(); }

    void startAll();
    void stopAll();

    const EventLog& log() const { return m_log; }
    const MemberId& self() const { return m_self.id; }
    CallerService& callers() { return m_registry.find<CallerService>("callers"); }
    PeerLink& peers() { return m_registry.find<PeerLink>("peers"); }
    MembershipService& membership() { return m_registry.find<MembershipService>("membership"); }
    InteractiveService& interactive() { return m_registry.find<InteractiveService>("interactive"); }

private:
    template <typename Service> void add(Service& service) { add(service.name(), service); }
    template <typename Service> void add(const std::string& name, Service& service)
    {
        m_registry.add(name, service);
        m_serviceThreads.push_back(&service);
    }

    void registerMetrics();

    ServiceRegistry m_registry;
    std::vector<ServiceThread*> m_serviceThreads;
    TeamTokens m_tokens;
    Identity m_self;
    EventLog m_log;
    Metrics m_metrics;
    TraceRing m_traces;
    PeerLink m_peers;
    StoreService m_store;
    StoreService m_rosterStore; // separate, so that lease renewals are not queued behind job records
    BackendLink m_backend;
    MembershipService m_membership;
    ConfigurationService m_configuration;
    QuotaService m_quota;
    InteractiveService m_interactive;
    JobService m_jobs;
    CallerService m_callers;
};

Services::Services(const Settings& settings)
    : m_self { newIncarnation(settings.name), settings.domain, {} }
    , m_log(settings.log)
    , m_traces(m_self.id.text, maxOrdinarySpans, maxNotableSpans, std::random_device {}())
    , m_peers(m_self.id, m_self.domain, settings.peerListen)
    , m_store(settings.tableAddress, StoreLimits {})
    , m_rosterStore(settings.tableAddress, rosterStoreLimits())
    , m_membership(Identity { m_self.id, m_self.domain, m_peers.address() }, m_rosterStore, m_peers,
          settings.vmListAddress)
    , m_configuration(m_self.id, m_store, m_peers, m_membership.topology())
    , m_quota(m_membership, m_configuration, m_store, m_tokens)
    , m_interactive(m_membership, m_configuration, m_backend, m_peers, m_tokens)
    , m_jobs(m_membership, m_configuration, m_store, m_backend, m_peers, m_tokens, m_quota)
    , m_callers(settings, m_membership, m_configuration, m_quota, m_interactive, m_jobs,
          Telemetry { m_log, m_metrics, m_traces })
{
    add(m_peers);
    add(m_store);
    add("roster-store", m_rosterStore);
    add(m_backend);
    add(m_membership);
    add(m_configuration);
    add(m_quota);
    add(m_interactive);
    add(m_jobs);
    add(m_callers);
    registerMetrics();
}

void Services::registerMetrics()
{
    const auto count = [this](const char* name, const char* help, const std::atomic<std::uint64_t>& value) {
        m_metrics.observableCounter(name, help, [&value] { return static_cast<double>(value.load()); });
    };
    const auto& store = m_store.counters();
    count("quay_store_commits_total", "Group commits sent to the table service", store.commits);
    count("quay_store_transactions_total", "Transactions carried by group commits", store.transactions);
    count("quay_store_reads_total", "Reads and scan pages sent to the table service", store.reads);
    count("quay_store_lost_answers_total", "Commits whose answer did not come", store.lostAnswers);
    count("quay_store_conflicts_total", "Transactions refused by a version check", store.conflicts);
    const auto& peers = m_peers.counters();
    count("quay_peer_sent_messages_total", "Messages sent to peers", peers.sentMessages);
    count("quay_peer_sent_bytes_total", "Bytes sent to peers", peers.sentBytes);
    count("quay_peer_received_messages_total", "Messages received from peers", peers.receivedMessages);
    count("quay_peer_received_bytes_total", "Bytes received from peers", peers.receivedBytes);
    count("quay_peer_dropped_messages_total", "Messages that could not be queued", peers.droppedMessages);
    count("quay_peer_unmatched_answers_total", "Late or doubled answers that nobody waited for",
        peers.unmatchedAnswers);
    for (auto* thread : m_serviceThreads) {
        const auto label = "service=\"" + thread->name() + "\"";
        m_metrics.gauge(
            "quay_ring_tasks", "Tasks that wait in a service's ring",
            [thread] { return static_cast<double>(thread->queuedCount()); }, label);
        m_metrics.observableCounter(
            "quay_ring_refused_total", "Tasks that a full ring refused",
            [thread] { return static_cast<double>(thread->refusedCount()); }, label);
    }
}

void Services::startAll()
{
    for (auto* thread : m_serviceThreads)
        thread->start();
    m_peers.startReceiving();
    m_callers.open();
}

void Services::stopAll()
{
    for (auto it = m_serviceThreads.rbegin(); it != m_serviceThreads.rend(); ++it)
        (*it)->stop();
    // Closed last: a successor that can bind the peer address concludes that this process sends nothing more.
    m_peers.close();
}

// The graceful shutdown: fail the health check, hand over the ownership, wait for requests in flight, exit.
class Shutdown {
public:
    Shutdown(boost::asio::io_context& context, Services& services, Duration limit)
        : m_context(context)
        , m_services(services)
        , m_signals(context, SIGINT, SIGTERM)
        , m_timer(context)
        , m_limit(limit)
    {
        awaitSignal();
        watchForRemoval();
    }

    int exitCode() const { return m_exitCode; }

private:
    void callLater(Duration delay, void (Shutdown::*next)())
    {
        m_timer.expires_after(delay);
        m_timer.async_wait([this, next](auto ec) {
            if (!ec)
                (this->*next)();
        });
    }

    // The first signal starts the shutdown, the next one ends it immediately.
    void awaitSignal()
    {
        m_signals.async_wait([this](auto ec, int) {
            if (ec)
                return;
            if (m_hasBegun)
                finish();
            else
                begin("received a signal");
            awaitSignal();
        });
    }

    // Checks periodically whether the roster or the platform requires a shutdown.
    void watchForRemoval()
    {
        if (m_services.membership().hasLeft()) {
            m_exitCode = exitRemoved;
            begin("removed from the roster by other members");
        } else if (m_services.membership().isListedLeaving()) {
            begin("the platform lists this VM as leaving");
        } else {
            callLater(pollPeriod, &Shutdown::watchForRemoval);
        }
    }

    void begin(const std::string& why)
    {
        m_services.log().write(
            EventId::DaemonDraining, { { "why", why }, { "in_flight", std::to_string(inFlight()) } });
        m_hasBegun = true;
        m_deadline = std::chrono::steady_clock::now() + m_limit;
        m_services.callers().failHealthCheck();
        m_services.membership().drain();
        callLater(balancerDetectionTime, &Shutdown::stopAccepting);
    }

    void stopAccepting()
    {
        m_services.callers().drain();
        awaitHandover();
    }

    bool isPastDeadline() const { return std::chrono::steady_clock::now() >= m_deadline; }

    void awaitHandover()
    {
        if (isPastDeadline())
            finish();
        else if (m_services.membership().hasLeft())
            callLater(peerDetectionTime, &Shutdown::awaitRequests);
        else
            callLater(pollPeriod, &Shutdown::awaitHandover);
    }

    std::size_t inFlight() { return m_services.callers().inFlight() + m_services.interactive().inFlight(); }

    void awaitRequests()
    {
        if (!inFlight() || isPastDeadline())
            finish();
        else
            callLater(pollPeriod, &Shutdown::awaitRequests);
    }

    void finish()
    {
        const auto remainingRequests = inFlight();
        if (remainingRequests)
            m_services.log().write(
                EventId::WorkLeftBehind, { { "in_flight", std::to_string(remainingRequests) } });
        const bool handedOver = m_services.membership().hasLeft();
        if (!handedOver)
            m_services.log().write(EventId::NotHandedOver, { { "member", m_services.self().text } });
        if (remainingRequests || !handedOver)
            m_exitCode = exitWorkLeftBehind;
        m_context.stop();
    }

    boost::asio::io_context& m_context;
    Services& m_services;
    boost::asio::signal_set m_signals;
    boost::asio::steady_timer m_timer;
    Duration m_limit;
    bool m_hasBegun = false;
    Instant m_deadline {};
    int m_exitCode = 0;
};

} // namespace

int runDaemon(const Settings& settings)
{
    boost::asio::io_context context(1);
    Services services(settings);
    Shutdown shutdown(context, services, std::chrono::milliseconds(settings.limits.drainLimitMs));
    services.startAll();
    writePortFile(settings.portFile, services.callers().address(), services.peers().address());
    services.log().write(EventId::DaemonStarted,
        { { "member", services.self().text }, { "domain", settings.domain.text },
            { "callers", services.callers().address() }, { "peers", services.peers().address() } });
    context.run();
    services.log().write(EventId::DaemonStopped, { { "exit_code", std::to_string(shutdown.exitCode()) } });
    services.stopAll();
    return shutdown.exitCode();
}

} // namespace quay
