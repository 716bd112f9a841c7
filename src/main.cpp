/// @file
/// The program's command line:
///   mothring [run [--config FILE.toml]]   runs the sidecar on LB_CONFIG; `run` is the default
///   mothring check-config FILE            validates a TOML or the platform's JSON file, prints the settings
///   mothring lab SCENARIO.toml --out DIR  runs an experiment by mothring_lab, which is in the same folder
///   mothring version                      prints the version
#include <fcntl.h>
#include <malloc.h>
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

config::Options load_options_or_defaults(const std::optional<std::filesystem::path>& path) {
    return path ? config::load_options(*path) : config::Options{};
}

// Opens /dev/null for each closed standard descriptor. The platform may start the process with these closed;
// the first sockets would then get their numbers, and output to standard error would be sent through a
// socket.
void open_standard_descriptors() {
    for (const int number : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO})
        if (::fcntl(number, F_GETFD) < 0 && ::open("/dev/null", O_RDWR) < 0) return;
}

int report_start_failure(const std::exception& error) {
    std::cerr << "mothring: " << error.what() << '\n';
    return 1;
}

// Calls `handle` on each SIGHUP.
void handle_each_reload(boost::asio::signal_set& reload, const std::function<void()>& handle) {
    reload.async_wait([&reload, handle](boost::system::error_code failed, int) {
        if (failed) return;
        handle_each_reload(reload, handle);
        handle();
    });
}

// Reloads the configuration. If it can't be read, the current one stays in force and the error is logged.
void reconfigure(node::Sidecar& sidecar, const std::optional<std::filesystem::path>& options_path) {
    try {
        const config::Options options = load_options_or_defaults(options_path);
        sidecar.reconfigure(config::effective_config(options));
    } catch (const std::exception& error) {
        net::log(net::LogLevel::err, "config.reload_failed", {{"error", error.what()}});
    }
}

// Runs the event loop until it is stopped. An exception that a handler throws is logged, so that a failure of
// one connection leaves the others running.
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

// Runs the sidecar until it has drained. Throws if it can't start.
void serve(const std::optional<std::filesystem::path>& options_path) {
    const config::Options options = load_options_or_defaults(options_path);
    config::Config config = config::effective_config(options);
    net::configure_log(config.name, options.log_level);
    boost::asio::io_context io(1);
    // The signal handlers are installed before the first socket listens, because the platform may send a
    // signal from then on, and the default action of a signal would end the process.
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    boost::asio::signal_set reload(io, SIGHUP);
    node::Sidecar sidecar(io, std::move(config));
    signals.async_wait([&](boost::system::error_code failed, int) {
        if (!failed) sidecar.drain([&] { io.stop(); });
    });
    handle_each_reload(reload, [&] { reconfigure(sidecar, options_path); });
    run_until_stopped(io, sidecar);
}

// A start that fails for lack of descriptors or memory is retried for 5 s in total. That is half of the time
// within which the platform requires most sidecars to be ready.
constexpr int kMaxStartAttempts = 100;
constexpr std::chrono::milliseconds kStartRetryDelay(50);

// Gives the memory of large buffers back to the system when they are freed. Otherwise small objects between
// the freed buffers keep it, and a crowd of short connections takes several times the memory that is in use.
void return_freed_buffers() {
#ifdef __GLIBC__
    constexpr int kLargeBytes = 16 * 1024;
    constexpr int kMaxUnusedBytes = 256 * 1024;
    mallopt(M_MMAP_THRESHOLD, kLargeBytes);
    mallopt(M_TRIM_THRESHOLD, kMaxUnusedBytes);
#endif
}

int run(const std::optional<std::filesystem::path>& options_path) {
    return_freed_buffers();
    open_standard_descriptors();
    std::signal(SIGPIPE, SIG_IGN);  // the process that reads the log may end
    for (int attempt = 1;; ++attempt) {
        try {
            serve(options_path);
            return 0;
        } catch (const boost::system::system_error& error) {
            if (!net::is_resource_shortage(error.code()) || attempt == kMaxStartAttempts)
                return report_start_failure(error);
            net::log(net::LogLevel::warn, "start.put_off", {{"error", error.what()}});
            std::this_thread::sleep_for(kStartRetryDelay);
        } catch (const std::exception& error) {
            return report_start_failure(error);
        }
    }
}

// Prints the effective settings on standard output and returns 0, or prints the key and the reason of the
// error on standard error and returns 2.
int check_config(const std::filesystem::path& path) {
    try {
        std::cout << config::check_file(path) << '\n';
        return 0;
    } catch (const std::exception& error) {
        std::cerr << "mothring: " << error.what() << '\n';  // errors in TOML start with file and line
        return 2;
    }
}

// Replaces this process by mothring_lab. The lab is a separate program in the same folder, so that `run`
// contains no code of the lab.
int run_lab(std::vector<std::string> arguments) {
    const std::string program =
        (std::filesystem::read_symlink("/proc/self/exe").parent_path() / "mothring_lab").string();
    arguments.insert(arguments.begin(), program);
    std::vector<char*> argv;
    argv.reserve(arguments.size() + 1);
    for (std::string& argument : arguments) argv.push_back(argument.data());
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

    std::filesystem::path checked_path;
    CLI::App* check_command = app.add_subcommand(
        "check-config", "Validate a TOML or platform JSON file and print the effective settings");
    check_command->add_option("FILE", checked_path, "The file to check")->required();

    CLI::App* lab_command = app.add_subcommand("lab", "Run a scenario against a fleet of sidecars");
    lab_command->prefix_command();
    lab_command->set_help_flag();

    CLI::App* version_command = app.add_subcommand("version", "Print the version");

    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? 0 : 2;
    }
    if (*check_command) return check_config(checked_path);
    if (*lab_command) return run_lab(lab_command->remaining());
    if (*version_command) {
        std::cout << "mothring " << MOTHRING_VERSION << '\n';
        return 0;
    }
    return run(options_path);  // `run` or no subcommand
}
