/// @file
/// Addresses of the other members.
#pragma once

#include <optional>
#include <string>

#include "cluster/membership.hpp"
#include "cluster/settings.hpp"

namespace mothring::cluster {

/// Finds the address of a member: a configured route, or else the address in the claim about the member.
class PeerAddresses {
public:
    /// Both references must outlive this object.
    PeerAddresses(const Settings& settings, const Membership& membership)
        : settings_(settings), membership_(membership) {}

    /// Returns the address to send a message to: the address that the message names, or else that of its
    /// receiver. None if it is unknown.
    std::optional<Udp::endpoint> udp(const Effects::Send& send) const;
    /// Returns the address at which a member receives messages, or none if it is unknown.
    std::optional<Udp::endpoint> udp(const std::string& name) const;
    /// Returns the address at which a member accepts state exchanges, or none if it is unknown.
    std::optional<Tcp::endpoint> tcp(const std::string& name) const;

private:
    const Settings& settings_;
    const Membership& membership_;
};

}  // namespace mothring::cluster
