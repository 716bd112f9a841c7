// One real sidecar, told by the configuration that LB_CONFIG names.
#include <boost/asio/signal_set.hpp>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <iterator>
#include <string>

#include "node/config.hpp"
#include "node/log.hpp"
#include "node/sidecar.hpp"

namespace {

mothring::node::Config configuration() {
    const char* const path = std::getenv("LB_CONFIG");
    if (!path) throw mothring::node::ConfigError("'LB_CONFIG' is not set");
    std::ifstream file(path, std::ios::binary);
    if (!file)
        throw mothring::node::ConfigError("'LB_CONFIG' names a file that can't be read: " +
                                          std::string(path));
    auto config = mothring::node::read_config(std::string(std::istreambuf_iterator<char>(file), {}));
    if (const char* const text = std::getenv("LB_OPERATOR"); text && *text && !config.operators)
        config.operators = mothring::node::read_address(text, "LB_OPERATOR");
    return config;
}

}  // namespace

int main() {
    try {
        boost::asio::io_context io(1);
        mothring::node::Sidecar sidecar(io, configuration());
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
                    sidecar.reconfigure(configuration());
                } catch (const std::exception& error) {  // what it has goes on serving
                    mothring::node::log_line(std::string("SIGHUP: ") + error.what());
                }
            });
        };
        await_reload();
        while (!io.stopped()) try {
                io.run();
            } catch (const std::exception& error) {  // what one connection threw does not end the others
                mothring::node::log_line(error.what());
            }
    } catch (const std::exception& error) {
        std::cerr << "whinledge: " << error.what() << '\n';
        return 1;
    }
    return 0;
}
