/// @file
/// The settings of the membership.
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
    /// Where it listens, by UDP and by TCP; port 0: of the system's choice.
    Udp::endpoint bind;
    /// ADDRESS:PORT as told to others; absent: where it listens.
    std::optional<std::string> advertise;
    /// Members to join by.
    std::vector<Tcp::endpoint> seeds;
    /// The fleet's shared key, at least Codec::kShortestKey bytes.
    std::string key;
    /// Addresses of a member; absent: where it says that it listens.
    struct Route {
        std::optional<Udp::endpoint> udp;
        std::optional<Tcp::endpoint> tcp;
    };
    /// Members that are reached elsewhere than where they say that they listen, by name.
    std::map<std::string, Route> routes;
    Parameters parameters;
};

}  // namespace mothring::cluster
