/// @file
/// What a Balancer wants done, in the order in which it is to be done.
#pragma once

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "mothring/types.hpp"

namespace mothring {

/// Sends a request to a server.
struct SendAttempt {
    RequestId id = 0;
    ServerId server = 0;
    /// The caller ends the attempt with Outcome::timed_out at this time.
    Millis deadline = 0;
    /// An attempt whose first byte can't be written before this time, as its connection comes up late, is not
    /// sent (Outcome::not_sent).
    Millis send_by = 0;
};

/// Withdraws an attempt that is in flight.
struct CancelAttempt {
    RequestId id = 0;
    std::uint32_t attempt = 0;
};

/// The final answer to a request that has had no effect: the client may safely retry.
struct RejectRequest {
    RequestId id = 0;
    /// The Retry-After; 0: none.
    Millis retry_after = 0;
};

/// The final answer to a request that failed; it may have had an effect.
struct FailRequest {
    RequestId id = 0;
};

/// Asks for a TimerFired event.
struct SetTimer {
    Millis at = 0;
    TimerToken token = 0;
};

/// Asks a server whether it is healthy. The simulator's wire defines it; no decision takes it.
struct HealthCheck {
    ServerId server = 0;
};

/// Closes idle connections to a server. The simulator's wire defines it; no decision takes it.
struct CloseIdleConnections {
    ServerId server = 0;
};

/// Sends a message to another sidecar. The simulator's wire defines it; no decision takes it.
struct SendToPeer {
    /// Absent: to all of them.
    std::optional<std::uint32_t> to{};
    std::vector<std::uint8_t> bytes{};
};

/// Subscribes to the endpoint list, or ends the subscription.
struct Subscribe {
    bool active = true;
};

/// Reports that a server was found to be an outlier and is sent nothing for a while. For the log only.
struct EndpointEjected {
    ServerId server = 0;
    /// The earliest time of its half-open trial.
    Millis until = 0;
};

/// Reports that an ejected server passed its half-open trial. For the log only.
struct EndpointRestored {
    ServerId server = 0;
};

using Action = std::variant<SendAttempt, CancelAttempt, RejectRequest, FailRequest, SetTimer, HealthCheck,
                            CloseIdleConnections, SendToPeer, Subscribe, EndpointEjected, EndpointRestored>;

}  // namespace mothring
