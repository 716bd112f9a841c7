/// @file
/// Dissemination (SWIM 4.1): the claims that are piggybacked on the messages of the failure detector.
#pragma once

#include <cstddef>
#include <deque>
#include <vector>

#include "cluster/claim.hpp"

namespace mothring::cluster {

/// The claims to pass on; at most one for each member, the latest.
class DisseminationQueue {
public:
    /// Takes a claim, in place of an earlier one about the same member.
    void enqueue(const Claim& claim);
    /// The claims for one message, the least transmitted first.
    /// @param buddy  goes first, whatever its size (Lifeguard's buddy system). Null: none.
    /// @param max_bytes  of all claims together, by encoded_size().
    /// @param transmits  after so many a claim is dropped.
    std::vector<Claim> piggyback(const Claim* buddy, std::size_t max_bytes, unsigned transmits);

private:
    struct Entry {
        Claim claim;
        unsigned transmits = 0;
    };
    std::deque<Entry> entries_;
};

}  // namespace mothring::cluster
