/// @file
/// This process's share of a limit that applies to the whole fleet of sidecars.
#pragma once

#include <algorithm>
#include <cstdint>

#include "mothring/events.hpp"
#include "mothring/settings.hpp"
#include "parameters.hpp"

namespace mothring {

/// Divides a limit of the whole fleet by the number of sidecars and by the number of processes of this
/// sidecar.
class FleetShare {
public:
    /// @param settings  must outlive this object.
    explicit FleetShare(const Settings& settings) : settings_(settings) {}

    /// Sets the membership view. Its number of members replaces the configured fleet size while it has a
    /// quorum.
    void set_members(const MemberView& view) { members_ = view; }
    /// Sets whether another process of this sidecar runs at the same time, as during a hot restart.
    void set_overlap(bool overlapping) { processes_ = overlapping ? 2 : 1; }

    /// Returns this process's share of kMinInFlightPerServer. The sidecar's share is limited to one attempt.
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
