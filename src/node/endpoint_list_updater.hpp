/// @file
/// Passes the endpoint lists of discovery on to the endpoint directory and the Balancer.
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

/// Owns the client of discovery, and applies the lists that it receives.
class EndpointListUpdater {
public:
    /// @param clock, loop, endpoints  must outlive this.
    /// @param on_updated  called after each list that discovery has sent, once the endpoints are updated.
    EndpointListUpdater(boost::asio::io_context& io, const config::Config& config, const net::Clock& clock,
                        EventLoop& loop, EndpointDirectory& endpoints, std::function<void()> on_updated);

    /// Applies a list that was stored before this process started.
    void use_cached(const config::DiscoveryList& list) { update(ListKind::cached, list); }
    /// Starts or ends the watch of the endpoint list.
    void watch(bool active) { discovery_.watch(active); }
    /// Changes the address of discovery.
    void change_address(const net::Tcp::endpoint& address);

    Discovery::State state() const { return discovery_.state(); }

private:
    void update(ListKind kind, const config::DiscoveryList& list);
    void report_failure(const Discovery::Failure& failure);
    ServerStartTimes::Moment moment_of(ListKind kind) const;

    const net::Clock& clock_;
    EventLoop& loop_;
    EndpointDirectory& endpoints_;
    std::function<void()> on_updated_;
    /// When the address of discovery was last changed. Absent: it has not been changed.
    std::optional<Millis> address_changed_at_;
    Discovery discovery_;
};

}  // namespace mothring::node
