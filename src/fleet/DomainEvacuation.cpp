#include "quay/fleet/DomainEvacuation.h"

#include <algorithm>

namespace quay::fleet {

namespace {

// From the check before a start to its execution: the timeout of an order, by a relay and over a slow link.
// At most a quarter of the bound, because a short one would else stop all starts.
constexpr Duration startDeliveryMargin = 500ms;

} // namespace

bool isEvacuated(const EvacuationView& view, const std::string& domain)
{
    return std::any_of(view.evacuations.begin(), view.evacuations.end(),
        [&](const DomainEvacuation& it) { return it.domain == domain; });
}

bool mayStartIn(const EvacuationView& view, const std::string& domain, Duration maxDelay, Instant now)
{
    if (isEvacuated(view, domain))
        return false;
    if (maxDelay == Duration::zero())
        return true;
    return view.readAt != Instant {}
    && now - view.readAt + std::min(startDeliveryMargin, maxDelay / 4) <= maxDelay;
}

} // namespace quay::fleet
