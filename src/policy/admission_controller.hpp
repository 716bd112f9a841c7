/// @file
/// How many attempts may be in flight, and which requests are admitted under that limit.
#pragma once

#include <cstdint>
#include <map>

#include "capacity_survey.hpp"
#include "fleet_share.hpp"
#include "mothring/settings.hpp"
#include "request.hpp"
#include "statistics.hpp"

namespace mothring {

/// A concurrency limit that adapts to latency, with load shedding by priority.
///
/// By Little's law a bound on the attempts in flight bounds the time that they take. The limit follows how
/// long responses take as a share of their objectives; errors tell nothing of crowding. It grows only while
/// half of it is used, and comes down from no higher than twice what is in flight. Servers that are warming
/// up have limits of their own (SlowStart) and do not count here.
class AdmissionController {
public:
    /// All references must outlive this.
    AdmissionController(const Settings& settings, CapacitySurvey& survey, const FleetShare& fleet);

    /// Counts a client's first try of a request into the demand.
    void record_demand(Millis latency_objective, Millis now) { demand_.add(latency_objective, now); }

    /// Whether there is capacity for the request. The class with the highest weight may fill the limit,
    /// others leave it part of it; retries, and requests beyond a quota, have the part that is common to all.
    bool may_admit(const Request& request) const;

    /// Whether the response is expected after the request's deadline: sending it would only fill servers.
    bool is_hopeless(const Request& request, Millis now) const;

    /// Lowers the limit if far fewer servers are left: all requests turn to them at once, and late responses
    /// tell it too late.
    void refresh_capacity(Millis now);

    /// Brings the means of the attempts in flight up to date; due before their number changes or is used.
    void update_means(Millis now);
    void attempt_started() { ++in_flight_; }
    void attempt_ended() { --in_flight_; }

    /// Takes the relative latency of an attempt.
    void record_relative_latency(double relative_latency, Millis now);
    /// Takes the duration of a completed attempt.
    void record_completion(std::uint32_t class_index, Millis duration, Millis now);

    bool is_limit_reached() const { return in_flight_ >= limit_; }
    /// Attempts in flight, or their mean of late where that is more.
    double in_flight() const;

private:
    double min_limit(Millis now) const;

    const Settings& settings_;
    CapacitySurvey& survey_;
    const FleetShare& fleet_;
    double highest_weight_;
    Millis shortest_objective_;
    double limit_;
    int in_flight_ = 0;
    double mean_in_flight_ = 0;        // over kRateWindow
    double short_mean_in_flight_ = 0;  // over a few objectives
    Millis means_updated_at_ = 0;
    DecayingSum demand_{kRateWindow};  // the latency objectives of first tries
    MeanWithError relative_latency_{kMeanSamples};
    std::map<std::uint32_t, DecayingMean> durations_;  // of completed attempts, by class
};

}  // namespace mothring
