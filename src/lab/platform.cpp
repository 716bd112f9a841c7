#include "lab/platform.hpp"

namespace mothring::lab {

Platform::Platform(const Scenario& scenario) : scenario_(scenario), relay_(scenario.seed) {}

void Platform::start() {
    discovery_ = std::make_unique<DiscoveryStandIn>(
        [this](const std::string& viewer, const std::string& server) {
            return links_.at({viewer, server});
        },
        scenario_.discovery_service);
    std::vector<DiscoveryStandIn::Entry> entries;
    for (std::size_t i = 0; i < scenario_.servers; ++i) {
        start_server(i);
        entries.push_back({scenario_.server_name(i), scenario_.zone(i)});
    }
    discovery_->put(entries);
}

void Platform::start_server(std::size_t i) {
    const std::string name = scenario_.server_name(i);
    servers_.push_back(std::make_unique<ScanServer>(name, scenario_.zone(i), scenario_.behaviour,
                                                    scenario_.seed * 1000 + i, ledger_));
    for (std::size_t n = 0; n < scenario_.sidecars; ++n) {
        const std::string sidecar = scenario_.sidecar_name(n);
        links_[{sidecar, name}] = relay_.tcp_link(sidecar, name, servers_.back()->address());
    }
}

Tcp::endpoint Platform::add_viewer(const std::string& sidecar) {
    return relay_.tcp_link(sidecar, "discovery", discovery_->add_viewer(sidecar));
}

}  // namespace mothring::lab
