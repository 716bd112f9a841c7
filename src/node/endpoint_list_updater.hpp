/// @file
/// Brings the lists of discovery to the endpoint directory and the Balancer.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>

#include "config/config.hpp"
#include "net/clock.hpp"
#include "node/discovery.hpp"
#include "node/endpoint_directory.hpp"
#include "node/event_loop.hpp"

namespace mothring::node {

/// Owns the watch at discovery.
class EndpointListUpdater {
public:
    /// @param clock, loop, endpoints  must outlive this.
    /// @param on_updated  the endpoints are those of a list that discovery has sent.
    EndpointListUpdater(boost::asio::io_context& io, const config::Config& config, const net::Clock& clock,
                        EventLoop& loop, EndpointDirectory& endpoints, std::function<void()> on_updated);

    /// Takes a list as known before this start.
    void use_cached(const config::DiscoveryList& list) { update(ListKind::cached, list); }
    /// Watches the list, or ends the watch.
    void watch(bool active) { discovery_.watch(active); }
    /// Discovery has another address.
    void move(const net::Tcp::endpoint& address);

    Discovery::State state() const { return discovery_.state(); }

private:
    void update(ListKind kind, const config::DiscoveryList& list);
    void report_failure(const Discovery::Failure& failure);
    ServerStartTimes::Moment moment_of(ListKind kind) const;

    const net::Clock& clock_;
    EventLoop& loop_;
    EndpointDirectory& endpoints_;
    std::function<void()> on_updated_;
    /// Absent: it has not.
    std::optional<Millis> moved_at_;
    Discovery discovery_;
};

}  // namespace mothring::node
