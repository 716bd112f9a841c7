#include "node/options.hpp"

#include <toml++/toml.h>

#include <cstdlib>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

namespace mothring::node {

namespace {

std::string where(const std::filesystem::path& source, const toml::source_region& region) {
    return source.string() + ":" + std::to_string(region.begin.line);
}

[[noreturn]] void fail(const std::filesystem::path& source, const toml::node& node, const std::string& key,
                       const std::string& reason) {
    throw ConfigError(where(source, node.source()) + ": '" + key + "' " + reason);
}

std::string text_of(const std::filesystem::path& source, const toml::node& node, const std::string& key) {
    const auto* value = node.as_string();
    if (!value) fail(source, node, key, "expects a string");
    return value->get();
}

std::string read_file(const std::filesystem::path& path, const std::string& what) {
    std::ifstream file(path, std::ios::binary);
    if (!file) throw ConfigError(what + " names a file that can't be read: " + path.string());
    return {std::istreambuf_iterator<char>(file), {}};
}

// Each table with its keys and what reads them; a key or table not here is an error.
void read_table(const std::filesystem::path& source, const toml::table& table, const std::string& name,
                Options& options) {
    for (const auto& [key, node] : table) {
        const std::string path = name + "." + std::string(key.str());
        if (path == "platform.config") {
            std::filesystem::path file = text_of(source, node, path);
            options.platform_config = file.is_absolute() ? file : source.parent_path() / file;
        } else if (path == "sidecar.operator") {
            const std::string address = text_of(source, node, path);
            try {
                options.operators = read_address(address, path);
            } catch (const ConfigError&) {
                fail(source, node, path, "is not ADDRESS:PORT");
            }
        } else if (path == "log.level") {
            const auto level = log_level(text_of(source, node, path));
            if (!level)
                fail(source, node, path, "is not one of trace, debug, info, warn, error, critical, off");
            options.log_level = *level;
        } else {
            fail(source, node, path, "is not a known key");
        }
    }
}

}  // namespace

Options read_options(std::string_view text, const std::filesystem::path& source) {
    toml::table root;
    try {
        root = toml::parse(text, source.string());
    } catch (const toml::parse_error& error) {
        throw ConfigError(where(source, error.source()) + ": " + std::string(error.description()));
    }
    Options options;
    for (const auto& [key, node] : root) {
        const std::string name(key.str());
        if (name != "platform" && name != "sidecar" && name != "log")
            fail(source, node, name, "is not a known table");
        const auto* table = node.as_table();
        if (!table) fail(source, node, name, "expects a table");
        read_table(source, *table, name, options);
    }
    return options;
}

Options load_options(const std::filesystem::path& path) {
    return read_options(read_file(path, "--config"), path);
}

Config effective_config(const Options& options) {
    std::string text;
    if (const char* const path = std::getenv("LB_CONFIG"))
        text = read_file(path, "'LB_CONFIG'");
    else if (options.platform_config)
        text = read_file(*options.platform_config, "'platform.config'");
    else
        throw ConfigError("'LB_CONFIG' is not set");
    Config config = read_config(text);
    if (const char* const address = std::getenv("LB_OPERATOR"); address && *address && !config.operators)
        config.operators = read_address(address, "LB_OPERATOR");
    if (!config.operators) config.operators = options.operators;
    return config;
}

std::string describe(const Config& config, const Options& options) {
    using Json = nlohmann::json;
    const auto tcp = [](const Tcp::endpoint& e) {
        return e.address().to_string() + ":" + std::to_string(e.port());
    };
    const auto udp = [](const Udp::endpoint& e) {
        return e.address().to_string() + ":" + std::to_string(e.port());
    };
    Json peers = Json::array();
    for (const auto& peer : config.peers) peers.push_back(udp(peer));
    Json out = {{"name", config.name},
                {"listen", tcp(config.listen)},
                {"discovery", tcp(config.discovery)},
                {"seed", config.seed},
                {"limits", {{"sockets", config.sockets}, {"memory_mb", config.memory_mb}}},
                {"operator", config.operators ? Json(tcp(*config.operators)) : Json()},
                {"peer_listen", config.peer_listen ? Json(udp(*config.peer_listen)) : Json()},
                {"peers", peers},
                {"peers_all", config.peers_all ? Json(udp(*config.peers_all)) : Json()},
                {"known_servers", config.known.members.size()},
                {"zones", config.site.zones},
                {"classes", config.site.classes},
                {"connect_timeout_ms", config.connect_timeout},
                {"idle_close_ms", config.idle_close},
                {"may_probe", config.may_probe},
                {"may_tell", config.may_tell},
                {"log_level", std::string(spdlog::level::to_string_view(options.log_level).data(),
                                          spdlog::level::to_string_view(options.log_level).size())}};
    return out.dump(2);
}

}  // namespace mothring::node
