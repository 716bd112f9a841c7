#include "cluster/dissemination.hpp"

#include <algorithm>

namespace mothring::cluster {

void DisseminationQueue::enqueue(const Claim& claim) {
    std::erase_if(entries_, [&](const Entry& entry) { return entry.claim.name == claim.name; });
    entries_.push_front({compact(claim), 0});
}

std::vector<Claim> DisseminationQueue::piggyback(const Claim* buddy, std::size_t room, unsigned transmits) {
    std::vector<Claim> claims;
    if (buddy) {
        claims.push_back(compact(*buddy));
        room -= std::min(room, encoded_size(claims.back()));
    }
    std::stable_sort(entries_.begin(), entries_.end(),
                     [](const Entry& a, const Entry& b) { return a.transmitted < b.transmitted; });
    for (Entry& entry : entries_) {
        const std::size_t size = encoded_size(entry.claim);
        if (size > room) break;
        if (buddy && buddy->name == entry.claim.name) continue;
        room -= size;
        ++entry.transmitted;
        claims.push_back(entry.claim);
    }
    std::erase_if(entries_, [&](const Entry& entry) { return entry.transmitted >= transmits; });
    return claims;
}

}  // namespace mothring::cluster
