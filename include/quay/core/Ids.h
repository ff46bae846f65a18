#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace quay {

/**
 * A name of one kind of thing. Names of different kinds can't be mixed up:
 * a TeamId is never accepted where a DomainId is wanted.
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
/** A process of ours on an entry VM: VM name and incarnation, so a restart is a new member. */
using MemberId = Id<struct MemberTag>;
/** A backend server: a worker or an executor host. */
using ServerId = Id<struct ServerTag>;
/** A team that hands in work. */
using TeamId = Id<struct TeamTag>;
/** A named queue that a team's work goes to. */
using QueueId = Id<struct QueueTag>;
/** A durable job. */
using JobId = Id<struct JobTag>;
/** One task of a job. */
using TaskId = Id<struct TaskTag>;

} // namespace quay

/** Ids are usable as keys of unordered containers. */
template <typename Tag> struct std::hash<quay::Id<Tag>> {
    std::size_t operator()(const quay::Id<Tag>& id) const noexcept
    {
        return std::hash<std::string>()(id.text);
    }
};
