#include "quay/core/Ownership.h"

#include <xxhash.h>

namespace quay {

std::uint64_t rendezvousWeight(const MemberId& member, std::string_view key)
{
    // The member's hash is the seed of the key's hash, so that ("ab", "c") and ("a", "bc") differ.
    const auto seed = XXH64(member.text.data(), member.text.size(), 0);
    return XXH64(key.data(), key.size(), seed);
}

MemberId rendezvousChoice(const std::vector<MemberId>& members, std::string_view key)
{
    const MemberId* best = nullptr;
    std::uint64_t bestWeight = 0;
    for (const auto& member : members) {
        const auto weight = rendezvousWeight(member, key);
        const bool wins = !best || weight > bestWeight || (weight == bestWeight && member < *best);
        if (!wins)
            continue;
        best = &member;
        bestWeight = weight;
    }
    return best ? *best : MemberId {};
}

MemberId ownerOf(const OwnershipView& view, const ServerId& executor)
{
    return rendezvousChoice(view.owners, executor.text);
}

MemberId ownerOf(const OwnershipView& view, const OwnedResource& resource)
{
    if (const auto* executor = std::get_if<ServerId>(&resource))
        return ownerOf(view, *executor);
    return view.leader;
}

} // namespace quay
