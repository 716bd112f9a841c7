/// @file
/// The servers by name and identifier, and what the sockets need to know of them.
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

/// Gives each server an identifier and turns the lists of discovery into events. A server is kept while it is
/// listed or has an attempt in flight; if it comes back later, it gets a new identifier.
class EndpointDirectory {
public:
    /// @param site, clock, upstream  must outlive this.
    EndpointDirectory(Site& site, const net::Clock& clock, UpstreamPool& upstream)
        : site_(site), clock_(clock), upstream_(upstream) {}

    /// Takes the entries of a list.
    /// @param moment  when it came.
    /// @return the event that reports them.
    EndpointList update(ListKind kind, const config::DiscoveryList& list,
                        const ServerStartTimes::Moment& moment);
    /// The servers that may be gone by a list: of an incremental one those that it names, however many are
    /// listed, else any.
    std::vector<ServerId> affected_by(const EndpointList& list) const;

    /// An attempt on a server begins or ends. Unknown servers are ignored.
    void add_attempt(ServerId id);
    void remove_attempt(ServerId id);

    /// Drops a server that is not listed and has no attempt in flight.
    void forget_if_gone(ServerId id);

    bool contains(ServerId id) const { return endpoints_.contains(id); }
    /// Listed, as active or draining.
    bool is_listed(ServerId id) const;
    /// Listed as active: it may be sent new requests.
    bool is_active(ServerId id) const;
    /// Empty: not known.
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
