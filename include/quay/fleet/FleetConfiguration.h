#pragma once

#include "quay/core/Resources.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace quay::fleet {

/** What an approval service demands before a step of a queue may start anywhere. */
struct ApprovalPolicy {
    double decisionMs = 0; // fixed time of one call
    double perWorkerMs = 0; // further time for each worker named in the call
    std::int64_t ticketLifeMs = 0; // how long a ticket stays valid

    bool operator==(const ApprovalPolicy&) const = default;
};

/** One queue as the operator configured it. */
struct QueuePolicy {
    std::string name;
    std::string host; // of the callers' requests
    std::string pathPrefix; // a job's identifier follows it
    std::string service; // whose executors run the queue's tasks
    int priority = 0; // 0 is the most urgent
    int maxAttempts = 1; // failed runs of one task until its job has failed
    double objectiveFactor = 1; // objective: stretch x the longest chain of work ...
    std::int64_t objectiveSlackMs = 0; // ... plus this
    bool isPublic = false; // callers need no key
    std::optional<ApprovalPolicy> approval;

    bool operator==(const QueuePolicy&) const = default;
};

/** One team, its keys and its bounds. */
struct TeamPolicy {
    std::string name;
    std::vector<std::string> keys;
    double weight = 1; // share when the fleet is full
    Resources upperLimit; // what it may have running; 0 means no limit

    bool operator==(const TeamPolicy&) const = default;
};

/** One service: a pool of executors. */
struct ServicePolicy {
    std::string name;
    bool enforcesCapacity = false; // its executors refuse what does not fit
    bool isStandby = false; // its machines are switched off

    bool operator==(const ServicePolicy&) const = default;
};

/** One version of the operator's configuration. */
struct FleetConfiguration {
    std::int64_t version = 0;
    std::vector<QueuePolicy> queues;
    std::vector<TeamPolicy> teams;
    std::vector<ServicePolicy> services;

    bool operator==(const FleetConfiguration&) const = default;

    /** The queue with the longest prefix that the path begins with, or null. `path` carries no query. */
    const QueuePolicy* queueFor(const std::string& host, const std::string& path) const;
    /** The team that holds the key, or null. */
    const TeamPolicy* teamOfKey(const std::string& key) const;
    const QueuePolicy* queueNamed(const std::string& name) const;
    const TeamPolicy* teamNamed(const std::string& name) const;
};

} // namespace quay::fleet
