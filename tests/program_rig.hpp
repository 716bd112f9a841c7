/// @file
/// Starts and stops the program in a separate process, as the platform does.
#pragma once

#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <list>
#include <string>
#include <system_error>

#include "net_rig.hpp"
#include "program_path.hpp"

namespace mothring::node::test {

struct Program : testing::Test {
    std::filesystem::path folder =
        std::filesystem::temp_directory_path() / ("whinledge-test-" + std::to_string(::getpid()));
    std::filesystem::path temporary_folder = folder;  // the $TMPDIR of the program
    Program() { std::filesystem::create_directories(folder); }
    ~Program() override { std::filesystem::remove_all(folder); }

    /// Returns a free port for the program to listen on. The port stays bound here until the test ends, so
    /// that the system assigns it to no other process; only the program listens on it.
    net::Tcp::endpoint free_address() {
        net::Tcp::acceptor& port = ports.emplace_back(ports_io, any_port.protocol());
        port.set_option(asio::socket_base::reuse_address(true));
        port.set_option(asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>(true));
        port.bind(any_port);
        return port.local_endpoint();
    }
    asio::io_context ports_io;
    std::list<net::Tcp::acceptor> ports;

    /// Starts the program with its log in a file.
    pid_t start(const std::string& config, const std::string& log = "log") {
        return start_with(config,
                          [&] { return std::freopen((folder / log).c_str(), "w", stderr) != nullptr; });
    }
    /// Starts the program. The new process runs `set_up` before.
    pid_t start_with(const std::string& config, const std::function<bool()>& set_up) {
        std::ofstream(folder / "config.json") << config;
        const pid_t child = ::fork();
        if (child < 0) throw std::system_error(errno, std::generic_category(), "fork");
        if (child != 0) return child;
        ::setenv("LB_CONFIG", (folder / "config.json").c_str(), 1);
        ::setenv("TMPDIR", temporary_folder.c_str(), 1);
        if (!set_up()) ::_exit(126);
        for (int file = 3; file < 1024; ++file) ::close(file);  // don't inherit connections
        ::execl(mothring::test::program_path(), mothring::test::program_path(), static_cast<char*>(nullptr));
        ::_exit(127);
    }
    /// Returns how many lines of the log have that event.
    std::size_t count_logged(const std::string& log, const std::string& event) const {
        std::ifstream lines(folder / log);
        std::size_t count = 0;
        for (std::string line; std::getline(lines, line);)
            count += line.find("\"event\":\"" + event + "\"") != std::string::npos;
        return count;
    }
    /// Runs `mothring check-config FILE` on a TOML text and returns the exit status.
    int check_config(const std::string& toml) {
        std::ofstream(folder / "sidecar.toml") << toml;
        const pid_t child = ::fork();
        if (child != 0) return exit_status_of(child);
        ::unsetenv("LB_CONFIG");
        if (!std::freopen((folder / "log").c_str(), "w", stderr)) ::_exit(126);
        if (!std::freopen("/dev/null", "w", stdout)) ::_exit(126);
        ::execl(mothring::test::program_path(), mothring::test::program_path(), "check-config",
                (folder / "sidecar.toml").c_str(), static_cast<char*>(nullptr));
        ::_exit(127);
    }
    /// Waits for the end of the process and returns its exit status; -1 if a signal ended it.
    static int exit_status_of(pid_t child) {
        int status = 0;
        ::waitpid(child, &status, 0);
        return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }
};

}  // namespace mothring::node::test
