#pragma once

#include "quay-bench/LoadGenerator.h"

#include <boost/json.hpp>
#include <string>
#include <vector>

namespace quay::bench {

/** A fault that was injected. */
struct FaultRecord {
    double atS = 0; // scheduled time since the start of the measured time
    std::string description;
};

/** Measurements and ledgers of one run, input of makeResult(). */
struct Observation {
    Window window; // the measured time
    FleetUsage before; // at the start of the window
    FleetUsage after; // at its end
    std::map<std::string, std::string> leads; // domain -> leading VM, at the end of the window
    std::vector<FaultRecord> faults;
    Ledgers ledgers;
    std::vector<LoadOutcome> loads; // in the order of Experiment::loads
    CallerRecord callers;
};

/**
 * Returns the result of a run as JSON: loads with their series, packing, share, control, store, faults and
 * violations.
 */
boost::json::object makeResult(const Experiment& experiment, const Observation& observation);

/** Formats a result as text tables. */
std::string formatTable(const boost::json::object& result);

/** Formats a result as one HTML page without external resources. */
std::string formatHtml(const boost::json::object& result);

} // namespace quay::bench
