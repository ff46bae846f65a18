#pragma once

#include "quay/core/Ids.h"

#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

namespace quay {

/** The duty that one member of a failure domain has for all of its workers. */
struct LeaderRole {
    bool operator==(const LeaderRole&) const = default;
};

/** Something with one owner at a time: the lead duty, or the slots of one executor. */
using OwnedResource = std::variant<LeaderRole, ServerId>;

/** Who shares the executors of a failure domain in one epoch. */
struct OwnershipView {
    std::uint64_t epoch = 0; // fencing token of everything sent under this view
    std::vector<MemberId> owners; // active members, sorted
    MemberId leader; // empty if there is no active member

    bool operator==(const OwnershipView&) const = default;
};

/** The rendezvous weight of a pair. It depends on the two texts only, so all members agree on it. */
std::uint64_t rendezvousWeight(const MemberId& member, std::string_view key);

/** The member of the highest weight for a key; empty for an empty list. The order of members has no effect.
 */
MemberId rendezvousChoice(const std::vector<MemberId>& members, std::string_view key);

/**
 * The owner of an executor's slots. When a member joins, only the executors that it gains move;
 * when one leaves, only those that it had.
 *
 * Usage: `if (ownerOf(view, executor) == self) ...`
 */
MemberId ownerOf(const OwnershipView& view, const ServerId& executor);

/** The owner of any resource. */
MemberId ownerOf(const OwnershipView& view, const OwnedResource& resource);

} // namespace quay
