// The sidecar's log, through spdlog: one JSON object a line on standard error,
//   {"ts":"2026-12-01T21:00:00.123Z","level":"info","event":"part.what","sidecar":"NAME", ...fields}
// `ts` is UTC with milliseconds; `level` is spdlog's name (trace, debug, info, warning, error, critical);
// `event` is named `part.what` (see the layers' conventions); the fields are the event's own.
// A reader that has stopped (a full pipe) or a disk that is full does not hold up the caller: lines that find
// no room are dropped, and the first that finds some again is preceded by `log.dropped` with their number in
// `lines`.
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

// Sets the name every line carries and the least level written. Safe to call again (a reload); before
// the first call lines carry no name and the level is info.
void configure_log(std::string sidecar, LogLevel level);

// Writes one line if `level` is at or above the level set. `fields` must be a JSON object (anything
// else goes under "value"). Never throws: a line that can't be written is lost, not the caller's work.
void log(LogLevel level, std::string_view event, LogFields fields = LogFields::object());

// Whether lines of that level are written: asked first where the fields alone cost something.
bool is_logged(LogLevel level);

// A log for a hot path: at most one line each `every`; the lines passed over in between are counted in
// the next line's field "skipped". Single-threaded, as the sidecar's one io_context is.
class RateLimitedLog {
public:
    explicit RateLimitedLog(std::chrono::milliseconds every) : every_(every) {}
    void log(LogLevel level, std::string_view event, LogFields fields = LogFields::object());

private:
    std::chrono::milliseconds every_;
    std::chrono::steady_clock::time_point last_{};
    bool any_ = false;
    std::uint64_t skipped_ = 0;
};

// "trace", "debug", "info", "warn" or "warning", "error", "critical", "off"; nullopt for any other.
std::optional<LogLevel> parse_log_level(std::string_view name);

}  // namespace mothring::net
