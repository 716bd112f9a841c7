// The configuration that LB_CONFIG names, typed. What is wrong with it is thrown as ConfigError, naming the
// key.
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

struct ConfigError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// In the place of a reported start that is no number.
constexpr Millis kUnreadableStart = -1;

// A server as discovery tells of it.
struct DiscoveredServer {
    std::string id;
    net::Tcp::endpoint address;
    std::string zone;
    std::string kind;
    std::uint32_t cell = 0;
    EndpointState state = EndpointState::active;
    Millis started = 0;
};
struct DiscoveryList {
    std::uint64_t version = 0;
    bool full = false;
    std::vector<DiscoveredServer> members;
};

struct Config {
    std::string name;
    net::Tcp::endpoint listen;
    net::Tcp::endpoint discovery;
    std::uint64_t seed = 0;
    std::size_t sockets = 1024;
    std::size_t memory_mb = 192;
    std::optional<net::Tcp::endpoint> operators;  // where they call; none: nowhere
    std::optional<net::Udp::endpoint> peer_listen;
    std::vector<net::Udp::endpoint> peers;
    std::optional<net::Udp::endpoint> peers_all;
    DiscoveryList known;
    Site site;
    // Of the settings, what the sockets need and the module does not.
    Millis connect_timeout = 250;
    Millis idle_close = 15000;
    Millis longest_deadline = 3000;  // of any class, as far as a planned restart waits for it
    Millis drain_grace = 800;        // for so long sends may go on after a drain was told
    bool may_probe = false;
    bool may_tell = false;
    // Classes whose requests with one key go to one server, and what the key is.
    struct Affinity {
        std::string class_name;  // "*": every class
        std::string header;      // whose value is the key; empty: the path and query are
    };
    std::vector<Affinity> affinity;
    std::optional<cluster::Settings> cluster;  // none: the sidecars share nothing
    Millis clock_skew = 0;                     // by which this process's clock is off, on purpose
    net::ReadWallClock read_wall_clock = net::read_system_clock;  // tests step it
};

Config read_config(std::string_view json);
// ADDRESS:PORT; throws ConfigError naming the key.
net::Tcp::endpoint read_address(const std::string& text, const std::string& key);
// Discovery's form of a list; throws ConfigError.
DiscoveryList read_members(std::string_view json);

}  // namespace mothring::config
