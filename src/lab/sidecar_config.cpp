#include "lab/sidecar_config.hpp"

#include <cstdio>
#include <fstream>
#include <random>
#include <sstream>

namespace mothring::lab {

using Json = nlohmann::json;

namespace {

constexpr std::size_t kMaxSeeds = 3;  // number of members in a sidecar's seed list

// Generates a key for one experiment. If two experiments run concurrently, a datagram sent to the former port
// of a dead sidecar may reach a sidecar of the other experiment, which must reject it.
std::string new_key() {
    std::random_device random;
    std::ostringstream key;
    key << "lab-" << std::hex << random() << random() << random();
    return key.str();
}

const char* effect_name(Idempotency effect) {
    return effect == Idempotency::always ? "repeatable" : effect == Idempotency::with_key ? "by_key" : "once";
}

std::string hex_seed(std::uint64_t seed) {
    char text[20];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(seed));
    return text;
}

Json classes_of(const Scenario& scenario) {
    Json classes = Json::array();
    for (const ClientClass& c : scenario.classes)
        classes.push_back({{"name", c.name},
                           {"effect", effect_name(c.effect)},
                           {"dedup-scope", "all"},
                           {"dedup-window-ms", c.timeout},
                           {"on-time-ms", c.on_time},
                           {"credit", 1.0}});
    return classes;
}

Json limits_of(const Scenario& scenario) {
    return {{"max-attempts", 4},           {"may-cancel", true},
            {"may-probe", true},           {"may-tell", scenario.may_tell},
            {"connect-timeout-ms", 250.0}, {"idle-close-ms", scenario.behaviour.idle_close},
            {"parallel-tries", false},     {"retry-after", true},
            {"max-retry-after-ms", 1500.0}};
}

Json rules_of(const Scenario& scenario) {
    return {{"cold-from", scenario.behaviour.cold_from},
            {"warm-within-ms", scenario.behaviour.warm_ms},
            {"fall-multiple", 4.0},
            {"ask-within-ms", 10000.0}};
}

}  // namespace

SidecarConfig::SidecarConfig(const Scenario& scenario, Relay& relay)
    : scenario_(scenario), relay_(relay), cluster_key_(new_key()) {}

void SidecarConfig::write(std::size_t i, unsigned starts, const SidecarAddresses& addresses,
                          const Json& known, const std::filesystem::path& folder) {
    std::ofstream(folder / "config.json") << platform(i, starts, addresses, known).dump(1);
    std::ofstream(folder / "sidecar.toml") << options(i, addresses);
}

Json SidecarConfig::settings(std::size_t i) const {
    return {{"azs", scenario_.zones},
            {"my-zone", scenario_.zone(i)},
            {"classes", classes_of(scenario_)},
            {"siblings", scenario_.sidecars},
            {"membership-mode", scenario_.must_subscribe ? "on_request" : "pushed"},
            {"tenants", Json::array()},
            {"limits", limits_of(scenario_)},
            {"rules", rules_of(scenario_)}};
}

Json SidecarConfig::platform(std::size_t i, unsigned starts, const SidecarAddresses& addresses,
                             const Json& known) {
    const std::string name = scenario_.sidecar_name(i);
    Json config{{"name", name},
                {"listen", net::format_endpoint(addresses.listen)},
                {"discovery", net::format_endpoint(addresses.discovery)},
                {"seed", hex_seed(scenario_.seed * 7919 + i * 31 + starts)},
                {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}}},
                {"operator", net::format_endpoint(addresses.operators)},
                {"known", known},
                {"settings", settings(i)}};
    if (!scenario_.may_tell || scenario_.cluster_period) return config;
    Json peers = Json::array();
    for (std::size_t n = 0; n < scenario_.sidecars; ++n)
        if (n != i) peers.push_back(net::format_endpoint(relay_.udp_link(name, scenario_.sidecar_name(n))));
    config["peer_listen"] = net::format_endpoint(addresses.peers);
    config["peers"] = std::move(peers);
    return config;
}

std::string SidecarConfig::options(std::size_t i, const SidecarAddresses& addresses) {
    std::string toml = scenario_.sidecar_toml + "\n";
    // If the scenario sets options in [sidecar], they apply to all sidecars and no clock skew is added.
    // Otherwise the first `skewed` sidecars get the clock skew.
    if (i < scenario_.skewed && toml.find("[sidecar]") == std::string::npos)
        toml += "[sidecar]\nclock_skew_ms = " + std::to_string(scenario_.clock_skew) + "\n";
    if (scenario_.cluster_period) toml += cluster_options(i, addresses);
    return toml;
}

// Lists every other member with its relay address, so that messages to it pass through the relay whatever
// address the member advertises.
std::string SidecarConfig::cluster_options(std::size_t i, const SidecarAddresses& addresses) {
    const std::string name = scenario_.sidecar_name(i);
    std::ostringstream seeds, peers;
    std::size_t seeded = 0;
    for (std::size_t n = 0; n < scenario_.sidecars; ++n) {
        if (n == i) continue;
        const std::string other = scenario_.sidecar_name(n);
        const Tcp::endpoint link = peer_link(name, other);
        if (seeded < kMaxSeeds) seeds << (seeded++ ? ", \"" : "\"") << link << '"';
        peers << "[[cluster.peers]]\nname = \"" << other << "\"\nudp = \"" << relay_.udp_link(name, other)
              << "\"\ntcp = \"" << link << "\"\n";
    }
    std::ostringstream toml;
    toml << "[cluster]\nbind = \"" << addresses.peers << "\"\nkey = \"" << cluster_key_
         << "\"\nperiod_ms = " << *scenario_.cluster_period << "\nsuspicion = " << scenario_.cluster_suspicion
         << "\nseeds = [" << seeds.str() << "]\n"
         << peers.str();
    return toml.str();
}

// Returns the relay's link between two sidecars, which stays the same across their restarts.
Tcp::endpoint SidecarConfig::peer_link(const std::string& from, const std::string& to) {
    Tcp::endpoint& link = peer_links_[{from, to}];
    if (link.port() == 0) link = relay_.peer_link(from, to);
    return link;
}

}  // namespace mothring::lab
