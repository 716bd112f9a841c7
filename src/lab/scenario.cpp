#include "lab/scenario.hpp"

#include <algorithm>
#include <sstream>

#include "config/options.hpp"
#include "config/toml.hpp"

namespace mothring::lab {

namespace {

using config::ConfigError;
using config::TomlTable;

constexpr double kMaxDurationSeconds = 3600;  // limit in seconds, so that every experiment ends
constexpr std::size_t kMostSidecars = 1024, kMostServers = 1024;
constexpr double kMostLatency = 60000;

Latency read_latency(TomlTable table) {
    Latency latency;
    if (const auto kind = table.one_of("kind", {"constant", "uniform", "exponential", "lognormal"}))
        latency.kind = static_cast<Latency::Kind>(*kind);
    switch (latency.kind) {
        case Latency::Kind::constant:
            table.number_into(latency.ms, "ms", 0.0, kMostLatency);
            break;
        case Latency::Kind::uniform:
            table.number_into(latency.ms, "least_ms", 0.0, kMostLatency);
            latency.spread = latency.ms;
            table.number_into(latency.spread, "most_ms", latency.ms, kMostLatency);
            break;
        case Latency::Kind::exponential:
            table.number_into(latency.ms, "mean_ms", 0.0, kMostLatency);
            break;
        case Latency::Kind::lognormal:
            table.number_into(latency.ms, "median_ms", 0.0, kMostLatency);
            table.number_into(latency.spread, "sigma", 0.0, 4.0);
            break;
    }
    table.done();
    return latency;
}

void read_servers(Scenario& s, TomlTable table) {
    table.integer_into(s.servers, "count", 1, kMostServers);
    Behaviour& b = s.behaviour;
    if (auto latency = table.table("latency")) b.latency = read_latency(*latency);
    table.integer_into(b.slots, "slots", 1, 100000);
    table.integer_into(b.queue, "queue", 0, 100000);
    table.number_into(b.error_share, "error_share", 0.0, 1.0);
    table.number_into(b.turn_away_share, "turn_away_share", 0.0, 1.0);
    table.number_into(b.reset_share, "reset_share", 0.0, 1.0);
    table.number_into(b.cold_from, "cold_from", 0.01, 1.0);
    table.number_into(b.warm_ms, "warm_ms", 0.0, 600000.0);
    table.number_into(b.idle_close, "idle_close_ms", 100.0, 600000.0);
    table.integer_into(b.body_bytes, "body_bytes", 0, 65536);
    table.flag_into(b.reports, "reports");
    table.done();
}

void read_sidecars(Scenario& s, TomlTable table) {
    table.integer_into(s.sidecars, "count", 1, kMostSidecars);
    table.flag_into(s.may_tell, "may_tell");
    if (const auto mode = table.one_of("list", {"pushed", "on_request"})) s.must_subscribe = *mode == 1;
    table.number_into(s.clock_skew, "clock_skew_ms", -config::kMostSkew, config::kMostSkew);
    table.integer_into(s.skewed, "skewed", 0, s.sidecars);
    if (auto cluster = table.table("cluster")) {
        s.cluster_period = cluster->number("period_ms", 10.0, 60000.0).value_or(1000);
        cluster->number_into(s.cluster_suspicion, "suspicion", 1.0, 100.0);
        cluster->done();
    }
    if (const auto options = table.table("options")) {
        std::ostringstream text;
        text << options->raw();
        s.sidecar_toml = text.str();
        try {  // rejects options that the sidecars would reject, before any process is started
            config::read_options(s.sidecar_toml, "sidecars.options");
        } catch (const ConfigError& error) {
            table.fail("options", std::string("is refused: ") + error.what());
        }
    }
    table.done();
}

void read_clients(Scenario& s, TomlTable table) {
    table.number_into(s.rate, "rate", 0.0, 10000.0);
    for (TomlTable& entry : table.tables("classes")) {
        ClientClass c;
        const auto name = entry.text("name");
        if (!name || name->empty()) entry.fail("name", "is missing");
        c.name = *name;
        if (const auto effect = entry.one_of("effect", {"repeatable", "by_key", "once"}))
            c.effect = static_cast<Idempotency>(*effect);
        entry.number_into(c.on_time, "on_time_ms", 1.0, 60000.0);
        c.timeout = std::max(c.timeout, c.on_time);
        entry.number_into(c.timeout, "timeout_ms", c.on_time, 60000.0);
        entry.number_into(c.share, "share", 0.0, 1e6);
        entry.done();
        s.classes.push_back(std::move(c));
    }
    table.done();
}

std::vector<std::string> read_nodes(const Scenario& s, TomlTable& table, const std::string& key,
                                    const std::string& kind) {
    const auto selectors = table.texts(key);
    if (!selectors || selectors->empty()) table.fail(key, "is missing: a list of nodes");
    for (const std::string& selector : *selectors) {
        const auto nodes = s.select(selector);
        if (nodes.empty()) table.fail(key, "names no node: \"" + selector + "\"");
        for (const std::string& node : nodes)
            if (!kind.empty() && (node == "discovery" || node.substr(0, 1) != kind))
                table.fail(key, "names a node that this fault can't befall: " + node);
    }
    return *selectors;
}

Fault read_fault(const Scenario& s, TomlTable& table) {
    Fault f;
    const auto kind = table.one_of("kind", fault_kinds());
    if (!kind) table.fail("kind", "is missing");
    f.kind = static_cast<FaultKind>(*kind);
    const auto at = table.number("at_s", 0.0, s.duration / 1000);
    if (!at) table.fail("at_s", "is missing");
    f.at = *at * 1000;
    if (const auto length = table.number("for_s", 0.0, kMaxDurationSeconds)) f.length = *length * 1000;
    switch (f.kind) {
        case FaultKind::partition:
        case FaultKind::delay:
        case FaultKind::drop:
        case FaultKind::reset:
            f.from = read_nodes(s, table, "from", "");
            f.to = read_nodes(s, table, "to", "");
            if (const auto one_way = table.flag("one_way")) f.both_ways = !*one_way;
            f.conditions.silent = f.kind == FaultKind::partition;
            f.conditions.reset = f.kind == FaultKind::reset;
            if (f.kind == FaultKind::delay) {
                table.number_into(f.conditions.delay, "ms", 0.0, kMostLatency);
                table.number_into(f.conditions.jitter, "jitter_ms", 0.0, kMostLatency);
            }
            if (f.kind == FaultKind::drop) table.number_into(f.conditions.drop, "share", 0.0, 1.0);
            break;
        case FaultKind::kill:
        case FaultKind::drain:
            f.from = read_nodes(s, table, "targets", "n");
            if (const auto after = table.number("restart_after_s", 0.0, kMaxDurationSeconds))
                f.restart_after = *after * 1000;
            break;
        case FaultKind::stop:
            f.from = read_nodes(s, table, "targets", "n");
            break;
        case FaultKind::server:
            f.from = read_nodes(s, table, "targets", "s");
            f.error_share = table.number("error_share", 0.0, 1.0);
            f.turn_away_share = table.number("turn_away_share", 0.0, 1.0);
            f.reset_share = table.number("reset_share", 0.0, 1.0);
            f.slow = table.number("slow", 0.0, 1000.0);
            f.silent = table.flag("silent");
            break;
        case FaultKind::server_down:
            f.from = read_nodes(s, table, "targets", "s");
            break;
        case FaultKind::list: {
            f.from = read_nodes(s, table, "targets", "s");
            const auto state = table.one_of("state", {"Ready", "Terminating", "Gone"});
            if (!state) table.fail("state", "is missing");
            f.state = *table.text("state");
            break;
        }
        case FaultKind::discovery:
            if (const auto mode = table.one_of("mode", {"refusing", "resetting"}))
                f.mode = *mode == 0 ? DiscoveryStandIn::Mode::refusing : DiscoveryStandIn::Mode::resetting;
            break;
    }
    table.done();
    return f;
}

}  // namespace

const std::vector<std::string_view>& fault_kinds() {
    static const std::vector<std::string_view> names{"partition",   "delay", "drop",     "reset",
                                                     "kill",        "stop",  "drain",    "server",
                                                     "server_down", "list",  "discovery"};
    return names;
}

std::set<std::string> Scenario::select(const std::string& selector) const {
    const auto at = selector.find('@');
    const std::string what = selector.substr(0, at);
    const std::string zone_wanted = at == std::string::npos ? "" : selector.substr(at + 1);
    std::set<std::string> nodes;
    const auto take = [&](const std::string& name, const std::string& group, const std::string& zone_is) {
        if (!zone_wanted.empty() && zone_is != zone_wanted) return;
        if (what.empty() || what == "*" || what == group || what == name) nodes.insert(name);
    };
    if (at != std::string::npos && zone_wanted.empty()) return nodes;
    for (std::size_t i = 0; i < sidecars; ++i) take(sidecar_name(i), "sidecars", zone(i));
    for (std::size_t i = 0; i < servers; ++i) take(server_name(i), "servers", zone(i));
    if (!selector.empty()) take("discovery", "discovery", "");
    return nodes;
}

std::set<std::string> Scenario::select(const std::vector<std::string>& selectors) const {
    std::set<std::string> nodes;
    for (const std::string& selector : selectors) nodes.merge(select(selector));
    return nodes;
}

Scenario read_scenario(std::string_view text, const std::filesystem::path& source) {
    const toml::table document = config::parse_toml(text, source);
    TomlTable root(document, source);
    Scenario s;
    s.name = root.text("name").value_or(source.stem().string());
    root.integer_into(s.seed, "seed");
    if (const auto seconds = root.number("duration_s", 0.1, kMaxDurationSeconds))
        s.duration = *seconds * 1000;
    if (const auto zones = root.texts("zones")) {
        if (zones->empty()) root.fail("zones", "expects at least one zone");
        s.zones = *zones;
    }
    if (const auto table = root.table("sidecars")) read_sidecars(s, *table);
    if (const auto table = root.table("servers")) read_servers(s, *table);
    if (const auto table = root.table("clients")) read_clients(s, *table);
    if (s.classes.empty()) s.classes.push_back({"fetch", Idempotency::always, 750, 2500, 1});
    if (auto table = root.table("discovery")) {
        table->number_into(s.discovery_service, "service_ms", 0.0, 10000.0);
        table->done();
    }
    for (TomlTable& table : root.tables("faults")) s.faults.push_back(read_fault(s, table));
    root.done();
    std::stable_sort(s.faults.begin(), s.faults.end(),
                     [](const Fault& a, const Fault& b) { return a.at < b.at; });
    return s;
}

Scenario load_scenario(const std::filesystem::path& path) {
    return read_scenario(config::read_file(path, "SCENARIO"), path);
}

}  // namespace mothring::lab
