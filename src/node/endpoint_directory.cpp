#include "node/endpoint_directory.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <utility>

#include "net/log.hpp"

namespace mothring::node {

EndpointList EndpointDirectory::update(ListKind kind, const config::DiscoveryList& list,
                                       const ServerStartTimes::Moment& moment) {
    EndpointList event{kind, {}};
    if (kind != ListKind::incremental)
        for (auto& [id, endpoint] : endpoints_) set_state(endpoint, EndpointState::removed);
    for (const config::DiscoveredServer& entry : list.members)
        event.servers.push_back(update_entry(entry, moment));
    return event;
}

std::vector<ServerId> EndpointDirectory::affected_by(const EndpointList& list) const {
    std::vector<ServerId> affected;
    if (list.kind == ListKind::incremental) {
        for (const EndpointInfo& server : list.servers) affected.push_back(server.id);
    } else {
        for (const auto& [id, endpoint] : endpoints_) affected.push_back(id);
    }
    return affected;
}

EndpointInfo EndpointDirectory::update_entry(const config::DiscoveredServer& entry,
                                             const ServerStartTimes::Moment& moment) {
    const ServerId id = id_of(entry.id);
    Endpoint& endpoint = endpoints_[id];
    set_state(endpoint, entry.state);
    if (endpoint.is_listed()) upstream_.set_server(id, entry.address, entry.started);
    const Millis start = started_at(entry, moment);
    return {id,
            site_.zone(entry.zone),
            entry.cell,
            entry.state,
            start,
            site_.kind(entry.kind),
            XXH64(entry.id.data(), entry.id.size(), 0)};
}

ServerId EndpointDirectory::id_of(const std::string& name) {
    const auto [at, is_new] = ids_.try_emplace(name, next_id_);
    if (is_new) {
        endpoints_[next_id_].name = name;
        ++next_id_;
    }
    return at->second;
}

void EndpointDirectory::set_state(Endpoint& endpoint, EndpointState state) {
    if (endpoint.is_listed()) --listed_count_;
    endpoint.state = state;
    if (endpoint.is_listed()) ++listed_count_;
}

Millis EndpointDirectory::started_at(const config::DiscoveredServer& entry,
                                     const ServerStartTimes::Moment& moment) {
    const ServerStartTimes::Start start = start_times_.start_of(entry.id, entry.started, moment);
    if (start.has_changed && start.is_dated)
        net::log(net::LogLevel::info, "server.start_dated", {{"server", entry.id}});
    else if (start.has_changed)
        net::log(net::LogLevel::warn, "server.start_not_dated",
                 {{"server", entry.id}, {"started_ms", entry.started}, {"taken_for", "started just now"}});
    return start.at;
}

void EndpointDirectory::add_attempt(ServerId id) {
    if (const auto endpoint = endpoints_.find(id); endpoint != endpoints_.end())
        ++endpoint->second.attempts_in_flight;
}

void EndpointDirectory::remove_attempt(ServerId id) {
    if (const auto endpoint = endpoints_.find(id); endpoint != endpoints_.end())
        --endpoint->second.attempts_in_flight;
}

void EndpointDirectory::erase_if_unused(ServerId id) {
    const auto at = endpoints_.find(id);
    if (at == endpoints_.end()) return;
    const Endpoint& endpoint = at->second;
    if (endpoint.is_listed() || endpoint.attempts_in_flight > 0) return;
    upstream_.forget_server(id);
    start_times_.on_unlisted(endpoint.name, clock_.now());
    ids_.erase(endpoint.name);
    endpoints_.erase(at);
}

bool EndpointDirectory::is_listed(ServerId id) const {
    const auto endpoint = endpoints_.find(id);
    return endpoint != endpoints_.end() && endpoint->second.is_listed();
}

bool EndpointDirectory::is_active(ServerId id) const {
    const auto endpoint = endpoints_.find(id);
    return endpoint != endpoints_.end() && endpoint->second.state == EndpointState::active;
}

std::string EndpointDirectory::name_of(ServerId id) const {
    const auto endpoint = endpoints_.find(id);
    return endpoint == endpoints_.end() ? "" : endpoint->second.name;
}

}  // namespace mothring::node
