// Dissemination (SWIM 4.1): the claims that are piggybacked on the messages of the failure detector.
#pragma once

#include <cstddef>
#include <deque>
#include <vector>

#include "cluster/claim.hpp"

namespace mothring::cluster {

// Holds at most one claim for each member, the latest.
class DisseminationQueue {
public:
    // To be passed on from now on, in place of what was said of that member before.
    void enqueue(const Claim& claim);
    // The claims for one message, the least transmitted first, of `room` bytes together by encoded_size().
    // `buddy`, where given, is what the receiver must hear first of all, in whatever room (Lifeguard's buddy
    // system). A claim transmitted `transmits` times is dropped.
    std::vector<Claim> piggyback(const Claim* buddy, std::size_t room, unsigned transmits);

private:
    struct Entry {
        Claim claim;
        unsigned transmitted = 0;  // times
    };
    std::deque<Entry> entries_;
};

}  // namespace mothring::cluster
