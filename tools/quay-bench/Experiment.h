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

/** What is started on this machine. */
struct FleetSpec {
    unsigned domains = 2;
    unsigned entriesPerDomain = 2;
    unsigned workersPerDomain = 4;
    unsigned executorsPerDomain = 2;
    unsigned slots = 8; // of an executor
    int serviceMs = 2; // of an executor
    Resources worker { 8000, 16384, 0 };

    bool operator==(const FleetSpec&) const = default;
};

/** What arrives. */
enum class LoadKind {
    Interactive,
    Batch,
    Gang,
    Service,
};

/** One stream of arrivals: open loop, Poisson. */
struct LoadSpec {
    std::string name;
    std::string team;
    LoadKind kind = LoadKind::Interactive;
    double rate = 0; // arrivals a second
    double fromS = 0; // of the measured time
    double untilS = 0; // 0: to the end
    std::uint32_t maxArrivals = 0; // 0: no bound
    bool idempotent = false;
    int deadlineMs = 2000; // interactive
    std::uint32_t tasks = 1; // of a job
    int runMs = 100; // of a task; a service's tasks run until cancelled
    Resources perTask { 1000, 512, 0 };

    bool operator==(const LoadSpec&) const = default;
};

/** What goes wrong. */
enum class FaultKind {
    Kill, // an entry VM, with SIGKILL
    Stop, // an entry VM, with SIGSTOP
    Continue, // every stopped entry VM, with SIGCONT
    Restart, // an entry VM; without a name the first that has been killed
    PlatformDown,
    PlatformUp, // ends every fault of the platform
    PlatformDelay, // every answer by delayMs
    LoseAnswers, // percent of the platform's write answers
    ExecutorsFail, // of one domain
    ExecutorsHeal, // of one domain
};

/** One fault at a time. */
struct FaultSpec {
    double atS = 0; // of the measured time
    FaultKind kind = FaultKind::Kill;
    std::string entry; // VM name; or
    std::string leadOf; // the domain whose lead is meant
    std::string domain; // of executors
    int delayMs = 0;
    unsigned percent = 0;

    bool operator==(const FaultSpec&) const = default;
};

/** A whole experiment. */
struct Experiment {
    std::string name;
    FleetSpec fleet;
    std::map<std::string, TeamConfig> teams;
    std::vector<LoadSpec> loads;
    std::vector<FaultSpec> faults; // in order of time
    double durationS = 10; // of arrivals and measuring
    double settleS = 3; // after it, for work in flight
    double idleS = 0; // before it and without arrivals, counted in no measure
    double warmupS = 0; // before it and with arrivals, counted in the checks only
    std::uint64_t seed = 1;

    bool operator==(const Experiment&) const = default;
};

/**
 * Reads an experiment from TOML. `overrides` are "path=JSON value" pairs, for example "fleet.domains=1" or
 * "load.0.rate=500". UnknownField or MalformedRequest with the field's name otherwise.
 */
std::optional<Experiment> parseExperiment(
    const std::string& toml, const std::vector<std::string>& overrides, Reason& reason);

/** The shared configuration that an experiment needs: a queue and a key for each team, one operator's key. */
Configuration configurationOf(const Experiment& experiment);

/** The key's text of a team. */
std::string teamKey(const std::string& team);
/** The queue of a team. */
std::string teamQueue(const std::string& team);
/** The operator's key. */
std::string operatorKey();

std::string_view text(LoadKind kind);
std::string_view text(FaultKind kind);

} // namespace quay::bench
