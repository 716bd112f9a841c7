// A child process of the lab: in a process group of its own, killed by the kernel when the lab's thread that
// started it dies, and reaped by its owner. What it writes to standard error, one JSON object a line, is
// kept in a file and given on as events.
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

struct Usage {
    double cpu_s = 0;             // user and system, in seconds
    std::uint64_t memory_kb = 0;  // the most resident
};
// Of this process so far.
Usage own_usage();

class Child {
public:
    using OnEvent = std::function<void(const nlohmann::json&)>;
    // Starts `argv` with `environment` added to the caller's. Must be called on a thread that lives as long
    // as the child is to. Lines go to `log`, appended. Throws std::system_error.
    Child(asio::io_context& io, const std::vector<std::string>& argv,
          const std::map<std::string, std::string>& environment, const std::filesystem::path& log,
          OnEvent on_event);
    ~Child();  // SIGKILL to its group, and reaped
    Child(const Child&) = delete;
    Child& operator=(const Child&) = delete;

    pid_t pid() const { return pid_; }
    bool running() const { return !status_; }
    void signal(int number) const;
    // Its wait status, once it has ended.
    std::optional<int> status() const { return status_; }
    Usage usage() const;

private:
    struct Output;
    void ended();

    pid_t pid_ = -1;
    std::optional<int> status_;
    Usage last_;  // what the kernel told when it was reaped
    std::shared_ptr<Output> output_;
};

}  // namespace mothring::lab
