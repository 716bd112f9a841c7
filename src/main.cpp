// The command line (CLI11) and nothing else:
//   mothring [run [--config FILE.toml]]   the sidecar; with no subcommand it reads LB_CONFIG as always
//   mothring check-config FILE            validates a TOML or the platform's JSON file, prints the settings
//   mothring version
#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>

#include "node/config.hpp"
#include "node/log.hpp"
#include "node/options.hpp"
#include "node/sidecar.hpp"

#ifndef MOTHRING_VERSION
#define MOTHRING_VERSION "unknown"
#endif

namespace {

namespace node = mothring::node;

node::Options options_at(const std::optional<std::filesystem::path>& path) {
    return path ? node::load_options(*path) : node::Options{};
}

int run(const std::optional<std::filesystem::path>& options_path) {
    try {
        const node::Options options = options_at(options_path);
        node::Config config = node::effective_config(options);
        node::log_start(config.name, options.log_level);
        boost::asio::io_context io(1);
        node::Sidecar sidecar(io, std::move(config));
        boost::asio::signal_set signals(io, SIGTERM, SIGINT);
        signals.async_wait([&](boost::system::error_code failed, int) {
            if (!failed) sidecar.drain([&] { io.stop(); });
        });
        boost::asio::signal_set reload(io, SIGHUP);
        std::function<void()> await_reload = [&] {
            reload.async_wait([&](boost::system::error_code failed, int) {
                if (failed) return;
                await_reload();
                try {
                    const node::Options again = options_at(options_path);
                    sidecar.reconfigure(node::effective_config(again));
                } catch (const std::exception& error) {  // what it has goes on serving
                    node::log(mothring::node::LogLevel::err, "config.reload_failed",
                              {{"error", error.what()}});
                }
            });
        };
        await_reload();
        while (!io.stopped()) try {
                io.run();
            } catch (const std::exception& error) {  // what one connection threw does not end the others
                node::log(mothring::node::LogLevel::err, "io.failed", {{"error", error.what()}});
            }
    } catch (const std::exception& error) {
        std::cerr << "mothring: " << error.what() << '\n';
        return 1;
    }
    return 0;
}

// Exit 0 with the effective settings on standard output; 2 with the key and reason on standard error.
int check_config(const std::filesystem::path& path) {
    try {
        if (path.extension() == ".toml") {
            const node::Options options = node::load_options(path);
            if (!std::getenv("LB_CONFIG") && !options.platform_config) {
                std::cout << "{\"log_level\": \"" << spdlog::level::to_string_view(options.log_level).data()
                          << "\", \"operator\": "
                          << (options.operators ? "\"" + options.operators->address().to_string() + ":" +
                                                      std::to_string(options.operators->port()) + "\""
                                                : std::string("null"))
                          << "}\n";
                return 0;
            }
            std::cout << node::describe(node::effective_config(options), options) << '\n';
            return 0;
        }
        std::ifstream file(path, std::ios::binary);
        if (!file) throw node::ConfigError(path.string() + ": can't be read");
        try {
            std::cout << node::describe(
                             node::read_config(std::string(std::istreambuf_iterator<char>(file), {})),
                             node::Options{})
                      << '\n';
        } catch (const node::ConfigError& error) {
            throw node::ConfigError(path.string() + ": " + error.what());
        }
        return 0;
    } catch (const std::exception& error) {
        std::cerr << "mothring: " << error.what() << '\n';  // the TOML's errors start with file and line
        return 2;
    }
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

    CLI::App* version_command = app.add_subcommand("version", "Print the version");

    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? 0 : 2;
    }
    if (*check_command) return check_config(checked);
    if (*version_command) {
        std::cout << "mothring " << MOTHRING_VERSION << '\n';
        return 0;
    }
    return run(options_path);  // `run`, or no subcommand: today's sidecar
}
