#pragma once

#include "quay-bench/Experiment.h"
#include "quay-bench/Ledgers.h"

#include <mutex>
#include <sys/types.h>

namespace quay::bench {

/** CPU and memory usage of one process. */
struct ProcessUsage {
    pid_t pid = 0;
    double cpuSeconds = 0; // user and system time since the start of the process
    double residentMb = 0; // resident memory
};

/** Resource usage of the fleet at one time. */
struct FleetUsage {
    std::map<std::string, ProcessUsage> entries; // by VM name
    // Sum of its metrics for peer message bytes, by VM name; absent if /metrics didn't respond.
    std::map<std::string, double> peerBytes;
    std::uint64_t storeTransactions = 0; // counters of the platform stand-in
    std::uint64_t storeReads = 0;
};

/**
 * The daemon and stand-in processes of one experiment. The destructor kills them by process id and removes
 * their temporary directory.
 *
 * Usage: `ProcessFleet fleet(spec, "build"); fleet.start(configuration, reason); fleet.entryAddress(0);`
 */
class ProcessFleet {
public:
    /**
     * `buildDirectory` contains daemons/quayd and standin/quay-standin. Throws std::runtime_error if no
     * temporary directory can be created.
     */
    ProcessFleet(const FleetSpec& spec, std::string buildDirectory);
    ~ProcessFleet();
    ProcessFleet(const ProcessFleet&) = delete;
    ProcessFleet& operator=(const ProcessFleet&) = delete;

    /**
     * Starts all processes, applies the configuration and waits until every entry VM has it in force and sees
     * a leader in each domain. Returns false with the reason on timeout; throws std::system_error if a
     * process can't be started.
     */
    bool start(const Configuration& configuration, Reason& reason);

    std::size_t entryCount() const { return m_entries.size(); }
    /** Returns the address of an entry VM for callers. It changes with a restart. */
    std::string entryAddress(std::size_t index) const;
    /** Returns the names of the failure domains: d1, d2 and so on. */
    std::vector<std::string> domains() const;

    /** Injects a fault. Returns what it was applied to, or why it was not, as text for the result. */
    std::string apply(const FaultSpec& fault);

    /** Returns the name of the VM that leads a domain; empty if no entry VM reports one. */
    std::string leadOf(const std::string& domain) const;
    /** Reads the current resource usage; the values of a process that does not respond are missing or 0. */
    FleetUsage usage() const;
    /** Reads the ledgers of all stand-ins; nullopt with the reason if one can't be read. */
    std::optional<Ledgers> ledgers(Reason& reason) const;

private:
    struct Entry {
        std::string name;
        std::string domain;
        std::string address;
        pid_t pid = 0;
    };
    struct Server {
        std::string id;
        std::string domain;
        std::string address;
        bool isExecutor = false;
    };

    pid_t spawn(const std::vector<std::string>& commandLine, const std::string& logName);
    bool startPlatform(Reason& reason);
    bool startBackend(const std::string& domain, Reason& reason);
    bool startEntry(Entry& entry, Reason& reason);
    bool applyConfiguration(const Configuration& configuration, Reason& reason);
    bool isReady() const;
    std::string signalEntry(const FaultSpec& fault, int signalNumber);
    std::string continueEntries();
    std::string restartEntry(const FaultSpec& fault);
    std::string setExecutorFailure(const std::string& domain, bool fail);
    std::string setPlatformFaults(const std::string& json);
    Entry* findEntry(const FaultSpec& fault);

    FleetSpec m_spec;
    std::string m_buildDirectory;
    std::string m_directory;
    std::string m_platformAddress;
    std::vector<Entry> m_entries;
    std::vector<Server> m_servers;
    std::vector<pid_t> m_children;
    mutable std::mutex m_mutex; // guards the addresses and process ids of m_entries
};

/** Reads /proc/PID/stat and /proc/PID/statm; all 0 but the pid if there is no such process. */
ProcessUsage readProcessUsage(pid_t pid);

} // namespace quay::bench
