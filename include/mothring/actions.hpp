/// @file
/// The actions that a Balancer requests. The caller must carry them out in the order in which they are
/// appended.
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
    /// The time at which the caller must end the attempt with Outcome::timed_out.
    Millis deadline = 0;
    /// The latest time for the first byte of the attempt. If the connection is established later, the caller
    /// must not send the attempt and must report Outcome::not_sent.
    Millis send_by = 0;
};

/// Cancels an attempt that is in flight.
struct CancelAttempt {
    RequestId id = 0;
    std::uint32_t attempt = 0;
};

/// Gives the final answer to a request that has had no effect, or whose repeat is harmless. The client may
/// safely retry.
struct RejectRequest {
    RequestId id = 0;
    /// The value of Retry-After; 0 means that none is given.
    Millis retry_after = 0;
};

/// Gives the final answer to a request that failed and may have had an effect.
struct FailRequest {
    RequestId id = 0;
};

/// Requests a TimerFired event.
struct SetTimer {
    Millis at = 0;
    TimerToken token = 0;
};

/// Checks the health of a server. The simulator's protocol defines this action; the balancer never requests
/// it.
struct HealthCheck {
    ServerId server = 0;
};

/// Closes idle connections to a server. The simulator's protocol defines this action; the balancer never
/// requests it.
struct CloseIdleConnections {
    ServerId server = 0;
};

/// Sends a message to another sidecar. The simulator's protocol defines this action; the balancer never
/// requests it.
struct SendToPeer {
    /// The recipient; all sidecars if absent.
    std::optional<std::uint32_t> to{};
    std::vector<std::uint8_t> bytes{};
};

/// Subscribes to the endpoint list, or ends the subscription.
struct Subscribe {
    bool active = true;
};

/// Reports that a server was ejected as an outlier and is sent no requests for some time. Used only for the
/// log.
struct EndpointEjected {
    ServerId server = 0;
    /// The earliest time of the server's half-open trial.
    Millis until = 0;
};

/// Reports that an ejected server passed its half-open trial. Used only for the log.
struct EndpointRestored {
    ServerId server = 0;
};

using Action = std::variant<SendAttempt, CancelAttempt, RejectRequest, FailRequest, SetTimer, HealthCheck,
                            CloseIdleConnections, SendToPeer, Subscribe, EndpointEjected, EndpointRestored>;

}  // namespace mothring
