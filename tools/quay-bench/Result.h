#pragma once

#include "quay-bench/LoadGenerator.h"

#include <boost/json.hpp>
#include <string>
#include <vector>

namespace quay::bench {

/** A fault as it happened. */
struct FaultRecord {
    double atS = 0;
    std::string what;
};

/** All that was observed in one run. */
struct Observation {
    Window window; // of measuring
    FleetUse before;
    FleetUse after;
    std::map<std::string, std::string> leads; // domain -> VM, at the end of measuring
    std::vector<FaultRecord> faults;
    Ledgers ledgers;
    std::vector<LoadOutcome> loads;
    CallerView callers;
};

/** The measures of a run as JSON: loads, packing, share, control, store, violations, series. */
boost::json::object resultOf(const Experiment& experiment, const Observation& observation);

/** The result as a table for a terminal. */
std::string tableOf(const boost::json::object& result);

/** The result as one HTML page that needs nothing else. */
std::string htmlOf(const boost::json::object& result);

} // namespace quay::bench
