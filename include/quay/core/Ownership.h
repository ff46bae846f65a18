#pragma once

#include "quay/core/Ids.h"

#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

namespace quay {

/** The role of the one member that schedules jobs on all workers of a failure domain. */
struct LeaderRole {
    bool operator==(const LeaderRole&) const = default;
};

/** A resource with at most one owner at a time: the leader role, or the slots of one executor. */
using OwnedResource = std::variant<LeaderRole, ServerId>;

/** The members that own the executors of a failure domain in one epoch, and its leader. */
struct OwnershipView {
    std::uint64_t epoch = 0; // fencing token of all messages sent under this view
    std::vector<MemberId> owners; // active members, sorted
    MemberId leader; // empty if there is no active member

    bool operator==(const OwnershipView&) const = default;
};

/**
 * The rendezvous hash of a member and a key. It depends on the two texts only, so all members agree on it.
 */
std::uint64_t rendezvousWeight(const MemberId& member, std::string_view key);

/** The member with the highest weight for a key, in any order of `members`; empty if there are none. */
MemberId rendezvousChoice(const std::vector<MemberId>& members, std::string_view key);

/**
 * The owner of an executor's slots. When a member joins, only the executors that it gains change owner;
 * when one leaves, only those that it owned.
 *
 * Usage: `if (ownerOf(view, executor) == self) ...`
 */
MemberId ownerOf(const OwnershipView& view, const ServerId& executor);

/** The owner of any resource. */
MemberId ownerOf(const OwnershipView& view, const OwnedResource& resource);

} // namespace quay
