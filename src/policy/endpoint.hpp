/// @file
/// The state that the policy stores for each server, with one record for each class that maintains it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "mothring/events.hpp"
#include "parameters.hpp"
#include "statistics.hpp"
#include "success_window.hpp"

namespace mothring {

/// Whether a server may receive attempts, as decided by outlier detection.
enum class Health {
    healthy,
    ejected,   ///< The server receives no attempt until its ejection time is over, then a half-open trial.
    half_open  ///< The half-open trial is in flight.
};

/// The outlier detection's state of a server, maintained by OutlierDetector.
struct OutlierRecord {
    Health health = Health::healthy;
    Millis ejected_until = 0;
    SuccessWindow window;
    /// By class index: the time before which the server is avoided by requests of the class.
    std::map<std::uint32_t, Millis> avoided_until;
};

/// The token bucket of a server that is warming up, maintained by SlowStart. It holds at most one attempt.
struct WarmUpTokens {
    double count = 0;
    Millis refilled_at = 0;
};

/// The times of a server's last responses and failures, maintained by Balancer and OutcomeRecorder as
/// attempts start and end.
struct Activity {
    /// The time of the last response of any kind.
    Millis responded_at = 0;
    /// The sending time of the most recently sent attempt that was completed.
    Millis accepted_at = kLongAgo;
    /// The time of the last outcome that is typical of a server that has been removed.
    Millis suspected_at = kLongAgo;
    /// While attempts are in flight: the time of the last response or, if there was none since the server was
    /// idle, the time at which the first of them was sent.
    Millis unresponsive_since = 0;
};

/// A server's entries in the indexes of EndpointSet, which maintains them.
struct EndpointIndex {
    /// Whether the server is in the subset that this sidecar uses.
    bool in_subset = false;
    /// The kind of machine under which the server is counted as active; absent if it is not counted.
    std::optional<KindId> active_kind;
};

/// A server of the endpoint list, or one that still has attempts in flight.
struct Endpoint {
    EndpointInfo info;
    bool listed = true;
    /// The number of attempts in flight at the server.
    int in_flight = 0;
    EndpointIndex index;
    OutlierRecord outlier;
    WarmUpTokens warm_up_tokens;
    Activity activity;
    /// The number of recently completed attempts.
    DecayingSum completed{kRateWindow};
    /// The mean of recent latencies, each divided by the latency objective of its request.
    DecayingMean relative_latency;

    bool is_active() const { return listed && info.state == EndpointState::active; }
    bool is_healthy() const { return outlier.health == Health::healthy; }

    /// Returns whether attempts have been in flight for longer than `duration` without any response.
    bool is_unresponsive_for(Millis duration, Millis now) const {
        return in_flight > 0 && now - activity.unresponsive_since > duration;
    }
};

}  // namespace mothring
