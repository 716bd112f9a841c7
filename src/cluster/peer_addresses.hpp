/// @file
/// Where the other members are reached.
#pragma once

#include <optional>
#include <string>

#include "cluster/membership.hpp"
#include "cluster/settings.hpp"

namespace mothring::cluster {

/// Finds the address of a member: a configured route, else what the member says of itself.
class PeerAddresses {
public:
    /// Both must outlive this.
    PeerAddresses(const Settings& settings, const Membership& membership)
        : settings_(settings), membership_(membership) {}

    /// Where a message goes: to the address that it names, else to its member. None: not known.
    std::optional<Udp::endpoint> udp(const Effects::Send& send) const;
    /// Where a member listens for messages. None: not known.
    std::optional<Udp::endpoint> udp(const std::string& name) const;
    /// Where a member listens for state exchanges. None: not known.
    std::optional<Tcp::endpoint> tcp(const std::string& name) const;

private:
    const Settings& settings_;
    const Membership& membership_;
};

}  // namespace mothring::cluster
