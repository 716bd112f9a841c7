#include "admission_controller.hpp"

#include <algorithm>
#include <cmath>

namespace mothring {

namespace {

constexpr double kInitialLimit = 1000;
/// The limit changes by this share in a millisecond for each unit of relative latency off the target.
constexpr double kAdjustmentRate = 0.004;
/// The longest time without enough samples that one adjustment makes up for.
constexpr Millis kMaxAdjustmentTime = 1000;
/// The part of the demand that the limit always leaves.
constexpr double kMinDemandShare = 0.25;
/// The part of the limit that is open to every class, whatever its weight.
constexpr double kCommonShare = 0.6;
/// Of what is in flight, what the servers can take before they congest.
constexpr double kSpareCapacity = 1.25;
/// A response is expected after this multiple of the mean duration.
constexpr double kDurationMargin = 1.25;
constexpr Millis kDurationWindow = 4 * kRateWindow;
/// Of the shortest objective, the time constant of the short mean.
constexpr double kShortMeanObjectives = 3;
/// So that weights which are all 0 can be divided by the highest.
constexpr double kMinHighestWeight = 1e-9;

double highest_weight(const Settings& settings) {
    double highest = kMinHighestWeight;
    for (const RequestClass& request_class : settings.classes)
        highest = std::max(highest, request_class.priority_weight);
    return highest;
}

Millis shortest_objective(const Settings& settings) {
    Millis shortest = kRateWindow;
    for (const RequestClass& request_class : settings.classes)
        shortest = std::min(shortest, request_class.latency_objective);
    return shortest;
}

}  // namespace

AdmissionController::AdmissionController(const Settings& settings, CapacitySurvey& survey,
                                         const FleetShare& fleet)
    : settings_(settings),
      survey_(survey),
      fleet_(fleet),
      highest_weight_(highest_weight(settings)),
      shortest_objective_(shortest_objective(settings)),
      limit_(kInitialLimit) {}

bool AdmissionController::may_admit(const Request& request) const {
    const double value = request.over_quota ? settings_.over_quota_weight : 1;
    const double weight =
        request.is_retry ? 0 : value * request.request_class.priority_weight / highest_weight_;
    // From 1, at the target or below, down to the request's value as responses come later.
    const double calmness =
        std::clamp(3 - 2 * relative_latency_.value() / kTargetRelativeLatency, value, 1.0);
    const double limit = limit_ * (kCommonShare + (1 - kCommonShare) * weight) * calmness;
    // A limit of less than one attempt bounds the mean over time.
    return in_flight_ < limit && (limit >= 1 || short_mean_in_flight_ < limit);
}

bool AdmissionController::is_hopeless(const Request& request, Millis now) const {
    const auto duration = durations_.find(request.class_index);
    return duration != durations_.end() &&
           now + kDurationMargin * duration->second.value() > request.deadline;
}

void AdmissionController::refresh_capacity(Millis now) {
    const double warm_before = survey_.warm_in_pool();
    if (!survey_.refresh(now)) return;
    const double spare = kSpareCapacity * survey_.warm_in_pool();
    if (spare >= warm_before) return;
    const double in_flight = std::max(mean_in_flight_, short_mean_in_flight_) + 1;
    limit_ = std::max(min_limit(now), std::min(limit_, in_flight * spare / warm_before));
}

void AdmissionController::update_means(Millis now) {
    const auto follow = [&](double& mean, Millis time_constant) {
        mean = in_flight_ + (mean - in_flight_) * decay(means_updated_at_, now, time_constant);
    };
    follow(mean_in_flight_, kRateWindow);
    follow(short_mean_in_flight_, kShortMeanObjectives * shortest_objective_);
    means_updated_at_ = now;
}

void AdmissionController::record_relative_latency(double relative_latency, Millis now) {
    const Millis since = std::min(now - relative_latency_.known_at(), kMaxAdjustmentTime);
    relative_latency_.add(relative_latency, now, kRateWindow);
    const double above_target = relative_latency_.value() - kTargetRelativeLatency;
    // A cut at each chance peak of a mean of few samples would keep a sidecar with little traffic below
    // target.
    const double deviation =
        above_target < 0 ? above_target : std::max(0.0, above_target - relative_latency_.error());
    const double factor = std::exp(-kAdjustmentRate * deviation * since);
    if (factor < 1) {
        const double in_flight = std::max(mean_in_flight_, in_flight_ + 1.0);
        const double lowered = std::min(limit_, 2 * in_flight) * factor;
        refresh_capacity(now);
        limit_ = std::max(min_limit(now), lowered);
    } else if (in_flight_ + 1 > limit_ / 2) {
        limit_ = std::min(kInitialLimit, limit_ * factor);
    }
}

void AdmissionController::record_completion(std::uint32_t class_index, Millis duration, Millis now) {
    durations_[class_index].add(duration, now, kMeanSamples, kDurationWindow);
}

double AdmissionController::in_flight() const { return std::max<double>(mean_in_flight_, in_flight_); }

// Where service alone takes longer than the target, rejecting more only idles the servers: one attempt for
// each warm server is always allowed, and with many sidecars this one's part of kMinInFlightPerServer. Nor do
// equal minima starve the busy among the sidecars: each keeps a part of its own demand.
double AdmissionController::min_limit(Millis now) const {
    const double demand = kMinDemandShare * kTargetRelativeLatency * demand_.value_at(now) / kRateWindow;
    return std::max(demand, fleet_.in_flight_per_server() * std::max(1.0, survey_.warm_in_pool()));
}

}  // namespace mothring
