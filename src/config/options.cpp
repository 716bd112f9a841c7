#include "config/options.hpp"

#include <cstdlib>
#include <nlohmann/json.hpp>

#include "cluster/codec.hpp"
#include "config/toml.hpp"

namespace mothring::config {

namespace {

using Json = nlohmann::json;

constexpr Millis kMinPeriod = 10;
constexpr Millis kMaxPeriod = 60000;
constexpr double kMinSuspicion = 1;
constexpr double kMaxSuspicion = 100;
constexpr unsigned kMaxIndirectProbes = 16;  // members that are asked to probe on behalf of one
constexpr unsigned kMaxRetransmit = 16;
constexpr double kMinLoadBound = 1;
constexpr double kMaxLoadBound = 1000;

template <class Endpoint>
Json endpoint_or_null(const std::optional<Endpoint>& endpoint) {
    return endpoint ? Json(net::format_endpoint(*endpoint)) : Json();
}

std::string level_name(net::LogLevel level) {
    const auto name = spdlog::level::to_string_view(level);
    return {name.data(), name.size()};
}

template <class Endpoint>
std::optional<Endpoint> read_endpoint(TomlTable& table, const std::string& key) {
    const auto text = table.text(key);
    if (!text) return std::nullopt;
    auto endpoint = net::parse_endpoint<Endpoint>(*text);
    if (!endpoint) table.fail(key, "is not ADDRESS:PORT");
    return endpoint;
}

// Resolves a relative path of the options file against the folder of that file.
std::filesystem::path resolve(const std::filesystem::path& path, const std::filesystem::path& source) {
    return path.is_absolute() ? path : source.parent_path() / path;
}

void read_platform(Options& options, TomlTable& table) {
    if (const auto path = table.text("config")) options.platform_config = resolve(*path, table.source());
    table.done();
}

void read_sidecar(Options& options, TomlTable& table) {
    options.operators = read_endpoint<net::Tcp::endpoint>(table, "operator");
    table.number_into(options.clock_skew, "clock_skew_ms", -kMostSkew, kMostSkew);
    table.done();
}

void read_log(Options& options, TomlTable& table) {
    if (const auto name = table.text("level")) {
        const auto level = net::parse_log_level(*name);
        if (!level) table.fail("level", "is not one of trace, debug, info, warn, error, critical, off");
        options.log_level = *level;
    }
    table.done();
}

Config::Affinity read_affinity_rule(TomlTable& rule) {
    constexpr std::string_view kHeader = "header:";
    const auto class_name = rule.text("class");
    const auto key = rule.text("key");
    if (!class_name) rule.fail("class", "is missing");
    const bool is_path = key && *key == "path";
    const bool is_header = key && key->starts_with(kHeader) && key->size() > kHeader.size();
    if (!is_path && !is_header) rule.fail("key", "expects \"path\" or \"header:NAME\"");
    rule.done();
    return {*class_name, is_path ? "" : key->substr(kHeader.size())};
}

void read_affinity(Options& options, TomlTable& table) {
    options.affinity_load_bound = table.number("bound", kMinLoadBound, kMaxLoadBound);
    for (TomlTable& rule : table.tables("rules")) options.affinity.push_back(read_affinity_rule(rule));
    table.done();
}

cluster::Settings::Route read_route(TomlTable& peer) {
    cluster::Settings::Route route;
    route.udp = read_endpoint<net::Udp::endpoint>(peer, "udp");
    route.tcp = read_endpoint<net::Tcp::endpoint>(peer, "tcp");
    peer.done();
    return route;
}

// Returns the shared key of the fleet. "key" takes precedence over "key_file".
std::string read_key(TomlTable& table) {
    std::string secret;
    if (const auto path = table.text("key_file")) {
        secret = read_file(resolve(*path, table.source()), "'cluster.key_file'");
        while (!secret.empty() && secret.back() == '\n') secret.pop_back();
    }
    const char* const key = table.has("key_file") ? "key_file" : "key";
    if (const auto text = table.text("key")) secret = *text;
    if (secret.size() < cluster::Codec::kMinKeyBytes)
        table.fail(key, "expects a shared key of " + std::to_string(cluster::Codec::kMinKeyBytes) +
                            " bytes or more");
    return secret;
}

cluster::Settings read_cluster(TomlTable& table) {
    cluster::Settings settings;
    const auto bind = read_endpoint<net::Udp::endpoint>(table, "bind");
    if (!bind) table.fail("bind", "is missing");
    settings.bind = *bind;
    const auto advertised = read_endpoint<net::Tcp::endpoint>(table, "advertise");
    if (advertised) settings.advertise = net::format_endpoint(*advertised);
    settings.key = read_key(table);
    for (const std::string& text : table.texts("seeds").value_or(std::vector<std::string>{})) {
        const auto seed = net::parse_endpoint<net::Tcp::endpoint>(text);
        if (!seed) table.fail("seeds", "expects a list of ADDRESS:PORT");
        settings.seeds.push_back(*seed);
    }
    cluster::Parameters& parameters = settings.parameters;
    table.number_into(parameters.period, "period_ms", kMinPeriod, kMaxPeriod);
    table.number_into(parameters.suspicion_factor, "suspicion", kMinSuspicion, kMaxSuspicion);
    table.integer_into(parameters.indirect_probes, "indirect", 0, kMaxIndirectProbes);
    table.integer_into(parameters.retransmit_factor, "retransmit", 1, kMaxRetransmit);
    for (TomlTable& peer : table.tables("peers")) {
        const auto name = peer.text("name");
        if (!name) peer.fail("name", "is missing");
        settings.routes[*name] = read_route(peer);
    }
    table.done();
    return settings;
}

}  // namespace

Options read_options(std::string_view text, const std::filesystem::path& source) {
    const toml::table document = parse_toml(text, source);
    TomlTable root(document, source);
    Options options;
    if (auto platform = root.table("platform")) read_platform(options, *platform);
    if (auto sidecar = root.table("sidecar")) read_sidecar(options, *sidecar);
    if (auto log = root.table("log")) read_log(options, *log);
    if (auto affinity = root.table("affinity")) read_affinity(options, *affinity);
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
                      {"operator", endpoint_or_null(options.operators)},
                      {"clock_skew_ms", options.clock_skew}};
    return out.dump(2);
}

std::string describe(const Config& config, const Options& options) {
    Json peers = Json::array();
    for (const auto& peer : config.peers) peers.push_back(net::format_endpoint(peer));
    const Json out = {{"name", config.name},
                      {"listen", net::format_endpoint(config.listen)},
                      {"discovery", net::format_endpoint(config.discovery)},
                      {"seed", config.seed},
                      {"limits", {{"sockets", config.sockets}, {"memory_mb", config.memory_mb}}},
                      {"operator", endpoint_or_null(config.operators)},
                      {"peer_listen", endpoint_or_null(config.peer_listen)},
                      {"peers", peers},
                      {"peers_all", endpoint_or_null(config.peers_all)},
                      {"known_servers", config.known.members.size()},
                      {"zones", config.site.zones},
                      {"classes", config.site.classes},
                      {"connect_timeout_ms", config.connect_timeout},
                      {"idle_close_ms", config.idle_close},
                      {"may_probe", config.may_probe},
                      {"may_tell", config.may_tell},
                      {"clock_skew_ms", config.clock_skew},
                      {"cluster", config.cluster ? Json(net::format_endpoint(config.cluster->bind)) : Json()},
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
