/// @file
/// Anti-entropy: exchanges of the complete state with one member at a time, which recover what gossip lost
/// and heal partitions. Here are the schedule, the choice of partners and the digest that shows whether there
/// is anything to exchange.
#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "cluster/member_table.hpp"
#include "cluster/parameters.hpp"

namespace mothring::cluster {

/// When the next exchange is due.
class AntiEntropy {
public:
    /// Sets the time of the next exchange.
    void begin_at(Millis at) { next_at_ = at; }
    /// Schedules the first exchange, at random, so that members started together do not exchange together.
    void schedule_first(Millis now, const Parameters& parameters, std::mt19937_64& random);
    /// Schedules the next exchange.
    /// @param members  present in the fleet.
    void schedule_next(Millis now, const Parameters& parameters, std::size_t members,
                       std::mt19937_64& random);
    Millis next() const { return next_at_; }

private:
    Millis next_at_ = 0;
};

/// Chooses whom to exchange with: one present member, and one of those that died, as it may only have been
/// cut off.
std::vector<std::string> choose_partners(const MemberTable& table, std::mt19937_64& random);
/// A hash of the names and incarnations of the present members, whatever their order. Members that are gone
/// do not count, as some tables hold them longer than others.
std::uint64_t digest_of(const std::vector<Claim>& claims);

}  // namespace mothring::cluster
