/// @file
/// How long responses take, as shares of their latency objectives.
#pragma once

#include <map>
#include <utility>

#include "endpoint.hpp"
#include "mothring/events.hpp"

namespace mothring {

/// Relative latencies of each server, of each kind of machine in each zone, and of each kind. A sidecar with
/// little traffic meets a server too seldom to know it, but knows its kind, and a crowded zone from a free
/// one.
class LatencyModel {
public:
    /// Latencies below this share of the objective are all alike.
    static constexpr double kMinRelativeLatency = 0.05;

    /// Takes the relative latency of an attempt at a server.
    void record(Endpoint& endpoint, double relative_latency, Millis now);
    /// Takes that of an attempt at a server that is warming up.
    void record_warming_up(double relative_latency, Millis now);

    /// What is expected of a server: its own mean as far as it has responses of late, else that of its kind
    /// in its zone, else that of its kind.
    double expected(const Endpoint& endpoint, Millis now);

    /// What is expected of a server that is warming up: its own mean, else that of all such servers.
    double expected_warming_up(const Endpoint& endpoint, Millis now) const;

    /// The least of any kind, kMinRelativeLatency at least.
    double lowest_kind_mean() const;

private:
    std::map<KindId, DecayingMean> by_kind_;
    std::map<std::pair<ZoneId, KindId>, DecayingMean> by_zone_and_kind_;
    DecayingMean warming_up_;
};

}  // namespace mothring
