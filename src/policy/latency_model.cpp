#include "latency_model.hpp"

#include <algorithm>

namespace mothring {

namespace {

// Pooled means cover many servers, so they average over more samples and a longer time than the mean of one
// server.
constexpr double kPooledSamples = 5 * kMeanSamples;
constexpr Millis kPooledWindow = 4 * kRateWindow;

/// Returns the mean of `prior` and the server's own mean, weighted with kPriorResponses and with the number
/// of the server's recently completed attempts.
double blend(double prior, const Endpoint& endpoint, Millis now) {
    const double own_responses = endpoint.completed.value_at(now);
    const double own_weight_times_difference =
        (endpoint.relative_latency.value() - prior) * own_responses / (own_responses + kPriorResponses);
    return prior + own_weight_times_difference;
}

}  // namespace

void LatencyModel::record(Endpoint& endpoint, double relative_latency, Millis now) {
    endpoint.relative_latency.add(relative_latency, now, kMeanSamples, kRateWindow);
    const EndpointInfo& info = endpoint.info;
    by_kind_[info.kind].add(relative_latency, now, kPooledSamples, kPooledWindow);
    by_zone_and_kind_[{info.zone, info.kind}].add(relative_latency, now, kPooledSamples, kPooledWindow);
}

void LatencyModel::record_warming_up(double relative_latency, Millis now) {
    warming_up_.add(relative_latency, now, kMeanSamples, kRateWindow);
}

double LatencyModel::expected(const Endpoint& endpoint, Millis now) {
    const auto in_zone = by_zone_and_kind_.find({endpoint.info.zone, endpoint.info.kind});
    if (in_zone != by_zone_and_kind_.end()) return blend(in_zone->second.value(), endpoint, now);
    // A kind without a response gets an entry with a mean of 0, which makes the selector try it.
    return blend(by_kind_[endpoint.info.kind].value(), endpoint, now);
}

double LatencyModel::expected_warming_up(const Endpoint& endpoint, Millis now) const {
    return blend(warming_up_.value(), endpoint, now);
}

double LatencyModel::lowest_kind_mean() const {
    if (by_kind_.empty()) return kMinRelativeLatency;
    double lowest = 1;
    for (const auto& [kind, mean] : by_kind_)
        lowest = std::min(lowest, std::max(kMinRelativeLatency, mean.value()));
    return lowest;
}

}  // namespace mothring
