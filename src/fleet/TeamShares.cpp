#include "fleet/TeamShares.h"

#include <algorithm>
#include <cmath>

namespace quay::fleet {

namespace {

constexpr double minWeight = 1e-3;
constexpr double maxWeight = 1e9;
constexpr std::chrono::duration<double> savedSpan { 1.0 }; // a share that isn't used lasts this long

} // namespace

double TeamShares::usableWeight(double weight)
{
    return std::isfinite(weight) && weight > 0 ? std::clamp(weight, minWeight, maxWeight) : 1;
}

bool TeamShares::takes(const std::string& team, double weight, Instant now)
{
    const double perSecond = usableWeight(weight);
    const double most = std::max(1.0, perSecond * savedSpan.count());
    const auto [found, isNew] = m_accounts.try_emplace(team, Account { most, now });
    auto& account = found->second;
    // A clock that goes back gives nothing, one that jumps ahead no more than `most`.
    const auto passed = std::max(std::chrono::duration<double>(now - account.updatedAt).count(), 0.0);
    account.jobs = std::min(most, account.jobs + perSecond * passed);
    account.updatedAt = now;
    if (account.jobs < 1)
        return false;
    account.jobs -= 1;
    return true;
}

} // namespace quay::fleet
