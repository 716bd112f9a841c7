/// @file
/// Runs a child process of the lab in its own process group. The kernel kills the child when the thread that
/// started it ends, and the owner reaps it. The child's output, one JSON object per line, is appended to a
/// file and passed on as events.
#pragma once

#include <sys/types.h>

#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/streambuf.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "lab/asio.hpp"

namespace mothring::lab {

/// Resource usage of a process.
struct Usage {
    double cpu_s = 0;  ///< User and system time in seconds.
    std::uint64_t memory_kb =
        0;  ///< Resident memory: current value for a running child, otherwise the maximum.
};
/// Returns the usage of this process so far.
Usage own_usage();

/// A child process, whose log lines are reported as events.
class Child {
public:
    using OnEvent = std::function<void(const nlohmann::json&)>;
    /// Starts `argv` with `environment` added to the caller's environment, and appends the child's output to
    /// `log`. The calling thread must outlive the child, because the kernel kills the child when that thread
    /// ends. Throws std::system_error.
    Child(asio::io_context& io, const std::vector<std::string>& argv,
          const std::map<std::string, std::string>& environment, const std::filesystem::path& log,
          OnEvent on_event);
    /// Sends SIGKILL to the process group of a running child and reaps the child.
    ~Child();
    Child(const Child&) = delete;
    Child& operator=(const Child&) = delete;

    pid_t pid() const { return pid_; }
    bool running() const { return !status_; }
    void signal(int number) const;
    /// Returns the wait status once the child has ended.
    std::optional<int> status() const { return status_; }
    Usage usage() const;

private:
    struct Output;
    void reap();

    pid_t pid_ = -1;
    std::optional<int> status_;
    Usage final_usage_;  ///< Usage that the kernel reported when the child was reaped.
    std::shared_ptr<Output> output_;
};

}  // namespace mothring::lab
