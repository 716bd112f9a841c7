#include "admission_controller.hpp"

#include <algorithm>
#include <cmath>

namespace mothring {

namespace {

/// The initial limit, which is also the highest.
constexpr double kInitialLimit = 1000;
/// The relative change of the limit per millisecond and per unit of relative latency off the target.
constexpr double kAdjustmentRate = 0.004;
/// The longest time that one adjustment covers if there were not enough samples before it.
constexpr Millis kMaxAdjustmentTime = 1000;
/// The share of the demand that is always admitted.
constexpr double kMinDemandShare = 0.25;
/// The share of the limit that is open to every class, whatever its weight.
constexpr double kCommonShare = 0.6;
/// The load that servers can take before they congest, relative to their load now.
constexpr double kCapacityHeadroom = 1.25;
/// The expected duration of an attempt, as a multiple of the mean duration.
constexpr double kDurationMargin = 1.25;
/// The number of recent responses of a class below which its mean duration says little.
constexpr double kMinDurationSamples = 3;
/// The time without an attempt after which one is sent although its response is expected too late.
constexpr Millis kHopelessTrialInterval = 1000;
/// The time constant of the short mean, as a multiple of the shortest latency objective.
constexpr double kShortMeanObjectives = 3;
/// A lower bound for the highest weight; prevents a division by zero if all weights are 0.
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
    // The share of the limit that is open to this request in overload. It is 1 at the target latency or
    // below, and falls to the request's value as the relative latency rises.
    const double overload_factor =
        std::clamp(3 - 2 * relative_latency_.value() / kTargetRelativeLatency, value, 1.0);
    const double limit = limit_ * (kCommonShare + (1 - kCommonShare) * weight) * overload_factor;
    // A limit of less than one attempt limits the mean number of attempts over time.
    return in_flight_ < limit && (limit >= 1 || short_mean_in_flight_ < limit);
}

bool AdmissionController::is_hopeless(const Request& request, Millis now) const {
    const auto found = latencies_.find(request.class_index);
    if (found == latencies_.end()) return false;
    const ClassLatency& latency = found->second;
    if (latency.samples.value_at(now) < kMinDurationSamples) return false;
    if (now - latency.sent_at >= kHopelessTrialInterval) return false;
    return now + kDurationMargin * latency.duration.value() > request.deadline;
}

void AdmissionController::refresh_capacity(Millis now) {
    const double warm_before = survey_.warm_in_pool();
    if (!survey_.refresh(now)) return;
    const double warm_with_headroom = kCapacityHeadroom * survey_.warm_in_pool();
    if (warm_with_headroom >= warm_before) return;
    const double in_flight = std::max(mean_in_flight_, short_mean_in_flight_) + 1;
    limit_ = std::max(min_limit(now), std::min(limit_, in_flight * warm_with_headroom / warm_before));
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
    const Millis elapsed = std::min(now - relative_latency_.known_at(), kMaxAdjustmentTime);
    relative_latency_.add(relative_latency, now, kRateWindow);
    const double above_target = relative_latency_.value() - kTargetRelativeLatency;
    // With few samples the mean lies above the target by chance at times. Lowering the limit each time would
    // keep a sidecar with little traffic below the target latency, so the standard error is subtracted.
    const double deviation =
        above_target < 0 ? above_target : std::max(0.0, above_target - relative_latency_.error());
    const double factor = std::exp(-kAdjustmentRate * deviation * elapsed);
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
    ClassLatency& latency = latencies_[class_index];
    latency.samples.add(1, now);
    const double samples = std::min(kMeanSamples, latency.samples.value());
    latency.duration.add(duration, now, samples, kDurationWindow);
}

double AdmissionController::in_flight() const { return std::max<double>(mean_in_flight_, in_flight_); }

// Returns the lower bound of the limit. If service alone takes longer than the target latency, more
// rejections only leave servers idle. One attempt for each warm server is therefore always allowed; in a
// large fleet this is the sidecar's share of kMinInFlightPerServer. An equal minimum for all sidecars would
// starve the busy ones, so each sidecar also keeps a share of its own demand.
double AdmissionController::min_limit(Millis now) const {
    const double demand = kMinDemandShare * kTargetRelativeLatency * demand_.value_at(now) / kRateWindow;
    return std::max(demand, fleet_.in_flight_per_server() * std::max(1.0, survey_.warm_in_pool()));
}

}  // namespace mothring
