#include "node/log.hpp"

#include <spdlog/logger.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <memory>
#include <optional>

namespace mothring::node {

namespace {

struct Log {
    std::shared_ptr<spdlog::logger> logger;
    std::string sidecar;
    Log()
        : logger(std::make_shared<spdlog::logger>("mothring",
                                                  std::make_shared<spdlog::sinks::stderr_sink_mt>())) {
        // The time and level by spdlog; the rest of the object is the message, written by nlohmann.
        logger->set_formatter(std::make_unique<spdlog::pattern_formatter>(
            R"({"ts":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%v})", spdlog::pattern_time_type::utc));
        logger->set_level(spdlog::level::info);
        logger->flush_on(spdlog::level::trace);  // a line is written whole before the process may die
    }
};

Log& the_log() {
    static Log log;
    return log;
}

}  // namespace

void log_start(std::string sidecar, LogLevel level) {
    Log& log = the_log();
    log.sidecar = std::move(sidecar);
    log.logger->set_level(level);
}

bool logs(LogLevel level) { return the_log().logger->should_log(level); }

void log(LogLevel level, std::string_view event, LogFields fields) {
    if (!logs(level)) return;
    Log& log = the_log();
    try {
        LogFields line = LogFields::object();
        line["event"] = event;
        line["sidecar"] = log.sidecar;
        if (fields.is_object())
            for (auto& [key, value] : fields.items()) line[key] = std::move(value);
        else if (!fields.is_null())
            line["value"] = std::move(fields);
        std::string text = line.dump(-1, ' ', false, LogFields::error_handler_t::replace);
        log.logger->log(level, std::string_view(text).substr(1, text.size() - 2));
    } catch (...) {  // the line is lost, not the work that wanted it
    }
}

void LogLimit::log(LogLevel level, std::string_view event, LogFields fields) {
    const auto now = std::chrono::steady_clock::now();
    if (any_ && now - last_ < every_) {
        ++skipped_;
        return;
    }
    any_ = true;
    last_ = now;
    if (skipped_ && fields.is_object()) fields["skipped"] = std::exchange(skipped_, 0);
    node::log(level, event, std::move(fields));
}

std::optional<LogLevel> log_level(std::string_view name) {
    if (name == "warn") return spdlog::level::warn;
    const LogLevel level = spdlog::level::from_str(std::string(name));
    if (level == spdlog::level::off && name != "off") return std::nullopt;
    return level;
}

}  // namespace mothring::node
