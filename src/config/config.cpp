#include "config/config.hpp"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

#include "config/overflowing_numbers.hpp"

namespace mothring::config {

namespace {

using Json = nlohmann::json;

constexpr int kHexBase = 16;

[[noreturn]] void fail(const std::string& key, const std::string& reason) {
    throw ConfigError("'" + key + "' " + reason);
}

Json read_object(std::string_view text) {
    Json json = Json::parse(text, nullptr, false);
    if (json.is_discarded())
        json = Json::parse(without_overflowing_numbers(std::string(text)), nullptr, false);
    if (!json.is_object()) throw ConfigError("the text is not a JSON object");
    return json;
}

const Json& required_member(const Json& object, const char* key) {
    const auto at = object.find(key);
    if (at == object.end() || at->is_null()) fail(key, "is missing");
    return *at;
}

template <class T>
T value(const Json& json, const std::string& key) {
    try {
        return json.get<T>();
    } catch (const Json::exception&) {
        fail(key, "has the wrong type");
    }
}
template <class T>
T get(const Json& object, const char* key) {
    return value<T>(required_member(object, key), key);
}
template <class T>
T get_or(const Json& object, const char* key, T fallback) {
    return object.contains(key) && !object[key].is_null() ? get<T>(object, key) : fallback;
}

template <class Protocol>
typename Protocol::endpoint parse_endpoint(const std::string& text, const std::string& key) {
    const auto endpoint = net::parse_endpoint<typename Protocol::endpoint>(text);
    if (!endpoint) fail(key, "is not ADDRESS:PORT");
    return *endpoint;
}
template <class Protocol>
typename Protocol::endpoint get_endpoint(const Json& object, const char* key) {
    return parse_endpoint<Protocol>(get<std::string>(object, key), key);
}

// Gives access to the nested JSON settings by the dotted paths that the simulator's wire uses for the same
// settings. An array of objects gets a "count" and numbered paths; an array of scalars is joined by commas.
class JsonFields : public Fields {
public:
    explicit JsonFields(const Json& settings) { flatten(settings, ""); }
    std::optional<std::string_view> find(std::string_view field) const override {
        const auto at = values_.find(field);
        return at == values_.end() ? std::nullopt : std::optional<std::string_view>(at->second);
    }
    std::string location() const override { return "settings"; }

private:
    static std::string format_scalar(const Json& json) {
        return json.is_string() ? json.get<std::string>() : json.dump();
    }
    void flatten(const Json& json, const std::string& path) {
        const std::string prefix = path.empty() ? "" : path + ".";
        if (json.is_object()) {
            for (const auto& [key, item] : json.items()) flatten(item, prefix + key);
        } else if (json.is_array() && !json.empty() && json.front().is_object()) {
            values_[prefix + "count"] = std::to_string(json.size());
            for (std::size_t i = 0; i < json.size(); ++i) flatten(json[i], prefix + std::to_string(i));
        } else if (json.is_array()) {
            std::string& list = values_[path];
            for (const Json& item : json) {
                if (!list.empty()) list += ',';
                list += format_scalar(item);
            }
        } else if (!json.is_null()) {
            values_[path] = format_scalar(json);
        }
    }
    std::map<std::string, std::string, std::less<>> values_;
};

// Returns kUnreadableStart for a start time that is not a number, so that only the age of this server is lost
// and the rest of the list stays usable.
Millis read_start_time(const Json& entry) {
    const auto at = entry.find("started_ms");
    if (at == entry.end()) return 0;
    return at->is_number() ? at->get<Millis>() : kUnreadableStart;
}

// Returns the state for discovery's word. An unknown word means draining, the safest state, because a
// draining server gets no new requests.
EndpointState parse_state(const std::string& word) {
    if (word == "Ready") return EndpointState::active;
    if (word == "Gone") return EndpointState::removed;
    return EndpointState::draining;
}

DiscoveredServer read_server(const Json& entry) {
    DiscoveredServer server;
    server.id = get<std::string>(entry, "id");
    server.state = parse_state(get<std::string>(entry, "state"));
    if (server.state != EndpointState::removed || entry.contains("addr"))
        server.address = get_endpoint<net::Tcp>(entry, "addr");
    server.zone = get_or<std::string>(entry, "zone", "");
    server.kind = get_or<std::string>(entry, "kind", "");
    server.cell = get_or<std::uint32_t>(entry, "cell", 0);
    server.started = read_start_time(entry);
    return server;
}

DiscoveryList read_list(const Json& json) {
    DiscoveryList list;
    list.version = get<std::uint64_t>(json, "version");
    list.full = get<bool>(json, "full");
    const Json& servers = required_member(json, "servers");
    if (!servers.is_array()) fail("servers", "has the wrong type");
    for (const Json& entry : servers) {
        if (!entry.is_object()) fail("servers", "has the wrong type");
        list.members.push_back(read_server(entry));
    }
    return list;
}

std::uint64_t read_seed(const std::string& hex) {
    std::uint64_t seed = 0;
    if (!net::parse_number(hex, seed, kHexBase)) fail("seed", "is not a hexadecimal number");
    return seed;
}

void read_settings(Config& config, const Json& json) {
    const JsonFields fields(json);
    try {
        config.site = read_site(fields);
        config.connect_timeout = fields.number_or("limits.connect-timeout-ms", config.connect_timeout);
        config.idle_close = fields.number_or("limits.idle-close-ms", config.idle_close);
        config.drain_grace = fields.number_or("rules.stop-sending-within-ms", config.drain_grace);
        Millis longest_deadline = 0;
        for (std::size_t i = 0; i < config.site.classes.size(); ++i)
            longest_deadline = std::max(longest_deadline,
                                        fields.number_or("classes." + std::to_string(i) + ".give-up-ms", 0));
        // The platform counts deadlines over 3 s as 3 s; the default of 3 s also applies if no class has one.
        if (longest_deadline > 0)
            config.longest_deadline = std::min(longest_deadline, config.longest_deadline);
        config.may_probe = fields.flag_or("limits.may-probe", false);
        config.may_tell = fields.flag_or("limits.may-tell", false);
    } catch (const FieldError& error) {
        throw ConfigError(error.what());
    }
}

}  // namespace

Config read_config(std::string_view text) {
    const Json json = read_object(text);
    Config config;
    config.name = get<std::string>(json, "name");
    config.listen = get_endpoint<net::Tcp>(json, "listen");
    config.discovery = get_endpoint<net::Tcp>(json, "discovery");
    config.seed = read_seed(get<std::string>(json, "seed"));
    const Json limits = get_or<Json>(json, "limits", Json::object());
    if (limits.is_object()) {
        config.sockets = get_or<std::size_t>(limits, "sockets", config.sockets);
        config.memory_mb = get_or<std::size_t>(limits, "memory_mb", config.memory_mb);
    }
    if (const auto text = get_or<std::string>(json, "operator", ""); !text.empty())
        config.operators = read_address(text, "operator");
    if (json.contains("peer_listen")) config.peer_listen = get_endpoint<net::Udp>(json, "peer_listen");
    if (json.contains("peers_all")) config.peers_all = get_endpoint<net::Udp>(json, "peers_all");
    for (const std::string& peer : get_or<std::vector<std::string>>(json, "peers", {}))
        config.peers.push_back(parse_endpoint<net::Udp>(peer, "peers"));
    config.known = read_list(required_member(json, "known"));
    const Json& settings = required_member(json, "settings");
    if (!settings.is_object()) fail("settings", "has the wrong type");
    read_settings(config, settings);
    return config;
}

net::Tcp::endpoint read_address(const std::string& text, const std::string& key) {
    return parse_endpoint<net::Tcp>(text, key);
}

DiscoveryList read_members(std::string_view json) { return read_list(read_object(json)); }

}  // namespace mothring::config
