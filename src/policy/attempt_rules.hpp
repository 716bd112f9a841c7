/// @file
/// The platform's rules: whether an attempt may be sent, and whether a request may be rejected.
#pragma once

#include "endpoint.hpp"
#include "mothring/settings.hpp"
#include "request.hpp"
#include "slow_start.hpp"

namespace mothring {

/// The only gates: no attempt and no rejection leaves the policy without passing them.
class AttemptRules {
public:
    /// All references must outlive this.
    AttemptRules(const Settings& settings, const SlowStart& slow_start)
        : settings_(settings), slow_start_(slow_start) {}

    /// Whether the request may be sent to the server now. Refills the server's token bucket if it is warming
    /// up.
    bool may_send(const Request& request, Endpoint& endpoint, Millis now) const;

    /// Whether the client may be promised that its request had no effect, or may have it again.
    bool may_reject(const Request& request, Millis now) const;

private:
    bool may_start_attempt(const Request& request, Millis now) const;
    static bool allows_possible_repeat(const Request& request, const EndpointInfo& server, Millis now);

    const Settings& settings_;
    const SlowStart& slow_start_;
};

}  // namespace mothring
