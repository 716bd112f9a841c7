/// @file
/// The sidecar's log, written with spdlog: one JSON object a line on standard error,
///   {"ts":"2026-12-01T21:00:00.123Z","level":"info","event":"part.what","sidecar":"NAME", ...fields}
/// `ts` is UTC with milliseconds; `level` is spdlog's name (trace, debug, info, warning, error, critical);
/// `event` has the form `part.what`; the other fields depend on the event.
/// Logging never blocks the caller, even if the pipe is full because its reader has stopped, or the disk is
/// full. Lines that can't be written then are dropped. Before the next line that can be written comes a
/// `log.dropped` event with the number of dropped lines in `lines`.
#pragma once

#include <spdlog/common.h>

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace mothring::net {

using LogFields = nlohmann::json;
using LogLevel = spdlog::level::level_enum;

/// Sets the sidecar's name that each line contains and the lowest level that is written. May be called again
/// when the configuration is reloaded. Before the first call the name is empty and the level is info.
void configure_log(std::string sidecar, LogLevel level);

/// Writes one line if `level` is at or above the configured level. `fields` should be a JSON object; any
/// other value is written as the field "value". Never throws, so that a failure to log does not abort the
/// caller's work; the line is lost then.
void log(LogLevel level, std::string_view event, LogFields fields = LogFields::object());

/// Returns whether lines of that level are written. Callers check it before they build expensive fields.
bool is_logged(LogLevel level);

/// A log for hot paths that writes at most one line per interval. The next line that is written states the
/// number of suppressed lines in its field "skipped". Not thread-safe, as the sidecar has one io_context.
class RateLimitedLog {
public:
    /// @param every  the minimum interval between two lines.
    explicit RateLimitedLog(std::chrono::milliseconds every) : every_(every) {}
    void log(LogLevel level, std::string_view event, LogFields fields = LogFields::object());

private:
    std::chrono::milliseconds every_;
    std::chrono::steady_clock::time_point last_{};
    bool any_ = false;
    std::uint64_t skipped_ = 0;
};

/// Parses "trace", "debug", "info", "warn" or "warning", "error", "critical" or "off". Returns nullopt for
/// any other name.
std::optional<LogLevel> parse_log_level(std::string_view name);

}  // namespace mothring::net
