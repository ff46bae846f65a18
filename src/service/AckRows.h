#pragma once

#include "quay/core/ConfigRollout.h"
#include "quay/core/Ids.h"
#include "tableservice/Transaction.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace quay {

/** The key of the row in which a VM confirms configuration versions. */
std::string ackKey(const std::string& vm);

/** The value of a confirmation row: the highest version that the VM has confirmed. */
std::string ackValue(std::uint64_t confirmed);

/**
 * Maps each VM to the highest version it has confirmed, from the rows of a scan; 0 if a row can't be parsed.
 */
std::map<std::string, std::uint64_t> confirmedByVm(const std::vector<TableRow>& rows);

/** The VM name of a process: the part of its id before the incarnation. */
std::string vmOf(const MemberId& member);

/**
 * Timing of the rows for which an acceptor waits. Removal is safe while validFor is shorter than removeAfter
 * even with clock rates that differ by 5 %: when a row has been unchanged for removeAfter, its VM no longer
 * relies on it.
 */
struct AckTimes {
    Duration rewriteEvery = 60s; // a VM rewrites its row at this interval, which changes the row's version
    // Validity of a confirmation, from when the last successful write of the row was sent. After it expires,
    // the VM's views don't count until it has written its row again.
    Duration validFor = 180s;
    Duration removeAfter = 300s; // a row that has not changed for this long is removed

    bool operator==(const AckTimes&) const = default;
};

/** The version of each row and when the observing process first saw it, on its own clock. */
using AckObservations = std::map<std::string, std::pair<std::uint64_t, Instant>>;

/** Records the rows of a scan and returns the rows to remove, each with the version to check. */
std::vector<VersionCheck> abandonedAcks(AckObservations& observations, const std::vector<TableRow>& rows,
    const std::set<std::string>& liveVms, const AckTimes& times, Instant now);

} // namespace quay
