#pragma once

#include "net/HttpMessage.h"
#include "quay/core/Time.h"

#include <boost/json.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace quay::test {

/** What to start. Every domain gets its own entry VMs and backend servers. */
struct FleetOptions {
    std::vector<std::string> domains { "d1" };
    unsigned entriesPerDomain = 2;
    unsigned workersPerDomain = 3;
    unsigned executorsPerDomain = 2;
    unsigned slotsPerExecutor = 8;
    int serviceTimeMs = 2;
    std::int64_t workerCpuMilli = 8000; // of a worker
    std::int64_t workerMemoryMb = 16384; // of a worker
    std::string configuration {}; // TOML; empty: docs/examples/base.toml
    std::string extraSettings {}; // appended to every daemon's TOML
};

/** One daemon of the fleet. */
struct EntryVm {
    std::string name;
    std::string domain;
    std::string settingsFile;
    std::string callerAddress;
    std::string peerAddress;
};

/** One worker or executor of the fleet, as its stand-in printed it. */
struct BackendServer {
    std::string id;
    std::string domain;
    std::string address;
};

/** Sends one request and waits for its answer; nullopt if there is none within the time limit. */
std::optional<HttpResponse> httpCall(const std::string& address, HttpRequest request, Duration timeout = 10s);
HttpRequest httpGet(std::string target, const std::string& key = {});
HttpRequest httpPost(std::string target, std::string body, const std::string& key = {});

/** Waits until the condition holds; fails the test case with `description` after the limit. */
void waitFor(const std::string& description, const std::function<bool()>& condition, Duration limit = 60s);

/** The keys of the example configuration. */
constexpr auto clinicKey = "clinic-key";
constexpr auto agentsKey = "agents-key";
constexpr auto operatorKey = "operator-key";

/**
 * A fleet of real processes on this machine. All of them are ended, by their ids, with the object.
 *
 * Usage: `LocalFleet fleet({ .domains = { "d1", "d2" } }); fleet.entry(0).callerAddress ...`
 */
class LocalFleet {
public:
    /** Starts everything, applies the configuration, and waits until each domain has a lead. */
    explicit LocalFleet(FleetOptions options);
    ~LocalFleet();
    LocalFleet(const LocalFleet&) = delete;
    LocalFleet& operator=(const LocalFleet&) = delete;

    const std::string& platformAddress() const { return m_platformAddress; }
    const std::vector<EntryVm>& entries() const { return m_entries; }
    const EntryVm& entry(std::size_t index) const { return m_entries.at(index); }
    std::vector<BackendServer> workers() const;
    std::vector<BackendServer> executors() const;

    /** Sends a signal to a daemon. */
    void sendSignal(std::size_t entryIndex, int signalNumber);
    /** Waits for the daemon's end and returns its exit code (128 + signal if it was killed). */
    int waitForExit(std::size_t entryIndex, Duration limit = 60s);
    /** Starts a daemon again under the same name, with new ports. */
    void restart(std::size_t entryIndex);
    bool isRunning(std::size_t entryIndex);

    /** Index of the entry VM that leads a domain as entry `viewer` sees it; nullopt if none does. */
    std::optional<std::size_t> leaderOf(const std::string& domain, std::size_t viewer);

    /** JSON of GET /v1/fleet at an entry VM; null if it doesn't answer. */
    boost::json::value fleetView(std::size_t entryIndex);
    /** Compiles TOML and posts it on top of the version in force; the HTTP answer. */
    std::optional<HttpResponse> applyConfiguration(std::size_t entryIndex, const std::string& toml);
    /** Submits a job and returns its id; fails the test if it is not accepted. Retries with the same request
     * id. */
    std::string submit(std::size_t entryIndex, const std::string& body, const std::string& key,
        const std::string& requestId, const std::string& domain = {});
    /** State of a job as one entry VM tells it; empty if there is no answer. */
    std::string jobState(std::size_t entryIndex, const std::string& job, const std::string& key);

    /** POST /admin/faults of the platform stand-in, for example {"down":true}. */
    void setPlatformFaults(const std::string& json);
    /** GET /admin/ledger of a worker or executor stand-in. */
    boost::json::value ledger(const BackendServer& server) const;

    /**
     * Judges all stand-in ledgers: a worker over its capacity, a task at two places at once, an executor over
     * its slots, a request run more often than `maxRunsByRequest` allows. One line a violation.
     */
    std::vector<std::string> violations(
        const std::map<std::string, std::uint64_t>& maxRunsByRequest = {}) const;

private:
    struct ChildProcess;

    void startPlatform();
    void startBackend(const std::string& domain);
    void startEntry(std::size_t entryIndex);
    std::unique_ptr<ChildProcess> spawn(const std::vector<std::string>& commandLine);
    std::string waitForFile(const std::string& path) const;
    std::string configurationText() const;

    FleetOptions m_options;
    std::string m_directory;
    std::string m_platformAddress;
    std::vector<EntryVm> m_entries;
    std::vector<BackendServer> m_servers;
    std::vector<std::unique_ptr<ChildProcess>> m_standins;
    std::vector<std::unique_ptr<ChildProcess>> m_daemons; // by entry index
};

} // namespace quay::test
