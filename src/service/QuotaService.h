#pragma once

#include "quay/core/TeamTokens.h"
#include "quay/kernel/Duty.h"
#include "service/ConfigurationService.h"
#include "service/MembershipService.h"

namespace quay {

/** Keeps this process's part of every team's upper limit in the team tokens. */
class QuotaService : public Duty {
public:
    QuotaService(MembershipService& membership, ConfigurationService& configuration, TeamTokens& tokens);

private:
    void refresh();

    MembershipService& m_membership;
    ConfigurationService& m_configuration;
    TeamTokens& m_tokens;
};

} // namespace quay
