#include "node/options.hpp"

#include <cstdlib>
#include <nlohmann/json.hpp>

#include "node/toml.hpp"

namespace mothring::node {

namespace {

using Json = nlohmann::json;

template <class Endpoint>
Json written_if(const std::optional<Endpoint>& endpoint) {
    return endpoint ? Json(written(*endpoint)) : Json();
}

std::string level_name(LogLevel level) {
    const auto name = spdlog::level::to_string_view(level);
    return {name.data(), name.size()};
}

}  // namespace

Options read_options(std::string_view text, const std::filesystem::path& source) {
    const toml::table document = parse_toml(text, source);
    TomlTable root(document, source);
    Options options;
    if (auto platform = root.table("platform")) {
        if (const auto path = platform->text("config")) {
            const std::filesystem::path file = *path;
            options.platform_config = file.is_absolute() ? file : source.parent_path() / file;
        }
        platform->done();
    }
    if (auto sidecar = root.table("sidecar")) {
        if (const auto address = sidecar->text("operator")) try {
                options.operators = read_address(*address, "operator");
            } catch (const ConfigError&) {
                sidecar->fail("operator", "is not ADDRESS:PORT");
            }
        sidecar->number_into(options.clock_skew, "clock_skew_ms", -kMostSkew, kMostSkew);
        sidecar->done();
    }
    if (auto log = root.table("log")) {
        if (const auto name = log->text("level")) {
            const auto level = log_level(*name);
            if (!level) log->fail("level", "is not one of trace, debug, info, warn, error, critical, off");
            options.log_level = *level;
        }
        log->done();
    }
    root.done();
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
    config.clock_skew = options.clock_skew;
    return config;
}

std::string describe(const Options& options) {
    const Json out = {{"log_level", level_name(options.log_level)},
                      {"operator", written_if(options.operators)},
                      {"clock_skew_ms", options.clock_skew}};
    return out.dump(2);
}

std::string describe(const Config& config, const Options& options) {
    Json peers = Json::array();
    for (const auto& peer : config.peers) peers.push_back(written(peer));
    const Json out = {{"name", config.name},
                      {"listen", written(config.listen)},
                      {"discovery", written(config.discovery)},
                      {"seed", config.seed},
                      {"limits", {{"sockets", config.sockets}, {"memory_mb", config.memory_mb}}},
                      {"operator", written_if(config.operators)},
                      {"peer_listen", written_if(config.peer_listen)},
                      {"peers", peers},
                      {"peers_all", written_if(config.peers_all)},
                      {"known_servers", config.known.members.size()},
                      {"zones", config.site.zones},
                      {"classes", config.site.classes},
                      {"connect_timeout_ms", config.connect_timeout},
                      {"idle_close_ms", config.idle_close},
                      {"may_probe", config.may_probe},
                      {"may_tell", config.may_tell},
                      {"clock_skew_ms", config.clock_skew},
                      {"log_level", level_name(options.log_level)}};
    return out.dump(2);
}

std::string check_file(const std::filesystem::path& path) {
    if (path.extension() == ".toml") {
        const Options options = load_options(path);
        if (!std::getenv("LB_CONFIG") && !options.platform_config) return describe(options);
        return describe(effective_config(options), options);
    }
    const std::string text = read_file(path, "FILE");
    try {
        return describe(read_config(text), Options{});
    } catch (const ConfigError& error) {
        throw ConfigError(path.string() + ": " + error.what());
    }
}

}  // namespace mothring::node
