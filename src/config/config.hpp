/// @file
/// The configuration that LB_CONFIG names, typed.
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

/// What is wrong with a configuration; what() names the key.
struct ConfigError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// In the place of a reported start that is not a number.
constexpr Millis kUnreadableStart = -1;

constexpr std::size_t kDefaultSockets = 1024;
constexpr std::size_t kDefaultMemoryMb = 192;
constexpr Millis kDefaultConnectTimeout = 250;
constexpr Millis kDefaultIdleClose = 15000;
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
    Millis started = 0;
};
/// A list of servers from discovery.
struct DiscoveryList {
    std::uint64_t version = 0;
    /// Whether it has all servers; else only those that changed.
    bool full = false;
    std::vector<DiscoveredServer> members;
};

/// The configuration of a sidecar.
struct Config {
    std::string name;
    net::Tcp::endpoint listen;
    net::Tcp::endpoint discovery;
    std::uint64_t seed = 0;
    /// Limit of sockets.
    std::size_t sockets = kDefaultSockets;
    /// Limit of memory.
    std::size_t memory_mb = kDefaultMemoryMb;
    /// Where operators call. None: nowhere.
    std::optional<net::Tcp::endpoint> operators;
    std::optional<net::Udp::endpoint> peer_listen;
    std::vector<net::Udp::endpoint> peers;
    std::optional<net::Udp::endpoint> peers_all;
    /// The servers known at the start.
    DiscoveryList known;
    Site site;
    Millis connect_timeout = kDefaultConnectTimeout;
    /// Idle connections are closed after it.
    Millis idle_close = kDefaultIdleClose;
    /// Of any class, as far as a planned restart waits for it.
    Millis longest_deadline = kDefaultLongestDeadline;
    /// For so long after the notice of a drain requests may still be sent.
    Millis drain_grace = kDefaultDrainGrace;
    /// Whether health checks are allowed.
    bool may_probe = false;
    /// Whether messages to other sidecars are allowed.
    bool may_tell = false;
    /// Requests of a class with the same key go to the same server.
    struct Affinity {
        /// "*": every class.
        std::string class_name;
        /// The header whose value is the key; empty: the path and query are.
        std::string header;
    };
    std::vector<Affinity> affinity;
    /// None: the sidecars share nothing.
    std::optional<cluster::Settings> cluster;
    /// Added to the clock, for experiments.
    Millis clock_skew = 0;
    /// The wall clock, which tests step.
    net::ReadWallClock read_wall_clock = net::read_system_clock;
};

/// Reads the platform's configuration.
/// @throws ConfigError
Config read_config(std::string_view json);
/// Reads ADDRESS:PORT.
/// @param key  for the error.
/// @throws ConfigError
net::Tcp::endpoint read_address(const std::string& text, const std::string& key);
/// Reads a list in discovery's form.
/// @throws ConfigError
DiscoveryList read_members(std::string_view json);

}  // namespace mothring::config
