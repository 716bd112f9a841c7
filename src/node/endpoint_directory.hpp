/// @file
/// The directory of servers, by name and by identifier.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/config.hpp"
#include "mothring/events.hpp"
#include "net/clock.hpp"
#include "node/server_start_times.hpp"
#include "node/upstream_pool.hpp"

namespace mothring::node {

/// Gives each server an identifier, converts the lists of discovery into events, and passes the servers'
/// addresses on to the upstream pool. A server is kept while it is listed or has an attempt in flight; one
/// that is listed again later gets a new identifier.
class EndpointDirectory {
public:
    /// @param site, clock, upstream  must outlive this.
    EndpointDirectory(Site& site, const net::Clock& clock, UpstreamPool& upstream)
        : site_(site), clock_(clock), upstream_(upstream) {}

    /// Applies the entries of a list.
    /// @param moment  when the list was received.
    /// @return the event that reports the entries to the Balancer.
    EndpointList update(ListKind kind, const config::DiscoveryList& list,
                        const ServerStartTimes::Moment& moment);
    /// Returns the servers that a list may have removed. For an incremental list these are only the servers
    /// that it names, so that the cost does not grow with the number of listed servers; for any other list,
    /// all.
    std::vector<ServerId> affected_by(const EndpointList& list) const;

    /// Counts an attempt in flight to a server, or its end. Unknown servers are ignored.
    void add_attempt(ServerId id);
    void remove_attempt(ServerId id);

    /// Removes a server that is not listed and has no attempt in flight.
    void erase_if_unused(ServerId id);

    bool contains(ServerId id) const { return endpoints_.contains(id); }
    /// Whether the server is listed, as active or draining.
    bool is_listed(ServerId id) const;
    /// Whether the server is listed as active, so that new requests may be sent to it.
    bool is_active(ServerId id) const;
    /// Returns the name of a server; empty if it is unknown.
    std::string name_of(ServerId id) const;
    std::size_t listed_count() const { return listed_count_; }

private:
    struct Endpoint {
        std::string name;
        std::size_t attempts_in_flight = 0;
        EndpointState state = EndpointState::removed;

        bool is_listed() const { return state != EndpointState::removed; }
    };

    EndpointInfo update_entry(const config::DiscoveredServer& entry, const ServerStartTimes::Moment& moment);
    ServerId id_of(const std::string& name);
    void set_state(Endpoint& endpoint, EndpointState state);
    Millis started_at(const config::DiscoveredServer& entry, const ServerStartTimes::Moment& moment);

    Site& site_;
    const net::Clock& clock_;
    UpstreamPool& upstream_;
    std::map<ServerId, Endpoint> endpoints_;
    std::unordered_map<std::string, ServerId> ids_;
    ServerId next_id_ = 1;
    std::size_t listed_count_ = 0;
    ServerStartTimes start_times_;
};

}  // namespace mothring::node
