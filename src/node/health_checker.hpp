/// @file
/// Health checks of servers.
#pragma once

#include <boost/asio/io_context.hpp>

#include "net/clock.hpp"
#include "node/endpoint_directory.hpp"
#include "node/event_loop.hpp"
#include "node/lifetime_guard.hpp"
#include "node/upstream_pool.hpp"

namespace mothring::node {

/// References to the objects that the checker uses; they must outlive the checker.
struct HealthCheckerParts {
    boost::asio::io_context& io;
    const net::Clock& clock;
    EventLoop& loop;
    const EndpointDirectory& endpoints;
    UpstreamPool& upstream;
};

/// Executes health checks: sends a GET request to a server and reports the outcome and the duration.
class HealthChecker {
public:
    /// @param is_allowed  whether the settings permit health checks; if not, each check ends as not sent.
    HealthChecker(const HealthCheckerParts& parts, bool is_allowed)
        : parts_(parts), is_allowed_(is_allowed) {}

    /// Sends a health check to a server. The result is reported by the event HealthCheckEnded.
    void check(ServerId server);

private:
    HealthCheckerParts parts_;
    bool is_allowed_;
    LifetimeGuard guard_;
};

}  // namespace mothring::node
