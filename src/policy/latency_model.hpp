/// @file
/// A model of the servers' relative latencies: latencies divided by the latency objective of the request.
#pragma once

#include <map>
#include <utility>

#include "endpoint.hpp"
#include "mothring/events.hpp"

namespace mothring {

/// Estimates the relative latency of a server from the means of the server, of its kind of machine in its
/// zone, and of its kind. A sidecar with little traffic sends too few attempts to one server for a mean of
/// that server alone; the pooled means still tell slow kinds from fast ones and overloaded zones from idle
/// ones.
class LatencyModel {
public:
    /// Relative latencies below this value are treated as equal.
    static constexpr double kMinRelativeLatency = 0.05;

    /// Records the relative latency of an attempt at a server.
    void record(Endpoint& endpoint, double relative_latency, Millis now);
    /// Records the relative latency of an attempt at a server that is warming up, in the pooled mean of all
    /// such servers.
    void record_warming_up(double relative_latency, Millis now);

    /// Returns the relative latency that is expected of a server. The server's own mean is weighted by the
    /// number of its recent responses; the rest of the weight goes to the mean of its kind in its zone or, if
    /// that has no response, to the mean of its kind.
    double expected(const Endpoint& endpoint, Millis now);

    /// Returns the relative latency that is expected of a server that is warming up. The server's own mean is
    /// weighted as in expected(); the rest of the weight goes to the mean of all servers that are warming up.
    double expected_warming_up(const Endpoint& endpoint, Millis now) const;

    /// Returns the lowest mean of any kind of machine, but at least kMinRelativeLatency.
    double lowest_kind_mean() const;

private:
    std::map<KindId, DecayingMean> by_kind_;
    std::map<std::pair<ZoneId, KindId>, DecayingMean> by_zone_and_kind_;
    DecayingMean warming_up_;
};

}  // namespace mothring
