#pragma once

#include "quay/core/Resources.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace quay::fleet {

/** Latency model and ticket validity of the approval service, for a queue whose steps need approval. */
struct ApprovalPolicy {
    double decisionMs = 0; // fixed part of the duration of one call
    double perWorkerMs = 0; // additional duration for each worker named in the call
    std::int64_t ticketValidityMs = 0; // how long a ticket stays valid

    bool operator==(const ApprovalPolicy&) const = default;
};

/** One queue as configured by the operator. */
struct QueuePolicy {
    std::string name;
    std::string host; // host name of requests for this queue
    std::string pathPrefix; // path of requests for this queue, up to the job id
    std::string service; // the pool of executors that run the queue's tasks
    int priority = 0; // 0 is the highest
    int maxAttempts = 1; // a job fails once one of its tasks has failed this often
    // A job's latency objective is objectiveFactor * (critical path of its estimates) + objectiveSlackMs.
    double objectiveFactor = 1;
    std::int64_t objectiveSlackMs = 0;
    bool isPublic = false; // requests need no key
    std::optional<ApprovalPolicy> approval;

    bool operator==(const QueuePolicy&) const = default;
};

/** The part of the policy that decides how accepted jobs run: without the host, the path and `isPublic`. */
QueuePolicy executionPolicy(const QueuePolicy& queue);

/** One team with its keys, weight and upper limit. */
struct TeamPolicy {
    std::string name;
    std::vector<std::string> keys;
    // Jobs a second that come within its share: when the fleet is full, jobs beyond it wait behind those of
    // other teams of the same priority. 1 is used for weights that are zero, negative or no number. Nothing:
    // all its jobs are within its share.
    std::optional<double> weight;
    Resources upperLimit; // total demand of its running tasks; a component of 0 means no limit

    bool operator==(const TeamPolicy&) const = default;
};

/** One service: a pool of executors. */
struct ServicePolicy {
    std::string name;
    bool enforcesCapacity = false; // its executors refuse starts that exceed their capacity
    bool isStandby = false; // its machines are powered off

    bool operator==(const ServicePolicy&) const = default;
};

/** One version of the operator's configuration. */
struct FleetConfiguration {
    std::int64_t version = 0;
    std::vector<QueuePolicy> queues;
    std::vector<TeamPolicy> teams;
    std::vector<ServicePolicy> services;

    bool operator==(const FleetConfiguration&) const = default;

    /** The queue with the longest matching path prefix, or null. `path` must not include a query string. */
    const QueuePolicy* queueFor(const std::string& host, const std::string& path) const;
    /** The team that the key belongs to, or null. */
    const TeamPolicy* teamOfKey(const std::string& key) const;
    const QueuePolicy* queueNamed(const std::string& name) const;
    const TeamPolicy* teamNamed(const std::string& name) const;
};

} // namespace quay::fleet
