/// @file
/// The requirements of the platform: whether an attempt may be sent, and whether a request may be rejected.
#pragma once

#include "endpoint.hpp"
#include "mothring/settings.hpp"
#include "request.hpp"
#include "slow_start.hpp"

namespace mothring {

/// Checks the platform's requirements. The policy checks every attempt with may_send() and every rejection
/// with may_reject().
class AttemptRules {
public:
    /// All references must outlive this object.
    AttemptRules(const Settings& settings, const SlowStart& slow_start)
        : settings_(settings), slow_start_(slow_start) {}

    /// Returns whether the request may be sent to the server now. Refills the server's token bucket if the
    /// server is warming up.
    bool may_send(const Request& request, Endpoint& endpoint, Millis now) const;

    /// Returns whether the request may be rejected. A rejection tells the client that it may safely retry, so
    /// the request must have had no effect, or a repeat must be harmless.
    bool may_reject(const Request& request, Millis now) const;

private:
    bool may_start_attempt(const Request& request, Millis now) const;
    static bool allows_possible_repeat(const Request& request, const EndpointInfo& server, Millis now);

    const Settings& settings_;
    const SlowStart& slow_start_;
};

}  // namespace mothring
