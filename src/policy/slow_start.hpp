/// @file
/// How much a server that is warming up is sent.
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
/// A server does at least Settings::slow_start_min_capacity of its work at its start, rising evenly to all of
/// it. It is sent that share of what a warm server carries for this sidecar, so that the sum over all
/// sidecars stays within what it can do without agreement among them. The measure is what is completed and
/// not what is asked for, which in a storm of retries is many times what a warm server can do.
class SlowStart {
public:
    /// All references must outlive this.
    SlowStart(const Settings& settings, const CapacitySurvey& survey, const LatencyModel& latencies,
              const FleetShare& fleet)
        : settings_(settings), survey_(survey), latencies_(latencies), fleet_(fleet) {}

    /// A server was started: its bucket is filled by chance, as the sidecars' tokens must not fall together.
    static void reset(Endpoint& endpoint, Random& random, Millis now);

    /// Whether a server that is warming up may be sent an attempt now.
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
