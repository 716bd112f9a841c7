/// @file
/// The simulated platform of an experiment: scan servers, discovery, and a relay with a link from each
/// sidecar to each scan server and to discovery.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "lab/discovery.hpp"
#include "lab/relay.hpp"
#include "lab/scan_server.hpp"
#include "lab/scenario.hpp"

namespace mothring::lab {

/// Creates and owns the simulated servers, discovery and the relay.
class Platform {
public:
    /// `scenario` must outlive the platform.
    explicit Platform(const Scenario& scenario);

    /// Starts the servers, and discovery with all of them in its list.
    void start();
    /// Returns the address at which the sidecar reaches discovery. Must be called once for each sidecar,
    /// after start().
    Tcp::endpoint add_viewer(const std::string& sidecar);

    Relay& relay() { return relay_; }
    /// Must be called after start().
    DiscoveryStandIn& discovery() { return *discovery_; }
    /// Throws std::out_of_range if there is no server `i`.
    ScanServer& server(std::size_t i) { return *servers_.at(i); }
    const std::vector<std::unique_ptr<ScanServer>>& servers() const { return servers_; }
    /// Returns the record of the requests that arrived at the servers.
    Ledger& ledger() { return *ledger_; }

private:
    void start_server(std::size_t i);

    const Scenario& scenario_;
    std::shared_ptr<Ledger> ledger_ = std::make_shared<Ledger>();
    Relay relay_;
    std::vector<std::unique_ptr<ScanServer>> servers_;
    /// Addresses of the links, by sidecar and server.
    std::map<std::pair<std::string, std::string>, Tcp::endpoint> links_;
    std::unique_ptr<DiscoveryStandIn> discovery_;
};

}  // namespace mothring::lab
