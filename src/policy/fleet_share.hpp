/// @file
/// This process's part of what the whole fleet of sidecars may do.
#pragma once

#include <algorithm>
#include <cstdint>

#include "mothring/events.hpp"
#include "mothring/settings.hpp"
#include "parameters.hpp"

namespace mothring {

/// Knows how many sidecars share the servers, and how many processes this one has.
class FleetShare {
public:
    /// @param settings  must outlive this.
    explicit FleetShare(const Settings& settings) : settings_(settings) {}

    void set_members(const MemberView& view) { members_ = view; }
    void set_overlap(bool overlapping) { processes_ = overlapping ? 2 : 1; }

    /// This process's part of kMinInFlightPerServer; at most one attempt.
    double in_flight_per_server() const {
        const std::uint32_t sidecars = members_.quorum ? members_.present : settings_.fleet_size;
        return std::min(1.0, kMinInFlightPerServer / std::max<std::uint32_t>(1, sidecars)) / processes_;
    }

private:
    const Settings& settings_;
    MemberView members_;
    double processes_ = 1;
};

}  // namespace mothring
