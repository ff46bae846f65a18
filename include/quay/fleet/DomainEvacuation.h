#pragma once

#include "quay/core/Time.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace quay::fleet {

/** An operator's request that nothing more is started in a failure domain until the request is taken back. */
struct DomainEvacuation {
    std::string domain;
    std::int64_t version = 0; // of the store, with which the request was written

    auto operator<=>(const DomainEvacuation&) const = default;
};

/** The operator's requests as a node has last read them. */
struct EvacuationView {
    std::vector<DomainEvacuation> evacuations; // ascending
    Instant readAt {}; // it has all requests that were acknowledged before; zero: never read

    bool operator==(const EvacuationView&) const = default;
};

bool isEvacuated(const EvacuationView& view, const std::string& domain);

/**
 * Whether a start may be sent to an executor of `domain`. `maxDelay`: the bound from the acknowledgement of a
 * request to the last start; zero: the installation sets none, so the age of the view does not matter.
 * False also if the view is so old that a request which it does not show could be past the bound before the
 * executor has the start.
 */
bool mayStartIn(const EvacuationView& view, const std::string& domain, Duration maxDelay, Instant now);

} // namespace quay::fleet
