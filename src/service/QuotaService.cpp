#include "service/QuotaService.h"

namespace quay {

namespace {

constexpr std::size_t ringCapacity = 1024;
constexpr auto refreshPeriod = std::chrono::milliseconds(200);
constexpr auto tokenLease = std::chrono::seconds(5);

} // namespace

QuotaService::QuotaService(
    MembershipService& membership, ConfigurationService& configuration, TeamTokens& tokens)
    : Duty("quota", ringCapacity)
    , m_membership(membership)
    , m_configuration(configuration)
    , m_tokens(tokens)
{
    every(refreshPeriod, [this] { refresh(); });
}

void QuotaService::refresh()
{
    const auto active = m_configuration.active().get();
    const auto members = m_membership.topology().get()->members.size();
    if (!members)
        return;
    // An equal part for each process, rounded down, so that the parts never exceed the limit.
    for (const auto& [team, config] : active->configuration.teams)
        m_tokens.setGranted(team, static_cast<std::int64_t>(config.upperLimit / members));
    m_tokens.extendLease(std::chrono::steady_clock::now() + tokenLease);
}

} // namespace quay
