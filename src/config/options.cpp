#include "config/options.hpp"

#include <cstdlib>
#include <nlohmann/json.hpp>

#include "cluster/codec.hpp"
#include "config/toml.hpp"

namespace mothring::config {

namespace {

using Json = nlohmann::json;

template <class Endpoint>
Json written_if(const std::optional<Endpoint>& endpoint) {
    return endpoint ? Json(net::written(*endpoint)) : Json();
}

std::string level_name(net::LogLevel level) {
    const auto name = spdlog::level::to_string_view(level);
    return {name.data(), name.size()};
}

template <class Endpoint>
std::optional<Endpoint> address(TomlTable& table, const std::string& key) {
    const auto text = table.text(key);
    if (!text) return std::nullopt;
    auto endpoint = net::endpoint_of<Endpoint>(*text);
    if (!endpoint) table.fail(key, "is not ADDRESS:PORT");
    return endpoint;
}

cluster::Settings read_cluster(TomlTable& table) {
    cluster::Settings s;
    const auto bind = address<net::Udp::endpoint>(table, "bind");
    if (!bind) table.fail("bind", "is missing");
    s.bind = *bind;
    if (const auto told = address<net::Tcp::endpoint>(table, "advertise")) s.advertise = net::written(*told);
    if (const auto path = table.text("key_file")) {
        const std::filesystem::path file = *path;
        s.key =
            read_file(file.is_absolute() ? file : table.source().parent_path() / file, "'cluster.key_file'");
        while (!s.key.empty() && s.key.back() == '\n') s.key.pop_back();
    }
    const char* const key = table.has("key_file") ? "key_file" : "key";
    if (const auto text = table.text("key")) s.key = *text;
    if (s.key.size() < cluster::Codec::kShortestKey)
        table.fail(key, "expects a shared key of " + std::to_string(cluster::Codec::kShortestKey) +
                            " bytes or more");
    for (const std::string& text : table.texts("seeds").value_or(std::vector<std::string>{})) {
        const auto seed = net::endpoint_of<net::Tcp::endpoint>(text);
        if (!seed) table.fail("seeds", "expects a list of ADDRESS:PORT");
        s.seeds.push_back(*seed);
    }
    cluster::Parameters& p = s.parameters;
    table.number_into(p.period, "period_ms", 10.0, 60000.0);
    table.number_into(p.suspicion_factor, "suspicion", 1.0, 100.0);
    table.integer_into(p.indirect_probes, "indirect", 0, 16);
    table.integer_into(p.retransmit_factor, "retransmit", 1, 16);
    for (TomlTable& peer : table.tables("peers")) {
        const auto name = peer.text("name");
        if (!name) peer.fail("name", "is missing");
        s.routes[*name] = {address<net::Udp::endpoint>(peer, "udp"),
                           address<net::Tcp::endpoint>(peer, "tcp")};
        peer.done();
    }
    table.done();
    return s;
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
        options.operators = address<net::Tcp::endpoint>(*sidecar, "operator");
        sidecar->number_into(options.clock_skew, "clock_skew_ms", -kMostSkew, kMostSkew);
        sidecar->done();
    }
    if (auto log = root.table("log")) {
        if (const auto name = log->text("level")) {
            const auto level = net::log_level(*name);
            if (!level) log->fail("level", "is not one of trace, debug, info, warn, error, critical, off");
            options.log_level = *level;
        }
        log->done();
    }
    if (auto affinity = root.table("affinity")) {
        options.affinity_load_bound = affinity->number("bound", 1.0, 1000.0);
        for (TomlTable& rule : affinity->tables("rules")) {
            const auto of = rule.text("class"), key = rule.text("key");
            if (!of) rule.fail("class", "is missing");
            constexpr std::string_view kHeader = "header:";
            if (!key || (*key != "path" && (!key->starts_with(kHeader) || key->size() == kHeader.size())))
                rule.fail("key", "expects \"path\" or \"header:NAME\"");
            options.affinity.push_back({*of, *key == "path" ? "" : key->substr(kHeader.size())});
            rule.done();
        }
        affinity->done();
    }
    if (auto table = root.table("cluster")) options.cluster = read_cluster(*table);
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
    config.cluster = options.cluster;
    config.affinity = options.affinity;
    if (options.affinity_load_bound) config.site.settings.affinity_load_bound = *options.affinity_load_bound;
    for (const Config::Affinity& rule : config.affinity)
        if (rule.class_name != "*" && config.site.class_index(rule.class_name) >= config.site.classes.size())
            throw ConfigError("'affinity.rules.class' names no class of the settings: " + rule.class_name);
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
    for (const auto& peer : config.peers) peers.push_back(net::written(peer));
    const Json out = {{"name", config.name},
                      {"listen", net::written(config.listen)},
                      {"discovery", net::written(config.discovery)},
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
                      {"cluster", config.cluster ? Json(net::written(config.cluster->bind)) : Json()},
                      {"affinity_rules", config.affinity.size()},
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

}  // namespace mothring::config
