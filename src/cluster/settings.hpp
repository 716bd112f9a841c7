/// @file
/// Settings of the membership.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cluster/membership.hpp"

namespace mothring::cluster {

using Tcp = boost::asio::ip::tcp;
using Udp = boost::asio::ip::udp;

/// The [cluster] table of the options file.
struct Settings {
    /// Address to listen at by UDP and TCP; port 0 lets the system choose a port.
    Udp::endpoint bind;
    /// ADDRESS:PORT that is announced to other members; if absent, the listening address.
    std::optional<std::string> advertise;
    /// Members that are contacted to join the fleet.
    std::vector<Tcp::endpoint> seeds;
    /// The fleet's shared key, at least Codec::kMinKeyBytes long.
    std::string key;
    /// Addresses at which a member is reached; an absent one defaults to the address that the member
    /// announces.
    struct Route {
        std::optional<Udp::endpoint> udp;
        std::optional<Tcp::endpoint> tcp;
    };
    /// Routes by member name, for members that are reached at other addresses than those they announce.
    std::map<std::string, Route> routes;
    Parameters parameters;
};

}  // namespace mothring::cluster
