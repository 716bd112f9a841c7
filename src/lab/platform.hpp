// The stand-in platform of an experiment: scan servers, discovery, and the relay with a link from each
// sidecar to each of them.
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

class Platform {
public:
    // `scenario` must outlive it.
    explicit Platform(const Scenario& scenario);

    // Starts the servers and discovery, which lists them all.
    void start();
    // Where the sidecar reaches discovery. Once for each, after start().
    Tcp::endpoint add_viewer(const std::string& sidecar);

    Relay& relay() { return relay_; }
    // After start() only.
    DiscoveryStandIn& discovery() { return *discovery_; }
    // Throws std::out_of_range where there is none.
    ScanServer& server(std::size_t i) { return *servers_.at(i); }
    const std::vector<std::unique_ptr<ScanServer>>& servers() const { return servers_; }
    // What arrived at the servers.
    Ledger& ledger() { return *ledger_; }

private:
    void start_server(std::size_t i);

    const Scenario& scenario_;
    std::shared_ptr<Ledger> ledger_ = std::make_shared<Ledger>();
    Relay relay_;
    std::vector<std::unique_ptr<ScanServer>> servers_;
    std::map<std::pair<std::string, std::string>, Tcp::endpoint> links_;  // by sidecar and server
    std::unique_ptr<DiscoveryStandIn> discovery_;
};

}  // namespace mothring::lab
