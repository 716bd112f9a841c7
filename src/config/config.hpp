/// @file
/// The platform's configuration (the JSON file that LB_CONFIG names), as typed values.
#pragma once

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/settings.hpp"
#include "config/site.hpp"
#include "net/address.hpp"
#include "net/clock.hpp"

namespace mothring::config {

/// Reports an invalid configuration; what() names the key.
struct ConfigError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// Stands for a start time that discovery reported as something other than a number.
constexpr Millis kUnreadableStart = -1;

constexpr std::size_t kDefaultSockets = 1024;
constexpr std::size_t kDefaultMemoryMb = 192;
constexpr Millis kDefaultConnectTimeout = 250;
constexpr Millis kDefaultIdleClose = 15000;
/// The platform counts longer deadlines as this one.
constexpr Millis kDefaultLongestDeadline = 3000;
constexpr Millis kDefaultDrainGrace = 800;

/// A server as discovery lists it.
struct DiscoveredServer {
    std::string id;
    net::Tcp::endpoint address;
    std::string zone;
    std::string kind;
    std::uint32_t cell = 0;
    EndpointState state = EndpointState::active;
    /// When the server last started, by the wall clock; 0: not reported.
    Millis started = 0;
};
/// A complete list of servers from discovery, or an update of one.
struct DiscoveryList {
    std::uint64_t version = 0;
    /// Whether the list has all servers rather than only those that changed.
    bool full = false;
    std::vector<DiscoveredServer> members;
};

/// The configuration of a sidecar.
struct Config {
    std::string name;
    net::Tcp::endpoint listen;
    net::Tcp::endpoint discovery;
    std::uint64_t seed = 0;
    /// The limit of open sockets.
    std::size_t sockets = kDefaultSockets;
    /// The limit of memory use.
    std::size_t memory_mb = kDefaultMemoryMb;
    /// The address that serves operators. None: operators are not served.
    std::optional<net::Tcp::endpoint> operators;
    std::optional<net::Udp::endpoint> peer_listen;
    std::vector<net::Udp::endpoint> peers;
    std::optional<net::Udp::endpoint> peers_all;
    /// The servers known when the sidecar starts.
    DiscoveryList known;
    Site site;
    Millis connect_timeout = kDefaultConnectTimeout;
    /// Connections idle for this long are closed.
    Millis idle_close = kDefaultIdleClose;
    /// The longest deadline of any request class; a planned restart waits no longer than this.
    Millis longest_deadline = kDefaultLongestDeadline;
    /// For this long after a drain is announced, requests may still be sent to the draining server.
    Millis drain_grace = kDefaultDrainGrace;
    /// Whether health checks are allowed.
    bool may_probe = false;
    /// Whether messages to other sidecars are allowed.
    bool may_tell = false;
    /// A rule that sends requests of a class with the same key to the same server.
    struct Affinity {
        /// The class that the rule applies to; "*": every class.
        std::string class_name;
        /// The header whose value is the key; empty: the path and query are the key.
        std::string header;
    };
    std::vector<Affinity> affinity;
    /// The membership among the sidecars. None: off.
    std::optional<cluster::Settings> cluster;
    /// Added to the clock, for experiments in the lab.
    Millis clock_skew = 0;
    /// Reads the wall clock; tests replace it to step the clock.
    net::ReadWallClock read_wall_clock = net::read_system_clock;
};

/// Reads the platform's configuration.
/// @throws ConfigError
Config read_config(std::string_view json);
/// Reads ADDRESS:PORT.
/// @param key  named in the error.
/// @throws ConfigError
net::Tcp::endpoint read_address(const std::string& text, const std::string& key);
/// Reads a server list from the JSON that discovery sends.
/// @throws ConfigError
DiscoveryList read_members(std::string_view json);

}  // namespace mothring::config
