#pragma once

#include "quay/core/Ids.h"
#include "quay/core/Time.h"

#include <map>
#include <vector>

namespace quay {

/** Settings of outlier ejection; "fleet" means all tracked servers. Used for executors and for workers. */
struct OutlierSettings {
    double minSamples = 8; // the failure rate is not judged on fewer
    unsigned consecutiveFailures = 3; // eject without minSamples, for servers with few requests
    double minFailureRate = 0.3; // a lower rate never ejects by itself; see consecutiveFailures
    double fleetRateFactor = 1.5; // multiple of the fleet's failure rate above which a server is ejected
    double decayPerCheck = 0.9; // factor applied to the counts at each check
    Duration baseEjectionTime = 5s; // doubled with each further ejection
    Duration maxEjectionTime = 300s;
    double minProbationSamples = 4; // samples needed to judge a server on probation
    unsigned maxEjectedPercent = 50; // of the tracked servers, at any time

    bool operator==(const OutlierSettings&) const = default;
};

/** Ejection state of a server. */
enum class HealthState {
    Healthy,
    Ejected, // takes no requests until `ejectedUntil`
    Probation, // takes requests again; fewer samples are enough to eject it
};

/** Outcome statistics and ejection state of one server. */
struct ServerHealth {
    HealthState state = HealthState::Healthy;
    double samples = 0;
    double failures = 0;
    unsigned consecutiveFailures = 0; // since the last success; does not decay
    unsigned ejections = 0; // since it was last healthy; exponent of the next ejection's length
    Instant ejectedUntil;

    bool operator==(const ServerHealth&) const = default;
};

/**
 * Statistics of all tracked servers.
 *
 * Usage: `recordOutcome(state, server, succeeded); for (auto& change : checkOutliers(state, now))
 * apply(change);`
 */
struct OutlierState {
    OutlierSettings settings;
    std::map<ServerId, ServerHealth> servers;

    bool operator==(const OutlierState&) const = default;
};

/** A server that was ejected or entered probation. */
struct HealthChange {
    ServerId server;
    HealthState state = HealthState::Healthy;

    bool operator==(const HealthChange&) const = default;
};

/** Sets the tracked servers. Servers that stay tracked keep their statistics; those of others are dropped. */
void setTrackedServers(OutlierState& state, const std::vector<ServerId>& servers);

/** Counts one outcome; ignored for servers that are ejected or not tracked. */
void recordOutcome(OutlierState& state, const ServerId& server, bool succeeded);

/**
 * Ejects servers whose failure rate stands out from the fleet's or that fail several times without a success,
 * and moves servers whose ejection has ended to probation. Decays the counts, so it is to be called at a
 * steady interval of about one second.
 * @return servers that were ejected or entered probation
 */
std::vector<HealthChange> checkOutliers(OutlierState& state, Instant now);

} // namespace quay
