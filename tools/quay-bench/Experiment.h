#pragma once

#include "quay/core/Configuration.h"
#include "quay/core/Reason.h"
#include "quay/core/Resources.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace quay::bench {

/** The processes that an experiment starts on this machine, and their sizes. */
struct FleetSpec {
    unsigned domains = 2; // failure domains
    unsigned entriesPerDomain = 2; // entry VMs
    unsigned workersPerDomain = 4;
    unsigned executorsPerDomain = 2;
    unsigned slots = 8; // per executor
    int serviceMs = 2; // time an executor takes for a request
    Resources worker { 8000, 16384, 0 }; // capacity of each worker

    bool operator==(const FleetSpec&) const = default;
};

/** Kind of work that a load submits: interactive requests or one kind of job. */
enum class LoadKind {
    Interactive,
    Batch,
    Gang,
    Service,
};

/** One open-loop stream of Poisson arrivals. */
struct LoadSpec {
    std::string name;
    std::string team;
    LoadKind kind = LoadKind::Interactive;
    double rate = 0; // arrivals per second
    double fromS = 0; // since the start of the measured time; 0: from the warm-up on
    double untilS = 0; // since the start of the measured time; 0: to its end
    std::uint32_t maxArrivals = 0; // 0: unlimited
    bool isIdempotent = false;
    int deadlineMs = 2000; // interactive requests only
    std::uint32_t tasks = 1; // per job
    int runMs = 100; // per task; tasks of a service run until they are cancelled
    Resources perTask { 1000, 512, 0 };

    bool operator==(const LoadSpec&) const = default;
};

/** Kinds of injected faults, and the actions that end them. A fault of the platform replaces its previous
 * one. */
enum class FaultKind {
    Kill, // kills an entry VM with SIGKILL
    Stop, // suspends an entry VM with SIGSTOP
    Continue, // resumes all suspended entry VMs with SIGCONT
    Restart, // restarts an entry VM; without a name, the first one that is not running
    PlatformDown, // the platform neither carries out nor answers any call
    PlatformUp, // ends all faults of the platform
    PlatformDelay, // the platform delays every response by delayMs
    LoseAnswers, // the platform carries out writes but discards `percent` of their responses
    ExecutorsFail, // the executors of one domain, or all, fail every request
    ExecutorsHeal, // ends ExecutorsFail for one domain, or all
};

/** A scheduled fault. */
struct FaultSpec {
    double atS = 0; // since the start of the measured time
    FaultKind kind = FaultKind::Kill;
    std::string entry; // name of the entry VM
    std::string leadOf; // domain whose leader is affected, in place of `entry`
    std::string domain; // of the executors; empty: all domains
    int delayMs = 0;
    unsigned percent = 0;

    bool operator==(const FaultSpec&) const = default;
};

/** Content of an experiment file. */
struct Experiment {
    std::string name;
    FleetSpec fleet;
    std::map<std::string, TeamConfig> teams;
    std::vector<LoadSpec> loads;
    std::vector<FaultSpec> faults; // ordered by atS
    double durationS = 10; // measured time, with arrivals
    double settleS = 3; // after the measured time, for work in flight to end
    double idleS = 0; // before the warm-up, without arrivals
    double warmupS = 0; // before the measured time, with arrivals that only the checks count
    std::uint64_t seed = 1;

    bool operator==(const Experiment&) const = default;
};

/**
 * Parses an experiment from TOML. `overrides` are "PATH=JSON value" assignments, for example
 * "fleet.domains=1" or "load.0.rate=500". Returns nullopt with MalformedRequest, and the field in the detail,
 * if it is not valid.
 */
std::optional<Experiment> parseExperiment(
    const std::string& toml, const std::vector<std::string>& overrides, Reason& reason);

/** Returns the configuration of an experiment: a queue and a key for each team, and one operator's key. */
Configuration configurationOf(const Experiment& experiment);

/** Returns the text of a team's key. */
std::string teamKey(const std::string& team);
/** Returns the name of a team's queue. */
std::string teamQueue(const std::string& team);
/** Returns the text of the operator's key. */
std::string operatorKey();

/** Returns the name of a kind, as written in experiment files. */
std::string_view text(LoadKind kind);
/** Returns the name of a kind, as written in experiment files. */
std::string_view text(FaultKind kind);

} // namespace quay::bench
