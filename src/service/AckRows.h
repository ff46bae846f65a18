#pragma once

#include "quay/core/ConfigRollout.h"
#include "quay/core/Ids.h"
#include "tableservice/Transaction.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace quay {

/** The key of a VM's row of the configuration rollout. */
std::string ackKey(const std::string& vm);

/** The value of such a row. */
std::string ackValue(std::uint64_t confirmed);

/** VM -> highest version that it confirmed, from the rows of a scan; 0 for a row that can't be read. */
std::map<std::string, std::uint64_t> confirmedByVm(const std::vector<TableRow>& rows);

/** The VM of a process: the part of its id before the incarnation. */
std::string vmOf(const MemberId& member);

/**
 * Times of the rows that let an acceptor wait for a VM. Safe as long as validFor, with clocks that differ by
 * 5 %, ends before removeAfter begins: who finds a row unchanged for removeAfter knows that its VM has long
 * stopped to count on it.
 */
struct AckTimes {
    Duration rewriteEvery = 60s; // a VM writes its row again, so that the row's version moves on
    Duration validFor
        = 180s; // since the last confirmed write was sent; then a VM must write before it counts
    Duration removeAfter = 300s; // a row that is unchanged for so long is removed

    bool operator==(const AckTimes&) const = default;
};

/** Since when each row has the version that it has, by the clock of the process that looks. */
using AckObservations = std::map<std::string, std::pair<std::uint64_t, Instant>>;

/** Notes the rows of a scan and gives those to remove, each with the version to check. */
std::vector<VersionCheck> abandonedAcks(AckObservations& observations, const std::vector<TableRow>& rows,
    const std::set<std::string>& liveVms, const AckTimes& times, Instant now);

} // namespace quay
