/// @file
/// Anti-entropy: exchanges of the complete state with one member at a time. They recover updates that gossip
/// lost and heal partitions. This file has the schedule, the choice of partners, and the digest by which two
/// members see whether their states differ.
#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "cluster/member_table.hpp"
#include "cluster/parameters.hpp"

namespace mothring::cluster {

/// Schedules the exchanges.
class AntiEntropy {
public:
    /// Sets the time of the next exchange.
    void begin_at(Millis at) { next_at_ = at; }
    /// Schedules the first exchange at a random time, so that members started together do not all exchange at
    /// once.
    void schedule_first(Millis now, const Parameters& parameters, std::mt19937_64& random);
    /// Schedules the next exchange.
    /// @param members  number of members present in the fleet.
    void schedule_next(Millis now, const Parameters& parameters, std::size_t members,
                       std::mt19937_64& random);
    Millis next() const { return next_at_; }

private:
    Millis next_at_ = 0;
};

/// Chooses the partners of an exchange: one present member and one dead member, as the dead one may only have
/// been partitioned from this member.
std::vector<std::string> choose_partners(const MemberTable& table, std::mt19937_64& random);
/// Returns a hash of the names and incarnations of the present members, independent of their order. Dead
/// members and members that left are excluded, because tables keep them for different times.
std::uint64_t digest_of(const std::vector<Claim>& claims);

}  // namespace mothring::cluster
