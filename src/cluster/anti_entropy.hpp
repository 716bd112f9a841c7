// Anti-entropy: exchanges of the whole state with one member at a time, which bring what gossip lost and heal
// partitions. Here are the schedule, the choice of partners and the digest that tells whether there is
// anything to exchange.
#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "cluster/member_table.hpp"
#include "cluster/parameters.hpp"

namespace mothring::cluster {

class AntiEntropy {
public:
    // The next exchange, or, where there are to be none any more, the next look.
    void begin_at(Millis at) { next_at_ = at; }
    // The first exchange: spread, so that members started together do not exchange together.
    void schedule_first(Millis now, const Parameters& parameters, std::mt19937_64& random);
    // The next one, in a fleet of so many present members.
    void schedule_next(Millis now, const Parameters& parameters, std::size_t members,
                       std::mt19937_64& random);
    Millis next() const { return next_at_; }

private:
    Millis next_at_ = 0;
};

// With whom to exchange: one present member, and one of those that died, as it may only have been cut off.
std::vector<std::string> choose_partners(const MemberTable& table, std::mt19937_64& random);
// A hash of the names and incarnations of the present members, in whatever order they are given. What one has
// forgotten of the gone and another not is nothing to exchange.
std::uint64_t digest_of(const std::vector<Claim>& claims);

}  // namespace mothring::cluster
