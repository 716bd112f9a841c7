#include "cluster/dissemination.hpp"

#include <algorithm>

namespace mothring::cluster {

void DisseminationQueue::enqueue(const Claim& claim) {
    std::erase_if(entries_, [&](const Entry& entry) { return entry.claim.name == claim.name; });
    entries_.push_front({compact(claim), 0});
}

std::vector<Claim> DisseminationQueue::piggyback(const Claim* buddy, std::size_t max_bytes,
                                                 unsigned transmits) {
    std::vector<Claim> claims;
    std::size_t left = max_bytes;
    if (buddy) {
        claims.push_back(compact(*buddy));
        left -= std::min(left, encoded_size(claims.back()));
    }
    std::stable_sort(entries_.begin(), entries_.end(),
                     [](const Entry& one, const Entry& other) { return one.transmits < other.transmits; });
    for (Entry& entry : entries_) {
        const std::size_t size = encoded_size(entry.claim);
        if (size > left) break;
        if (buddy && buddy->name == entry.claim.name) continue;
        left -= size;
        ++entry.transmits;
        claims.push_back(entry.claim);
    }
    std::erase_if(entries_, [&](const Entry& entry) { return entry.transmits >= transmits; });
    return claims;
}

}  // namespace mothring::cluster
