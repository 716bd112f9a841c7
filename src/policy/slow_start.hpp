/// @file
/// Slow start: limits the attempts sent to a server that is warming up.
#pragma once

#include "capacity_survey.hpp"
#include "endpoint.hpp"
#include "fleet_share.hpp"
#include "latency_model.hpp"
#include "mothring/settings.hpp"
#include "random.hpp"

namespace mothring {

/// A token bucket for each server that is warming up.
///
/// A server has at least Settings::slow_start_min_capacity of its capacity when it starts, and its capacity
/// then rises linearly to the full value. It is sent that share of the rate at which a warm server completes
/// attempts for this sidecar. The sum over all sidecars then stays within the server's capacity without
/// coordination among the sidecars. The rate counts completed attempts and not arrivals, because in a retry
/// storm arrivals are many times what a warm server can handle.
class SlowStart {
public:
    /// All references must outlive this object.
    SlowStart(const Settings& settings, const CapacitySurvey& survey, const LatencyModel& latencies,
              const FleetShare& fleet)
        : settings_(settings), survey_(survey), latencies_(latencies), fleet_(fleet) {}

    /// Resets the bucket of a server that has just started. The initial fill is random, so that the tokens of
    /// different sidecars do not become available at the same time.
    static void reset(Endpoint& endpoint, Random& random, Millis now);

    /// Refills the bucket of a server that is warming up, and returns whether the server may be sent an
    /// attempt.
    bool has_token(Endpoint& endpoint, Millis now) const;
    static void take_token(Endpoint& endpoint) { endpoint.warm_up_tokens.count -= 1; }

private:
    double tokens_per_millisecond(const Endpoint& endpoint, Millis now) const;

    const Settings& settings_;
    const CapacitySurvey& survey_;
    const LatencyModel& latencies_;
    const FleetShare& fleet_;
};

}  // namespace mothring
