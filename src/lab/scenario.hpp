/// @file
/// Lab scenario read from a TOML file. docs/lab.md lists every key with its unit and default.
#pragma once

#include <filesystem>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "lab/clients.hpp"
#include "lab/discovery.hpp"
#include "lab/relay.hpp"
#include "lab/scan_server.hpp"

namespace mothring::lab {

/// Kinds of faults. The relay applies the first four. The others affect processes, scan servers or discovery.
enum class FaultKind {
    partition,
    delay,
    drop,
    reset,
    kill,
    stop,
    drain,
    server,
    server_down,
    list,
    discovery
};
/// Returns the names of the fault kinds, in the order of the enum.
const std::vector<std::string_view>& fault_kinds();

struct Fault {
    FaultKind kind = FaultKind::partition;
    Millis at = 0;
    std::optional<Millis> length;  ///< duration; absent if the fault lasts until the end of the scenario
    /// Selectors of the nodes on the two sides of a relay fault. Other faults have their targets in `from`.
    std::vector<std::string> from, to;
    bool both_ways = true;
    Conditions conditions;  ///< of `delay` and `drop`
    /// `kill`, `drain`: delay from the signal to the restart, which also waits until the process has ended.
    std::optional<Millis> restart_after;
    /// `server`: the changes to the scan server's behaviour.
    std::optional<double> error_share, turn_away_share, reset_share, slow;
    std::optional<bool> silent;
    std::string state;                                               ///< `list`: Ready, Terminating or Gone
    DiscoveryStandIn::Mode mode = DiscoveryStandIn::Mode::refusing;  ///< of `discovery`
};

struct Scenario {
    std::string name;
    std::uint64_t seed = 1;
    Millis duration = 10000;
    std::vector<std::string> zones{"a"};
    std::size_t sidecars = 1, servers = 2;
    std::string sidecar_toml;  ///< text of [sidecars.options], copied into each sidecar's TOML file
    std::optional<Millis> cluster_period;  ///< membership's protocol period; absent if it is disabled
    double cluster_suspicion = 4;
    Millis clock_skew = 0;  ///< of the first `skewed` sidecars
    std::size_t skewed = 0;
    Behaviour behaviour;  ///< initial behaviour of each server
    std::vector<ClientClass> classes;
    double rate = 10;                ///< requests per second at each sidecar
    bool may_tell = true;            ///< whether sidecars may send each other messages
    bool must_subscribe = false;     ///< the setting membership-mode is on_request
    Millis discovery_service = 0.2;  ///< service time of a discovery call; calls are served one at a time
    std::vector<Fault> faults;       ///< sorted by start time

    // The nodes are the sidecars n1, n2, ..., the servers s1, s2, ... and discovery. Sidecars and servers are
    // assigned to the zones in round-robin order.
    std::string sidecar_name(std::size_t i) const { return std::string("n").append(std::to_string(i + 1)); }
    std::string server_name(std::size_t i) const { return std::string("s").append(std::to_string(i + 1)); }
    const std::string& zone(std::size_t i) const { return zones[i % zones.size()]; }
    /// Returns the names of the nodes that a selector matches. A selector is `*`, `sidecars`, `servers`,
    /// `discovery` or a node's name. A suffix `@ZONE` limits it to that zone; `@ZONE` alone selects all nodes
    /// of the zone. The result is empty if the selector matches no node.
    std::set<std::string> select(const std::string& selector) const;
    std::set<std::string> select(const std::vector<std::string>& selectors) const;
};

/// Parses a scenario. Throws config::ConfigError with the message "SOURCE:LINE: 'KEY' REASON".
Scenario read_scenario(std::string_view text, const std::filesystem::path& source);
Scenario load_scenario(const std::filesystem::path& path);

}  // namespace mothring::lab
