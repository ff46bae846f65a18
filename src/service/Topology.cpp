#include "service/Topology.h"

#include <algorithm>

namespace quay {

const TopologyMember* Topology::find(const MemberId& id) const
{
    auto it
        = std::find_if(members.begin(), members.end(), [&](const auto& member) { return member.id == id; });
    return it == members.end() ? nullptr : &*it;
}

const TopologyMember* Topology::leadOf(const DomainId& domain) const
{
    auto it = leads.find(domain);
    return it == leads.end() ? nullptr : find(it->second);
}

} // namespace quay
