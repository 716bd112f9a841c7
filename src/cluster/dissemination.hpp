/// @file
/// Dissemination (SWIM 4.1): the queue of claims that are piggybacked on the failure detector's messages.
#pragma once

#include <cstddef>
#include <deque>
#include <vector>

#include "cluster/claim.hpp"

namespace mothring::cluster {

/// Holds the claims to disseminate, at most one for each member: the latest.
class DisseminationQueue {
public:
    /// Adds a claim, which replaces an earlier one about the same member.
    void enqueue(const Claim& claim);
    /// Returns the claims for one message, the least transmitted first.
    /// @param buddy  claim that is sent first, whatever its size (Lifeguard's buddy system); may be null.
    /// @param max_bytes  limit on the total of encoded_size().
    /// @param transmits  number of transmissions after which a claim is dropped.
    std::vector<Claim> piggyback(const Claim* buddy, std::size_t max_bytes, unsigned transmits);

private:
    struct Entry {
        Claim claim;
        unsigned transmits = 0;
    };
    std::deque<Entry> entries_;
};

}  // namespace mothring::cluster
