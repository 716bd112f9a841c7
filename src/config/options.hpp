/// @file
/// The sidecar's own options file, in TOML, beside the platform's JSON (LB_CONFIG), which wins where both
/// have a setting. Every key is optional:
///
///   [platform]
///   config = "PATH"          # the platform's JSON where LB_CONFIG is not set; relative to the TOML file
///   [sidecar]
///   operator = "ADDR:PORT"   # the operators' address where neither the JSON nor LB_OPERATOR gives one
///   clock_skew_ms = 0        # added to the system's clock, for the lab
///   [log]
///   level = "info"           # trace, debug, info, warn, error, critical or off
///
///   [affinity]               # requests with one key go to one server; absent: off
///   bound = 1.25             # a server with more in flight than this times the mean is passed over
///   [[affinity.rules]]       # the first that fits: class ("*": any), key ("path" or "header:NAME")
///   [cluster]                # the membership among the sidecars (docs/cluster.md); absent: off
///   bind = "ADDR:PORT"       # datagrams, and TCP at the same port
///   key = "..."              # the fleet's shared key, 16 bytes or more; or key_file = "PATH"
///   seeds = ["ADDR:PORT"]    # members to join by
///   advertise = "ADDR:PORT"  # what others are told, where it is not `bind`
///   period_ms = 1000, suspicion = 4.0, indirect = 3, retransmit = 4
///   [[cluster.peers]]        # members that are reached elsewhere than where they say: name, udp, tcp
#pragma once

#include <filesystem>
#include <optional>
#include <string>
#include <string_view>

#include "config/config.hpp"
#include "net/log.hpp"

namespace mothring::config {

/// What the options file sets; absent: nothing.
struct Options {
    std::optional<std::filesystem::path> platform_config;
    /// Where operators call.
    std::optional<net::Tcp::endpoint> operators;
    net::LogLevel log_level = net::LogLevel::info;
    Millis clock_skew = 0;
    std::optional<cluster::Settings> cluster;
    std::vector<Config::Affinity> affinity;
    std::optional<double> affinity_load_bound;
};
/// The greatest clock skew: a day.
inline constexpr Millis kMostSkew = 24 * 3600 * 1000.0;

/// Reads the text of an options file.
/// @param source  the name of the file, for errors and relative paths.
/// @throws ConfigError "SOURCE:LINE: 'KEY' REASON"; also for a key that is not known, which may be misspelt.
Options read_options(std::string_view text, const std::filesystem::path& source);

/// Reads an options file.
/// @throws ConfigError as above, or where the file can't be read.
Options load_options(const std::filesystem::path& path);

/// The complete configuration of `run`: the platform's JSON (LB_CONFIG, else [platform] config), then
/// LB_OPERATOR, then the options.
/// @throws ConfigError as above.
Config effective_config(const Options& options);

/// The effective settings as a JSON object, for `check-config`.
std::string describe(const Config& config, const Options& options);
/// The same without a platform's configuration.
std::string describe(const Options& options);

/// Reads a file (options in a .toml, or the platform's JSON) as `run` does, and describes it.
/// @throws ConfigError as above.
std::string check_file(const std::filesystem::path& path);

}  // namespace mothring::config
