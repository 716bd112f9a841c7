/// @file
/// The sidecar's own options file, in TOML. It supplements the platform's JSON (LB_CONFIG), which takes
/// precedence if both have a setting. Every key is optional:
///
///   [platform]
///   config = "PATH"          # the platform's JSON if LB_CONFIG is not set; relative to the TOML file
///   [sidecar]
///   operator = "ADDR:PORT"   # the operators' address if neither the JSON nor LB_OPERATOR gives one
///   clock_skew_ms = 0        # added to the system's clock, for the lab
///   [log]
///   level = "info"           # trace, debug, info, warn, error, critical or off
///
///   [affinity]               # sends requests with the same key to the same server; absent: off
///   bound = 1.25             # a server with more in flight than this multiple of the mean is skipped
///   [[affinity.rules]]       # the first match applies: class ("*": any), key ("path" or "header:NAME")
///   [cluster]                # the membership among the sidecars (docs/cluster.md); absent: off
///   bind = "ADDR:PORT"       # for datagrams, and for TCP at the same port
///   key = "..."              # the fleet's shared key, 16 bytes or more; or key_file = "PATH"
///   seeds = ["ADDR:PORT"]    # members to contact first when joining
///   advertise = "ADDR:PORT"  # the address sent to other members, if it is not `bind`
///   period_ms = 1000, suspicion = 4.0, indirect = 3, retransmit = 4
///   [[cluster.peers]]        # members reached at other addresses than they advertise: name, udp, tcp
#pragma once

#include <filesystem>
#include <optional>
#include <string>
#include <string_view>

#include "config/config.hpp"
#include "net/log.hpp"

namespace mothring::config {

/// The values of the options file, with defaults for absent keys.
struct Options {
    std::optional<std::filesystem::path> platform_config;
    /// The address that serves operators.
    std::optional<net::Tcp::endpoint> operators;
    net::LogLevel log_level = net::LogLevel::info;
    Millis clock_skew = 0;
    std::optional<cluster::Settings> cluster;
    std::vector<Config::Affinity> affinity;
    std::optional<double> affinity_load_bound;
};
/// The largest clock skew that can be set, a day.
inline constexpr Millis kMostSkew = 24 * 3600 * 1000.0;

/// Reads the text of an options file.
/// @param source  the name of the file, for errors and relative paths.
/// @throws ConfigError "SOURCE:LINE: 'KEY' REASON"; also for an unknown key, as it may be misspelt.
Options read_options(std::string_view text, const std::filesystem::path& source);

/// Reads an options file.
/// @throws ConfigError as read_options() does, or if the file can't be read.
Options load_options(const std::filesystem::path& path);

/// Returns the complete configuration of `run`. The platform's JSON (LB_CONFIG, else [platform] config) takes
/// precedence over LB_OPERATOR, and that over the options.
/// @throws ConfigError as load_options() does, or for invalid JSON or an invalid affinity rule.
Config effective_config(const Options& options);

/// Formats the effective settings as a JSON object, for `check-config`.
std::string describe(const Config& config, const Options& options);
/// Formats the settings of an options file for which there is no platform's configuration.
std::string describe(const Options& options);

/// Reads a file (options in a .toml, or the platform's JSON) as `run` does, and formats its settings.
/// @throws ConfigError as effective_config() does.
std::string check_file(const std::filesystem::path& path);

}  // namespace mothring::config
