#pragma once

#include "quay/core/Ids.h"
#include "quay/core/Reason.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quay {

/** The resource limits of a team. One unit is one running task or one interactive request in flight. */
struct TeamConfig {
    std::uint32_t share = 1; // fair-share weight; at least 1
    std::uint32_t upperLimit = 1; // maximum units in use over the whole fleet
    std::uint32_t maxQueued = 1000; // maximum waiting requests or tasks; above it QueueFull

    bool operator==(const TeamConfig&) const = default;
};

/** The kind of work that a queue accepts. */
enum class QueueKind {
    Interactive,
    Batch,
    Gang,
    Service,
    Any,
};

/** The configuration of one queue. */
struct QueueConfig {
    QueueKind kind = QueueKind::Any;
    std::vector<TeamId> teams; // teams whose keys may use the queue
    bool open = false; // no key needed; the work is charged to the only team in `teams`
    std::uint32_t deadlineMs = 10'000; // default for requests without a deadline
    bool idempotent = false; // default for requests that don't state it

    bool operator==(const QueueConfig&) const = default;
};

/** The kind of principal that a key authenticates. */
enum class KeyRole {
    Team,
    Operator,
};

/** One API key. The plain text of the key is never stored. */
struct KeyEntry {
    std::string id; // name used in logs and for revocation
    KeyRole role = KeyRole::Team;
    TeamId team; // empty for an operator's key
    std::string hash; // SHA-256 of the key, 64 lower-case hex digits
    bool withdrawn = false;

    bool operator==(const KeyEntry&) const = default;
};

/** The selected policies and their limits. */
struct PolicyConfig {
    std::uint32_t retryPercent = 10; // retries allowed per 100 first attempts
    std::string placement = "pack";
    std::string routing = "two_choices";

    bool operator==(const PolicyConfig&) const = default;
};

/** The validated configuration shared by the whole fleet. Immutable once accepted. */
struct Configuration {
    std::uint64_t version = 0; // assigned by the rollout; incremented by each accepted change
    std::map<TeamId, TeamConfig> teams;
    std::map<QueueId, QueueConfig> queues;
    std::vector<KeyEntry> keys; // sorted by id
    PolicyConfig policy;

    bool operator==(const Configuration&) const = default;
};

/** The principal that a presented key authenticates. */
struct KeyMatch {
    std::string id;
    KeyRole role = KeyRole::Team;
    TeamId team;

    bool operator==(const KeyMatch&) const = default;
};

/** Returns the SHA-256 of a key as 64 lower-case hex digits. */
std::string keyHash(std::string_view key);

/**
 * Looks up a presented key; nullopt if it is unknown or withdrawn. Compares with every entry in constant
 * time, so that the timing reveals nothing about the hashes. A hash that appears in any withdrawn entry is
 * refused, even if another entry has the same hash.
 *
 * Usage: `if (auto match = matchKey(configuration, bearerToken)) admit(match->team);`
 */
std::optional<KeyMatch> matchKey(const Configuration& configuration, std::string_view presentedKey);

/** True if the team may submit work to the queue. An open queue accepts work from every team. */
bool mayUse(const QueueConfig& queue, const TeamId& team);

/** Serializes a configuration as stored and sent to peers. Equal values give equal text. */
std::string toJson(const Configuration& configuration);

/**
 * Parses the output of toJson(). Every field is required and no other is allowed: otherwise returns
 * nullopt with UnknownField or InvalidConfiguration and the field's path as detail.
 */
std::optional<Configuration> parseConfiguration(const std::string& document, Reason& reason);

std::string_view text(QueueKind kind);
std::string_view text(KeyRole role);

/** Parses the name of a queue kind; nullopt if it is unknown. */
std::optional<QueueKind> queueKindNamed(std::string_view name);

/** Parses the name of a key role; nullopt if it is unknown. */
std::optional<KeyRole> keyRoleNamed(std::string_view name);

} // namespace quay
