#include "net/log.hpp"

#include <fcntl.h>
#include <spdlog/logger.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/base_sink.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <climits>
#include <memory>
#include <mutex>
#include <optional>

#include "net/socket_errors.hpp"

namespace mothring::net {

namespace {

/// Writes to standard error without blocking, even if its reader has stopped. The flags of descriptor 2 stay
/// unchanged, because other processes may share its open file description.
class ErrorOutput {
public:
    ErrorOutput() {
        struct stat status {};
        if (::fstat(STDERR_FILENO, &status) != 0) return;
        if (S_ISSOCK(status.st_mode)) way_ = Way::socket;
        if (!S_ISFIFO(status.st_mode) && !S_ISCHR(status.st_mode)) return;
        own_ = ::open("/proc/self/fd/2", O_WRONLY | O_NONBLOCK | O_NOCTTY | O_CLOEXEC);
        way_ = own_ >= 0 ? Way::own : Way::polled;
    }
    ~ErrorOutput() {
        if (own_ >= 0) ::close(own_);
    }
    ErrorOutput(const ErrorOutput&) = delete;
    ErrorOutput& operator=(const ErrorOutput&) = delete;

    /// Returns how many bytes were written. That is less than the size of `bytes` if the output would block
    /// or fails.
    std::size_t write(std::string_view bytes) {
        std::size_t written = 0;
        while (written < bytes.size()) {
            const ssize_t count = write_some(bytes.substr(written));
            if (count <= 0) break;
            written += static_cast<std::size_t>(count);
        }
        return written;
    }

private:
    enum class Way {
        file,    // a file, whose writes don't wait for a reader
        own,     // a non-blocking open file description of this process
        socket,  // non-blocking send calls
        polled,  // a pipe or terminal that could not be reopened; polled before each write
    };

    ssize_t write_some(std::string_view bytes) const {
        if (way_ == Way::own) return ::write(own_, bytes.data(), bytes.size());
        if (way_ == Way::socket)
            return ::send(STDERR_FILENO, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        if (way_ == Way::file) return ::write(STDERR_FILENO, bytes.data(), bytes.size());
        if ((poll_events(STDERR_FILENO, POLLOUT) & POLLOUT) == 0) return -1;
        return ::write(STDERR_FILENO, bytes.data(), std::min<std::size_t>(bytes.size(), PIPE_BUF));
    }

    Way way_ = Way::file;
    int own_ = -1;
};

/// Writes complete lines in order, and drops and counts those that don't fit. If a pipe or disk becomes full
/// in the middle of a line, the rest of the line is written before the next one.
class Sink final : public spdlog::sinks::base_sink<std::mutex> {
public:
    std::uint64_t dropped() const { return dropped_; }
    void set_dropped(std::uint64_t lines) { dropped_ = lines; }

private:
    void sink_it_(const spdlog::details::log_msg& message) override {
        rest_.erase(0, output_.write(rest_));
        if (!rest_.empty()) {
            ++dropped_;
            return;
        }
        spdlog::memory_buf_t line;
        formatter_->format(message, line);
        const std::string_view bytes(line.data(), line.size());
        const std::size_t written = output_.write(bytes);
        if (written == 0)
            ++dropped_;
        else
            rest_ = bytes.substr(written);
    }
    void flush_() override {}

    ErrorOutput output_;
    std::string rest_;
    std::uint64_t dropped_ = 0;
};

struct Log {
    std::shared_ptr<Sink> sink = std::make_shared<Sink>();
    std::shared_ptr<spdlog::logger> logger = std::make_shared<spdlog::logger>("mothring", sink);
    std::string sidecar;
    Log() {
        // spdlog writes the time and level; the message holds the other fields, serialized by nlohmann.
        logger->set_formatter(std::make_unique<spdlog::pattern_formatter>(
            R"({"ts":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%v})", spdlog::pattern_time_type::utc));
        logger->set_level(spdlog::level::info);
    }
};

Log& the_log() {
    static Log log;
    return log;
}

void write(Log& log, LogLevel level, std::string_view event, LogFields fields) {
    LogFields line = LogFields::object();
    line["event"] = event;
    line["sidecar"] = log.sidecar;
    if (fields.is_object())
        for (auto& [key, value] : fields.items()) line[key] = std::move(value);
    else if (!fields.is_null())
        line["value"] = std::move(fields);
    const std::string text = line.dump(-1, ' ', false, LogFields::error_handler_t::replace);
    log.logger->log(level, std::string_view(text).substr(1, text.size() - 2));
}

/// Logs the number of dropped lines, if any, as soon as a line can be written again.
void report_dropped(Log& log, LogLevel level) {
    const std::uint64_t dropped = log.sink->dropped();
    if (dropped == 0) return;
    write(log, level, "log.dropped", {{"lines", dropped}});
    const bool is_reported = log.sink->dropped() == dropped;
    log.sink->set_dropped(is_reported ? 0 : dropped);
}

}  // namespace

void configure_log(std::string sidecar, LogLevel level) {
    Log& log = the_log();
    log.sidecar = std::move(sidecar);
    log.logger->set_level(level);
}

bool is_logged(LogLevel level) { return the_log().logger->should_log(level); }

void log(LogLevel level, std::string_view event, LogFields fields) {
    if (!is_logged(level)) return;
    Log& log = the_log();
    try {
        report_dropped(log, level);
        write(log, level, event, std::move(fields));
    } catch (...) {  // the line is lost; the caller's work continues
    }
}

void RateLimitedLog::log(LogLevel level, std::string_view event, LogFields fields) {
    const auto now = std::chrono::steady_clock::now();
    if (any_ && now - last_ < every_) {
        ++skipped_;
        return;
    }
    any_ = true;
    last_ = now;
    if (skipped_ && fields.is_object()) fields["skipped"] = std::exchange(skipped_, 0);
    net::log(level, event, std::move(fields));
}

std::optional<LogLevel> parse_log_level(std::string_view name) {
    if (name == "warn") return spdlog::level::warn;
    const LogLevel level = spdlog::level::from_str(std::string(name));
    if (level == spdlog::level::off && name != "off") return std::nullopt;
    return level;
}

}  // namespace mothring::net
