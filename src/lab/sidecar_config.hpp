/// @file
/// Generated configuration of the lab's sidecars.
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

/// Addresses on which a sidecar listens, and the address at which it calls discovery. A port is 0 until the
/// operating system has chosen one.
struct SidecarAddresses {
    Tcp::endpoint listen{any_tcp_port}, operators{any_tcp_port};
    Udp::endpoint peers{any_udp_port};  ///< the membership's address if it is enabled
    Tcp::endpoint discovery;
};

/// Writes the files with which a sidecar is started: the platform's settings (LB_CONFIG) and the options
/// (TOML). All addresses that the sidecar connects to lead through the relay.
class SidecarConfig {
public:
    /// `scenario` and `relay` must outlive this object.
    SidecarConfig(const Scenario& scenario, Relay& relay);

    /// Writes config.json and sidecar.toml for sidecar `i` into `folder`. `starts` is the number of earlier
    /// starts of the sidecar, because each process instance has its own seed. `known` is the initial server
    /// list.
    void write(std::size_t i, unsigned starts, const SidecarAddresses& addresses, const nlohmann::json& known,
               const std::filesystem::path& folder);
    /// Returns the membership's shared key, which is generated for each experiment.
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
