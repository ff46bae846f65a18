#pragma once

#include "quay/core/Fleet.h"
#include "quay/core/Ids.h"
#include "quay/core/Time.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace quay {

/** One live entry VM process, of any failure domain. */
struct TopologyMember {
    MemberId id;
    DomainId domain;
    std::string peerAddress;

    bool operator==(const TopologyMember&) const = default;
};

/** Who is there, and who leads each failure domain. A lagging view; it grants nothing. */
struct Topology {
    std::vector<TopologyMember> members;
    std::map<DomainId, MemberId> leads;

    bool operator==(const Topology&) const = default;

    /** The member, or nullptr. */
    const TopologyMember* find(const MemberId& id) const;
    /** The lead of a domain, or nullptr. */
    const TopologyMember* leadOf(const DomainId& domain) const;
};

/** What this process owns, and until when. Checked immediately before each send. */
struct Ownership {
    std::uint64_t epoch = 0;
    Instant validUntil {}; // by the own monotonic clock
    bool leads = false; // holds the durable jobs of the domain
    std::set<ServerId> executors; // whose slots it hands out

    bool operator==(const Ownership&) const = default;

    bool mayLead(Instant now) const { return leads && now < validUntil; }
    bool mayUse(const ServerId& executor, Instant now) const
    {
        return now < validUntil && executors.count(executor);
    }
};

} // namespace quay
