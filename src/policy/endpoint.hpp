/// @file
/// What the policy keeps of each server: a record for each part that decides by it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "mothring/events.hpp"
#include "parameters.hpp"
#include "statistics.hpp"
#include "success_window.hpp"

namespace mothring {

/// Whether a server is in the pool.
enum class Health {
    healthy,
    ejected,   ///< Sent nothing until its ejection time is over, then one attempt.
    half_open  ///< That attempt is in flight.
};

/// Kept by OutlierDetector.
struct OutlierRecord {
    Health health = Health::healthy;
    Millis ejected_until = 0;
    SuccessWindow window;
    /// By class: it is sent none of the class before this time.
    std::map<std::uint32_t, Millis> avoided_until;
};

/// Kept by SlowStart: a token bucket of at most one attempt.
struct WarmUpTokens {
    double count = 0;
    Millis refilled_at = 0;
};

/// Signs of life, kept by the balancer as attempts start and end.
struct Activity {
    /// The last response of any kind.
    Millis responded_at = 0;
    /// When the latest attempt that has been completed was sent.
    Millis accepted_at = kLongAgo;
    /// The last outcome like that of a server that has left.
    Millis suspected_at = kLongAgo;
    /// While attempts are in flight: since when there has been no response.
    Millis unresponsive_since = 0;
};

/// Kept by EndpointSet: where the server stands in its indexes.
struct EndpointIndex {
    /// In the subset of servers that this sidecar uses.
    bool in_subset = false;
    /// The kind under which it is counted as active; absent: it is not.
    std::optional<KindId> active_kind;
};

/// A server.
struct Endpoint {
    EndpointInfo info;
    bool listed = true;
    /// Attempts in flight.
    int in_flight = 0;
    EndpointIndex index;
    OutlierRecord outlier;
    WarmUpTokens warm_up_tokens;
    Activity activity;
    /// Completed attempts of late.
    DecayingSum completed{kRateWindow};
    /// Its latencies of late, as shares of their objectives.
    DecayingMean relative_latency;

    bool is_active() const { return listed && info.state == EndpointState::active; }
    bool is_healthy() const { return outlier.health == Health::healthy; }

    /// Attempts have been in flight for longer than `length` without any response.
    bool is_unresponsive_for(Millis length, Millis now) const {
        return in_flight > 0 && now - activity.unresponsive_since > length;
    }
};

}  // namespace mothring
