// The files a sidecar of the lab is started with: the platform's settings (LB_CONFIG) and the options (TOML).
// All that it reaches, it reaches through the relay.
#pragma once

#include <filesystem>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "lab/asio.hpp"
#include "lab/relay.hpp"
#include "lab/scenario.hpp"

namespace mothring::lab {

// Where a sidecar listens, and reaches discovery. Port 0 until the system chose one.
struct SidecarAddresses {
    Tcp::endpoint listen{any_tcp_port}, operators{any_tcp_port};
    Udp::endpoint peers{any_udp_port};  // the cluster's address where that is on
    Tcp::endpoint discovery;
};

class SidecarConfig {
public:
    // Both must outlive it.
    SidecarConfig(const Scenario& scenario, Relay& relay);

    // Writes config.json and sidecar.toml for sidecar `i` into `folder`. `starts`: how often it was started
    // before, as each life has a seed of its own; `known`: the servers' list to begin with.
    void write(std::size_t i, unsigned starts, const SidecarAddresses& addresses, const nlohmann::json& known,
               const std::filesystem::path& folder);
    // The membership's shared key, another for each experiment.
    const std::string& cluster_key() const { return cluster_key_; }

private:
    nlohmann::json platform(std::size_t i, unsigned starts, const SidecarAddresses& addresses,
                            const nlohmann::json& known);
    nlohmann::json settings(std::size_t i) const;
    std::string options(std::size_t i, const SidecarAddresses& addresses);
    std::string cluster_options(std::size_t i, const SidecarAddresses& addresses);
    Tcp::endpoint peer_link(const std::string& from, const std::string& to);

    const Scenario& scenario_;
    Relay& relay_;
    std::string cluster_key_;
    std::map<std::pair<std::string, std::string>, Tcp::endpoint> peer_links_;
};

}  // namespace mothring::lab
