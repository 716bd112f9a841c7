// A lab scenario, typed, from a TOML file (docs/lab.md has every key with its unit and default).
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

// What the timeline can do. The first group goes through the relay, the second to processes and stand-ins.
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
const std::vector<std::string_view>& fault_kinds();  // their names, in that order

struct Fault {
    FaultKind kind = FaultKind::partition;
    Millis at = 0;
    std::optional<Millis> length;       // until it is lifted; absent: to the end
    std::vector<std::string> from, to;  // relay: selectors; else `from` alone, the targets
    bool both_ways = true;
    Conditions conditions;                // delay, drop
    std::optional<Millis> restart_after;  // kill, drain: started again so long after it ended
    // server: what changes of its behaviour.
    std::optional<double> error_share, turn_away_share, reset_share, slow;
    std::optional<bool> silent;
    std::string state;                                               // list: Ready, Terminating, Gone
    DiscoveryStandIn::Mode mode = DiscoveryStandIn::Mode::refusing;  // discovery
};

struct Scenario {
    std::string name;
    std::uint64_t seed = 1;
    Millis duration = 10000;
    std::vector<std::string> zones{"a"};
    std::size_t sidecars = 1, servers = 2;
    std::string sidecar_toml;              // the text of [sidecars.options], for each sidecar's own TOML file
    std::optional<Millis> cluster_period;  // of the membership; none: it is off
    double cluster_suspicion = 4;
    Millis clock_skew = 0;  // of the first `skewed` sidecars
    std::size_t skewed = 0;
    Behaviour behaviour;  // of each server to begin with
    std::vector<ClientClass> classes;
    double rate = 10;                // requests a second at each sidecar
    bool may_tell = true;            // whether sidecars may send each other messages
    bool must_subscribe = false;     // membership-mode
    Millis discovery_service = 0.2;  // one call's time; calls take turns
    std::vector<Fault> faults;       // by time

    // The nodes: sidecars n1, n2, ...; servers s1, s2, ...; discovery. Sidecars and servers are dealt over
    // the zones in turn.
    std::string sidecar_name(std::size_t i) const { return std::string("n").append(std::to_string(i + 1)); }
    std::string server_name(std::size_t i) const { return std::string("s").append(std::to_string(i + 1)); }
    const std::string& zone(std::size_t i) const { return zones[i % zones.size()]; }
    // The nodes that a selector names: `*`, `sidecars`, `servers`, `discovery` or a node's name, each with
    // `@ZONE` behind it for those of that zone only (`@ZONE` alone: all of them). Empty: it names none.
    std::set<std::string> select(const std::string& selector) const;
    std::set<std::string> select(const std::vector<std::string>& selectors) const;
};

// Throws config::ConfigError as "SOURCE:LINE: 'KEY' REASON".
Scenario read_scenario(std::string_view text, const std::filesystem::path& source);
Scenario load_scenario(const std::filesystem::path& path);

}  // namespace mothring::lab
