#pragma once

#include "quay-bench/LoadGenerator.h"

#include <boost/json.hpp>
#include <string>
#include <vector>

namespace quay::bench {

/** A fault as it happened. */
struct FaultRecord {
    double atS = 0;
    std::string description;
};

/** All that was observed in one run. */
struct Observation {
    Window window; // of measuring
    FleetUsage before;
    FleetUsage after;
    std::map<std::string, std::string> leads; // domain -> VM, at the end of measuring
    std::vector<FaultRecord> faults;
    Ledgers ledgers;
    std::vector<LoadOutcome> loads;
    CallerRecord callers;
};

/** The measures of a run as JSON: loads, packing, share, control, store, violations, series. */
boost::json::object makeResult(const Experiment& experiment, const Observation& observation);

/** The result as a table for a terminal. */
std::string formatTable(const boost::json::object& result);

/** The result as one HTML page that needs nothing else. */
std::string formatHtml(const boost::json::object& result);

} // namespace quay::bench
