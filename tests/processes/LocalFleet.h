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

/** Size and settings of a fleet. Each domain gets its own entry VMs and backend servers. */
struct FleetOptions {
    std::vector<std::string> domains { "d1" };
    unsigned entriesPerDomain = 2;
    unsigned workersPerDomain = 3;
    unsigned executorsPerDomain = 2;
    unsigned slotsPerExecutor = 8;
    int serviceTimeMs = 2;
    std::int64_t workerCpuMilli = 8000;
    std::int64_t workerMemoryMb = 16384;
    std::string configuration {}; // TOML; if empty, docs/examples/base.toml is used
    std::string extraSettings {}; // appended to the TOML settings of every daemon
};

/** A quayd process of the fleet. */
struct EntryVm {
    std::string name;
    std::string domain;
    std::string settingsFile;
    std::string callerAddress;
    std::string peerAddress;
};

/** A worker or executor of the fleet, as written by its stand-in to the port file. */
struct BackendServer {
    std::string id;
    std::string domain;
    std::string address;
};

/** Sends a request and waits for the response; nullopt if none arrives within the timeout. */
std::optional<HttpResponse> httpCall(const std::string& address, HttpRequest request, Duration timeout = 10s);
HttpRequest httpGet(std::string target, const std::string& key = {});
HttpRequest httpPost(std::string target, std::string body, const std::string& key = {});

/** Polls until the condition holds; fails the test case with the description after `limit`. */
void waitFor(const std::string& description, const std::function<bool()>& condition, Duration limit = 60s);

/** API keys of docs/examples/base.toml. */
constexpr auto clinicKey = "clinic-key";
constexpr auto agentsKey = "agents-key";
constexpr auto operatorKey = "operator-key";

/**
 * A fleet of real processes on this machine. The destructor kills them by their process ids.
 *
 * Usage: `LocalFleet fleet({ .domains = { "d1", "d2" } }); fleet.entry(0).callerAddress ...`
 */
class LocalFleet {
public:
    /** Starts all processes, applies the configuration, and waits until each domain has a leader. */
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
    /** Waits for a daemon to exit and returns its exit code (128 + signal number if a signal ended it). */
    int waitForExit(std::size_t entryIndex, Duration limit = 60s);
    /** Starts a daemon again under the same name with new ports; kills it first (SIGKILL) if it runs. */
    void restart(std::size_t entryIndex);
    bool isRunning(std::size_t entryIndex);

    /** Index of the leader of a domain according to entry VM `viewer`; nullopt if that reports none. */
    std::optional<std::size_t> leaderOf(const std::string& domain, std::size_t viewer);

    /** Response body of GET /v1/fleet at an entry VM; null if it doesn't answer with status 200. */
    boost::json::value fleetView(std::size_t entryIndex);
    /** Compiles TOML, posts it with the version in force as its base version, and returns the response. */
    std::optional<HttpResponse> applyConfiguration(std::size_t entryIndex, const std::string& toml);
    /**
     * Submits a job and returns its id. Retries with the same request id until the job is accepted; fails the
     * test if it never is.
     */
    std::string submit(std::size_t entryIndex, const std::string& body, const std::string& key,
        const std::string& requestId, const std::string& domain = {});
    /** State of a job according to one entry VM; empty if that doesn't answer with status 200. */
    std::string jobState(std::size_t entryIndex, const std::string& job, const std::string& key);

    /** POST /admin/faults of the platform stand-in, for example {"down":true}. */
    void setPlatformFaults(const std::string& json);
    /** GET /admin/ledger of a worker or executor stand-in. */
    boost::json::value ledger(const BackendServer& server) const;

    /**
     * Checks the ledgers of all stand-ins and returns one line per violation: a worker over its capacity, a
     * task that ran on two workers at the same time, an executor with more requests than slots, or a request
     * that ran more often than `maxRunsByRequest` allows.
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
