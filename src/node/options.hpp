// What the sidecar takes from its own TOML file, beside the platform's JSON (LB_CONFIG, which wins where
// both say the same thing). One typed struct, one loader. The file's form, every key optional:
//
//   [platform]
//   config = "PATH"          # the platform's JSON where LB_CONFIG is not set; relative to the TOML file
//   [sidecar]
//   operator = "ADDR:PORT"   # the operators' address where neither the JSON nor LB_OPERATOR gives one
//   [log]
//   level = "info"           # trace, debug, info, warn, error, critical or off
//
// Absent file or absent keys: today's behaviour.
#pragma once

#include <filesystem>
#include <optional>
#include <string>
#include <string_view>

#include "node/config.hpp"
#include "node/log.hpp"

namespace mothring::node {

struct Options {
    std::optional<std::filesystem::path> platform_config;
    std::optional<Tcp::endpoint> operators;
    LogLevel log_level = LogLevel::info;
};

// Reads the TOML text of `source` (a file name, for errors and for relative paths). Throws ConfigError
// as "SOURCE:LINE: 'KEY' REASON" (the reason names the expected type where the type is wrong), and for
// keys it does not know, so that a misspelt key is not silently today's behaviour.
Options read_options(std::string_view text, const std::filesystem::path& source);

// The file at `path`; ConfigError where it can't be read.
Options load_options(const std::filesystem::path& path);

// The whole configuration of `run`: the platform's JSON (LB_CONFIG, else [platform] config), then
// LB_OPERATOR, then the options. ConfigError as above.
Config effective_config(const Options& options);

// The effective settings as one JSON object, for `check-config`.
std::string describe(const Config& config, const Options& options);

}  // namespace mothring::node
