#pragma once

#include "quay/core/Ids.h"
#include "quay/core/Time.h"

#include <map>
#include <vector>

namespace quay {

/** Settings of outlier ejection, for executors and for workers. */
struct OutlierSettings {
    double minSamples = 8; // no verdict on fewer
    unsigned consecutiveFailures = 3; // a verdict of their own, for servers that get little work
    double minFailureRate = 0.3; // never ejected below it
    double fleetRateFactor = 1.5; // ejected above the fleet's failure rate times this
    double decayPerCheck = 0.9; // weight of older samples at each check
    Duration baseEjectionTime = 5s; // doubled with each further one
    Duration maxEjectionTime = 300s;
    double minProbationSamples = 4; // samples that decide after an ejection
    unsigned maxEjectedPercent = 50; // of the fleet, at the same time

    bool operator==(const OutlierSettings&) const = default;
};

enum class HealthState {
    Healthy,
    Ejected, // gets no work
    Probation, // back on trial: few samples decide
};

/** One server's recent record. */
struct ServerHealth {
    HealthState state = HealthState::Healthy;
    double samples = 0;
    double failures = 0;
    unsigned consecutiveFailures = 0; // since the last success; does not decay
    unsigned ejections = 0; // exponent of the next ejection's length
    Instant ejectedUntil;

    bool operator==(const ServerHealth&) const = default;
};

struct OutlierState {
    OutlierSettings settings;
    std::map<ServerId, ServerHealth> servers;

    bool operator==(const OutlierState&) const = default;
};

/** A server that enters or leaves an ejection. */
struct HealthChange {
    ServerId server;
    HealthState state = HealthState::Healthy;

    bool operator==(const HealthChange&) const = default;
};

/** Starts and ends the watch on servers so that exactly these are watched. */
void setTrackedServers(OutlierState& state, const std::vector<ServerId>& servers);

/** Counts one outcome; outcomes of servers that aren't watched are ignored. */
void recordOutcome(OutlierState& state, const ServerId& server, bool succeeded);

/** Compares every server with the fleet. To be called about once a second. */
std::vector<HealthChange> checkOutliers(OutlierState& state, Instant now);

} // namespace quay
