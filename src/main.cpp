/// @file
/// The command line (CLI11):
///   mothring [run [--config FILE.toml]]   the sidecar; with no subcommand it reads LB_CONFIG as always
///   mothring check-config FILE            validates a TOML or the platform's JSON file, prints the settings
///   mothring lab SCENARIO.toml --out DIR  an experiment, by the program mothring_lab beside this one
///   mothring version
#include <fcntl.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstring>
#include <filesystem>
#include <functional>
#include <iostream>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "config/config.hpp"
#include "config/options.hpp"
#include "net/log.hpp"
#include "net/socket_errors.hpp"
#include "node/sidecar.hpp"

namespace {

namespace config = mothring::config;
namespace net = mothring::net;
namespace node = mothring::node;

config::Options options_at(const std::optional<std::filesystem::path>& path) {
    return path ? config::load_options(*path) : config::Options{};
}

// Standard descriptors that the platform left closed would be the numbers of the first sockets, and what is
// written to standard error would go out there.
void open_standard_descriptors() {
    for (const int number : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO})
        if (::fcntl(number, F_GETFD) < 0 && ::open("/dev/null", O_RDWR) < 0) return;
}

int not_started(const std::exception& error) {
    std::cerr << "mothring: " << error.what() << '\n';
    return 1;
}

// Calls `handle` at each SIGHUP.
void on_each_reload(boost::asio::signal_set& reload, const std::function<void()>& handle) {
    reload.async_wait([&reload, handle](boost::system::error_code failed, int) {
        if (failed) return;
        on_each_reload(reload, handle);
        handle();
    });
}

// A configuration that can't be read changes nothing.
void reconfigure(node::Sidecar& sidecar, const std::optional<std::filesystem::path>& options_path) {
    try {
        const config::Options options = options_at(options_path);
        sidecar.reconfigure(config::effective_config(options));
    } catch (const std::exception& error) {
        net::log(net::LogLevel::err, "config.reload_failed", {{"error", error.what()}});
    }
}

// What one connection throws does not end the others.
void run_until_stopped(boost::asio::io_context& io, node::Sidecar& sidecar) {
    while (!io.stopped()) {
        try {
            io.run();
        } catch (const std::exception& error) {
            net::log(net::LogLevel::err, "io.failed", {{"error", error.what()}});
            sidecar.handle_failure();
        }
    }
}

// Throws where it can't start.
void serve(const std::optional<std::filesystem::path>& options_path) {
    const config::Options options = options_at(options_path);
    config::Config config = config::effective_config(options);
    net::configure_log(config.name, options.log_level);
    boost::asio::io_context io(1);
    // Before anything listens: from then on a signal may come, and its default action would end the process.
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    boost::asio::signal_set reload(io, SIGHUP);
    node::Sidecar sidecar(io, std::move(config));
    signals.async_wait([&](boost::system::error_code failed, int) {
        if (!failed) sidecar.drain([&] { io.stop(); });
    });
    on_each_reload(reload, [&] { reconfigure(sidecar, options_path); });
    run_until_stopped(io, sidecar);
}

// A start that is short of descriptors or memory is retried for 5 s in all: half of the time within which
// most sidecars have to be ready (STANDING, "Pass or fail").
constexpr int kMaxStartAttempts = 100;
constexpr std::chrono::milliseconds kStartRetryDelay(50);

int run(const std::optional<std::filesystem::path>& options_path) {
    open_standard_descriptors();
    std::signal(SIGPIPE, SIG_IGN);  // whoever reads the log may go
    for (int attempt = 1;; ++attempt) {
        try {
            serve(options_path);
            return 0;
        } catch (const boost::system::system_error& error) {
            if (!net::is_resource_shortage(error.code()) || attempt == kMaxStartAttempts)
                return not_started(error);
            net::log(net::LogLevel::warn, "start.put_off", {{"error", error.what()}});
            std::this_thread::sleep_for(kStartRetryDelay);
        } catch (const std::exception& error) {
            return not_started(error);
        }
    }
}

// Exit 0 with the effective settings on standard output; 2 with the key and reason on standard error.
int check_config(const std::filesystem::path& path) {
    try {
        std::cout << config::check_file(path) << '\n';
        return 0;
    } catch (const std::exception& error) {
        std::cerr << "mothring: " << error.what() << '\n';  // the TOML's errors start with file and line
        return 2;
    }
}

// The lab is a program of its own beside this one, so that nothing of it is part of `run`.
int lab(std::vector<std::string> words) {
    const std::string program =
        (std::filesystem::read_symlink("/proc/self/exe").parent_path() / "mothring_lab").string();
    words.insert(words.begin(), program);
    std::vector<char*> argv;
    argv.reserve(words.size() + 1);
    for (std::string& word : words) argv.push_back(word.data());
    argv.push_back(nullptr);
    ::execv(program.c_str(), argv.data());
    std::cerr << "mothring: " << program << ": " << std::strerror(errno) << " (built with MOTHRING_LAB=ON)\n";
    return 2;
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app("mothring: a client-side load balancer (a sidecar) in front of the scan servers");
    app.require_subcommand(0, 1);

    std::optional<std::filesystem::path> options_path;
    CLI::App* run_command =
        app.add_subcommand("run", "Run the sidecar (LB_CONFIG names the platform's JSON)");
    run_command->add_option("--config", options_path, "The sidecar's TOML file")->check(CLI::ExistingFile);

    std::filesystem::path checked;
    CLI::App* check_command = app.add_subcommand(
        "check-config", "Validate a TOML or platform JSON file and print the effective settings");
    check_command->add_option("FILE", checked, "The file to check")->required();

    CLI::App* lab_command = app.add_subcommand("lab", "Play a scenario against a fleet of sidecars");
    lab_command->prefix_command();
    lab_command->set_help_flag();

    CLI::App* version_command = app.add_subcommand("version", "Print the version");

    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? 0 : 2;
    }
    if (*check_command) return check_config(checked);
    if (*lab_command) return lab(lab_command->remaining());
    if (*version_command) {
        std::cout << "mothring " << MOTHRING_VERSION << '\n';
        return 0;
    }
    return run(options_path);  // `run`, or no subcommand: today's sidecar
}
