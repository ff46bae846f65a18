#pragma once

#include "quay-bench/Experiment.h"
#include "quay-bench/Ledgers.h"

#include <mutex>
#include <sys/types.h>

namespace quay::bench {

/** CPU and memory of one process. */
struct ProcessUsage {
    pid_t pid = 0;
    double cpuSeconds = 0; // since the start of the process
    double residentMb = 0;
};

/** What the fleet has used up to a time. */
struct FleetUsage {
    std::map<std::string, ProcessUsage> entries; // by VM name
    std::map<std::string, double> peerBytes; // by VM name, where the daemon counts them
    std::uint64_t storeTransactions = 0;
    std::uint64_t storeReads = 0;
};

/** The real daemons and stand-ins of one experiment. All are ended, by their ids, with the object. */
class ProcessFleet {
public:
    /** `buildDirectory` holds daemons/quayd and standin/quay-standin. */
    ProcessFleet(const FleetSpec& spec, std::string buildDirectory);
    ~ProcessFleet();
    ProcessFleet(const ProcessFleet&) = delete;
    ProcessFleet& operator=(const ProcessFleet&) = delete;

    /** Starts everything and brings the configuration into force; false with the reason if it can't be done.
     */
    bool start(const Configuration& configuration, Reason& reason);

    std::size_t entryCount() const { return m_entries.size(); }
    /** The callers' address of an entry VM; it changes with a restart. */
    std::string entryAddress(std::size_t index) const;
    std::vector<std::string> domains() const;

    /** Makes a fault happen and returns what was done, in words. */
    std::string apply(const FaultSpec& fault);

    /** The VM that leads a domain; empty if none is known. */
    std::string leadOf(const std::string& domain) const;
    FleetUsage usage() const;
    /** Reads all ledgers of the stand-ins. */
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
    mutable std::mutex m_mutex; // guards the entries' addresses and ids
};

/** Reads /proc/PID/stat and statm; zeros if the process is gone. */
ProcessUsage readProcessUsage(pid_t pid);

} // namespace quay::bench
