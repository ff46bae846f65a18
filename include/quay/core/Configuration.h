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

/** What a team may use. One unit is one task or one interactive request in flight. */
struct TeamConfig {
    std::uint32_t share = 1; // weight against the other teams when the fleet is full; at least 1
    std::uint32_t upperLimit = 1; // running units over the whole fleet
    std::uint32_t maxQueued = 1000; // waiting requests or tasks before QueueFull

    bool operator==(const TeamConfig&) const = default;
};

/** The kind of work that a queue takes. */
enum class QueueKind {
    Interactive,
    Batch,
    Gang,
    Service,
    Any,
};

/** One named queue. */
struct QueueConfig {
    QueueKind kind = QueueKind::Any;
    std::vector<TeamId> teams; // the teams whose keys may use it
    bool open = false; // no key needed; the work is charged to the one team in `teams`
    std::uint32_t deadlineMs = 10'000; // for requests that state none
    bool idempotent = false; // for requests that don't say

    bool operator==(const QueueConfig&) const = default;
};

/** Whom a key speaks for. */
enum class KeyRole {
    Team,
    Operator,
};

/** One key. The key's text itself is never stored. */
struct KeyEntry {
    std::string id; // name for logs and withdrawal
    KeyRole role = KeyRole::Team;
    TeamId team; // empty for an operator's key
    std::string hash; // SHA-256 of the key's text, 64 lower-case hex digits
    bool withdrawn = false;

    bool operator==(const KeyEntry&) const = default;
};

/** Choices among named policies, and the limits that go with them. */
struct PolicyConfig {
    std::uint32_t retryPercent = 10; // retries allowed per hundred first attempts
    std::string placement = "pack";
    std::string routing = "two_choices";

    bool operator==(const PolicyConfig&) const = default;
};

/** The shared configuration of the whole fleet. Compiled, checked, immutable once accepted. */
struct Configuration {
    std::uint64_t version = 0; // given by the rollout; rises by one with each accepted change
    std::map<TeamId, TeamConfig> teams;
    std::map<QueueId, QueueConfig> queues;
    std::vector<KeyEntry> keys; // in order of id
    PolicyConfig policy;

    bool operator==(const Configuration&) const = default;
};

/** Whom a presented key speaks for. */
struct KeyMatch {
    std::string id;
    KeyRole role = KeyRole::Team;
    TeamId team;

    bool operator==(const KeyMatch&) const = default;
};

/** SHA-256 of a key's text as 64 lower-case hex digits. */
std::string keyHash(std::string_view key);

/**
 * Finds the key's entry. Compares with every entry in constant time, so that the
 * time tells nothing about the hashes. A hash that stands in any withdrawn entry is
 * refused, even if another entry repeats it.
 *
 * Usage: `if (auto match = matchKey(configuration, bearerToken)) admit(match->team);`
 */
std::optional<KeyMatch> matchKey(const Configuration& configuration, std::string_view presentedKey);

/** True if the key's team may put work into the queue. An open queue takes everyone's work. */
bool mayUse(const QueueConfig& queue, const TeamId& team);

/** The JSON text of a configuration, as stored and sent to peers. Equal values give equal text. */
std::string toJson(const Configuration& configuration);

/**
 * Reads toJson()'s text back. Every field must be there and no other:
 * UnknownField or InvalidConfiguration otherwise, with the field's path as detail.
 */
std::optional<Configuration> parseConfiguration(const std::string& document, Reason& reason);

std::string_view text(QueueKind kind);
std::string_view text(KeyRole role);

/** The kind with this name; nullopt if there is none. */
std::optional<QueueKind> queueKindNamed(std::string_view name);

/** The role with this name; nullopt if there is none. */
std::optional<KeyRole> keyRoleNamed(std::string_view name);

} // namespace quay
