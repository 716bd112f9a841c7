#include "wire/instance.hpp"

#include <utility>
#include <vector>

namespace mothring::wire {

Instance::Instance(std::string instance_name, Site instance_site, std::uint64_t seed)
    : name(std::move(instance_name)), site(std::move(instance_site)), balancer(site.settings, seed) {}

ServerId Instance::server_id(const std::string& server_name) {
    const auto [at, is_new] = server_ids.try_emplace(server_name, next_server);
    if (is_new) servers[next_server++].name = server_name;
    return at->second;
}

void Instance::end_request(RequestId id) {
    const auto at = requests.find(id);
    if (at != requests.end()) at->second.ended = true;
    remove_request_if_finished(id);
}

void Instance::remove_request_if_finished(RequestId id) {
    const auto at = requests.find(id);
    if (at == requests.end() || !at->second.ended || at->second.in_flight > 0) return;
    request_ids.erase(at->second.name);
    requests.erase(at);
}

void Instance::remove_server_if_unused(ServerId id) {
    const auto at = servers.find(id);
    if (at == servers.end() || at->second.listed || at->second.in_flight > 0) return;
    server_ids.erase(at->second.name);
    servers.erase(at);
}

void Instance::remove_unused_servers() {
    std::vector<ServerId> ids;
    for (const auto& [id, server] : servers) ids.push_back(id);
    for (const ServerId id : ids) remove_server_if_unused(id);
}

}  // namespace mothring::wire
