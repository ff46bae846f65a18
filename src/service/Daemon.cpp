#include "service/Daemon.h"

#include "net/PeerLink.h"
#include "platform/StoreService.h"
#include "quay/core/TeamTokens.h"
#include "quay/kernel/Kernel.h"
#include "quay/telemetry/Telemetry.h"
#include "service/BackendLink.h"
#include "service/CallerService.h"
#include "service/ConfigurationService.h"
#include "service/InteractiveService.h"
#include "service/JobService.h"
#include "service/MembershipService.h"
#include "service/QuotaService.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>

namespace quay {

namespace {

constexpr auto drainCheckPeriod = std::chrono::milliseconds(50);
// The balancer needs this long to see the failing health check and to stop sending.
constexpr auto balancerNoticeTime = std::chrono::milliseconds(1500);
constexpr int exitWorkLeftBehind = 1;
constexpr std::size_t ordinarySpans = 20'000;
constexpr std::size_t notableSpans = 5'000;

MemberId newIncarnation(const std::string& name)
{
    std::random_device random;
    std::ostringstream text;
    text << name << "#" << std::hex << random() << random();
    return MemberId { text.str() };
}

// Written whole under another name first, so that a reader never sees half a file.
void writePortFile(const std::string& path, const std::string& callers, const std::string& peers)
{
    if (path.empty())
        return;
    const auto partial = path + ".partial";
    std::ofstream(partial) << "callers " << callers << "\npeers " << peers << "\n";
    std::filesystem::rename(partial, path);
}

// All services of one daemon, in the order in which they depend on each other.
// They are destroyed in the reverse order; stopAll() ends every thread before that.
class Services {
public:
    explicit Services(const Settings& settings);
    ~Services() { stopAll(); }

    void startAll();
    void stopAll();

    const EventLog& log() const { return m_log; }
    const MemberId& self() const { return m_self.id; }
    CallerService& callers() { return m_kernel.find<CallerService>("callers"); }
    PeerLink& peers() { return m_kernel.find<PeerLink>("peers"); }
    InteractiveService& interactive() { return m_kernel.find<InteractiveService>("interactive"); }

private:
    template <typename Service> void add(Service& service)
    {
        m_kernel.add(service.name(), service);
        m_duties.push_back(&service);
    }

    void registerMetrics();

    Kernel m_kernel;
    std::vector<Duty*> m_duties;
    TeamTokens m_tokens;
    Identity m_self;
    EventLog m_log;
    Metrics m_metrics;
    TraceRing m_traces;
    PeerLink m_peers;
    StoreService m_store;
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
    , m_traces(m_self.id.text, ordinarySpans, notableSpans, std::random_device {}())
    , m_peers(m_self.id, m_self.domain, settings.peerListen)
    , m_store(settings.tableAddress, StoreLimits {})
    , m_membership(Identity { m_self.id, m_self.domain, m_peers.address() }, m_store)
    , m_configuration(m_store)
    , m_quota(m_membership, m_configuration, m_tokens)
    , m_interactive(m_membership, m_configuration, m_backend, m_peers, m_tokens)
    , m_jobs(m_membership, m_configuration, m_store, m_backend, m_peers, m_tokens)
    , m_callers(settings, m_membership, m_configuration, m_interactive, m_jobs,
          Telemetry { m_log, m_metrics, m_traces })
{
    add(m_peers);
    add(m_store);
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
        m_metrics.counted(name, help, [&value] { return static_cast<double>(value.load()); });
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
    for (auto* duty : m_duties) {
        const auto label = "service=\"" + duty->name() + "\"";
        m_metrics.gauge(
            "quay_ring_tasks", "Tasks that wait in a service's ring",
            [duty] { return static_cast<double>(duty->queuedCount()); }, label);
        m_metrics.counted(
            "quay_ring_refused_total", "Tasks that a full ring refused",
            [duty] { return static_cast<double>(duty->refusedCount()); }, label);
    }
}

void Services::startAll()
{
    for (auto* duty : m_duties)
        duty->start();
    m_peers.listen();
    m_callers.open();
}

void Services::stopAll()
{
    m_peers.close();
    for (auto it = m_duties.rbegin(); it != m_duties.rend(); ++it)
        (*it)->stop();
}

// The graceful shutdown: leave the balancer, finish what is in flight, go.
class Shutdown {
public:
    Shutdown(boost::asio::io_context& context, Services& services, Duration limit)
        : m_context(context)
        , m_services(services)
        , m_signals(context, SIGINT, SIGTERM)
        , m_timer(context)
        , m_limit(limit)
    {
        m_signals.async_wait([this](auto ec, int) {
            if (!ec)
                begin();
        });
    }

    int exitCode() const { return m_exitCode; }

private:
    void begin()
    {
        m_services.log().write(EventId::DaemonDraining, { { "in_flight", std::to_string(inFlight()) } });
        m_services.callers().leaveBalancer();
        m_deadline = std::chrono::steady_clock::now() + m_limit;
        m_signals.async_wait([this](auto ec, int) {
            if (!ec)
                finish();
        });
        m_timer.expires_after(balancerNoticeTime);
        m_timer.async_wait([this](auto ec) {
            if (ec)
                return;
            m_services.callers().drain();
            check();
        });
    }

    std::size_t inFlight() { return m_services.callers().inFlight() + m_services.interactive().inFlight(); }

    void check()
    {
        if (!inFlight() || std::chrono::steady_clock::now() >= m_deadline) {
            finish();
            return;
        }
        m_timer.expires_after(drainCheckPeriod);
        m_timer.async_wait([this](auto ec) {
            if (!ec)
                check();
        });
    }

    void finish()
    {
        const auto left = inFlight();
        if (left) {
            m_services.log().write(EventId::WorkLeftBehind, { { "in_flight", std::to_string(left) } });
            m_exitCode = exitWorkLeftBehind;
        }
        m_context.stop();
    }

    boost::asio::io_context& m_context;
    Services& m_services;
    boost::asio::signal_set m_signals;
    boost::asio::steady_timer m_timer;
    Duration m_limit;
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
