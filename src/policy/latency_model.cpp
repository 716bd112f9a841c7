#include "latency_model.hpp"

#include <algorithm>

namespace mothring {

namespace {

/// Means over many servers follow this many times the samples, and the time, of those of one server.
constexpr double kPooledSamples = 5 * kMeanSamples;
constexpr Millis kPooledWindow = 4 * kRateWindow;

/// A server's own mean, as far as it has completed attempts of late, else the prior.
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
    const auto of_place = by_zone_and_kind_.find({endpoint.info.zone, endpoint.info.kind});
    if (of_place != by_zone_and_kind_.end()) return blend(of_place->second.value(), endpoint, now);
    // A kind with no response yet counts as quick from here on, so that it is tried.
    return blend(by_kind_[endpoint.info.kind].value(), endpoint, now);
}

double LatencyModel::expected_warming_up(const Endpoint& endpoint, Millis now) const {
    return blend(warming_up_.value(), endpoint, now);
}

double LatencyModel::lowest_kind_mean() const {
    if (by_kind_.empty()) return kMinRelativeLatency;
    double quickest = 1;
    for (const auto& [kind, mean] : by_kind_)
        quickest = std::min(quickest, std::max(kMinRelativeLatency, mean.value()));
    return quickest;
}

}  // namespace mothring
