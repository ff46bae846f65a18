#include "core/QuotaPlan.h"

#include <algorithm>

namespace quay::internal {

namespace {

constexpr std::int64_t extraNeedDivisor = 4; // 1/4 of the need is kept on top of it
// More units are requested once the running units plus 1/8 of them reach the grant.
constexpr std::int64_t headroomDivisor = 8;

std::int64_t divideUp(std::int64_t a, std::int64_t b) { return b <= 0 ? 0 : (a + b - 1) / b; }

// Inputs of the functions below, taken from the row and the usage.
struct GrantView {
    std::int64_t spendable = 0;
    std::int64_t need = 0;
    std::int64_t granted = 0;
    std::int64_t grantedByAll = 0;
    std::int64_t ungranted = 0;
    std::int64_t othersDemand = 0;
    std::int64_t competingMembers = 1; // this member and all others with demand
    std::int64_t recordedDemand = 0;
};

GrantView grantViewOf(const QuotaSettings& settings, const TeamQuota& team, const QuotaRecord& record)
{
    GrantView view;
    view.spendable = team.spendable;
    view.need = team.usage.running + team.usage.refused;
    view.grantedByAll = totalGranted(record);
    view.ungranted = ungrantedUnits(record);
    for (const auto& [member, entry] : record.entries) {
        if (member == settings.self) {
            view.granted = entry.granted;
            view.recordedDemand = entry.demand;
        } else if (entry.demand > 0) {
            view.othersDemand += entry.demand;
            ++view.competingMembers;
        }
    }
    return view;
}

// For a lowered limit, every member returns units in proportion to its local grant. Rounding up makes the sum
// of the grants reach the limit.
std::int64_t unitsReturnedForLimit(const GrantView& view, const QuotaRecord& record)
{
    const std::int64_t excess = std::max<std::int64_t>(0, view.grantedByAll - record.target);
    return std::min(view.spendable, divideUp(excess * view.spendable, view.grantedByAll));
}

// If the others' demand exceeds the ungranted units, each member returns units in proportion to its grant. It
// keeps its need and a quarter, but no more than an even split, so that no member is starved.
//
// Example: with limit 90, grants 90/0/0 and unlimited demand of all members, the first is reduced to 30.
std::int64_t unitsReturnedForDemand(const GrantView& view, const QuotaRecord& record)
{
    const std::int64_t shortfall = view.othersDemand - view.ungranted;
    if (shortfall <= 0)
        return 0;
    const std::int64_t evenSplit = std::max<std::int64_t>(1, record.target / view.competingMembers);
    const std::int64_t kept = std::min(evenSplit, view.need + view.need / extraNeedDivisor);
    const std::int64_t excess = std::max<std::int64_t>(0, view.spendable - kept);
    return std::min(excess, divideUp(shortfall * view.granted, view.grantedByAll));
}

// Ungranted units are divided in proportion to demand, at least one, so that every round makes progress.
std::int64_t unitsToTake(const QuotaSettings& settings, const GrantView& view)
{
    const std::int64_t wanted
        = view.need + view.need / extraNeedDivisor + settings.minExtraUnits - view.spendable;
    if (wanted <= 0 || view.ungranted == 0)
        return 0;
    const std::int64_t share = view.ungranted * wanted / (wanted + view.othersDemand);
    return std::min({ wanted, view.ungranted, std::max<std::int64_t>(1, share) });
}

// Hysteresis: the demand is rewritten only if it becomes zero or nonzero, or changes by more than half.
bool isDemandChangeSignificant(std::int64_t recorded, std::int64_t current)
{
    if ((recorded == 0) != (current == 0))
        return true;
    return current > recorded + recorded / 2 || current < recorded / 2;
}

} // namespace

QuotaPlan planQuota(const QuotaSettings& settings, const TeamQuota& team, const QuotaRecord& record)
{
    const GrantView view = grantViewOf(settings, team, record);
    const std::int64_t running = team.usage.running;
    const bool wantsMore = team.usage.refused > 0
        || (running > 0 && running + divideUp(running, headroomDivisor) >= view.spendable);
    const std::int64_t unitsToReturn = std::min(
        view.spendable, std::max(unitsReturnedForLimit(view, record), unitsReturnedForDemand(view, record)));
    QuotaPlan plan;
    plan.reduceTo = view.spendable - unitsToReturn;
    if (unitsToReturn == 0 && wantsMore)
        plan.take = unitsToTake(settings, view);
    if (team.usage.refused > 0)
        plan.demand = std::clamp<std::int64_t>(view.need - plan.reduceTo - plan.take, 0, record.target);
    plan.demandChanged = isDemandChangeSignificant(view.recordedDemand, plan.demand);
    return plan;
}

} // namespace quay::internal
