// What the sidecar takes from its own TOML file, beside the platform's JSON (LB_CONFIG, which wins where
// both say the same thing). One typed struct, one loader. The file's form, every key optional:
//
//   [platform]
//   config = "PATH"          # the platform's JSON where LB_CONFIG is not set; relative to the TOML file
//   [sidecar]
//   operator = "ADDR:PORT"   # the operators' address where neither the JSON nor LB_OPERATOR gives one
//   clock_skew_ms = 0        # added to the system's clock, for the lab: how it serves with a clock that is
//   off [log] level = "info"           # trace, debug, info, warn, error, critical or off
//
//   [affinity]               # requests with one key go to one server; absent: off
//   bound = 1.25             # a server with more of ours out than this times the mean passes the key on
//   [[affinity.rules]]       # the first that fits: class ("*": any), key ("path" or "header:NAME")
//   [cluster]                # the membership among the sidecars (docs/cluster.md); absent: off
//   bind = "ADDR:PORT"       # datagrams, and TCP at the same port
//   key = "..."              # the fleet's shared key, 16 bytes or more; or key_file = "PATH"
//   seeds = ["ADDR:PORT"]    # members to join by
//   advertise = "ADDR:PORT"  # what others are told, where it is not `bind`
//   period_ms = 1000, suspicion = 4.0, indirect = 3, retransmit = 4
//   [[cluster.peers]]        # members that are reached elsewhere than where they say: name, udp, tcp
//
// Absent file or absent keys: today's behaviour.
#pragma once

#include <filesystem>
#include <optional>
#include <string>
#include <string_view>

#include "config/config.hpp"
#include "net/log.hpp"

namespace mothring::config {

struct Options {
    std::optional<std::filesystem::path> platform_config;
    std::optional<net::Tcp::endpoint> operators;
    net::LogLevel log_level = net::LogLevel::info;
    Millis clock_skew = 0;
    std::optional<cluster::Settings> cluster;
    std::vector<Config::Affinity> affinity;
    std::optional<double> affinity_load_bound;
};
inline constexpr Millis kMostSkew = 24 * 3600 * 1000.0;

// Reads the TOML text of `source` (a file name, for errors and for relative paths). Throws ConfigError
// as "SOURCE:LINE: 'KEY' REASON" (the reason names the expected type where the type is wrong), and for
// keys it does not know, so that a misspelt key is not silently today's behaviour.
Options read_options(std::string_view text, const std::filesystem::path& source);

// The file at `path`; ConfigError where it can't be read.
Options load_options(const std::filesystem::path& path);

// The whole configuration of `run`: the platform's JSON (LB_CONFIG, else [platform] config), then
// LB_OPERATOR, then the options. ConfigError as above.
Config effective_config(const Options& options);

// The effective settings as one JSON object, for `check-config`; of the options alone where there is no
// platform's configuration to go with them.
std::string describe(const Config& config, const Options& options);
std::string describe(const Options& options);

// Reads `path` (a .toml, or the platform's JSON) as `run` would and describes it. ConfigError as above.
std::string check_file(const std::filesystem::path& path);

}  // namespace mothring::config
