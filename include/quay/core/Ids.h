#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace quay {

/**
 * A strongly typed identifier: ids of different kinds don't convert into each other, so that
 * a TeamId can't be passed where a DomainId is expected.
 *
 * Usage: `TeamId team { "clinic" }; log(team.text);`
 */
template <typename Tag> struct Id {
    std::string text;

    Id() = default;
    explicit Id(std::string name)
        : text(std::move(name))
    {
    }

    bool operator==(const Id&) const = default;
    std::strong_ordering operator<=>(const Id& other) const { return text <=> other.text; }
    bool empty() const { return text.empty(); }
};

/** A failure domain. */
using DomainId = Id<struct DomainTag>;
/** A process on an entry VM: VM name and incarnation, so that a restarted process is a new member. */
using MemberId = Id<struct MemberTag>;
/** A backend server: a worker or an executor host. */
using ServerId = Id<struct ServerTag>;
/** A team that submits work. */
using TeamId = Id<struct TeamTag>;
/** A named queue that a team submits work to. */
using QueueId = Id<struct QueueTag>;
/** A durable job. */
using JobId = Id<struct JobTag>;
/** One task of a job. */
using TaskId = Id<struct TaskTag>;

} // namespace quay

/** Hash for ids as keys of unordered containers. */
template <typename Tag> struct std::hash<quay::Id<Tag>> {
    std::size_t operator()(const quay::Id<Tag>& id) const noexcept
    {
        return std::hash<std::string>()(id.text);
    }
};
