/// @file
/// Health checks: one request to a server, with a timeout.
#pragma once

#include <boost/asio/io_context.hpp>

#include "net/clock.hpp"
#include "node/endpoint_directory.hpp"
#include "node/event_loop.hpp"
#include "node/lifetime_guard.hpp"
#include "node/upstream_pool.hpp"

namespace mothring::node {

/// What the checker works with; all of it must outlive the checker.
struct HealthCheckerParts {
    boost::asio::io_context& io;
    const net::Clock& clock;
    EventLoop& loop;
    const EndpointDirectory& endpoints;
    UpstreamPool& upstream;
};

class HealthChecker {
public:
    /// @param is_allowed  the settings permit health checks; without it each ends as not sent.
    HealthChecker(const HealthCheckerParts& parts, bool is_allowed)
        : parts_(parts), is_allowed_(is_allowed) {}

    /// Checks a server; HealthCheckEnded tells how that ended.
    void check(ServerId server);

private:
    HealthCheckerParts parts_;
    bool is_allowed_;
    LifetimeGuard guard_;
};

}  // namespace mothring::node
