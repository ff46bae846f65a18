#pragma once

#include "platform/StoreService.h"
#include "quay/core/Configuration.h"
#include "quay/kernel/Duty.h"
#include "quay/kernel/Published.h"

#include <functional>

namespace quay {

/** What this process may do under the configuration that it knows. */
struct ActiveConfiguration {
    Configuration configuration;
    bool known = false; // an accepted version was read since the start
    Instant freshUntil {}; // keyed work is refused after this

    bool operator==(const ActiveConfiguration&) const = default;
    bool mayServeKeyedWork(Instant now) const { return known && now < freshUntil; }
};

/** Follows the accepted configuration and proposes changes for operators. */
class ConfigurationService : public Duty {
public:
    /** Gets the version in force, or why the change was refused. */
    using ApplyDone = std::function<void(std::optional<std::uint64_t>, Reason)>;

    explicit ConfigurationService(StoreService& store);

    const Published<ActiveConfiguration>& active() const { return m_active; }

    /** Proposes a configuration on top of `baseVersion`; VersionConflict if another change came first. */
    void apply(std::uint64_t baseVersion, Configuration next, ApplyDone done);

private:
    void onStart() override;
    void readAccepted();

    StoreService& m_store;
    Published<ActiveConfiguration> m_active;
};

} // namespace quay
